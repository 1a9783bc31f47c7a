"""Check that the documentation refers only to existing files and tests."""

import re
from pathlib import Path

import pytest

_ROOT = Path(__file__).parent.parent
_PAGES = sorted(
    [*_ROOT.glob('*.md'), *_ROOT.glob('docs/*.md'), *_ROOT.glob('docs/*/*.md')],
)
_LINK = re.compile(r'\]\(([^)#:]+)\)')
_NAMED = re.compile(r'\b(tests/\w+\.py|python -m \w+\.\w+)')
_TEST_ID = re.compile(r'`(tests/\w+\.py)::(\w+)`')
_COMMAND = 'python -m '


def _find_target(named: str) -> Path:
    if named.startswith(_COMMAND):
        module = named.removeprefix(_COMMAND)
        path = module.replace('.', '/')
        return _ROOT / f'{path}.py'
    return _ROOT / named


@pytest.mark.parametrize('page', _PAGES, ids=lambda page: page.name)
def test_page_names_what_exists(page: Path) -> None:
    """Check that linked pages, test files and modules exist."""
    text = page.read_text()
    links = [page.parent / link for link in _LINK.findall(text)]
    named = [_find_target(name) for name in _NAMED.findall(text)]
    assert [str(path) for path in links + named if not path.exists()] == []


def test_proofs_name_tests_that_exist() -> None:
    """Check that the tests and suites in PROOFS.md exist."""
    text = (_ROOT / 'docs' / 'PROOFS.md').read_text()
    named = _TEST_ID.findall(text)
    assert named
    missing = [
        (path, name)
        for path, name in named
        if not re.search(
            rf'^(def {name}\(|{name} = |class {name}\b)',
            (_ROOT / path).read_text(),
            re.MULTILINE,
        )
    ]
    assert missing == []


def test_known_red_names_what_exists() -> None:
    """Check that the test files in KNOWN-RED.txt exist."""
    lines = (_ROOT / 'KNOWN-RED.txt').read_text().splitlines()
    entries = [line for line in lines if not line.startswith('#')]
    for entry in entries:
        test = entry.split('::')[0]
        assert (_ROOT / test).exists(), entry
