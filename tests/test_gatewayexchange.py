"""Test that only a complete answer to the own request is returned."""

import errno
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from functools import partial

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http import sockets
from trefoilsaddle.http.messages import Fault, HttpAnswer, HttpRequest
from trefoilsaddle.http.pool import ConnectionPool
from trefoilsaddle.http.progress import Progress

_LIVENESS_BOUND = 20
_ID = b'x-attempt-id: mine'
_LENGTHLESS = b'HTTP/1.1 200 OK\r\nx-attempt-id: mine\r\n\r\nall of it'
_STALE = whole(b'theirs', b'x-attempt-id: theirs')
_OWN = whole(b'mine', _ID)


def _matches(answer: HttpAnswer) -> bool:
    return answer.find_header(b'x-attempt-id') == b'mine'


@dataclass(frozen=True, slots=True)
class _Case:
    """Hold the script of a server and the expected result of the exchange."""

    step: Step
    body: bytes | None
    # Whether the connection is expected to be reused.
    kept: bool = False


_CASES = {
    'whole': _Case(Step(_OWN), b'mine', kept=True),
    'cut-short': _Case(Step(_OWN[:-2], close=True), None),
    'closed-without-answer': _Case(Step(close=True), None),
    'not-http': _Case(Step(b'garbage\r\n\r\n', close=True), None),
    # Not 200 to 599, so the request may have run.
    'status-000': _Case(Step(whole(b'mine', _ID, status=b'000 None')), None),
    'status-099': _Case(Step(whole(b'mine', _ID, status=b'099 None')), None),
    'status-600': _Case(Step(whole(b'mine', _ID, status=b'600 None')), None),
    'status-999': _Case(Step(whole(b'mine', _ID, status=b'999 None')), None),
    'extra-bytes-behind': _Case(Step(_OWN + b'more'), b'mine'),
    'second-answer-behind': _Case(Step(_OWN + _OWN), b'mine'),
    'stale-answer-first': _Case(Step(_STALE + _OWN), b'mine'),
    'stale-answer-only': _Case(Step(_STALE, close=True), None),
    'ends-with-connection': _Case(Step(_LENGTHLESS, close=True), b'all of it'),
    'says-close': _Case(
        Step(whole(b'mine', _ID, b'connection: close')), b'mine'
    ),
    # Its end may not be where the server has put it.
    'length-and-chunks': _Case(
        Step(
            b'HTTP/1.1 200 OK\r\ncontent-length: 30\r\n%b\r\n'
            b'transfer-encoding: chunked\r\n\r\n4\r\nmine\r\n0\r\n\r\n' % _ID
        ),
        b'mine',
    ),
    'keep-alive-of-a-second': _Case(
        Step(whole(b'mine', _ID, b'keep-alive: timeout=1')),
        b'mine',
        kept=True,
    ),
}


def _build_request(body: bytes = b'') -> HttpRequest:
    headers = (
        (b'host', b'server'),
        (b'content-length', b'%d' % len(body)),
    )
    return HttpRequest(b'POST', b'/work', headers, body)


@pytest.mark.parametrize('case', _CASES.values(), ids=_CASES)
@pytest.mark.parametrize('size', [0, 9000], ids=['small', 'large'])
def test_answer_is_whole_or_lost(case: _Case, size: int) -> None:
    """Return a complete answer to the own request, or else a fault."""

    async def run() -> None:
        server = ScriptedServer([case.step])
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve)
            pool = ConnectionPool('127.0.0.1', port, Seconds(5))
            request = _build_request(b'x' * size)
            with trio.fail_after(20):
                answer = await pool.exchange(request, Seconds(3), _matches)
            if case.body is None:
                assert answer == Fault.lost
            else:
                assert isinstance(answer, HttpAnswer)
                assert answer.body == case.body
            assert bool(pool.idle) == case.kept
            nursery.cancel_scope.cancel()

    trio.run(run)


# Guards against statements of a server that are lost with a broken body.
def test_head_of_a_broken_answer_is_kept() -> None:
    """Keep the head although the answer is cut short."""

    async def run() -> None:
        limited = whole(b'mine', _ID, b'server-limit: 2')
        server = ScriptedServer([Step(limited[:-1], close=True)])
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve)
            pool = ConnectionPool('127.0.0.1', port, Seconds(5))
            progress = Progress()
            with trio.fail_after(20):
                answer = await pool.exchange(
                    _build_request(), Seconds(3), _matches, progress
                )
            assert answer == Fault.lost
            assert progress.head is not None
            assert progress.head.find_header(b'server-limit') == b'2'
            nursery.cancel_scope.cancel()

    trio.run(run)


