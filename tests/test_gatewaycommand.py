"""Test the gateway's command line."""

import tomllib
from pathlib import Path

import pytest
from typer.testing import CliRunner

from trefoilsaddle.programs.gateway import app
from trefoilsaddle.version import VERSION

_PROJECT = Path(__file__).parent.parent / 'pyproject.toml'
_BAD_FILES = {
    'missing': None,
    'not-toml': 'node =',
    'no-node': 'ip = "10.0.0.1"',
}


def test_version_is_the_package_version() -> None:
    """Print the version of the package."""
    shown = CliRunner().invoke(app, ['--version'])
    project = tomllib.loads(_PROJECT.read_text())
    assert project['project']['version'] == VERSION
    assert VERSION in shown.output


@pytest.mark.parametrize('text', _BAD_FILES.values(), ids=_BAD_FILES)
def test_bad_settings_end_the_command(
    tmp_path: Path,
    text: str | None,
) -> None:
    """Exit with the code of invalid settings and name the file."""
    path = tmp_path / 'settings.toml'
    if text is not None:
        path.write_text(text)
    ended = CliRunner().invoke(app, ['--settings', str(path)])
    assert ended.exit_code == 40
    assert 'settings_invalid' in ended.output
    assert str(path) in ended.output.replace('\n', '')
