"""Test the gateway's command line."""

import gc
import tomllib
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import pytest
from typer.testing import CliRunner

from trefoilsaddle.programs import gatewaystart
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


@pytest.fixture
def collector() -> Iterator[None]:
    """Restore the settings of the garbage collector."""
    thresholds = gc.get_threshold()
    yield
    gc.unfreeze()
    gc.set_threshold(*thresholds)
    gc.enable()


# Guards against a fleet that is slow to serve again after a loss of power.
@pytest.mark.usefixtures('collector')
def test_start_keeps_modules_out_of_collections(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Load the program without collections, and run it with few."""
    seen: list[tuple[str, bool, int]] = []

    def note(step: str) -> None:
        seen.append((step, gc.isenabled(), gc.get_freeze_count()))

    def load(name: str) -> SimpleNamespace:
        note(name)
        return SimpleNamespace(app=lambda: note('run'))

    monkeypatch.setattr(gatewaystart, 'import_module', load)
    gatewaystart.start_gateway()
    loaded, run = seen
    assert loaded[:2] == ('trefoilsaddle.programs.gateway', False)
    assert run[:2] == ('run', True)
    assert run[2] > loaded[2]
    assert gc.get_threshold()[0] > 700
