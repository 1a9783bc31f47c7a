"""Test the answers to callers, for valid and invalid requests."""

from dataclasses import dataclass, field
from types import MappingProxyType
from typing import Any

import pytest
import trio
from trio.testing import MockClock

from tests.bench import MEMBER, SERVICE
from tests.callershell import WHOLE, FakeShell
from trefoilsaddle.core.calls import Answer, IdempotencyKey, Reply, Request
from trefoilsaddle.core.units import Rank, Seconds
from trefoilsaddle.programs.callers import Callers, UnknownScopeError
from trefoilsaddle.results import Outcome, ResultCode

_GOOD = MappingProxyType(
    {
        'service': SERVICE,
        'member': MEMBER,
        'rank': 'payment',
        'key': 'door-1',
        'deadline': '2.5',
        'idempotency-key': '1000.25-token',
    }
)
_MAX_BODY_BYTES = 65_536


@dataclass
class _Caller:
    """Act as the ASGI server for one request."""

    headers: list[tuple[bytes, bytes]]
    body: bytes = b''
    sent: list[dict[str, Any]] = field(default_factory=list)
    received: int = 0
    received_before_answer: int = 0
    silent: bool = False
    path: bytes = b'/pay'

    async def receive(self) -> dict[str, Any]:
        """Return the body once, then block."""
        self.received += 1
        if self.silent or self.received > 1:
            await trio.sleep_forever()
        return {'type': 'http.request', 'body': self.body, 'more_body': False}

    async def send(self, message: dict[str, Any]) -> None:
        """Record one message of the answer."""
        if not self.sent:
            self.received_before_answer = self.received
        self.sent.append(message)

    async def ask(self, app: Callers) -> None:
        """Send the request to the application."""
        scope = {
            'type': 'http',
            'method': 'POST',
            'raw_path': self.path,
            'query_string': b'a=1',
            'headers': self.headers,
        }
        await app(scope, self.receive, self.send)

    @property
    def status(self) -> int:
        """Return the HTTP status."""
        return int(self.sent[0]['status'])

    @property
    def verdict(self) -> tuple[bytes, bytes]:
        """Return the outcome and the result code."""
        return (
            self.header(b'x-trefoil-outcome'),
            self.header(b'x-trefoil-result'),
        )

    def header(self, name: bytes) -> bytes:
        """Return a header of the answer, or empty bytes."""
        headers: dict[bytes, bytes] = dict(self.sent[0]['headers'])
        return headers.get(name, b'')


def _build_headers(**changes: str | None) -> list[tuple[bytes, bytes]]:
    fields: dict[str, str | None] = dict(_GOOD)
    fields.update(
        {name.replace('_', '-'): text for name, text in changes.items()},
    )
    return [
        (f'x-trefoil-{name}'.encode(), text.encode('latin-1'))
        for name, text in fields.items()
        if text is not None
    ]


