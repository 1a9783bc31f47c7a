"""Fix the seeds of Hypothesis and deselect tests with known faults."""

import os
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings

_KNOWN_RED = Path(__file__).parent.parent / 'KNOWN-RED.txt'
_COMMENT = '#'
_SEPARATOR = '|'

# TREFOIL_EXAMPLES=500 tries more examples, with random seeds.
_EXAMPLES = os.environ.get('TREFOIL_EXAMPLES')

settings.register_profile(
    'fixed',
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow],
)
settings.register_profile(
    'more',
    parent=settings.get_profile('fixed'),
    derandomize=False,
    max_examples=int(_EXAMPLES or '100'),
    print_blob=True,
)
settings.load_profile('more' if _EXAMPLES else 'fixed')


def read_known_red() -> dict[str, str]:
    """Return the lines of KNOWN-RED.txt by test id."""
    if not _KNOWN_RED.exists():
        return {}
    lines = _KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and line[0] != _COMMENT]
    return {entry.split(_SEPARATOR)[0].strip(): entry for entry in entries}


def pytest_collection_modifyitems(
    config: pytest.Config,
    items: list[pytest.Item],
) -> None:
    """Deselect the tests that KNOWN-RED.txt lists."""
    known = read_known_red()
    red = [test for test in items if test.nodeid in known]
    if red:
        items[:] = [test for test in items if test.nodeid not in known]
        config.hook.pytest_deselected(items=red)


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the entries of KNOWN-RED.txt."""
    for entry in read_known_red().values():
        terminalreporter.write_line(f'KNOWN RED: {entry}')
