"""Test the decoding and encoding of the platform's messages."""

import json
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import pytest

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import (
    CallId,
    Offset,
    Seconds,
    ServerId,
    ServiceName,
)
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import SendAttempt
from trefoilsaddle.gateway.events import AttemptVerdict
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.statements import ServerStatement
from trefoilsaddle.http.messages import Headers, HttpAnswer, HttpRequest
from trefoilsaddle.http.requests import BadInput
from trefoilsaddle.platform.configuration import decode_configuration
from trefoilsaddle.platform.dialect import PlatformDialect
from trefoilsaddle.platform.durations import read_duration, write_duration
from trefoilsaddle.platform.entries import decode_entry
from trefoilsaddle.platform.records import decode_page, encode_keyed
from trefoilsaddle.platform.settings import GatewaySettings, read_settings
from trefoilsaddle.ports import RefusalText

_DURATIONS = (('1500ms', 1.5), ('2.5s', 2.5), ('0ms', 0))
_NO_DURATIONS = ('', 'ms', '5', '-1s', 'nan s', 'nans', 'infs', 7, None)


@pytest.mark.parametrize(('text', 'seconds'), _DURATIONS)
def test_duration_is_read(text: str, seconds: float) -> None:
    """Parse durations in both units."""
    assert read_duration(text) == seconds


@pytest.mark.parametrize('text', _NO_DURATIONS)
def test_no_duration_is_refused(text: object) -> None:
    """Refuse invalid durations."""
    with pytest.raises(ValueError, match='.*'):
        read_duration(text)


def test_duration_is_written_in_milliseconds() -> None:
    """Format a duration as the platform expects it."""
    assert write_duration(Seconds(2)) == '2000ms'


_ENTRY: dict[str, Any] = {
    'service': 'guide',
    'address': '10.0.0.1:8080',
    'zone': 'a',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'warmupLeft': '0ms',
    'seq': 4,
    'born': 1_700_000_000_000,
}
_DIGITS = '9' * 5000
_FOREIGN = {
    'state-unknown': {'state': 'asleep'},
    'slots-as-text': {'slots': '3'},
    'slots-as-truth': {'slots': True},
    'born-fractional': {'born': 1.5},
    'no-port': {'address': '10.0.0.1'},
    'warm-up-as-number': {'warmupLeft': 3},
    'no-service': {'service': ''},
    'sequence-negative': {'seq': -1},
    'sequence-of-65-bits': {'seq': 2**64},
    'port-of-5000-digits': {'address': f'10.0.0.1:{_DIGITS}'},
    'port-zero': {'address': '10.0.0.1:0'},
    'port-above-16-bits': {'address': '10.0.0.1:70000'},
    'port-negative': {'address': '10.0.0.1:-1'},
    'port-in-other-digits': {'address': '10.0.0.1:٨٠'},
    'host-a-name': {'address': 'elsewhere:80'},
    'host-with-space': {'address': '10.0.0.1 :80'},
    'host-with-line-break': {'address': '10.0.0.1\r\nx: y:80'},
    'host-with-nul': {'address': '10.0.0.1\0:80'},
    'born-of-71-bits': {'born': 2**70},
    'born-negative': {'born': -1},
    'slots-of-400-digits': {'slots': 10**400},
    'slots-of-a-million': {'slots': 10**6},
    'warm-up-of-400-digits': {'warmupLeft': f'{_DIGITS}s'},
}


def _encode(changed: dict[str, object]) -> bytes:
    return json.dumps({**_ENTRY, **changed}).encode()


def test_entry_is_decoded() -> None:
    """Decode every field of a server's entry."""
    server = decode_entry('i-1', _encode({'state': 'draining', 'new': 1}))
    assert server is not None
    assert server == Server(
        ServerIncarnation(ServerId('i-1'), 1_700_000_000_000),
        ServiceName('guide'),
        '10.0.0.1',
        8080,
        _ENTRY['zone'],
        slots=3,
        draining=True,
        warm_up_left=Seconds(0),
    )
    assert server.sequence == _ENTRY['seq']


@pytest.mark.parametrize('changed', _FOREIGN.values(), ids=_FOREIGN)
def test_foreign_entry_is_ignored(changed: dict[str, object]) -> None:
    """Ignore a complete entry that is not of a server."""
    assert decode_entry('i-1', _encode(changed)) is None


