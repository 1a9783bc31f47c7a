"""Test the gateway's command line."""

import gc
import signal
import tomllib
from collections.abc import Iterator
from pathlib import Path
from types import SimpleNamespace

import pytest
from typer.testing import CliRunner

from trefoilsaddle.programs import gatewaystart
from trefoilsaddle.programs.gatewaycommand import app
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
    """Restore the collector's settings and the action on a signal."""
    thresholds = gc.get_threshold()
    action = signal.getsignal(signal.SIGHUP)
    yield
    signal.signal(signal.SIGHUP, action)
    gc.unfreeze()
    gc.set_threshold(*thresholds)
    gc.enable()


# The arguments, and the module that is loaded for them.
_STARTS = (
    ((), 'trefoilsaddle.programs.gateway'),
    (('--version',), 'trefoilsaddle.programs.gatewaycommand'),
)


# Guards against a fleet that is slow to serve again after a loss of power.
@pytest.mark.usefixtures('collector')
@pytest.mark.parametrize(('arguments', 'module'), _STARTS)
def test_start_keeps_modules_out_of_collections(
    monkeypatch: pytest.MonkeyPatch, arguments: tuple[str, ...], module: str
) -> None:
    """Load what is needed without collections, and run it with few."""
    seen: list[tuple[str, bool, int]] = []

    def note(step: str) -> None:
        seen.append((step, gc.isenabled(), gc.get_freeze_count()))

    def load(name: str) -> SimpleNamespace:
        note(name)
        return SimpleNamespace(
            app=lambda: note('run'), run_gateway=lambda path: note('run')
        )

    monkeypatch.setattr(gatewaystart, 'import_module', load)
    monkeypatch.setattr('sys.argv', ['gateway', *arguments])
    monkeypatch.setenv('TREFOILSADDLE_CONFIG', 'settings.toml')
    gatewaystart.start_gateway()
    loaded, run = seen
    assert loaded[:2] == (module, False)
    assert run[:2] == ('run', True)
    assert run[2] > loaded[2]
    assert gc.get_threshold()[0] > 700


# Guards against a process that ends because its settings change while it
# starts.
@pytest.mark.usefixtures('collector')
def test_settings_may_change_during_the_start(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Ignore the signal that tells of new settings until it is handled."""
    seen: list[object] = []

    def load(name: str) -> SimpleNamespace:
        seen.append(signal.getsignal(signal.SIGHUP))
        return SimpleNamespace(run_gateway=lambda path: None)

    monkeypatch.setattr(gatewaystart, 'import_module', load)
    monkeypatch.setattr('sys.argv', ['gateway'])
    monkeypatch.setenv('TREFOILSADDLE_CONFIG', 'settings.toml')
    gatewaystart.start_gateway()
    assert seen == [signal.SIG_IGN]


@pytest.mark.usefixtures('collector')
def test_start_with_bad_settings_ends_with_their_code(
    monkeypatch: pytest.MonkeyPatch,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """Exit as the command does if the platform's settings are invalid."""
    path = tmp_path / 'none.toml'
    monkeypatch.setattr('sys.argv', ['gateway'])
    monkeypatch.setenv('TREFOILSADDLE_CONFIG', str(path))
    with pytest.raises(SystemExit) as ended:
        gatewaystart.start_gateway()
    assert ended.value.code == 40
    assert 'settings_invalid' in capsys.readouterr().err
