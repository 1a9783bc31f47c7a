"""Check that an answer without end is given up at a bound, and reset."""

import tracemalloc
from dataclasses import dataclass

import pytest
import trio

from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http.messages import Fault, HttpAnswer, HttpRequest
from trefoilsaddle.http.pool import ConnectionPool
from trefoilsaddle.http.room import AnswerRoom

_MEGABYTE = 1_048_576
# Bytes of one answer that may leave the server before it is given up: the
# bound of 16 MB and what the buffers of the sockets hold.
_MOST_SENT = 24 * _MEGABYTE
# A head is given up after less than a read's worth.
_MOST_SENT_HEAD = 8 * _MEGABYTE
# One answer at its bound, and once more while its parts are joined.
_MOST_MEMORY = 40 * _MEGABYTE
# Gives up long before the request's time is over, in seconds.
_SOON = 10

_STATUS = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % _STATUS
_LENGTHLESS = b'%b\r\n' % _STATUS
_WHOLE = b'%bcontent-length: 4\r\n\r\nmine' % _STATUS
_REQUEST = HttpRequest(
    b'GET', b'/work', ((b'host', b'server'), (b'content-length', b'0'))
)
# No answer at all, or one above a bound.
_GIVEN_UP: frozenset[Fault | bytes] = frozenset((Fault.lost, Fault.too_large))


@dataclass(frozen=True, slots=True)
class _Endless:
    """Say what a server sends without end, and how much may be taken."""

    step: Step
    most_sent: int
    ends: frozenset[Fault | bytes] = _GIVEN_UP


_CASES = {
    'status-line': _Endless(
        Step(b'HTTP/1.1 200 ', endless=b'O'), _MOST_SENT_HEAD
    ),
    'header-line': _Endless(
        Step(b'%bx-long: ' % _STATUS, endless=b'x'), _MOST_SENT_HEAD
    ),
    'headers': _Endless(Step(_STATUS, endless=b'x-a: b\r\n'), _MOST_SENT_HEAD),
    'no-http': _Endless(Step(endless=b'\x00'), _MOST_SENT_HEAD),
    'informational': _Endless(
        Step(endless=b'HTTP/1.1 102 Wait\r\n\r\n'), _MOST_SENT_HEAD
    ),
    'body-without-length': _Endless(
        Step(_LENGTHLESS, endless=b'x'), _MOST_SENT
    ),
    'chunked-body': _Endless(
        Step(_CHUNKED, endless=b'400\r\n%b\r\n' % (b'x' * 1024)), _MOST_SENT
    ),
    'chunk-extensions': _Endless(
        Step(_CHUNKED, endless=b'1;%b\r\nx\r\n' % (b'e' * 4000)), _MOST_SENT
    ),
    'chunk-size': _Endless(Step(_CHUNKED, endless=b'0'), _MOST_SENT_HEAD),
    'trailers': _Endless(
        Step(b'%b0\r\n' % _CHUNKED, endless=b'x-a: b\r\n'), _MOST_SENT_HEAD
    ),
    'behind-a-whole-answer': _Endless(
        Step(b'%bx' % _WHOLE, endless=b'x'),
        _MOST_SENT_HEAD,
        frozenset((b'mine',)),
    ),
}


def _read_end(answer: HttpAnswer | Fault) -> Fault | bytes:
    return answer if isinstance(answer, Fault) else answer.body


@pytest.mark.parametrize('case', _CASES.values(), ids=_CASES)
def test_endless_answer_is_given_up(case: _Endless) -> None:
    """Guard against an answer that is read, and held, without a bound."""
    server = ScriptedServer([case.step])

    async def run() -> HttpAnswer | Fault:
        async with serve_script(server):
            pool = ConnectionPool('127.0.0.1', server.port, Seconds(5))
            answer: HttpAnswer | Fault = Fault.unsent
            with trio.fail_after(_SOON):
                answer = await pool.exchange(_REQUEST)
                await server.closed.wait()
            assert not pool.idle
        return answer

    tracemalloc.start()
    answer = trio.run(run)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert _read_end(answer) in case.ends
    assert server.sent <= case.most_sent
    assert peak <= _MOST_MEMORY


_DRIPS = {
    'head': Step(b'HTTP/1.1 200 O', endless=b'K', pause=0.02),
    'informational': Step(endless=b'HTTP/1.1 100 Go\r\n\r\n', pause=0.2),
    'body': Step(_LENGTHLESS, endless=b'x', pause=0.02),
    'chunks': Step(_CHUNKED, endless=b'1\r\nx\r\n', pause=0.02),
}


@pytest.mark.parametrize('step', _DRIPS.values(), ids=_DRIPS)
def test_dripping_answer_ends_with_its_time(step: Step) -> None:
    """Guard against a drip of bytes that keeps a request alive."""
    server = ScriptedServer([step])

    async def run() -> None:
        async with serve_script(server):
            pool = ConnectionPool('127.0.0.1', server.port, Seconds(5))
            with trio.move_on_after(0.3) as scope:
                await pool.exchange(_REQUEST)
            assert scope.cancelled_caught
            with trio.fail_after(2):
                await server.closed.wait()
            assert not pool.idle

    trio.run(run)


@pytest.mark.parametrize(
    ('held', 'taken'),
    [(0, True), (_MEGABYTE // 2, True), (_MEGABYTE, False)],
    ids=['empty', 'half-full', 'full'],
)
def test_answers_share_one_room(held: int, *, taken: bool) -> None:
    """Guard against many answers, each within its bound, filling memory."""
    body = b'x' * (_MEGABYTE // 4)
    room = AnswerRoom(most=_MEGABYTE)
    server = ScriptedServer([Step(whole(body))])

    async def run() -> HttpAnswer | Fault:
        async with serve_script(server):
            pool = ConnectionPool(
                '127.0.0.1', server.port, Seconds(5), room=room
            )
            with room.hold(held):
                answer = await pool.exchange(_REQUEST)
            assert bool(pool.idle) == taken
        return answer

    answer = trio.run(run)
    assert (answer != Fault.too_large) == taken
    assert not room.held
