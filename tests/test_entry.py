"""Test the callers' HTTP interface over real connections, with faults."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from typing import cast

import pytest
import trio
from hypercorn.trio import serve as serve_http
from hypercorn.typing import ASGIFramework

from tests.bench import MEMBER, SERVICE
from tests.callershell import WHOLE, FakeShell
from trefoilsaddle.core.calls import Answer, Reply
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.programs.httpserver import build_config, open_listener
from trefoilsaddle.results import Outcome, ResultCode

_HOST = '127.0.0.1'
# Timeout in seconds that ends a hanging test; it measures nothing.
_TEST_TIMEOUT = 20
_HEAD = (
    f'POST /pay HTTP/1.1\r\nhost: here\r\nx-trefoil-service: {SERVICE}\r\n'
    f'x-trefoil-member: {MEMBER}\r\nx-trefoil-rank: payment\r\n'
    f'x-trefoil-key: door-1\r\nx-trefoil-idempotent: true\r\n'
).encode()
_EMPTY = b'content-length: 0\r\n\r\n'
_GOOD = _HEAD + _EMPTY
_LARGE = 1_000_000


@dataclass
class _Server:
    """Hold a running HTTP server and its shutdown event."""

    port: int
    shell: FakeShell
    stopping: trio.Event = field(default_factory=trio.Event)
    stopped: trio.Event = field(default_factory=trio.Event)

    async def run(
        self,
        task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve until the graceful shutdown has ended."""
        listener = open_listener(_HOST, self.port, silence=Seconds(0.5))
        await serve_http(
            cast(ASGIFramework, self.shell.app),
            build_config(f'fd://{listener}', _TEST_TIMEOUT),
            shutdown_trigger=self.stopping.wait,
            task_status=task_status,
            mode='asgi',
        )
        self.stopped.set()

    async def dial(self) -> trio.SocketStream:
        """Open a caller's connection."""
        return await trio.open_tcp_stream(_HOST, self.port)

    async def exchange(self, sent: bytes) -> bytes:
        """Send bytes and read until the server closes or stays silent."""
        async with await self.dial() as stream:
            await stream.send_all(sent)
            await stream.send_eof()
            return await _read_all(stream)


def _join(*rest: bytes) -> bytes:
    return b''.join((_HEAD, *rest))


async def _read_all(stream: trio.SocketStream) -> bytes:
    return b''.join([bytes(received) async for received in stream])


async def _read_answer(stream: trio.SocketStream, end: bytes) -> bytes:
    received = b''
    while not received.endswith(end):
        part = await stream.receive_some()
        assert part
        received += part
    return received


async def _refuse_garbage(server: _Server) -> None:
    answer = await server.exchange(b'\x16\x03\x01 no HTTP\r\n\r\n')
    assert answer.startswith(b'HTTP/1.1 400')


async def _refuse_large_head(server: _Server, size: int) -> None:
    padding = b'x-padding: %s\r\n' % (b'x' * size)
    answer = await server.exchange(_join(padding, _EMPTY))
    assert answer.startswith(b'HTTP/1.1 431')


async def _refuse_bad_length(server: _Server) -> None:
    answer = await server.exchange(_join(b'content-length: -5\r\n\r\n'))
    assert answer.startswith(b'HTTP/1.1 400')


async def _refuse_two_lengths(server: _Server) -> None:
    lengths = b'content-length: 0\r\ncontent-length: 5\r\n\r\n'
    answer = await server.exchange(_join(lengths))
    assert answer.startswith(b'HTTP/1.1 400')


async def _drop_cut_body(server: _Server) -> None:
    async with await server.dial() as stream:
        await stream.send_all(_join(b'content-length: 9\r\n\r\nbody'))
    # Another request is served first; by then the truncated request would
    # have arrived.
    assert (await server.exchange(_GOOD)).endswith(b'whole')
    assert len(server.shell.calls) == 1


async def _refuse_large_body(server: _Server) -> None:
    length = b'content-length: %d\r\n\r\n' % _LARGE
    answer = await server.exchange(_join(length, b'x' * _LARGE))
    assert answer.startswith(b'HTTP/1.1 413')
    assert not server.shell.calls


async def _refuse_large_chunks(server: _Server) -> None:
    head = b'transfer-encoding: chunked\r\n\r\n'
    chunks = b'186a0\r\n%s\r\n0\r\n\r\n' % (b'x' * 100_000)
    answer = await server.exchange(_join(head, chunks))
    assert answer.startswith(b'HTTP/1.1 413')
    assert not server.shell.calls


async def _answer_in_turn(server: _Server) -> None:
    server.shell.answer = None
    async with await server.dial() as stream:
        await stream.send_all(_GOOD + _GOOD)
        await _answer_next(server, stream, b'answer 1')
        await _answer_next(server, stream, b'answer 2')


