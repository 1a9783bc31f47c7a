"""Test the check of configurations and its command."""

import json
from collections.abc import Callable
from dataclasses import astuple
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner, Result

from trefoilsaddle.core.units import RegionName, Version
from trefoilsaddle.gateway.configurationchanges import Change, list_changes
from trefoilsaddle.gateway.configurationcheck import (
    ConfigurationDocument,
    check_configuration,
)
from trefoilsaddle.gateway.findings import WARNINGS, Finding, FindingCode
from trefoilsaddle.platform.configuration import decode_document
from trefoilsaddle.programs.gatewaycommand import app

_OPERATIONS = Path(__file__).parent.parent / 'docs' / 'OPERATIONS.md'
_RULE = """{
    "name": "read",
    "kind": "idempotent",
    "targetLatency": "600ms",
    "priority": 1,
    "match": {"pathPrefix": "/read/"},
    "action": {"service": "guide", "timeout": "2s", "attempts": 2}
}"""
_SPLIT_RULE = """{
    "name": "pay",
    "kind": "non_idempotent",
    "targetLatency": "800ms",
    "priority": 0,
    "match": {"pathPrefix": "/pay/"},
    "action": {
        "trafficSplit": [
            {"service": "guide", "weight": 90},
            {"service": "desk", "weight": 10}
        ],
        "timeout": "1200ms",
        "attempts": 1,
        "allowedRegions": ["east", "west"]
    }
}"""
_CONFIGURATION = f"""{{
    "version": "r12",
    "limits": {{
        "headerBytes": 16384,
        "maxBodyBytes": 1000000,
        "headerTimeout": "3000ms",
        "idleTimeout": "15s"
    }},
    "listeners": [{{"host": "h.example", "rules": [{_RULE}, {_SPLIT_RULE}]}}],
    "clusters": [
        {{"name": "guide", "maxConns": 130, "sharded": true}},
        {{"name": "desk", "maxConns": 40, "warmupPerS": 7.4}}
    ]
}}"""
_SETTINGS = """
node = "n"
ip = "127.0.0.1"
zone = "a"
region = "east"
internalPorts = [9000, 9001]
zones = { a = "east", b = "west" }
heartbeat = "1s"
listen = { front = "127.0.0.1:8000", ready = "127.0.0.1:8001" }
platform = { address = "127.0.0.1:8002" }
[bounds]
retryRatio = 0.1
retrySlack = 1
budgetWindow = "10s"
holdMax = "10s"
grace = "10s"
"""


def _load(text: str) -> dict[str, Any]:
    loaded: dict[str, Any] = json.loads(text)
    return loaded


_Path = tuple[int | str, ...]
# Places in the file that the cases change, and their values; `None` removes.
_Changes = dict[_Path, object]
_LIMITS = ('limits',)
_READ: _Path = ('listeners', 0, 'rules', 0)
_PAY: _Path = ('listeners', 0, 'rules', 1)
_READ_PLACE = 'listeners[0].rules[0]'
_PAY_PLACE = 'listeners[0].rules[1]'
_SPLIT: _Path = (*_PAY, 'action', 'trafficSplit')


def _change(changes: _Changes) -> dict[str, Any]:
    changed = _load(_CONFIGURATION)
    for path, replacement in changes.items():
        part: Any = changed
        for step in path[:-1]:
            part = part[step]
        if replacement is None:
            part.pop(path[-1])
        else:
            part[path[-1]] = replacement
    return changed


def _decode(changes: _Changes) -> ConfigurationDocument:
    decoded = decode_document(json.dumps(_change(changes)).encode())
    assert isinstance(decoded, ConfigurationDocument), decoded
    return decoded


def _check(
    changes: _Changes, in_force: int | None = None
) -> list[tuple[str, str]]:
    found = check_configuration(
        _decode(changes),
        None if in_force is None else Version(in_force),
        {RegionName('east'), RegionName('west')},
    )
    return [(finding.code.value, finding.place) for finding in found]


