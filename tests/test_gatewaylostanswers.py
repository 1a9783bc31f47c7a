"""Test that no accepted request ends without an answer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from functools import partial

import pytest
import trio

from tests.callerservice import serve_caller
from tests.gatewayscenes import LIMITS
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http import sockets
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.connectionend import ConnectionEnd, EndReason
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requests import BadInput
from trefoilsaddle.http.unanswered import UnansweredCount
from trefoilsaddle.programs.gateway import serve_caller as serve_connection

_LIVENESS_BOUND = 20
_GET = b'GET /slow HTTP/1.1\r\nhost: a\r\n\r\n'
_POST = b'POST /slow HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody'


@dataclass(slots=True)
class _Service(CallerService):
    """Answer all requests alike after a time, as a server would."""

    body: bytes = b'unknown'
    status: int = 504
    seconds: float = 0
    limits: CallerLimits = LIMITS
    requests: list[HttpRequest] = field(default_factory=list)
    ends: list[ConnectionEnd] = field(default_factory=list)

    def read_limits(self) -> CallerLimits:
        """Return the limits of the test case."""
        return self.limits

    def is_closing(self) -> bool:
        """Keep connections open."""
        return False

    def is_idempotent(self, request: HttpRequest) -> bool:
        """Treat all but POST requests as idempotent."""
        return request.method != b'POST'

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer after the time of the test case."""
        self.requests.append(request)
        await trio.sleep(self.seconds)
        return HttpAnswer(self.status, (), self.body)

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Answer with the name of the result code."""
        return HttpAnswer(bad.status, (), bad.code.name.encode())

    def record_end(self, end: ConnectionEnd) -> None:
        """Keep how the connection ended."""
        self.ends.append(end)


async def _read_head(stream: trio.SocketStream) -> bytes:
    received = b''
    while b'\r\n\r\n' not in received:
        part = await stream.receive_some()
        if not part:
            break
        received += part
    return received


# Guards against a HEAD request that was passed on and whose connection was
# closed in place of the gateway's own answer, as that had a body.
@pytest.mark.parametrize('status', [200, 502, 503, 504])
def test_head_request_gets_an_answer_without_body(status: int) -> None:
    """Answer a HEAD request by a head alone, and keep the connection."""
    service = _Service(status=status)

    async def use(stream: trio.SocketStream) -> None:
        for _ in range(2):
            await stream.send_all(_GET.replace(b'GET', b'HEAD'))
            answer = await _read_head(stream)
            assert answer.startswith(b'HTTP/1.1 %d ' % status)
            assert answer.endswith(b'\r\n\r\n')

    serve_caller(service, use)
    assert len(service.requests) == 2


# Longer than the patched limit on connections to servers, in seconds.
_STALL = 1
_LARGE = 16_000_000


async def _use_gateway_connection(
    service: CallerService, use: Callable[[trio.SocketStream], Awaitable[None]]
) -> None:
    serve = partial(
        serve_connection, service, AnswerBudget(), UnansweredCount()
    )
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        with trio.fail_after(_LIVENESS_BOUND):
            await use(await trio.open_tcp_stream('127.0.0.1', port))
        nursery.cancel_scope.cancel()


# Guards against an answer that is discarded while its caller, or a full link,
# takes no bytes for some seconds: the caller saw a reset connection.
def test_answer_outlasts_a_stalled_caller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Deliver the whole answer to a caller that pauses while it reads."""
    monkeypatch.setattr(sockets, '_MAX_UNACKNOWLEDGED_MS', 300)
    service = _Service(body=bytes(_LARGE), status=200)

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_GET)
        received = len(await stream.receive_some(1))
        await trio.sleep(_STALL)
        while received < _LARGE:
            part = await stream.receive_some()
            assert part
            received += len(part)

    trio.run(_use_gateway_connection, service, use)


async def _close(stream: trio.SocketStream) -> None:
    await stream.aclose()


async def _reset(stream: trio.SocketStream) -> None:
    sockets.abort(stream)


async def _wait(stream: trio.SocketStream) -> None:
    await trio.sleep_forever()


async def _send_nonsense(stream: trio.SocketStream) -> None:
    await stream.send_all(b'nonsense\r\n\r\n')
    await stream.receive_some()
    await stream.aclose()


@dataclass(frozen=True, slots=True)
class _End:
    """How a caller, or the service, ends a connection, and what is logged."""

    reason: EndReason
    act: Callable[[trio.SocketStream], Awaitable[None]]
    seconds: float = 9
    limits: CallerLimits = LIMITS
    sent: bytes = _GET + _GET
    unanswered: int = 2
    unwritten: int = 0