async def _answer_next(
    server: _Server,
    stream: trio.SocketStream,
    body: bytes,
) -> None:
    shell = server.shell
    waiting = len(shell.answered)
    await shell.wait_until(lambda: len(shell.calls) > waiting)
    reply = Reply(200, '', body)
    answer = Answer(Outcome.answered, ResultCode.ok, reply)
    shell.answer_call(shell.calls[waiting], answer)
    assert b'answer' in await _read_answer(stream, body)


async def _carry_large_answer(server: _Server) -> None:
    reply = Reply(200, '', b'x' * _LARGE)
    server.shell.answer = Answer(Outcome.answered, ResultCode.ok, reply)
    answer = await server.exchange(_GOOD)
    assert answer.endswith(reply.body)


async def _pass_status_on(server: _Server, status: int) -> None:
    reply = Reply(status, 'a/b', b'')
    server.shell.answer = Answer(Outcome.answered, ResultCode.ok, reply)
    answer = await server.exchange(_GOOD)
    assert answer.startswith(b'HTTP/1.1 %d' % status)
    assert answer.endswith(b'\r\n\r\n')


async def _answer_head(server: _Server) -> None:
    answer = await server.exchange(_GOOD.replace(b'POST', b'HEAD'))
    assert answer.startswith(b'HTTP/1.1 201')
    assert answer.endswith(b'\r\n\r\n')


async def _refuse_tunnel(server: _Server) -> None:
    sent = _GOOD.replace(b'POST', b'CONNECT')
    async with await server.dial() as stream:
        await stream.send_all(sent)
        answer = await _read_answer(stream, b'malformed\n')
    assert answer.startswith(b'HTTP/1.1 400')
    assert not server.shell.calls


async def _drop_caller_that_reads_nothing(server: _Server) -> None:
    reply = Reply(200, '', bytes(_LARGE * 20))
    server.shell.answer = Answer(Outcome.answered, ResultCode.ok, reply)
    async with await server.dial() as stream:
        await stream.send_all(_GOOD)
        await server.shell.wait_until(lambda: server.shell.answered)
        server.stopping.set()
        await server.stopped.wait()


async def _record_caller_left(server: _Server) -> None:
    shell = server.shell
    shell.answer = None
    async with await server.dial() as stream:
        await stream.send_all(_GOOD)
        await shell.wait_until(lambda: shell.calls)
    await shell.wait_until(lambda: shell.left)
    assert shell.left[0].call_id == shell.calls[0].call_id
    # An answer for a caller that has left is ignored.
    shell.answer_call(shell.calls[0], WHOLE)
    shell.answer = WHOLE


async def _stop_gracefully(server: _Server) -> None:
    shell = server.shell
    shell.answer = None
    async with await server.dial() as stream:
        await stream.send_all(_GOOD)
        await shell.wait_until(lambda: shell.calls)
        shell.app.closing = True
        await _stop_listening(server)
        shell.answer_call(shell.calls[0], WHOLE)
        answer = await _read_all(stream)
    assert answer.endswith(b'whole')
    assert b'connection: close' in answer


async def _stop_listening(server: _Server) -> None:
    async with await server.dial() as idle:
        server.stopping.set()
        # Idle connections are closed, connections in use are not.
        assert not await _read_all(idle)
    with pytest.raises(OSError):
        await server.dial()


_SCENES = (
    _refuse_garbage,
    partial(_refuse_large_head, size=20_000),
    partial(_refuse_large_head, size=200_000),
    _refuse_bad_length,
    _refuse_two_lengths,
    _drop_cut_body,
    _refuse_large_body,
    _refuse_large_chunks,
    _answer_in_turn,
    partial(_pass_status_on, status=204),
    partial(_pass_status_on, status=304),
    partial(_pass_status_on, status=599),
    _answer_head,
    _refuse_tunnel,
    _carry_large_answer,
    _drop_caller_that_reads_nothing,
    _record_caller_left,
    _stop_gracefully,
)


@pytest.mark.parametrize('play', _SCENES)
def test_entry_server(play: Callable[[_Server], Awaitable[None]]) -> None:
    """Run a scenario against a server; other callers are still served."""
    trio.run(_play, play)


async def _play(play: Callable[[_Server], Awaitable[None]]) -> None:
    with trio.fail_after(_TEST_TIMEOUT):
        async with trio.open_nursery() as nursery:
            server = _Server(await _find_port(), FakeShell())
            await nursery.start(server.run)
            await play(server)
            if not server.stopping.is_set():
                server.shell.answer = WHOLE
                assert (await server.exchange(_GOOD)).endswith(b'whole')
            server.stopping.set()
            await server.stopped.wait()


async def _find_port() -> int:
    sockets = await trio.open_tcp_listeners(0, host=_HOST)
    port: int = sockets[0].socket.getsockname()[1]
    await sockets[0].aclose()
    return port