# What is changed in a sound configuration, and what is found: a fault that is
# not found here is published and costs requests.
_FAULTS = (
    pytest.param({}, [], id='sound'),
    pytest.param(
        {(*_READ, 'match', 'pathPrefix'): '/'}, [], id='prefix-that-is-the-root'
    ),
    pytest.param(
        {(*_READ, 'targetLatency'): '2s'}, [], id='goal-equal-to-timeout'
    ),
    pytest.param(
        {(*_READ, 'targetLatency'): '2001ms'},
        [('goal_above_timeout', _READ_PLACE)],
        id='goal-above-timeout',
    ),
    pytest.param(
        {(*_READ, 'action', 'timeout'): '0ms'},
        [
            ('time_not_positive', _READ_PLACE),
            ('goal_above_timeout', _READ_PLACE),
        ],
        id='timeout-zero',
    ),
    pytest.param(
        {(*_READ, 'targetLatency'): '0s'},
        [('time_not_positive', _READ_PLACE)],
        id='goal-zero',
    ),
    pytest.param(
        {(*_PAY, 'action', 'attempts'): 0},
        [('attempts_below_one', _PAY_PLACE)],
        id='attempts-zero',
    ),
    pytest.param(
        {(*_PAY, 'action', 'attempts'): -1},
        [('attempts_below_one', _PAY_PLACE)],
        id='attempts-negative',
    ),
    pytest.param(
        {(*_READ, 'match', 'pathPrefix'): 'read/'},
        [('prefix_start', _READ_PLACE)],
        id='prefix-without-slash-at-start',
    ),
    pytest.param(
        {(*_READ, 'match', 'pathPrefix'): '/read'},
        [('prefix_end', _READ_PLACE)],
        id='prefix-without-slash-at-end',
    ),
    pytest.param(
        {(*_READ, 'match', 'pathPrefix'): ''},
        [('prefix_start', _READ_PLACE), ('prefix_end', _READ_PLACE)],
        id='prefix-empty',
    ),
    pytest.param(
        {(*_PAY, 'match', 'pathPrefix'): '/read/'},
        [('route_shadowed', _PAY_PLACE)],
        id='route-shadowed',
    ),
    pytest.param(
        {
            ('listeners',): [
                {'host': 'h.example', 'rules': [_load(_RULE)]},
                {
                    'host': 'h.example',
                    'rules': [_load(_RULE), _load(_SPLIT_RULE)],
                },
            ]
        },
        [
            ('route_shadowed', 'listeners[1].rules[0]'),
            ('route_duplicate', 'listeners[1].rules[0]'),
        ],
        id='route-shadowed-in-another-listener',
    ),
    pytest.param(
        {
            ('listeners',): [
                {'host': 'h.example', 'rules': [_load(_RULE)]},
                {
                    'host': 'i.example',
                    'rules': [
                        {**_load(_RULE), 'name': 'other'},
                        _load(_SPLIT_RULE),
                    ],
                },
            ]
        },
        [],
        id='same-prefix-of-another-host',
    ),
    pytest.param(
        {(*_PAY, 'name'): 'read'},
        [('route_duplicate', _PAY_PLACE)],
        id='route-name-twice',
    ),
    pytest.param(
        {(*_READ, 'action', 'service'): 'gone'},
        [('service_undefined', _READ_PLACE)],
        id='service-undefined',
    ),
    pytest.param(
        {(*_SPLIT, 1, 'service'): 'gone'},
        [
            ('service_undefined', _PAY_PLACE),
            ('service_unused', 'clusters[1]'),
        ],
        id='service-undefined-in-split',
    ),
    pytest.param(
        {(*_READ, 'action', 'service'): None},
        [('service_missing', _READ_PLACE)],
        id='service-missing',
    ),
    pytest.param(
        {('clusters', 1, 'name'): 'spare', (*_SPLIT, 1, 'service'): 'guide'},
        [('service_unused', 'clusters[1]')],
        id='service-unused',
    ),
    pytest.param(
        {('clusters', 1, 'name'): 'guide', (*_SPLIT, 1, 'service'): 'guide'},
        [('service_duplicate', 'clusters[1]')],
        id='service-defined-twice',
    ),
    pytest.param(
        {('clusters', 1, 'maxConns'): 0},
        [('connections_below_one', 'clusters[1]')],
        id='connections-zero',
    ),
    pytest.param(
        {(*_SPLIT, 1, 'weight'): 0},
        [('weight_zero', _PAY_PLACE)],
        id='weight-zero',
    ),
    pytest.param(
        {(*_SPLIT, 0, 'weight'): 0, (*_SPLIT, 1, 'weight'): 0},
        [('weights_zero', _PAY_PLACE)],
        id='weights-all-zero',
    ),
    pytest.param(
        {_SPLIT: [{'service': 'desk', 'weight': 0}]},
        [('weights_zero', _PAY_PLACE)],
        id='only-weight-zero',
    ),
    pytest.param(
        {(*_PAY, 'action', 'allowedRegions'): ['north', 'south']},
        [('regions_without_zone', _PAY_PLACE)],
        id='regions-without-zone',
    ),
    pytest.param(
        {(*_PAY, 'action', 'allowedRegions'): ['north', 'east']},
        [('region_without_zone', _PAY_PLACE)],
        id='one-region-without-zone',
    ),
    pytest.param(
        {(*_PAY, 'action', 'allowedRegions'): []}, [], id='no-regions'
    ),
    pytest.param(
        {(*_LIMITS, 'maxBodyBytes'): 16_383},
        [('header_above_body', 'limits')],
        id='header-limit-above-body-limit',
    ),
    pytest.param(
        {(*_LIMITS, 'headerBytes'): 0},
        [('size_not_positive', 'limits')],
        id='header-limit-zero',
    ),
    pytest.param(
        {(*_LIMITS, 'idleTimeout'): '2999ms'},
        [('idle_below_header', 'limits')],
        id='idle-timeout-below-header-timeout',
    ),
    pytest.param(
        {(*_LIMITS, 'headerTimeout'): '0ms'},
        [('time_not_positive', 'limits')],
        id='header-timeout-zero',
    ),
    pytest.param(
        {
            (*_READ, 'targetLatency'): '3s',
            (*_PAY, 'action', 'attempts'): 0,
        },
        [
            ('attempts_below_one', _PAY_PLACE),
            ('goal_above_timeout', _READ_PLACE),
        ],
        id='errors-before-warnings',
    ),
)


