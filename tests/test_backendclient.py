"""Check that a request is sent at most once and gets its own answer whole."""

from dataclasses import dataclass, field, replace

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.backend.client import HttpBackendClient
from trefoilsaddle.core.calls import Request
from trefoilsaddle.core.configuration import ServerPolicy
from trefoilsaddle.core.effects import CancelAttempt, RunAttempt, SendGrant
from trefoilsaddle.core.events import (
    AttemptEnded,
    AttemptVerdict,
    GrantAnswered,
    GrantVerdict,
    ServerStamp,
)
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    AttemptId,
    Epoch,
    MemberName,
    NodeId,
    Offset,
    Rank,
    Seconds,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    ZoneName,
)

_SERVER = ServerId('server-1')
_SHARD = ShardId(ServiceName('catalogue'), ShardNumber(3))
_TERM = Epoch(Offset(7), 0)
_FAR = Seconds(1_000_000)

_ATTEMPT = RunAttempt(
    server=_SERVER,
    attempt=AttemptId(1),
    term=_TERM,
    shard=_SHARD,
    epoch=_TERM,
    request=Request(
        service=ServiceName('catalogue'),
        member=MemberName('puertas-del-señor'),
        rank=Rank(0),
        key=b'door',
        method='POST',
        path='/filings',
        content_type='text/plain',
        body=b'body',
        idempotent=False,
        idempotency_key=None,
        remaining=Seconds(10),
    ),
    send_before=_FAR,
)


class _Clock:
    """Clock that returns scripted times, and then the last one forever."""

    def __init__(self, *times: float) -> None:
        self._times = list(times)

    def __call__(self) -> Seconds:
        if len(self._times) > 1:
            return Seconds(self._times.pop(0))
        return Seconds(self._times[0])


@dataclass(frozen=True, slots=True)
class _Case:
    name: str
    script: tuple[Step, ...]
    # Verdict and body of each attempt, in order.
    ends: tuple[tuple[AttemptVerdict, bytes | None], ...]
    # Number of complete requests that the server received in all attempts.
    received: int
    attempt: RunAttempt = _ATTEMPT
    clock: _Clock = field(default_factory=lambda: _Clock(0))


def _refused(word: bytes) -> Step:
    header = b'x-trefoil-not-run: %b' % word
    return Step(whole(b'', header, status=b'503 Service Unavailable'))


def _change_request(**changes: object) -> RunAttempt:
    request = replace(_ATTEMPT.request, **changes)  # type: ignore[arg-type]
    return replace(_ATTEMPT, request=request)


_ONE = (AttemptVerdict.answered, b'one')
_TWO = (AttemptVerdict.answered, b'two')
_LOST = (AttemptVerdict.lost, None)
_CUT_SHORT = (AttemptVerdict.cut_short, None)
_UNSENT = (AttemptVerdict.unsent, None)
_CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\none\r\n'

_CASES = (
    _Case('whole', (Step(whole(b'one')),), (_ONE,), 1),
    _Case(
        'a kept connection serves two requests',
        (Step(whole(b'one')), Step(whole(b'two'))),
        (_ONE, _TWO),
        2,
    ),
    _Case('closed unanswered', (Step(close=True),), (_LOST,), 1),
    _Case(
        'a kept connection closed at the second request: not sent again',
        (Step(whole(b'one')), Step(close=True), Step(whole(b'two'))),
        (_ONE, _LOST),
        2,
    ),
    _Case(
        'a connection closed while idle is not used again',
        (Step(whole(b'one'), close=True), Step(whole(b'two'))),
        (_ONE, _TWO),
        2,
    ),
    _Case(
        'short body',
        (Step(whole(b'one')[:-1], close=True),),
        (_CUT_SHORT,),
        1,
    ),
    _Case('short head', (Step(b'HTTP/1.1 2', close=True),), (_LOST,), 1),
    _Case('no HTTP', (Step(b'\0\0\r\n\r\n'),), (_LOST,), 1),
    _Case(
        'no length',
        (Step(b'HTTP/1.1 200 OK\r\n\r\none', close=True),),
        (_CUT_SHORT,),
        1,
    ),
    _Case('whole chunks', (Step(b'%b0\r\n\r\n' % _CHUNKED),), (_ONE,), 1),
    _Case('short chunks', (Step(_CHUNKED, close=True),), (_CUT_SHORT,), 1),
    _Case(
        'bytes after an answer are no answer to the next request',
        (Step(b'%b%b' % (whole(b'one'), whole(b'stray'))), Step(whole(b'two'))),
        (_ONE, _TWO),
        2,
    ),
    _Case(
        'bytes after an answer in chunks',
        (
            Step(b'%b0\r\n\r\n%b' % (_CHUNKED, whole(b'stray'))),
            Step(whole(b'two')),
        ),
        (_ONE, _TWO),
        2,
    ),
    _Case(
        'interim answers are skipped',
        (Step(b'HTTP/1.1 102 Wait\r\n\r\n%b' % whole(b'one')),),
        (_ONE,),
        1,
    ),
    _Case(
        'fenced', (_refused(b'fenced'),), ((AttemptVerdict.fenced, None),), 1
    ),
    _Case('shed', (_refused(b'shed'),), ((AttemptVerdict.shed, None),), 1),
    _Case(
        'draining',
        (_refused(b'draining'),),
        ((AttemptVerdict.draining, None),),
        1,
    ),
    _Case(
        'expired',
        (_refused(b'expired'),),
        ((AttemptVerdict.expired, None),),
        1,
    ),
    _Case('refused by an unknown word', (_refused(b'bored'),), (_LOST,), 1),
    _Case(
        'the time to send has passed',
        (),
        (_UNSENT,),
        0,
        replace(_ATTEMPT, send_before=Seconds(1)),
        _Clock(1),
    ),
    _Case(
        'frozen between head and body: the body is not sent',
        (),
        (_LOST,),
        0,
        replace(_ATTEMPT, send_before=Seconds(1)),
        _Clock(0, 1),
    ),
    _Case(
        'no answer within the deadline',
        (Step(silent=True),),
        (_LOST,),
        1,
        _change_request(remaining=Seconds(0.2)),
    ),
    _Case(
        'a request that HTTP cannot carry is not sent',
        (Step(whole(b'one')),),
        (_UNSENT, _UNSENT),
        0,
        _change_request(content_type='text/plain\r\nx-other: 1'),
    ),
    _Case(
        'a path that HTTP cannot carry is not sent',
        (Step(whole(b'one')),),
        (_UNSENT,),
        0,
        _change_request(path='/a b'),
    ),
)