_HEAD_LINES = (b'HTTP/1.1 200 OK', _ID, b'x-upstream-seal: 3e1b.07')
_HEADS = {
    'length': (*_HEAD_LINES, b'content-length: 4'),
    'length-first': (_HEAD_LINES[0], b'content-length: 4', *_HEAD_LINES[1:]),
    'chunked': (*_HEAD_LINES, b'transfer-encoding: chunked'),
    'unframed': _HEAD_LINES,
    'empty': (*_HEAD_LINES, b'content-length: 0'),
    'informational': (b'HTTP/1.1 103 Early Hints', b'', *_HEAD_LINES),
}


# Guards against an answer whose head was cut off and that passes as a whole one
# with an empty or short body.
@pytest.mark.parametrize('lines', _HEADS.values(), ids=_HEADS)
def test_answer_with_a_cut_head_is_lost(lines: tuple[bytes, ...]) -> None:
    """Cut the head at every byte, and close the connection."""
    head = b'\r\n'.join((*lines, b'', b''))

    async def run() -> None:
        script = [Step(head[:end], close=True) for end in range(len(head))]
        server = ScriptedServer(script)
        async with serve_script(server):
            pool = ConnectionPool('127.0.0.1', server.port, Seconds(5))
            answers = [
                await pool.exchange(_build_request(), Seconds(3), _matches)
                for _ in range(len(head))
            ]
        assert set(answers) == {Fault.lost}

    trio.run(run)


def test_refused_connection_is_unsent() -> None:
    """Report that nothing was sent if the connection is refused."""

    async def run() -> None:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        await listeners[0].aclose()
        pool = ConnectionPool('127.0.0.1', port, Seconds(5))
        answer = await pool.exchange(_build_request())
        assert answer == Fault.unsent

    trio.run(run)