@pytest.mark.parametrize(('changes', 'expected'), _FAULTS)
def test_faults_are_found(
    changes: _Changes, expected: list[tuple[str, str]]
) -> None:
    """Find each fault, at its place, and nothing else."""
    assert _check(changes) == expected


def test_regions_are_checked_only_if_zones_are_known() -> None:
    """Report no regions without the list of zones."""
    document = _decode({(*_PAY, 'action', 'allowedRegions'): ['north']})
    assert check_configuration(document) == []


# Guards against a finding that an operator cannot relate to the file.
@pytest.mark.parametrize(
    ('changes', 'words'),
    [
        (
            {(*_READ, 'action', 'service'): 'gone'},
            ("'read'", "'h.example'", "'gone'"),
        ),
        (
            {(*_PAY, 'match', 'pathPrefix'): '/read/'},
            ("'pay'", "'read'", _READ_PLACE),
        ),
        ({(*_READ, 'targetLatency'): '2.5s'}, ("'read'", '2.5 s', '2 s')),
        ({(*_LIMITS, 'maxBodyBytes'): 9}, ('16384', '9')),
    ],
)
def test_findings_name_what_is_wrong(
    changes: _Changes, words: tuple[str, ...]
) -> None:
    """Name the entries and the values in the text."""
    found = check_configuration(_decode(changes))
    assert len(found) == 1
    assert [word for word in words if word not in found[0].text] == []


# The version in force and whether version 12 may follow it.
@pytest.mark.parametrize(
    ('in_force', 'newer'),
    [(None, True), (11, True), (12, False), (13, False)],
)
def test_version_has_to_increase(in_force: int | None, newer: bool) -> None:
    """Report a version that gateways would ignore."""
    expected = [] if newer else [('version_not_newer', 'version')]
    assert _check({}, in_force) == expected