@pytest.mark.parametrize('name', _ENTRY)
def test_entry_without_a_field_is_ignored(name: str) -> None:
    """Ignore an entry that lacks one of the fields."""
    rest = {key: text for key, text in _ENTRY.items() if key != name}
    assert decode_entry('i-1', json.dumps(rest).encode()) is None


_NESTED = b'[' * 100_000 + b']' * 100_000


@pytest.mark.parametrize(
    'junk', [b'', b'\xff\xfe', b'[]', b'{', _NESTED], ids=len
)
def test_unreadable_entry_is_ignored(junk: bytes) -> None:
    """Ignore bytes that cannot be decoded."""
    assert decode_entry('i-1', junk) is None


_RULE: dict[str, Any] = {
    'name': 'r',
    'kind': 'idempotent',
    'targetLatency': '600ms',
    'priority': 1,
    'match': {'pathPrefix': '/a/'},
    'action': {'service': 'guide', 'timeout': '2s', 'attempts': 2},
}
_CONFIGURATION: dict[str, Any] = {
    'version': 'r12',
    'limits': {
        'headerBytes': 16_384,
        'maxBodyBytes': 1000,
        'headerTimeout': '3000ms',
        'idleTimeout': '15s',
    },
    'listeners': [
        {
            'host': 'h.example',
            'rules': [
                _RULE,
                {
                    **_RULE,
                    'name': 'longer',
                    'match': {'pathPrefix': '/a/b/'},
                    'kind': 'non_idempotent',
                    'action': {
                        'trafficSplit': [
                            {'service': 'guide', 'weight': 90},
                            {'service': 'pay', 'weight': 10},
                        ],
                        'timeout': '1200ms',
                        'attempts': 1,
                    },
                },
            ],
        },
    ],
    'clusters': [
        {'name': 'guide', 'maxConns': 130, 'sharded': True, 'warm': '2s'},
        {'name': 'pay', 'maxConns': 40},
    ],
}
_PATHS = (
    ('h.example', '/a/x', 'r'),
    ('h.example', '/a/b/x', 'longer'),
    ('h.example', '/b/', None),
    ('other.example', '/a/x', None),
)


def _decode() -> Configuration:
    decoded = decode_configuration(json.dumps(_CONFIGURATION).encode())
    assert isinstance(decoded, Configuration)
    return decoded


@pytest.mark.parametrize(('host', 'path', 'name'), _PATHS)
def test_route_is_the_longest_prefix(
    host: str,
    path: str,
    name: str | None,
) -> None:
    """Find the route with the longest prefix of the host, or none."""
    route = _decode().find_route(host, path)
    assert getattr(route, 'name', None) == name


# Guards against a configuration that is refused for a health path of another form,
# and against a request line with spaces.
@pytest.mark.parametrize(
    ('stated', 'path'),
    [('/health', '/health'), ('/a b', ''), (None, ''), (7, ''), ('x', '')],
)
def test_health_path_is_decoded(stated: object, path: str) -> None:
    """Decode a path, and take anything else for none."""
    cluster = {'name': 'pay', 'maxConns': 40, 'healthPath': stated}
    wire = {**_CONFIGURATION, 'clusters': [cluster]}
    decoded = decode_configuration(json.dumps(wire).encode())
    assert isinstance(decoded, Configuration)
    assert decoded.services[ServiceName('pay')].health_path == path


def test_configuration_is_decoded() -> None:
    """Decode versions, weights, times and services."""
    configuration = _decode()
    route = configuration.find_route('h.example', '/a/b/')
    assert route is not None
    assert configuration.version == 12
    assert [part.weight for part in route.services] == [90, 10]
    assert not route.idempotent
    assert route.timeout == 1.2
    assert configuration.services[ServiceName('guide')].keyed
    assert configuration.limits.idle_timeout == Seconds(15)
    assert configuration.find_goal(ServiceName('pay')) == 0.6


@pytest.mark.parametrize('version', ['12', 'r', 'rx', 12])
def test_configuration_without_a_version_is_refused(version: object) -> None:
    """Name the invalid field in the failure."""
    changed = {**_CONFIGURATION, 'version': version}
    failure = decode_configuration(json.dumps(changed).encode())
    assert isinstance(failure, Failure)
    assert failure.reason == 'version'