_Changes = dict[str, str | None]
_BadCaller = tuple[str, _Changes, ResultCode, int]
_BAD_CALLERS: tuple[_BadCaller, ...] = (
    ('no service', {'service': None}, ResultCode.service_unknown, 404),
    ('other service', {'service': 'nothing'}, ResultCode.service_unknown, 404),
    ('no member', {'member': None}, ResultCode.member_unknown, 403),
    ('other member', {'member': 'nobody'}, ResultCode.member_unknown, 403),
    ('no rank', {'rank': None}, ResultCode.rank_unknown, 400),
    ('other rank', {'rank': 'highest'}, ResultCode.rank_unknown, 400),
    ('rank by number', {'rank': '0'}, ResultCode.rank_unknown, 400),
    ('no key', {'key': None}, ResultCode.key_missing, 400),
    ('empty key', {'key': ''}, ResultCode.key_missing, 400),
    ('long key', {'key': 'k' * 1025}, ResultCode.header_too_large, 431),
    ('deadline 0', {'deadline': '0'}, ResultCode.deadline_invalid, 400),
    ('deadline -1', {'deadline': '-1'}, ResultCode.deadline_invalid, 400),
    ('deadline nan', {'deadline': 'nan'}, ResultCode.deadline_invalid, 400),
    ('deadline inf', {'deadline': 'inf'}, ResultCode.deadline_invalid, 400),
    ('deadline 1e1', {'deadline': '1e1'}, ResultCode.deadline_invalid, 400),
    ('deadline 1_0', {'deadline': '1_0'}, ResultCode.deadline_invalid, 400),
    ('deadline word', {'deadline': 'soon'}, ResultCode.deadline_invalid, 400),
    ('deadline none', {'deadline': ''}, ResultCode.deadline_invalid, 400),
    ('deadline dot', {'deadline': '.'}, ResultCode.deadline_invalid, 400),
    ('deadline ²', {'deadline': '²'}, ResultCode.deadline_invalid, 400),
    ('deadline long', {'deadline': '31'}, ResultCode.deadline_invalid, 400),
    (
        'deadline huge',
        {'deadline': '9' * 400},
        ResultCode.deadline_invalid,
        400,
    ),
    ('neither', {'idempotent': 'maybe'}, ResultCode.malformed, 400),
    ('both cases', {'idempotent': 'TRUE'}, ResultCode.malformed, 400),
    (
        'no idempotency key',
        {'idempotency_key': None},
        ResultCode.idempotency_key_missing,
        400,
    ),
    (
        'no time',
        {'idempotency_key': 'token'},
        ResultCode.idempotency_key_invalid,
        400,
    ),
    (
        'no token',
        {'idempotency_key': '1000.5-'},
        ResultCode.idempotency_key_invalid,
        400,
    ),
    (
        'long token',
        {'idempotency_key': '1000-'.ljust(134, 't')},
        ResultCode.idempotency_key_invalid,
        400,
    ),
    (
        'bad key on idempotent work',
        {'idempotent': 'true', 'idempotency_key': 'x'},
        ResultCode.idempotency_key_invalid,
        400,
    ),
)


@pytest.mark.parametrize(
    ('changes', 'code', 'status'),
    [case[1:] for case in _BAD_CALLERS],
    ids=[case[0] for case in _BAD_CALLERS],
)
def test_bad_caller(
    changes: _Changes,
    code: ResultCode,
    status: int,
) -> None:
    """Refuse with the code of the fault, before the reducer sees the call."""
    shell = FakeShell()
    caller = _Caller(_build_headers(**changes))
    trio.run(caller.ask, shell.app)
    assert caller.status == status
    assert caller.verdict == (b'not-run', b'%d' % code)
    assert shell.refusals == [code]
    assert not shell.calls
    # A refusal because of the headers does not wait for the body.
    assert caller.received_before_answer == 0


@pytest.mark.parametrize(
    'path',
    [
        b'/grants',
        b'/health',
        b'/grants/',
        b'//grants',
        b'/./grants',
        b'/a/../grants',
        b'/GRANTS',
        b'/%67rants',
        b'/%2567rants',
        b'/grants;a=1',
        b'/%2fgrants',
        b'/..%2fgrants',
        rb'\grants',
        rb'/\grants',
        b'/grants%20',
        b'*',
        b'http://here/grants',
    ],
)
def test_reserved_path_is_refused(path: bytes) -> None:
    """Refuse paths of the grant interface of servers."""
    shell = FakeShell()
    caller = _Caller(_build_headers(), path=path)
    trio.run(caller.ask, shell.app)
    assert shell.refusals == [ResultCode.malformed]
    assert not shell.calls


@pytest.mark.parametrize(
    'path',
    [b'/', b'/pay', b'/grantsman', b'/a/grants', b'/my%20grants', b'/%'],
)
def test_other_path_is_passed_on(path: bytes) -> None:
    """Forward a path unchanged."""
    shell = FakeShell()
    caller = _Caller(_build_headers(), path=path)
    trio.run(caller.ask, shell.app)
    expected = path.decode()
    assert shell.calls[0].request.path == f'{expected}?a=1'


def test_header_twice_is_refused() -> None:
    """Refuse a request with contradictory headers."""
    shell = FakeShell()
    caller = _Caller([*_build_headers(), (b'x-trefoil-key', b'door-2')])
    trio.run(caller.ask, shell.app)
    assert shell.refusals == [ResultCode.malformed]


def test_no_configuration_is_refused() -> None:
    """Refuse while no configuration is in force."""
    shell = FakeShell(configuration=None)
    caller = _Caller(_build_headers())
    trio.run(caller.ask, shell.app)
    assert caller.status == 503
    assert shell.refusals == [ResultCode.configuration_missing]