# Bytes that are no configuration, and the findings.
_INVALID = (
    pytest.param(b'', [('not_json', 'document')], id='empty'),
    pytest.param(b'{"version": ', [('not_json', 'document')], id='cut-short'),
    pytest.param(b'\xff\xfe\x00', [('not_json', 'document')], id='not-text'),
    pytest.param(b'[' * 100_000, [('not_json', 'document')], id='nested'),
    pytest.param(b'[]', [('field_invalid', 'document')], id='list'),
)
_INVALID_FIELDS = (
    pytest.param(
        {(*_READ, 'action', 'timeout'): None},
        [f'{_READ_PLACE}.action.timeout'],
        id='missing',
    ),
    pytest.param(
        {('version',): 'v1', ('clusters', 1, 'maxConns'): '40'},
        ['version', 'clusters[1].maxConns'],
        id='two',
    ),
    pytest.param(
        {('version',): 'rx'}, ['version'], id='version-without-number'
    ),
    pytest.param(
        {(*_READ, 'targetLatency'): '-1s'},
        [f'{_READ_PLACE}.targetLatency'],
        id='time-negative',
    ),
    pytest.param(
        {(*_LIMITS, 'idleTimeout'): '15'},
        ['limits.idleTimeout'],
        id='time-without-unit',
    ),
    pytest.param(
        {(*_SPLIT, 0, 'weight'): -1},
        [f'{_PAY_PLACE}.action.trafficSplit[0].weight'],
        id='weight-negative',
    ),
    pytest.param({('listeners',): None}, ['listeners'], id='no-listeners'),
)


@pytest.mark.parametrize(('encoded', 'expected'), _INVALID)
def test_bytes_that_are_no_configuration(
    encoded: bytes, expected: list[tuple[str, str]]
) -> None:
    """Report input that cannot be decoded."""
    found = decode_document(encoded)
    assert isinstance(found, list)
    assert [(entry.code.value, entry.place) for entry in found] == expected


@pytest.mark.parametrize(('changes', 'places'), _INVALID_FIELDS)
def test_all_invalid_fields_are_found(
    changes: _Changes, places: list[str]
) -> None:
    """Report each field that is missing or wrong, with its path."""
    found = decode_document(json.dumps(_change(changes)).encode())
    assert isinstance(found, list)
    assert [entry.place for entry in found] == places
    assert {entry.code for entry in found} == {FindingCode.field_invalid}
    assert all(entry.text for entry in found)


_ROUTE_TEXT = (
    'host h.example, prefix /read/, idempotent yes, priority 1, '
    + 'latency goal 0.6 s, timeout 2 s, attempts 2, services guide 1, '
    + 'regions any'
)
_Row = tuple[str, ...]
# What a new version changes, and the differences that are listed.
_DIFFERENCES = (
    pytest.param({}, [], id='none'),
    pytest.param({('version',): 'r13'}, [], id='version-only'),
    pytest.param(
        {(*_READ, 'targetLatency'): '700ms'},
        [('changed', 'route', 'read', 'latency goal', '0.6 s', '0.7 s')],
        id='goal',
    ),
    pytest.param(
        {('listeners', 0, 'host'): 'i.example'},
        [
            ('changed', 'route', 'read', 'host', 'h.example', 'i.example'),
            ('changed', 'route', 'pay', 'host', 'h.example', 'i.example'),
        ],
        id='host',
    ),
    pytest.param(
        {(*_SPLIT, 1, 'weight'): 30},
        [
            (
                'changed',
                'route',
                'pay',
                'services',
                'guide 90/desk 10',
                'guide 90/desk 30',
            )
        ],
        id='weights',
    ),
    pytest.param(
        {(*_PAY, 'action', 'allowedRegions'): None},
        [('changed', 'route', 'pay', 'regions', 'east/west', 'any')],
        id='regions',
    ),
    pytest.param(
        {('listeners', 0, 'rules'): [_load(_SPLIT_RULE)]},
        [('removed', 'route', 'read', '', _ROUTE_TEXT, '')],
        id='route-removed',
    ),
    pytest.param(
        {
            ('listeners', 0, 'rules'): [
                _load(_RULE),
                _load(_SPLIT_RULE),
                _load(_RULE),
            ]
        },
        [('added', 'route', 'read#2', '', '', _ROUTE_TEXT)],
        id='route-added',
    ),
    pytest.param(
        {('clusters', 1, 'name'): 'bench'},
        [
            (
                'removed',
                'service',
                'desk',
                '',
                'connections 40, keyed no, cold rate 7.4/s',
                '',
            ),
            (
                'added',
                'service',
                'bench',
                '',
                '',
                'connections 40, keyed no, cold rate 7.4/s',
            ),
        ],
        id='service-renamed',
    ),
    pytest.param(
        {
            ('clusters', 0, 'sharded'): False,
            ('clusters', 1, 'warmupPerS'): None,
        },
        [
            ('changed', 'service', 'guide', 'keyed', 'yes', 'no'),
            ('changed', 'service', 'desk', 'cold rate', '7.4/s', 'none'),
        ],
        id='service-changed',
    ),
    pytest.param(
        {(*_LIMITS, 'maxBodyBytes'): 2_000_000},
        [('changed', 'limit', 'body bytes', 'value', '1000000', '2000000')],
        id='limit',
    ),
)