@dataclass(frozen=True, slots=True)
class _AnswerCase:
    """Pair a server's answer with its verdict."""

    status: int
    verdict: AttemptVerdict
    headers: tuple[tuple[bytes, bytes], ...] = field(default_factory=tuple)


_ECHO = (b'x-attempt-id', b'mine')
_SEAL = (b'x-upstream-seal', b'proof')
_NOT_RUN = (b'x-not-executed', b'1')
_ANSWERS = {
    'proved': _AnswerCase(200, AttemptVerdict.answered, (_ECHO, _SEAL)),
    'no-seal': _AnswerCase(200, AttemptVerdict.lost, (_ECHO,)),
    'no-id': _AnswerCase(200, AttemptVerdict.lost, (_SEAL,)),
    'encoded': _AnswerCase(
        200,
        AttemptVerdict.lost,
        (_ECHO, _SEAL, (b'content-encoding', b'gzip')),
    ),
    'own-failure': _AnswerCase(500, AttemptVerdict.answered, (_ECHO, _SEAL)),
    'shed': _AnswerCase(503, AttemptVerdict.shed, (_NOT_RUN,)),
    'shed-429': _AnswerCase(429, AttemptVerdict.shed, (_NOT_RUN,)),
    'other-server': _AnswerCase(421, AttemptVerdict.misdirected),
    'key-not-held': _AnswerCase(421, AttemptVerdict.misdirected, (_NOT_RUN,)),
    '503-that-ran': _AnswerCase(503, AttemptVerdict.lost, (_ECHO, _SEAL)),
    '408-that-ran': _AnswerCase(408, AttemptVerdict.lost, (_ECHO, _SEAL)),
}


@pytest.mark.parametrize('case', _ANSWERS.values(), ids=_ANSWERS)
def test_answer_is_evaluated(case: _AnswerCase) -> None:
    """Accept "not run" only by the server's header, success only with proof."""
    answer = HttpAnswer(case.status, case.headers, b'body')
    assert PlatformDialect().evaluate_answer(answer, 'mine') == case.verdict


# Guards against the copy of an earlier refusal that names no request.
@pytest.mark.parametrize(
    ('headers', 'own'),
    [
        ((_ECHO,), True),
        (((b'x-attempt-id', b'theirs'),), False),
        ((_NOT_RUN,), False),
        ((), False),
    ],
)
def test_answer_names_its_request(headers: Headers, *, own: bool) -> None:
    """Take only an answer that echoes the ID of the request."""
    answer = HttpAnswer(503, headers)
    assert PlatformDialect().matches(answer, 'mine') == own


# Guards against numbers that are none, or that no float holds.
@pytest.mark.parametrize(
    ('text', 'limit'),
    [
        (b'3.3', 3.3),
        (b'1', 1),
        (b' 2. ', 2),
        (b'0', 0),
        (b'100000000000000000', 1e17),
        (b'-1', None),
        (b'nan', None),
        (b'inf', None),
        (b'1e9', None),
        (b'', None),
        (b'9' * 5000, None),
    ],
)
def test_limit_is_read(text: bytes, limit: float | None) -> None:
    """Read plain decimals; anything else states no limit and ends none."""
    answer = HttpAnswer(200, ((b'server-limit', text),))
    statement = PlatformDialect().read_statement(answer)
    assert statement == ServerStatement(limit=limit)


def test_answer_without_a_limit_shows_that_there_is_none() -> None:
    """Tell the absence of a limit from one that cannot be read."""
    statement = PlatformDialect().read_statement(HttpAnswer(200, ()))
    assert statement == ServerStatement(unlimited=True)


@pytest.mark.parametrize(
    ('status', 'text', 'pause'),
    [
        (503, b'2', 2),
        (503, b'0.75', 0.75),
        (503, b'100000000000000000', 1e17),
        (503, b'-2', 0),
        (503, b'soon', 0),
        (503, b'Fri, 31 Dec 1999 23:59:59 GMT', 0),
        (503, b'9' * 5000, 0),
        (429, b'2', 0),
        (200, b'2', 0),
    ],
)
def test_pause_is_read(status: int, text: bytes, pause: float) -> None:
    """Read the time of a 503 in seconds; anything else asks for none."""
    answer = HttpAnswer(status, ((b'retry-after', text),))
    assert PlatformDialect().read_statement(answer).pause == pause


