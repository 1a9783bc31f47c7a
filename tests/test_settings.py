"""Test that an invalid setting is reported in one line."""

from pathlib import Path
from typing import Any

import pytest
import yaml

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.results import ResultCode
from trefoilsaddle.settings import (
    DispatcherSettings,
    EntrySettings,
    build_options,
    read_settings,
)

_SECRET = 'a secret of sixteen'


def _write_good() -> dict[str, Any]:
    address = {'host': '127.0.0.1', 'port': 7000}
    peer = {'node': 'dispatcher-1', 'zone': 'zone-1', 'dispatches': True}
    return {
        'node': 'entry-1',
        'site': 'north',
        'region': 'region-1',
        'zone': 'zone-1',
        'listen': dict(address),
        'callers': dict(address),
        'peers': [{**peer, **address}],
        'secret': _SECRET,
        'platform': {'log': dict(address), 'hosts': dict(address)},
        'pace': {'log_interval': 0.3},
        'seed': 7,
    }


def _write_file(folder: Path, document: object) -> Path:
    path = folder / 'entry.yaml'
    path.write_text(yaml.safe_dump(document))
    return path


def test_good_settings_build_options(tmp_path: Path) -> None:
    """Build the core's options from every setting."""
    path = _write_file(tmp_path, _write_good())
    settings = read_settings(path, EntrySettings)
    assert isinstance(settings, EntrySettings)
    options = build_options(settings)
    assert (options.node, options.dispatches) == ('entry-1', False)
    assert options.peers[0].node == NodeId('dispatcher-1')
    assert options.log_interval == Seconds(0.3)
    assert options.seed == 7


_WRONG: tuple[tuple[str, object, str], ...] = (
    ('node', None, 'node: expected a valid string'),
    ('node', 'Entry 1', 'node: expected '),
    ('zone', 3, 'zone: expected a valid string'),
    ('listen', 'here:1', 'listen: expected '),
    ('listen.port', 0, 'listen.port: expected greater than or equal to 1'),
    ('listen.port', 70_000, 'listen.port: expected less than or equal'),
    ('listen.port', 'http', 'listen.port: expected a valid integer'),
    ('listen.host', 'example.org', 'listen.host: expected '),
    ('callers.prot', 7001, 'callers.prot: expected no such key'),
    ('secret', 'short', 'secret: expected '),
    ('secret', 12345678901234567, 'secret: expected a valid string'),
    ('peers', [{'node': 'x'}], 'peers.0.host: expected a value'),
    ('platform', {}, 'platform.log: expected a value'),
    ('pace.log_interval', 0, 'pace.log_interval: expected greater than 0'),
    ('pace.log_interval', float('nan'), 'pace.log_interval: expected '),
    ('seed', -1, 'seed: expected greater than or equal to 0'),
    ('log_level', 'LOUD', "log_level: expected 'DEBUG', 'INFO'"),
    ('trace', {'folder': '/no such folder'}, 'trace.folder: expected '),
    ('extra', 1, 'extra: expected no such key'),
)


@pytest.mark.parametrize(('key', 'setting', 'expected'), _WRONG)
def test_wrong_setting_gives_one_line(
    tmp_path: Path,
    key: str,
    setting: object,
    expected: str,
) -> None:
    """Name the file, the key and the expected value, but not the given one."""
    document = _write_good()
    *outer, last = key.split('.')
    place = document
    for name in outer:
        place = place[name]
    place[last] = setting
    path = _write_file(tmp_path, document)
    failure = read_settings(path, EntrySettings)
    assert isinstance(failure, Failure)
    assert failure.code is ResultCode.settings_invalid
    assert failure.reason.startswith(f'{path}: {expected}')
    assert len(failure.reason.splitlines()) == 1


@pytest.mark.parametrize(
    ('written', 'expected'),
    [
        (b'node: [', 'valid YAML'),
        (b'\xff\xfe\x00', 'a readable text file'),
        (b'', 'a valid dictionary'),
        (b'- 1', 'a valid dictionary'),
    ],
)
def test_wrong_file_gives_one_line(
    tmp_path: Path,
    written: bytes,
    expected: str,
) -> None:
    """Report the fault of a file that cannot be parsed."""
    path = tmp_path / 'entry.yaml'
    path.write_bytes(written)
    failure = read_settings(path, DispatcherSettings)
    assert isinstance(failure, Failure)
    assert failure.reason.startswith(f'{path}: the file: expected {expected}')
    assert len(failure.reason.splitlines()) == 1


def test_missing_file_gives_one_line(tmp_path: Path) -> None:
    """Report a file that cannot be read."""
    failure = read_settings(tmp_path / 'none.yaml', DispatcherSettings)
    assert isinstance(failure, Failure)
    assert 'a readable text file' in failure.reason


def test_secret_is_not_shown(tmp_path: Path) -> None:
    """Keep the secret out of every representation."""
    path = _write_file(tmp_path, _write_good())
    settings = read_settings(path, EntrySettings)
    assert _SECRET not in repr(settings)