def _flatten(change: Change) -> _Row:
    return tuple(str(cell) for cell in astuple(change))


@pytest.mark.parametrize(('changes', 'expected'), _DIFFERENCES)
def test_differences_are_listed(
    changes: _Changes, expected: list[_Row]
) -> None:
    """List what is added, removed and changed, with old and new values."""
    listed = list_changes(_decode({}), _decode(changes))
    assert [_flatten(change) for change in listed] == expected


def test_every_code_has_a_row_in_the_docs() -> None:
    """Document each code with its severity."""
    rows = _OPERATIONS.read_text().splitlines()
    for code in FindingCode:
        severity = Finding(code, '', '').severity
        start = f'| `{code}` | {severity} |'
        assert any(row.startswith(start) for row in rows), start


def test_warnings_are_codes() -> None:
    """Give both severities to some codes."""
    assert set(WARNINGS) < set(FindingCode)


def _run(tmp_path: Path, changes: _Changes, *options: str) -> Result:
    path = tmp_path / 'new.json'
    path.write_text(json.dumps(_change(changes)))
    return CliRunner().invoke(app, ['check', str(path), *options])


# Changes of a sound file, and the exit status of its check.
@pytest.mark.parametrize(
    ('changes', 'status', 'line'),
    [
        ({}, 0, 'nothing found'),
        (
            {(*_READ, 'targetLatency'): '3s'},
            1,
            f"warning: {_READ_PLACE}: route 'read' of host 'h.example' has a "
            + 'latency goal of 3 s, above its timeout of 2 s '
            + '[goal_above_timeout]',
        ),
        (
            {
                (*_READ, 'targetLatency'): '3s',
                (*_PAY, 'action', 'attempts'): 0,
            },
            41,
            f"error: {_PAY_PLACE}: route 'pay' of host 'h.example' allows 0 "
            + 'attempts; at least one is needed [attempts_below_one]',
        ),
        (
            {(*_READ, 'action', 'timeout'): None},
            41,
            f'error: {_READ_PLACE}.action.timeout: Field required '
            + '[field_invalid]',
        ),
    ],
    ids=['nothing', 'warning', 'error', 'invalid'],
)
def test_command_exits_with_the_worst_finding(
    tmp_path: Path, changes: _Changes, status: int, line: str
) -> None:
    """Print the findings and exit with the status of the most severe."""
    ended = _run(tmp_path, changes)
    assert ended.exit_code == status
    assert ended.output.splitlines()[0] == line


def test_command_prints_json(tmp_path: Path) -> None:
    """Print findings and differences as one JSON object."""
    old = tmp_path / 'old.json'
    old.write_text(_CONFIGURATION)
    changes: _Changes = {(*_READ, 'targetLatency'): '3s'}
    ended = _run(tmp_path, changes, '--against', str(old), '--json')
    assert ended.exit_code == 41
    printed = json.loads(ended.output)
    assert [
        (found['severity'], found['code'], found['place'])
        for found in printed['findings']
    ] == [
        ('error', 'version_not_newer', 'version'),
        ('warning', 'goal_above_timeout', _READ_PLACE),
    ]
    assert printed['changes'] == [
        {
            'kind': 'changed',
            'part': 'route',
            'name': 'read',
            'field': 'latency goal',
            'old': '0.6 s',
            'new': '3 s',
        }
    ]