@pytest.mark.parametrize(
    ('text', 'leaving'), [(b'1', True), (b'0', False), (b'yes', False)]
)
def test_leaving_is_read(text: bytes, *, leaving: bool) -> None:
    """Read whether a server is about to leave."""
    answer = HttpAnswer(200, ((b'server-leaving', text),))
    statement = PlatformDialect().read_statement(answer)
    assert statement.leaving == leaving


_HEADERS = (
    (b'host', b'H.example:80'),
    (b'x-attempt-id', b'mine'),
    (b'x-deadline-ms', b'2500'),
    (b'x-shard-key', b'17'),
    (b'connection', b'keep-alive, x-hop'),
    (b'x-hop', b'1'),
    (b'x-target-instance', b'chosen-by-caller'),
    (b'x-kept', b'1'),
)


def test_attempt_carries_what_a_server_needs() -> None:
    """Set the server and remaining time, and drop connection headers."""
    server = decode_entry('i-1', _encode({}))
    assert server is not None
    request = HttpRequest(b'POST', b'/a/x?q=1', _HEADERS, b'body')
    attempt = PlatformDialect().build_attempt(
        request,
        SendAttempt(
            CallId(1), 1, server, None, Seconds(1.25), idempotent=False
        ),
    )
    found = dict(attempt.headers)
    assert found[b'x-target-instance'] == b'i-1'
    assert found[b'x-deadline-ms'] == b'1250'
    assert found[b'content-length'] == b'4'
    assert found[b'x-kept'] == b'1'
    assert b'x-hop' not in found
    assert b'connection' not in found
    assert (attempt.method, attempt.target) == (b'POST', b'/a/x?q=1')


def test_server_is_named_once() -> None:
    """Overwrite the target server header, which callers may not choose."""
    server = decode_entry('i-1', _encode({}))
    assert server is not None
    effect = SendAttempt(
        CallId(1), 1, server, None, Seconds(1), idempotent=True
    )
    request = HttpRequest(b'GET', b'/a/', _HEADERS)
    attempt = PlatformDialect().build_attempt(request, effect)
    named = [
        text for name, text in attempt.headers if name == b'x-target-instance'
    ]
    assert named == [b'i-1']


_BAD_HEADS = {
    'no-id': (b'x-attempt-id', b''),
    'time-is-no-number': (b'x-deadline-ms', b'soon'),
    'key-is-no-number': (b'x-shard-key', b'-1'),
    'key-too-large': (b'x-shard-key', b'65536'),
}


@pytest.mark.parametrize('bad', _BAD_HEADS.values(), ids=_BAD_HEADS)
def test_bad_head_is_refused(bad: tuple[bytes, bytes]) -> None:
    """Refuse a request with missing or invalid headers."""
    headers = tuple(
        bad if name == bad[0] else (name, text) for name, text in _HEADERS
    )
    request = HttpRequest(b'GET', b'/a/', headers)
    assert isinstance(PlatformDialect().read_head(request), BadInput)


def test_head_is_read() -> None:
    """Read the ID, host, path, key and remaining time of a request."""
    request = HttpRequest(b'GET', b'/a/x?q=1', _HEADERS)
    head = PlatformDialect().read_head(request)
    assert not isinstance(head, BadInput)
    assert head.host == 'h.example'
    assert head.path == '/a/x'
    assert head.key == 17
    assert head.remaining == 2.5


def test_refusal_says_when_to_come_back() -> None:
    """Send the retry time as a decimal fraction, as the platform expects."""
    refusal = RefusalText(503, 0.25, 'queue_full')
    answer = PlatformDialect().build_refusal(refusal, 'mine')
    assert answer.find_header(b'retry-after') == b'0.25'
    assert answer.find_header(b'x-attempt-id') == b'mine'


def test_records_are_read_as_written() -> None:
    """Decode keys, values and deletions with their offsets."""
    page = bytes(16) + encode_keyed(b'a', b'1') + encode_keyed(b'b', b'')
    records = decode_page(page, Offset(7))
    assert records is not None
    listed = [(entry.offset, entry.name, entry.body) for entry in records]
    assert listed == [(7, 'a', b'1'), (8, 'b', b'')]