def _build_client(
    port: int,
    clock: _Clock,
    *,
    connections: int = 2,
    checks_grants: bool = True,
) -> HttpBackendClient:
    policy = ServerPolicy(
        server_id=_SERVER,
        service=_SHARD.service,
        zone=ZoneName('zone-1'),
        host='127.0.0.1',
        port=port,
        slots=3,
        connections=connections,
        checks_grants=checks_grants,
        leaving=False,
    )
    return HttpBackendClient(
        NodeId('dispatcher-1'), {_SERVER: policy}.get, clock
    )


async def _run_attempts(
    case: _Case,
    server: ScriptedServer,
) -> list[AttemptEnded]:
    ended: list[AttemptEnded] = []
    async with serve_script(server):
        client = _build_client(server.port, case.clock)
        while len(ended) < len(case.ends):
            ended.append(await client.run_attempt(case.attempt))
        await client.aclose()
    return ended


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case.name)
def test_attempts_end(case: _Case) -> None:
    """Check verdicts, bodies and received requests against a scripted server."""
    server = ScriptedServer(list(case.script))
    ended = trio.run(_run_attempts, case, server)
    ends = [(end.verdict, end.reply and end.reply.body) for end in ended]
    assert (tuple(ends), len(server.requests)) == (case.ends, case.received)


@pytest.mark.parametrize('server', [_SERVER, ServerId('server-2')])
def test_refused_connection_sends_nothing(server: ServerId) -> None:
    """End an attempt as unsent if the port is closed or the server unknown."""
    ended = trio.run(_meet_closed_port, replace(_ATTEMPT, server=server))
    assert ended.verdict is AttemptVerdict.unsent


async def _meet_closed_port(attempt: RunAttempt) -> AttemptEnded:
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    return await _build_client(port, _Clock(0)).run_attempt(attempt)


def test_cancelled_attempts_close_their_connection() -> None:
    """End a sent attempt as lost, and one waiting for a connection unsent."""
    ended = trio.run(_cancel_attempts, ScriptedServer([Step(silent=True)]))
    assert ended == [
        (AttemptId(2), AttemptVerdict.unsent),
        (AttemptId(1), AttemptVerdict.lost),
    ]


async def _cancel_attempts(
    server: ScriptedServer,
) -> list[tuple[AttemptId, AttemptVerdict]]:
    ended: list[AttemptEnded] = []
    async with serve_script(server), trio.open_nursery() as nursery:
        client = _build_client(server.port, _Clock(0), connections=1)
        nursery.start_soon(_collect, client, _ATTEMPT, ended)
        await server.request_received.wait()
        second = replace(_ATTEMPT, attempt=AttemptId(2))
        nursery.start_soon(_collect, client, second, ended)
        await _cancel(client, second.attempt)
        await _cancel(client, _ATTEMPT.attempt)
        await server.closed.wait()
    return [(end.attempt, end.verdict) for end in ended]


