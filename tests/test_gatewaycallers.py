"""Test how a gateway handles valid and invalid requests of callers."""

import socket
from contextlib import suppress
from dataclasses import dataclass, field, replace

import pytest
import trio

from tests.callerservice import serve_caller
from tests.gatewayscenes import LIMITS
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requests import BadInput

_GET = b'GET /reads/1 HTTP/1.1\r\nhost: shop.example\r\n\r\n'
_POST = (
    b'POST /pay/1 HTTP/1.1\r\nhost: shop.example\r\n'
    b'content-length: 4\r\n\r\nbody'
)
_CHUNKED = (
    b'POST /pay/1 HTTP/1.1\r\nhost: shop.example\r\n'
    b'transfer-encoding: chunked\r\n\r\n2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n'
)
_SMALL_BUFFER = 16_384
_SMALL = replace(
    LIMITS,
    header_bytes=300,
    body_bytes=3,
    header_timeout=Seconds(0.1),
    idle_timeout=Seconds(0.2),
)


@dataclass(slots=True)
class _Service(CallerService):
    """Echo bodies; block requests to `/hold` until their caller leaves."""

    limits: CallerLimits = LIMITS
    closing: bool = False
    requests: list[HttpRequest] = field(default_factory=list)
    left: int = 0

    def read_limits(self) -> CallerLimits:
        """Return the limits of the test case."""
        return self.limits

    def is_closing(self) -> bool:
        """Return whether connections are closed after an answer."""
        return self.closing

    def is_idempotent(self, request: HttpRequest) -> bool:
        """Treat all but POST requests as idempotent."""
        return request.method != b'POST'

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer with the body of the request."""
        self.requests.append(request)
        if request.target == b'/hold':
            try:
                await trio.sleep_forever()
            except trio.Cancelled:
                self.left += 1
                raise
        return HttpAnswer(200, (), b'echo ' + request.body)

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Answer with the name of the result code."""
        return HttpAnswer(bad.status, (), bad.code.name.encode())


async def _read_all(stream: trio.SocketStream) -> bytes:
    received = bytearray()
    async for part in stream:
        received += part
    return bytes(received)


@dataclass(frozen=True, slots=True)
class _Bad:
    """Hold an invalid request and the expected refusal."""

    sent: bytes
    status: bytes
    name: bytes


_BAD = {
    'oversize-head': _Bad(
        b'GET / HTTP/1.1\r\nhost: a\r\nx: %b\r\n\r\n' % (b'y' * 400),
        b'431',
        b'header_too_large',
    ),
    'oversize-head-without-body': _Bad(
        b'HEAD / HTTP/1.1\r\nhost: a\r\nx: %b\r\n\r\n' % (b'y' * 400),
        b'431',
        b'\r\n\r\n',
    ),
    'oversize-head-in-parts': _Bad(
        b'GET / HTTP/1.1\r\nhost: a\r\nx: %b' % (b'y' * 400),
        b'431',
        b'header_too_large',
    ),
    'oversize-body': _Bad(_POST, b'413', b'body_too_large'),
    'oversize-chunks': _Bad(_CHUNKED, b'413', b'body_too_large'),
    'broken-framing': _Bad(b'nonsense\r\n\r\n', b'400', b'malformed'),
    'two-lengths': _Bad(
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n'
        b'content-length: 2\r\n\r\nab',
        b'400',
        b'malformed',
    ),
    # The rest of such a body would be passed on as a request of its own.
    'length-and-chunks': _Bad(
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 60\r\n'
        b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n' + _GET,
        b'400',
        b'malformed',
    ),
    'chunks-and-length': _Bad(
        b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n'
        b'content-length: 60\r\n\r\n0\r\n\r\n' + _GET,
        b'400',
        b'malformed',
    ),
    'chunks-of-an-old-version': _Bad(
        b'POST / HTTP/1.0\r\nhost: a\r\ntransfer-encoding: chunked\r\n'
        b'connection: keep-alive\r\n\r\n0\r\n\r\n' + _GET,
        b'400',
        b'malformed',
    ),
    'slow-head': _Bad(b'GET / HTTP/1.1\r\n', b'408', b'header_slow'),
}


@pytest.mark.parametrize('bad', _BAD.values(), ids=_BAD)
def test_bad_input_is_refused(bad: _Bad) -> None:
    """Refuse with status and code, close, and run no request."""
    service = _Service(limits=_SMALL)

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(bad.sent)
        answer = await _read_all(stream)
        assert answer.startswith(b'HTTP/1.1 %b ' % bad.status)
        assert answer.endswith(bad.name)
        assert b'connection: close' in answer.lower()

    serve_caller(service, use)
    assert not service.requests


@pytest.mark.parametrize('sent', [_POST, _CHUNKED], ids=['length', 'chunks'])
def test_requests_follow_each_other(sent: bytes) -> None:
    """Answer requests in order on one connection, also pipelined ones."""
    service = _Service()

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(sent + sent)
        await stream.send_eof()
        answer = await _read_all(stream)
        assert answer.count(b'echo body') == 2

    serve_caller(service, use)


def test_idle_connection_is_closed() -> None:
    """Close a connection on which no request arrives in the idle timeout."""

    async def use(stream: trio.SocketStream) -> None:
        assert await _read_all(stream) == b''

    serve_caller(_Service(limits=_SMALL), use)


def test_closing_service_says_so() -> None:
    """Answer with `Connection: close` and close the connection."""

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_GET)
        answer = await _read_all(stream)
        assert b'connection: close' in answer.lower()
        assert answer.endswith(b'echo ')

    serve_caller(_Service(closing=True), use)


def test_caller_that_leaves_ends_its_request() -> None:
    """Cancel a request as soon as its caller closes the connection."""
    service = _Service()

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(b'GET /hold HTTP/1.1\r\nhost: a\r\n\r\n')
        while not service.requests:
            await trio.sleep(0.01)
        await stream.aclose()
        while not service.left:
            await trio.sleep(0.01)

    serve_caller(service, use)
    assert service.left == 1


# Guards against a last answer that its caller reads slowly and that a reset
# destroys, as the caller has sent more meanwhile.
def test_closing_answer_reaches_a_caller_that_sends_on() -> None:
    """Discard what arrives behind the last answer until it has been read."""
    body = b'b' * LIMITS.body_bytes
    head = b'POST /pay/1 HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'

    async def use(stream: trio.SocketStream) -> None:
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
        await stream.send_all(head % len(body) + body)
        received = bytearray()
        part = await stream.receive_some(_SMALL_BUFFER)
        while part:
            received += part
            with suppress(trio.BrokenResourceError):
                await stream.send_all(_GET)
            part = await stream.receive_some(_SMALL_BUFFER)
        assert received.endswith(b'echo ' + body)

    serve_caller(_Service(closing=True), use)