@pytest.mark.parametrize('cut', [3, 17, 20])
def test_damaged_page_is_refused(cut: int) -> None:
    """Refuse a page that ends within a record."""
    page = bytes(16) + encode_keyed(b'abc', b'12345')
    assert decode_page(page[:cut], Offset(0)) is None


_SETTINGS = """
node = "edge-a-1"
ip = "10.0.0.1"
zone = "a"
region = "east"
heartbeat = "870ms"
internalPorts = [7540, 7555]
unknown = "ignored"
[zones]
a = "east"
[listen]
front = "10.0.0.1:8548"
ready = "10.0.0.1:8542"
[bounds]
retryRatio = 0.2
retrySlack = 64
budgetWindow = "10s"
holdMax = "10000ms"
grace = "6s"
[platform]
address = "10.200.1.7:8541"
parts = 12
[limits]
cpuShare = 0.5
cores = 3
linkMbps = 10.0
memoryMb = 160
maxFds = 1638
"""
_BAD_SETTINGS = {
    'zone': _SETTINGS.replace('zone = "a"', 'zone = 1'),
    'bounds.grace': _SETTINGS.replace('"6s"', '"soon"'),
    'heartbeat': _SETTINGS.replace('"870ms"', '870'),
    'platform': _SETTINGS.partition('[platform]')[0],
    'TOML': 'node =',
    'listen.front': _SETTINGS.replace('10.0.0.1:8548', '10.0.0.1'),
    'listen.ready': _SETTINGS.replace('"10.0.0.1:8542"', '8542'),
    'platform.address': _SETTINGS.replace('10.200.1.7:8541', '10.200.1.7:x'),
    'limits.cpuShare': _SETTINGS.replace('cpuShare = 0.5', 'cpuShare = 0'),
    'limits.cores': _SETTINGS.replace('cores = 3', 'cores = -1'),
    'limits.memoryMb': _SETTINGS.replace('= 160', '= 0'),
    'limits.maxFds': _SETTINGS.replace('= 1638', '= "many"'),
    'internalPorts': _SETTINGS.replace('[7540, 7555]', '[]'),
    'bootstrap': _SETTINGS.replace('node =', 'bootstrap = "yes"\nnode ='),
}


@pytest.mark.parametrize(
    ('line', 'first'),
    [('', False), ('bootstrap = false', False), ('bootstrap = true', True)],
)
def test_first_start_is_read(line: str, tmp_path: Path, *, first: bool) -> None:
    """Take a start for the first one of the system only if it is stated."""
    path = tmp_path / 'settings.toml'
    path.write_text(f'{line}\n{_SETTINGS}')
    settings = read_settings(path, 5)
    assert isinstance(settings, GatewaySettings)
    assert settings.options.first_start == first


def test_settings_are_read(tmp_path: Path) -> None:
    """Read addresses and limits, and ignore unknown keys."""
    path = tmp_path / 'settings.toml'
    path.write_text(_SETTINGS)
    settings = read_settings(path, 5)
    assert isinstance(settings, GatewaySettings)
    assert settings.callers.port == 8548
    assert settings.options.port == 7540
    assert settings.partitions == 12
    assert settings.options.speed == 1.5
    assert settings.options.order_time == pytest.approx(0.0019, abs=0.0001)
    assert settings.options.link_rate == 10
    assert settings.memory == 160_000_000
    assert settings.descriptors == 1638
    assert settings.metrics.port == 7541
    assert settings.options.retry_budget.slack == 64
    assert settings.options.stop_timeout == Seconds(6)
    assert settings.options.hold == Seconds(2)
    assert settings.options.max_hold == Seconds(10)
    assert settings.options.heartbeat == Seconds(0.87)


# Guards against a process that ends, and cuts its requests, because it reads
# bad settings again.
@pytest.mark.parametrize('key', _BAD_SETTINGS)
def test_bad_settings_name_file_and_key(tmp_path: Path, key: str) -> None:
    """Name the file and the invalid key."""
    path = tmp_path / 'settings.toml'
    path.write_text(_BAD_SETTINGS[key])
    failure = read_settings(path, 5)
    assert isinstance(failure, Failure)
    assert str(path) in failure.reason
    assert key in failure.reason


def test_missing_settings_are_named(tmp_path: Path) -> None:
    """Report a missing settings file."""
    failure = read_settings(tmp_path / 'none.toml', 5)
    assert isinstance(failure, Failure)
    assert 'none.toml' in failure.reason
