"""Test that no accepted request ends without an answer."""

from dataclasses import dataclass, field

import pytest
import trio

from tests.callerservice import serve_caller
from tests.gatewayscenes import LIMITS
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requests import BadInput

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