# Guards against requests that are told to have an unknown outcome although
# nothing was sent, for want of a descriptor.
def test_request_without_a_descriptor_is_unsent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Report as unsent what could not even open a socket."""

    def refuse(*arguments: object) -> None:
        raise OSError(errno.EMFILE, 'too many open files')

    monkeypatch.setattr(trio.socket, 'socket', refuse)
    pool = ConnectionPool('127.0.0.1', 9, Seconds(1))
    assert trio.run(pool.exchange, _build_request()) is Fault.unsent


@pytest.mark.parametrize('idle', [0, 3], ids=['fresh-only', 'usual'])
def test_closed_idle_connection_is_not_used(idle: int) -> None:
    """Use a new connection if the server has closed the idle one."""

    async def run() -> None:
        server = ScriptedServer([Step(_OWN, close=True), Step(_OWN)])
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve)
            pool = ConnectionPool('127.0.0.1', port, Seconds(5))
            for _ in range(2):
                with trio.fail_after(20):
                    answer = await pool.exchange(
                        _build_request(), Seconds(idle), _matches
                    )
                assert isinstance(answer, HttpAnswer)
                await wait_all_tasks_blocked(0.05)
            assert pool.opened == 2
            nursery.cancel_scope.cancel()

    trio.run(run)


_REFUSAL = whole(b'', _ID, b'x-not-executed: 1', status=b'421 Misdirected')


# Guards against a refusal of the first try, written once more, that is taken for
# the answer to the second try, which runs.
def test_request_is_sent_again_on_a_new_connection() -> None:
    """Return the answer of the second try, and keep the idle connection."""

    async def run() -> None:
        script = [Step(_REFUSAL), Step(_OWN, copied=_REFUSAL)]
        server = ScriptedServer(script)
        async with serve_script(server):
            pool = ConnectionPool('127.0.0.1', server.port, Seconds(5))
            statuses = []
            for again in (False, True):
                answer = await pool.exchange(
                    _build_request(), Seconds(3), _matches, new=again
                )
                assert isinstance(answer, HttpAnswer)
                statuses.append(answer.status)
        assert statuses == [421, 200]
        assert pool.opened == 2

    trio.run(run)


def test_cancelled_exchange_closes_the_connection() -> None:
    """Close the connection at once, so that the server drops the work."""

    async def run() -> None:
        server = ScriptedServer([Step(silent=True)])
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve)
            pool = ConnectionPool('127.0.0.1', port, Seconds(5))
            with trio.move_on_after(5) as scope:
                nursery.start_soon(_cancel_when_received, server, scope)
                await pool.exchange(_build_request())
            with trio.fail_after(5):
                await server.closed.wait()
            assert not pool.idle
            nursery.cancel_scope.cancel()

    trio.run(run)


async def _cancel_when_received(
    server: ScriptedServer,
    scope: trio.CancelScope,
) -> None:
    await server.request_received.wait()
    scope.cancel()


_LONG = 8_000_000
_REPEATS = 12


async def _read_part(stream: trio.SocketStream) -> None:
    """Read the head of a long request and let the writer wait."""
    await stream.receive_some(4096)
    await trio.sleep(0.01)


async def _reset_halfway(stream: trio.SocketStream) -> None:
    await _read_part(stream)
    await stream.send_all(_LENGTHLESS[:-3])
    await trio.sleep(0.01)
    sockets.abort(stream)


async def _end_and_reset(stream: trio.SocketStream) -> None:
    await _read_part(stream)
    await stream.send_all(_LENGTHLESS)
    await stream.send_eof()
    sockets.abort(stream)


async def _end_and_read(stream: trio.SocketStream) -> None:
    await _read_part(stream)
    await stream.send_all(_LENGTHLESS)
    await stream.send_eof()
    # Fails once the client resets the connection.
    with suppress(trio.BrokenResourceError):
        chunk = await stream.receive_some()
        while chunk:
            chunk = await stream.receive_some()


async def _end_and_wait(stream: trio.SocketStream) -> None:
    await _read_part(stream)
    await stream.send_all(_LENGTHLESS)
    await stream.send_eof()
    await trio.sleep(_LIVENESS_BOUND)


_ENDS = {
    'reset-halfway': (_reset_halfway, Fault.lost),
    'end-and-reset': (_end_and_reset, b'all of it'),
    'end-and-read': (_end_and_read, b'all of it'),
    'end-and-wait': (_end_and_wait, b'all of it'),
}


# Guards against an answer without a length that passes as a whole one although
# it was reset: the kernel reports the reset once, to the writer of the request.
# Which task gets the report varies, so each case is repeated.
@pytest.mark.parametrize(('end', 'expected'), _ENDS.values(), ids=_ENDS)
def test_answer_without_a_length_is_whole_only_after_an_end(
    end: Callable[[trio.SocketStream], Awaitable[None]],
    expected: Fault | bytes,
) -> None:
    """Answer a long request early, without a length."""

    async def run() -> list[Fault | bytes]:
        async with trio.open_nursery() as nursery:
            listeners = await nursery.start(
                partial(trio.serve_tcp, end, 0, host='127.0.0.1')
            )
            port = listeners[0].socket.getsockname()[1]
            pool = ConnectionPool('127.0.0.1', port, Seconds(5))
            request = _build_request(b'x' * _LONG)
            ends = []
            for _ in range(_REPEATS):
                with trio.fail_after(_LIVENESS_BOUND):
                    answer = await pool.exchange(request, Seconds(3), _matches)
                ends.append(
                    answer if isinstance(answer, Fault) else answer.body
                )
            nursery.cancel_scope.cancel()
        return ends

    ends = trio.run(run)
    assert all(each == expected for each in ends)


async def _refuse(stream: trio.SocketStream) -> None:
    """Reset a new connection, as a server with too many of them does."""
    sockets.abort(stream)


# Whether the exchange settles, and its result.
_REFUSALS = ((True, Fault.refused), (False, Fault.lost))


# Guards against a request that nobody received but that is told as unknown.
@pytest.mark.parametrize(('settle', 'fault'), _REFUSALS)
def test_connection_that_is_reset_at_once_carries_no_request(
    fault: Fault, *, settle: bool
) -> None:
    """Send nothing on a new connection that the server does not keep."""

    async def run() -> HttpAnswer | Fault:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        pool = ConnectionPool('127.0.0.1', port, Seconds(5))
        with trio.fail_after(_LIVENESS_BOUND):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, _refuse, listeners)
                ended = await pool.exchange(_build_request(), settle=settle)
                nursery.cancel_scope.cancel()
        return ended

    assert trio.run(run) == fault


def test_settled_connection_carries_the_request() -> None:
    """Send on a new connection that stays open, and on a kept one at once."""

    async def run() -> list[HttpAnswer | Fault]:
        server = ScriptedServer([Step(_OWN), Step(_OWN)])
        async with trio.open_nursery() as nursery:
            port = await nursery.start(server.serve)
            pool = ConnectionPool('127.0.0.1', port, Seconds(5))
            answers = [
                await pool.exchange(_build_request(), settle=True)
                for _ in range(2)
            ]
            nursery.cancel_scope.cancel()
        assert (server.connections, pool.opened) == (1, 1)
        return answers

    assert all(isinstance(each, HttpAnswer) for each in trio.run(run))
