"""Test that no accepted request ends without an answer."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial

import pytest
import trio

from tests.callerservice import serve_caller
from tests.gatewayscenes import LIMITS
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http import sockets
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requests import BadInput
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
    serve = partial(serve_connection, service, AnswerBudget())
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