def test_attempts_cancelled_before_their_turn_are_unsent() -> None:
    """Apply a cancellation that precedes the start of the attempt's task."""
    server = ScriptedServer([Step(whole(b'one'))])
    first, second = trio.run(_cancel_early, server)
    assert (first.verdict, second.verdict) == (
        AttemptVerdict.unsent,
        AttemptVerdict.answered,
    )
    assert len(server.requests) == 1


async def _cancel_early(
    server: ScriptedServer,
) -> tuple[AttemptEnded, AttemptEnded]:
    async with serve_script(server):
        client = _build_client(server.port, _Clock(0))
        client.cancel_attempt(CancelAttempt(_SERVER, _ATTEMPT.attempt))
        first = await client.run_attempt(_ATTEMPT)
        second = await client.run_attempt(_ATTEMPT)
        await client.aclose()
    return first, second


async def _collect(
    client: HttpBackendClient,
    attempt: RunAttempt,
    ended: list[AttemptEnded],
) -> None:
    ended.append(await client.run_attempt(attempt))


async def _cancel(client: HttpBackendClient, attempt: AttemptId) -> None:
    await wait_all_tasks_blocked()
    client.cancel_attempt(CancelAttempt(_SERVER, attempt))
    await wait_all_tasks_blocked()


_GRANTED = b"""{"verdict":"accepted","term":[7,0],"draining":true,
"stamp":{"instance":"a","clock":3.5}}"""
_FENCED = b"""{"verdict":"fenced","term":[9,1],
"stamp":{"instance":"a","clock":3.5}}"""


@dataclass(frozen=True, slots=True)
class _GrantCase:
    name: str
    step: Step
    verdict: GrantVerdict
    term: Epoch
    draining: bool = False
    checks_grants: bool = True
    duration: float = 0.3


_GRANT_CASES = (
    _GrantCase(
        'accepted',
        Step(whole(_GRANTED)),
        GrantVerdict.accepted,
        _TERM,
        draining=True,
    ),
    _GrantCase(
        'fenced',
        Step(whole(_FENCED, status=b'409 Conflict')),
        GrantVerdict.fenced,
        Epoch(Offset(9), 1),
    ),
    _GrantCase(
        'no grant answer',
        Step(whole(b'{}')),
        GrantVerdict.failed,
        FIRST_EPOCH,
    ),
    _GrantCase(
        'closed',
        Step(close=True),
        GrantVerdict.failed,
        FIRST_EPOCH,
    ),
    _GrantCase(
        'fault',
        Step(whole(_GRANTED, status=b'500 Fault')),
        GrantVerdict.failed,
        FIRST_EPOCH,
    ),
    _GrantCase(
        'silent',
        Step(silent=True),
        GrantVerdict.failed,
        FIRST_EPOCH,
    ),
    _GrantCase(
        'probe',
        Step(whole(b'{"draining":true,"load":0}')),
        GrantVerdict.accepted,
        _TERM,
        draining=True,
        checks_grants=False,
    ),
    _GrantCase(
        'accepted for no time',
        Step(whole(_GRANTED)),
        GrantVerdict.accepted,
        _TERM,
        draining=True,
        duration=0,
    ),
    _GrantCase(
        'probe without a lease',
        Step(whole(b'{"draining":false,"load":0}')),
        GrantVerdict.accepted,
        _TERM,
        checks_grants=False,
        duration=0,
    ),
    _GrantCase(
        'no probe answer',
        Step(whole(b'[]')),
        GrantVerdict.failed,
        FIRST_EPOCH,
        checks_grants=False,
    ),
    _GrantCase(
        'probe closed',
        Step(close=True),
        GrantVerdict.failed,
        FIRST_EPOCH,
        checks_grants=False,
    ),
)

_GRANT_CALL = SendGrant(
    server=_SERVER,
    sequence=4,
    term=_TERM,
    duration=Seconds(0.3),
    whole=True,
    granted=(),
    revoked=(),
    stamp=ServerStamp('a', Seconds(2)),
)


async def _send_grant(
    case: _GrantCase, server: ScriptedServer
) -> GrantAnswered:
    async with serve_script(server):
        client = _build_client(
            server.port,
            _Clock(5),
            checks_grants=case.checks_grants,
        )
        call = replace(_GRANT_CALL, duration=Seconds(case.duration))
        answer = await client.send_grant(call)
        await client.aclose()
    return answer


@pytest.mark.parametrize('case', _GRANT_CASES, ids=lambda case: case.name)
def test_grant_calls_end(case: _GrantCase) -> None:
    """Check the event that each answer to a grant call or probe gives."""
    server = ScriptedServer([case.step])
    answer = trio.run(_send_grant, case, server)
    assert (answer.verdict, answer.term, answer.draining) == (
        case.verdict,
        case.term,
        case.draining,
    )
    assert answer.sequence == 4
    assert answer.sent == Seconds(5)
    assert len(server.requests) == 1