_ENDS = {
    'closed': _End(EndReason.caller_closed, _close),
    'reset': _End(EndReason.caller_reset, _reset),
    'one after the other': _End(
        EndReason.caller_closed, _close, sent=_POST + _GET, unanswered=1
    ),
    'closed with unread answers': _End(
        EndReason.caller_reset, _close, seconds=0, unanswered=0
    ),
    'idle': _End(
        EndReason.idle,
        _wait,
        seconds=0,
        limits=replace(LIMITS, idle_timeout=Seconds(0.1)),
        unanswered=0,
    ),
    'invalid request': _End(
        EndReason.refused, _send_nonsense, seconds=0, unanswered=0
    ),
    'last by its own word': _End(
        EndReason.answered,
        _wait,
        seconds=0,
        sent=_GET.replace(b'host', b'connection: close\r\nhost'),
        unanswered=0,
    ),
}


# Guards against connections that end without a trace of what was unanswered.
@pytest.mark.parametrize('case', _ENDS.values(), ids=_ENDS)
def test_end_of_a_connection_is_described(case: _End) -> None:
    """Name the reason, and count the requests that were not answered."""
    service = _Service(status=200, seconds=case.seconds, limits=case.limits)

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(case.sent)
        while not service.requests:
            await trio.sleep(0.01)
        await trio.sleep(0.05)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(case.act, stream)
                while not service.ends:
                    await trio.sleep(0.01)
                scope.cancel()

    serve_caller(service, use)
    end = service.ends[0]
    assert end.reason is case.reason
    assert end.unanswered == case.unanswered
    assert end.unwritten == case.unwritten
    assert bool(end.oldest) == bool(case.unanswered)


def test_end_by_the_process_is_described() -> None:
    """Count the requests that run when the process ends."""
    service = _Service(seconds=9)

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_GET)
        while not service.requests:
            await trio.sleep(0.01)

    serve_caller(service, use)
    assert service.ends[0].reason is EndReason.interrupted
    assert service.ends[0].unanswered == 1


def test_answer_that_is_not_acknowledged_is_described(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Tell a connection that timed out from one that its caller closed."""
    monkeypatch.setattr(sockets, '_MAX_UNACKNOWLEDGED_BY_CALLER_MS', 300)
    service = _Service(body=bytes(_LARGE), status=200)

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_GET)
        while not service.ends:
            await trio.sleep(0.05)

    trio.run(_use_gateway_connection, service, use)
    assert service.ends[0].reason is EndReason.unacknowledged
    assert service.ends[0].unwritten == 1


def _enlarge(limits: CallerLimits) -> CallerLimits:
    return replace(limits, body_bytes=LIMITS.body_bytes)


def _shorten(limits: CallerLimits) -> CallerLimits:
    return replace(limits, idle_timeout=Seconds(0.01))


# Guards against a version whose limits hold only once a connection has carried
# another request: what it allows was refused.
def test_idle_connection_obeys_the_limits_in_force() -> None:
    """Accept a body that only the newest limits allow."""
    service = _Service(status=200, limits=replace(LIMITS, body_bytes=1))

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_GET)
        await _read_head(stream)
        service.limits = _enlarge(service.limits)
        await stream.send_all(_POST)
        assert (await _read_head(stream)).startswith(b'HTTP/1.1 200 ')

    serve_caller(service, use)
    assert len(service.requests) == 2


# Guards against an idle limit that ends a connection while a request of it
# runs.
@pytest.mark.parametrize('sent', [_GET, _POST, _GET * 3, _POST + _GET])
@pytest.mark.parametrize('change', [_enlarge, _shorten])
def test_idle_limit_cuts_no_request(
    sent: bytes, change: Callable[[CallerLimits], CallerLimits]
) -> None:
    """Answer requests that run for longer than the idle limit, old or new."""
    limits = replace(LIMITS, idle_timeout=Seconds(0.1))
    service = _Service(status=200, seconds=0.3, limits=limits)
    count = sent.count(b'HTTP/1.1')

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(sent)
        await trio.sleep(0.05)
        service.limits = change(limits)
        received = b''
        while received.count(b'unknown') < count:
            part = await stream.receive_some()
            assert part
            received += part

    serve_caller(service, use)
    assert [end.unanswered for end in service.ends] == [0]
