"""Test that a connection is closed behind a whole answer, and in time."""

from contextlib import suppress
from dataclasses import dataclass, field, replace

import pytest
import trio

from tests.callerservice import serve_caller
from tests.gatewayscenes import LIMITS
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.connectionend import ConnectionEnd
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requests import BadInput
from trefoilsaddle.http.unanswered import UnansweredCount

_ANSWER = b'a' * 12_000
# More than the buffers of both ends hold, so that it is written for long.
_LARGE_ANSWER = b'a' * 4_000_000
_LARGE = b'/large'
_WORK = 0.2
_WINDOW = 4096
_GET = b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'
_LAST_GET = b'GET /a HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n'
_POST = b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 0\r\n\r\n'
# Seconds for which a caller that has the whole answer may close.
_CLOSING_TIME = 1
_MARGIN = 0.7


@dataclass(slots=True)
class _Service(CallerService):
    """Answer with a body that a small window does not hold."""

    closing: bool = True
    patience: Seconds = Seconds(4)
    limits: CallerLimits = LIMITS
    requests: int = 0
    ends: list[ConnectionEnd] = field(default_factory=list)

    def read_limits(self) -> CallerLimits:
        """Return the limits of the test case."""
        return self.limits

    def is_closing(self) -> bool:
        """Return whether connections are closed after an answer."""
        return self.closing

    def is_idempotent(self, request: HttpRequest) -> bool:
        """Treat all but POST requests as idempotent."""
        return request.method != b'POST'

    def read_patience(self, request: HttpRequest) -> Seconds:
        """Return the time of the test case."""
        return self.patience

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer at once, or after some work for a large answer."""
        self.requests += 1
        if request.target != _LARGE:
            return HttpAnswer(200, (), _ANSWER)
        await trio.sleep(_WORK)
        self.closing = True
        return HttpAnswer(200, (), _LARGE_ANSWER)

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Answer with the name of the result code."""
        return HttpAnswer(bad.status, (), bad.code.name.encode())

    def record_end(self, end: ConnectionEnd) -> None:
        """Record the end of the connection."""
        self.ends.append(end)


def _build_get(target: bytes = _LARGE) -> bytes:
    return b'GET %b HTTP/1.1\r\nhost: a\r\n\r\n' % target


async def _read_all(stream: trio.SocketStream) -> bytes:
    received = bytearray()
    async for part in stream:
        received += part
    return bytes(received)


# The request, and whether the service closes its connections.
_LAST = {
    'closing service': (_POST, True),
    'idempotent request': (_GET, True),
    'caller that closes': (_LAST_GET, False),
}


# Guards against an answer that is lost as its connection was closed a second after
# it was written, and bytes of the caller then reset it.
@pytest.mark.parametrize('pause', [0.3, 1.6, 2.4])
@pytest.mark.parametrize(('sent', 'closing'), _LAST.values(), ids=_LAST)
def test_last_answer_reaches_a_caller_that_reads_late(
    sent: bytes, pause: float, *, closing: bool
) -> None:
    """Deliver the answer, though its caller sends more before it reads."""
    service = _Service(closing=closing)

    async def use(stream: trio.SocketStream) -> None:
        await _send_after(stream, 0, sent)
        await _send_after(stream, pause, _GET)
        answer = await _read_all(stream)
        assert answer.endswith(b'\r\n\r\n' + _ANSWER)
        await stream.aclose()
        await _wait_for_end(service)

    serve_caller(service, use, window=_WINDOW)
    assert service.requests == 1
    assert not service.ends[0].lost_bytes
    assert service.ends[0].discarded == len(_GET)


async def _send_after(
    stream: trio.SocketStream, pause: float, sent: bytes
) -> None:
    await trio.sleep(pause)
    await stream.send_all(sent)
    # A reset would arrive meanwhile.
    await trio.sleep(0.1)


async def _wait_for_end(service: _Service) -> None:
    while not service.ends:
        await trio.sleep(0.01)


@dataclass(frozen=True, slots=True)
class _Ending:
    """Describe a caller that does not close, and how long it is kept."""

    # Whether it reads the answer.
    reads: bool
    patience: float
    kept: float
    lost: bool = False


