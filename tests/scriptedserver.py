"""Serve scripted bytes over a socket, to test clients against faults."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import trio

from trefoilsaddle.http import sockets

# Timeout in seconds for a run in which an expected event never happens.
_LIVENESS_BOUND = 20
_BLOCK_BYTES = 65_536
_HEAD_END = b'\r\n\r\n'
_LENGTH = b'content-length:'


@dataclass(frozen=True, slots=True)
class Step:
    """Define how a server reacts to one request."""

    reply: bytes = b''
    # An earlier answer, written once more on a kept connection first.
    copied: bytes = b''
    close: bool = False
    # Bytes that are sent repeatedly until the client closes.
    endless: bytes = b''
    # Pause between two sends of the endless bytes, in seconds.
    pause: float = 0
    # Send nothing and keep the connection open until the client closes it.
    silent: bool = False


def whole(body: bytes, *headers: bytes, status: bytes = b'200 OK') -> bytes:
    """Build a complete answer."""
    lines = (
        b'HTTP/1.1 %b' % status,
        b'content-length: %d' % len(body),
        *headers,
    )
    return b'\r\n'.join(lines) + _HEAD_END + body


@dataclass(slots=True)
class ScriptedServer:
    """Perform one step of the script for each request, on any connection."""

    script: list[Step]
    # The complete requests, and the number of reads that ended within a body.
    requests: list[bytes] = field(default_factory=list)
    heads: int = 0
    connections: int = 0
    # Number of endless bytes that were sent.
    sent: int = 0
    closed: trio.Event = field(default_factory=trio.Event)
    request_received: trio.Event = field(default_factory=trio.Event)
    port: int = 0

    async def serve(
        self,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve connections on a free port until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        self.port = listeners[0].socket.getsockname()[1]
        task_status.started(self.port)
        await trio.serve_listeners(self._serve_connection, listeners)

    async def _serve_connection(self, stream: trio.SocketStream) -> None:
        self.connections += 1
        async with stream:
            used = False
            while await self._serve_request(stream, used=used):
                used = True

    async def _serve_request(
        self, stream: trio.SocketStream, *, used: bool
    ) -> bool:
        request = await self._read_request(stream)
        if request is None:
            self.closed.set()
            return False
        self.requests.append(request)
        step = self.script.pop(0)
        self.request_received.set()
        if used and step.copied:
            await stream.send_all(step.copied)
        if step.reply and not await _send(stream, step.reply):
            # The client has left.
            self.closed.set()
            return False
        if step.endless:
            await self._send_endless(stream, step)
            return False
        if step.silent:
            await _wait_for_end(stream)
            self.closed.set()
        return not (step.close or step.silent)

    async def _send_endless(
        self, stream: trio.SocketStream, step: Step
    ) -> None:
        block = step.endless
        if not step.pause:
            block *= _BLOCK_BYTES // len(block)
        ended = False
        while not ended:
            ended = not await _send(stream, block)
            self.sent += len(block)
            await trio.sleep(step.pause)
        self.closed.set()

    async def _read_request(self, stream: trio.SocketStream) -> bytes | None:
        received = b''
        while not _is_whole(received):
            if _HEAD_END in received:
                self.heads += 1
            chunk = await _receive(stream)
            if not chunk:
                return None
            received += chunk
        return received


@asynccontextmanager
async def serve_script(server: ScriptedServer) -> AsyncIterator[None]:
    """Serve a script, with a timeout for the whole test."""
    with trio.fail_after(_LIVENESS_BOUND):
        async with trio.open_nursery() as nursery:
            await nursery.start(server.serve)
            yield
            nursery.cancel_scope.cancel()


async def find_ports(number: int) -> list[int]:
    """Return free ports, each with a free one above it."""
    listeners: list[trio.SocketListener] = []
    ports: list[int] = []
    while len(ports) < number:
        listener = (await trio.open_tcp_listeners(0, host='127.0.0.1'))[0]
        listeners.append(listener)
        port = listener.socket.getsockname()[1]
        above = sockets.listen('127.0.0.1', port + 1)
        if above is not None:
            listeners.append(above)
            ports.append(port)
    for opened in listeners:
        opened.socket.close()
    return ports


async def _receive(stream: trio.SocketStream) -> bytes:
    try:
        return bytes(await stream.receive_some())
    except trio.BrokenResourceError:
        return b''


async def _send(stream: trio.SocketStream, block: bytes) -> bool:
    try:
        await stream.send_all(block)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return False
    return True


async def _wait_for_end(stream: trio.SocketStream) -> None:
    chunk = await _receive(stream)
    while chunk:
        chunk = await _receive(stream)


def _is_whole(received: bytes) -> bool:
    head, separator, body = received.partition(_HEAD_END)
    if not separator:
        return False
    for line in head.lower().split(b'\r\n'):
        if line.startswith(_LENGTH):
            return len(body) >= int(line.removeprefix(_LENGTH))
    return True