def test_command_lists_differences(tmp_path: Path) -> None:
    """Exit with 0 if the only differences are intended ones."""
    old = tmp_path / 'old.json'
    old.write_text(json.dumps(_change({('version',): 'r11'})))
    changes: _Changes = {(*_READ, 'targetLatency'): '700ms'}
    ended = _run(tmp_path, changes, '--against', str(old))
    assert ended.exit_code == 0
    assert ended.output.splitlines() == [
        'nothing found',
        'changed: route read: latency goal: 0.6 s -> 0.7 s',
    ]


# Allowed regions, and the exit status with the settings' zones.
@pytest.mark.parametrize(
    ('regions', 'status'), [(['east'], 0), (['north', 'east'], 1), (['n'], 41)]
)
def test_command_checks_regions_with_the_settings(
    tmp_path: Path, regions: list[str], status: int
) -> None:
    """Compare the allowed regions with those that have zones."""
    settings = tmp_path / 'settings.toml'
    settings.write_text(_SETTINGS)
    changes: _Changes = {(*_PAY, 'action', 'allowedRegions'): regions}
    ended = _run(tmp_path, changes, '--settings', str(settings))
    assert ended.exit_code == status


def _write_nothing(path: Path) -> None:
    """Leave the file missing."""


# How a second file is spoilt, and the start of the line about it.
_BAD_FILES = (
    pytest.param(
        '--against',
        _write_nothing,
        'cannot be read: No such',
        id='against-missing',
    ),
    pytest.param(
        '--against', Path.mkdir, 'cannot be read: Is a', id='against-directory'
    ),
    pytest.param(
        '--against',
        lambda path: path.write_text('{'),
        'document: Invalid JSON',
        id='against-not-json',
    ),
    pytest.param(
        '--against',
        lambda path: path.write_text(json.dumps(_change({('version',): 'x'}))),
        'version: a version is',
        id='against-wrong-field',
    ),
    pytest.param(
        '--settings',
        _write_nothing,
        'cannot be read: No such',
        id='settings-missing',
    ),
    pytest.param(
        '--settings',
        lambda path: path.write_text('node ='),
        'is not TOML',
        id='settings-not-toml',
    ),
    pytest.param(
        '--settings',
        lambda path: path.write_text(_SETTINGS.replace('zones =', 'other =')),
        'zones: Field required',
        id='settings-without-zones',
    ),
)


@pytest.mark.parametrize(('option', 'spoil', 'start'), _BAD_FILES)
def test_bad_second_file_is_an_error(
    tmp_path: Path, option: str, spoil: Callable[[Path], object], start: str
) -> None:
    """Exit with 41 and name the file that cannot be used."""
    path = tmp_path / 'second'
    spoil(path)
    ended = _run(tmp_path, {}, option, str(path))
    assert ended.exit_code == 41
    assert ended.output.startswith(f'error: {path}: {start}')


def test_missing_configuration_is_an_error(tmp_path: Path) -> None:
    """Exit with 41 and name the file."""
    path = tmp_path / 'none.json'
    ended = CliRunner().invoke(app, ['check', str(path)])
    assert ended.exit_code == 41
    assert ended.output == (
        f'error: {path}: cannot be read: No such file or directory '
        + '[file_unreadable]\n'
    )


# Guards against a command that no longer starts a gateway, which deployments
# outside the platform use.
def test_no_command_starts_a_gateway(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path
) -> None:
    """Run a gateway with the settings of the option or the variable."""
    started: list[Path] = []
    monkeypatch.setattr(
        'trefoilsaddle.programs.gatewaycommand.run_gateway', started.append
    )
    path = str(tmp_path / 'settings.toml')
    runner = CliRunner()
    for arguments, variables in (
        (['--settings', path], {}),
        (['-s', path], {}),
        ([], {'TREFOILSADDLE_CONFIG': path}),
    ):
        ended = runner.invoke(app, arguments, env=variables)
        assert ended.exit_code == 0
    assert started == [Path(path), Path(path), Path(path)]


def test_start_without_settings_is_a_usage_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Name the option and the variable that are missing."""
    monkeypatch.delenv('TREFOILSADDLE_CONFIG', raising=False)
    ended = CliRunner().invoke(app, [])
    assert ended.exit_code == 2
    assert "Missing option '--settings' / '-s'" in ended.output
    assert 'TREFOILSADDLE_CONFIG' in ended.output