_ENDINGS = {
    'has the answer': _Ending(reads=True, patience=9, kept=_CLOSING_TIME),
    'reads nothing': _Ending(reads=False, patience=1.6, kept=1.6, lost=True),
    'is late already': _Ending(
        reads=False, patience=0.1, kept=_CLOSING_TIME, lost=True
    ),
}


# Guards against callers that hold a stopping process, as they read nothing or do
# not close.
@pytest.mark.parametrize('case', _ENDINGS.values(), ids=_ENDINGS)
def test_caller_that_does_not_close_is_given_up(case: _Ending) -> None:
    """Close once the answer is delivered, or is not wanted any more."""
    service = _Service(patience=Seconds(case.patience))
    count = UnansweredCount()

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_GET)
        started = trio.current_time()
        if case.reads:
            await _read_all(stream)
        await _wait_for_end(service)
        kept = trio.current_time() - started
        assert case.kept <= kept <= case.kept + _MARGIN

    serve_caller(service, use, count, window=_WINDOW)
    assert count.count == 0
    assert service.ends[0].lost_bytes == case.lost


# Guards against a caller that is kept, or read without a limit, as it goes on to
# send behind its last answer.
def test_caller_that_only_sends_is_given_up() -> None:
    """Discard what arrives, and close in time."""
    service = _Service(patience=Seconds(1.5))

    async def use(stream: trio.SocketStream) -> None:
        started = trio.current_time()
        await stream.send_all(_GET)
        await trio.sleep(0.1)
        with suppress(trio.BrokenResourceError):
            while True:
                await stream.send_all(_GET * 1000)
        assert trio.current_time() - started <= 1.5 + _MARGIN

    serve_caller(service, use, window=_WINDOW)
    assert service.ends[0].discarded > 0


@dataclass(frozen=True, slots=True)
class _Behind:
    """Bytes sent before the last answer is chosen, and while it is written."""

    before: bytes
    during: bytes
    # Requests that are run and answered behind the first one.
    answered: int


_HALF = len(_POST) // 2
_BODY_POST = b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\nbody'
_BEHIND = {
    'nothing': _Behind(b'', b'', 0),
    'idempotent': _Behind(b'', _GET, 0),
    'not idempotent': _Behind(b'', _POST, 0),
    'several': _Behind(b'', _GET * 5 + _POST, 0),
    'a body': _Behind(b'', _BODY_POST, 0),
    'nonsense': _Behind(b'', b'nonsense\r\n\r\n', 0),
    'half a head': _Behind(_POST[:_HALF], _POST[_HALF:], 1),
    'half a body': _Behind(_BODY_POST[:-2], _BODY_POST[-2:], 1),
    'whole': _Behind(_GET, b'', 1),
    'whole, and more': _Behind(_GET, _GET, 2),
}


# Guards against a request that is passed on while the answer that closes its
# connection is written, and gets no answer.
@pytest.mark.parametrize('case', _BEHIND.values(), ids=_BEHIND)
def test_no_request_runs_behind_the_last_answer(case: _Behind) -> None:
    """Answer what has begun to arrive by then, and start nothing later."""
    service = _Service(closing=False)

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_build_get())
        await _send_after(stream, _WORK / 4, case.before)
        await _send_after(stream, _WORK * 2, case.during)
        received = await _read_all(stream)
        assert received.count(b'HTTP/1.1 200 ') == case.answered + 1
        assert received.count(b'connection: close') == 1
        assert received.endswith(_ANSWER)

    serve_caller(service, use, window=_WINDOW)
    assert service.requests == case.answered + 1
    assert service.ends[0].unanswered == 0


# Guards against an answer that is reset as its kept connection is idle for too
# long, though its caller has not read it yet.
def test_idle_limit_does_not_cut_an_answer() -> None:
    """Deliver the answer, then close the idle connection."""
    limits = replace(LIMITS, idle_timeout=Seconds(0.3))
    service = _Service(closing=False, limits=limits)

    async def use(stream: trio.SocketStream) -> None:
        await _send_after(stream, 0, _GET)
        await _send_after(stream, 1.5, _GET)
        assert (await _read_all(stream)).endswith(b'\r\n\r\n' + _ANSWER)
        await _wait_for_end(service)

    serve_caller(service, use, window=_WINDOW)
    assert service.requests == 1
    assert not service.ends[0].lost_bytes