@pytest.mark.parametrize(
    ('announced', 'size', 'received'),
    [
        (_MAX_BODY_BYTES + 1, _MAX_BODY_BYTES + 1, 0),
        (None, _MAX_BODY_BYTES + 1, 1),
    ],
    ids=['announced', 'not announced'],
)
def test_large_body_is_refused(
    announced: int | None,
    size: int,
    received: int,
) -> None:
    """Refuse a body above the limit, by its declared length if there is one."""
    shell = FakeShell()
    headers = _build_headers()
    if announced is not None:
        headers.append((b'content-length', str(announced).encode()))
    caller = _Caller(headers, b'x' * size)
    trio.run(caller.ask, shell.app)
    assert caller.status == 413
    assert shell.refusals == [ResultCode.body_too_large]
    assert caller.received_before_answer == received
    assert not shell.calls


def test_request_is_passed_on_whole() -> None:
    """Pass all parts of the request to the reducer."""
    shell = FakeShell()
    caller = _Caller(_build_headers(idempotent='false'), b'b' * _MAX_BODY_BYTES)
    caller.headers.append((b'content-type', b'c/d'))
    # No time passes while the body arrives.
    trio.run(caller.ask, shell.app, clock=MockClock())
    assert shell.calls[0].request == Request(
        service=SERVICE,
        member=MEMBER,
        rank=Rank(0),
        key=b'door-1',
        method='POST',
        path='/pay?a=1',
        content_type='c/d',
        body=caller.body,
        idempotent=False,
        idempotency_key=IdempotencyKey(Seconds(1000.25), 'token'),
        remaining=Seconds(2.5),
    )


_REPORTED: tuple[tuple[Answer, int, bytes, bytes, bytes], ...] = (
    (WHOLE, 201, b'answered', b'', b'whole'),
    (
        Answer(Outcome.not_run, ResultCode.queue_full, None, Seconds(0.2)),
        503,
        b'not-run',
        b'1',
        b'queue_full\n',
    ),
    (
        Answer(Outcome.not_run, ResultCode.share_exceeded, None, Seconds(2.1)),
        429,
        b'not-run',
        b'3',
        b'share_exceeded\n',
    ),
    (
        Answer(Outcome.unknown, ResultCode.deadline_passed),
        504,
        b'unknown',
        b'',
        b'deadline_passed\n',
    ),
    (
        Answer(Outcome.unknown, ResultCode.server_lost),
        502,
        b'unknown',
        b'',
        b'server_lost\n',
    ),
    (
        # A refusal by the server is passed on like any answer.
        Answer(Outcome.answered, ResultCode.ok, Reply(503, '', b'no')),
        503,
        b'answered',
        b'',
        b'no',
    ),
)


@pytest.mark.parametrize(
    ('answer', 'status', 'outcome', 'retry_after', 'body'),
    _REPORTED,
)
def test_answer_is_reported(
    answer: Answer,
    status: int,
    outcome: bytes,
    retry_after: bytes,
    body: bytes,
) -> None:
    """Return the outcome, the code and a retry time that is not too early."""
    shell = FakeShell(answer=answer)
    caller = _Caller(_build_headers())
    trio.run(caller.ask, shell.app)
    assert caller.status == status
    assert caller.verdict == (outcome, b'%d' % answer.code)
    assert caller.header(b'retry-after') == retry_after
    assert caller.header(b'content-length') == b'%d' % len(body)
    assert caller.sent[1]['body'] == body


@pytest.mark.parametrize('kind', ['lifespan', 'websocket'])
def test_unknown_scope_raises(kind: str) -> None:
    """Raise on an unsupported scope, as the ASGI specification requires."""
    app = FakeShell().app
    caller = _Caller([])
    with pytest.raises(UnknownScopeError):
        trio.run(app, {'type': kind}, caller.receive, caller.send)


def test_silent_reducer_is_unknown() -> None:
    """Report an unknown outcome if the reducer never answers."""
    shell = FakeShell(answer=None)
    caller = _Caller(_build_headers())
    clock = MockClock(autojump_threshold=0)
    trio.run(caller.ask, shell.app, clock=clock)
    assert caller.verdict == (b'unknown', b'301')


def test_slow_body_is_refused() -> None:
    """Refuse a body that does not arrive within the deadline."""
    shell = FakeShell()
    caller = _Caller(_build_headers(), silent=True)
    clock = MockClock(autojump_threshold=0)
    trio.run(caller.ask, shell.app, clock=clock)
    assert shell.refusals == [ResultCode.deadline_unreachable]
    assert not shell.calls
