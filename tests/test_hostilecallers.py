"""Test that a gateway survives callers that try to exhaust its memory.

Each test starts a gateway as its own process on loopback addresses.  The memory
bound is the machine's memory of the settings, the bound on descriptors is what
the settings leave for sockets.
"""

import json
import os
import re
import subprocess
import sys
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import ExitStack, asynccontextmanager, suppress
from dataclasses import dataclass, field
from pathlib import Path

import pytest
import trio

from standins.platform import StoreStandIn
from trefoilsaddle.http import sockets

_HOST = '127.0.0.1'
_GATEWAY = '127.0.6.1'
_SERVER = '127.0.6.2'
_MEGABYTE = 1_000_000
_KIBIBYTE = 1024
_PIECE = 65_536
_HEAD_END = b'\r\n\r\n'
# Descriptors of the settings that are meant for files.
_FILES = 200
_LIVENESS_BOUND = 40
_CROWD = 40
# Connections that together exceed the sockets of the smallest test machine.
_MANY = 100
# Longest time for which the crowd sends, and the time for which its last bytes
# may still be on their way.
_SENDING = 6
_SETTLE = 1
_SETTINGS = """
node = "edge-a-1"
ip = "127.0.6.1"
zone = "a"
region = "east"
heartbeat = "870ms"
internalPorts = [{peers}, {last}]
[zones]
a = "east"
[listen]
front = "127.0.6.1:{front}"
ready = "127.0.6.1:{ready}"
[bounds]
retryRatio = 0.2
retrySlack = 64
budgetWindow = "10s"
holdMax = "10000ms"
grace = "1s"
[platform]
address = "127.0.0.1:{store}"
[limits]
memoryMb = {memory}
maxFds = {descriptors}
"""


@dataclass(frozen=True, slots=True)
class _Machine:
    """Limits of the machine, and of one body."""

    memory: int = 120
    descriptors: int = 1638
    body_bytes: int = 4_194_304


_SMALLEST = _Machine(memory=160, body_bytes=67_108_864)
_FEW_DESCRIPTORS = _Machine(descriptors=280)


def _build_configuration(body_bytes: int) -> bytes:
    action = {'service': 'guide', 'timeout': '8s', 'attempts': 2}
    rule = {
        'name': 'r',
        'kind': 'idempotent',
        'targetLatency': '600ms',
        'priority': 1,
        'match': {'pathPrefix': '/reads/'},
        'action': action,
    }
    return json.dumps(
        {
            'version': 'r3',
            'limits': {
                'headerBytes': 16_384,
                'maxBodyBytes': body_bytes,
                'headerTimeout': '3000ms',
                'idleTimeout': '15s',
            },
            'listeners': [{'host': 'shop.example', 'rules': [rule]}],
            'clusters': [{'name': 'guide', 'maxConns': 130}],
        }
    ).encode()


def _build_entry(port: int) -> bytes:
    return json.dumps(
        {
            'service': 'guide',
            'address': f'{_SERVER}:{port}',
            'zone': 'a',
            'version': 'v1',
            'slots': 60,
            'state': 'ready',
            'warmupLeft': '0ms',
            'seq': 1,
            'born': 5,
        }
    ).encode()


def _find_ports(count: int) -> list[int]:
    """Return free ports, each with a free one above it."""
    opened: list[trio.SocketListener] = []
    ports: list[int] = []
    while len(ports) < count:
        listener = sockets.listen(_GATEWAY, 0)
        assert listener is not None
        opened.append(listener)
        port = listener.socket.getsockname()[1]
        above = sockets.listen(_GATEWAY, port + 1)
        if above is not None:
            opened.append(above)
            ports.append(port)
    for listener in opened:
        listener.socket.close()
    return ports


# Server.


async def _serve_requests(stream: trio.SocketStream) -> None:
    """Discard the bodies of requests with a length, and answer with 200."""
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        rest: bytes | None = b''
        while rest is not None:
            rest = await _serve_request(stream, rest)


async def _serve_request(
    stream: trio.SocketStream, received: bytes
) -> bytes | None:
    """Return the bytes behind the request, or None at the end."""
    while _HEAD_END not in received:
        part = await stream.receive_some(_PIECE)
        if not part:
            return None
        received += part
    head, _, rest = received.partition(_HEAD_END)
    left = _read_length(head) - len(rest)
    while left > 0:
        rest = await stream.receive_some(_PIECE)
        if not rest:
            return None
        left -= len(rest)
    await stream.send_all(_build_answer(head))
    return rest[len(rest) + left :]


def _read_length(head: bytes) -> int:
    found = re.search(rb'(?i)\r\ncontent-length: *(\d+)', head)
    return 0 if found is None else int(found.group(1))


def _build_answer(head: bytes) -> bytes:
    found = re.search(rb'(?i)\r\nx-attempt-id: *(\S+)', head)
    attempt = b'none' if found is None else found.group(1)
    return (
        b'HTTP/1.1 200 OK\r\nx-attempt-id: %b\r\nx-upstream-seal: seal\r\n'
        b'content-length: 2\r\n\r\nok' % attempt
    )


# The gateway.


@dataclass(slots=True)
class _Gateway:
    """Read the state of a running gateway process."""

    process: subprocess.Popen[bytes]
    port: int
    machine: _Machine

    def check(self) -> None:
        """Check that the process lives within the limits of its machine."""
        assert self.process.poll() is None
        folder = Path('/proc', str(self.process.pid))
        found = re.search(r'VmHWM:\s+(\d+) kB', (folder / 'status').read_text())
        assert found is not None
        peak = int(found.group(1)) * _KIBIBYTE // _MEGABYTE
        descriptors = len(os.listdir(folder / 'fd'))
        # Shown if the test fails.
        sys.stdout.write(f'peak {peak} MB, {descriptors} descriptors\n')
        assert peak < self.machine.memory
        assert descriptors < self.machine.descriptors - _FILES

    async def ask(self, body: bytes = b'', *, chunked: bool = False) -> int:
        """Return the status of one request on a connection of its own."""
        stream = await trio.open_tcp_stream(_GATEWAY, self.port)
        async with stream:
            encoded = b'%x\r\n%b\r\n0\r\n\r\n' % (len(body), body)
            framing = _CHUNKED if chunked else _announce(len(body))
            await stream.send_all(_HEAD + framing)
            await stream.send_all(encoded if chunked else body)
            return await _read_status(stream)


async def _read_status(stream: trio.SocketStream) -> int:
    received = b''
    while b'\r\n' not in received:
        part = await stream.receive_some(_PIECE)
        if not part:
            return 0
        received += part
    return int(received.split(b' ')[1])


async def _wait_until_served(gateway: _Gateway) -> None:
    status = 0
    while status != 200:
        assert gateway.process.poll() is None
        with suppress(OSError, trio.BrokenResourceError):
            status = await gateway.ask()
        await trio.sleep(0.1)


def _start_process(
    folder: Path, machine: _Machine, port: int, store_port: int
) -> subprocess.Popen[bytes]:
    ready, peers = _find_ports(2)
    path = folder / 'settings.toml'
    path.write_text(
        _SETTINGS.format(
            front=port,
            ready=ready,
            peers=peers,
            last=peers + 2,
            store=store_port,
            memory=machine.memory,
            descriptors=machine.descriptors,
        )
    )
    with (folder / 'log').open('wb') as log:
        return subprocess.Popen(
            [sys.executable, '-m', 'trefoilsaddle.programs.gatewaystart'],
            env={**os.environ, 'TREFOILSADDLE_CONFIG': str(path)},
            stdout=log,
            stderr=log,
        )


async def _start_store(nursery: trio.Nursery, machine: _Machine) -> int:
    """Start a store that lists one server; return its port."""
    listeners = await trio.open_tcp_listeners(0, host=_SERVER)
    server_port = listeners[0].socket.getsockname()[1]
    nursery.start_soon(trio.serve_listeners, _serve_requests, listeners)
    store = StoreStandIn()
    configuration = _build_configuration(machine.body_bytes)
    store.put('keyed.op', 'config', configuration)
    store.put('keyed.servers', 'i-1', _build_entry(server_port))
    port: int = await nursery.start(store.serve)
    return port


@asynccontextmanager
async def _run_gateway(
    folder: Path, machine: _Machine
) -> AsyncIterator[_Gateway]:
    """Run a store, one server and a gateway process."""
    async with trio.open_nursery() as nursery:
        store_port = await _start_store(nursery, machine)
        port = _find_ports(1)[0]
        process = _start_process(folder, machine, port, store_port)
        with ExitStack() as stack:
            stack.callback(process.wait)
            stack.callback(process.kill)
            gateway = _Gateway(process, port, machine)
            await _wait_until_served(gateway)
            yield gateway
        nursery.cancel_scope.cancel()


# Callers.

_HEAD = (
    b'POST /reads/1 HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: mine\r\n'
    b'x-deadline-ms: 8000\r\n'
)
_CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
# A body of small chunks that keeps the client's own cost low.
_SMALL_CHUNKS = b'1\r\nx\r\n' * 10_000
_SMALL_ROUNDS = 8


def _announce(length: int) -> bytes:
    return b'content-length: %d\r\n\r\n' % length


_Send = Callable[[trio.SocketStream, int], Awaitable[None]]


async def _send_whole(stream: trio.SocketStream, limit: int) -> None:
    body = bytes(limit - 1)
    await stream.send_all(_HEAD + _announce(len(body)))
    await stream.send_all(body)


async def _send_most(stream: trio.SocketStream, limit: int) -> None:
    """Send a body in pieces, and all of it but the last byte."""
    await stream.send_all(_HEAD + _announce(limit))
    piece = bytes(_PIECE)
    left = limit - 1
    while left:
        size = min(left, _PIECE)
        await stream.send_all(piece[:size])
        await trio.sleep(0.01)
        left -= size


async def _send_large_chunks(stream: trio.SocketStream, limit: int) -> None:
    await stream.send_all(_HEAD + _CHUNKED)
    chunk = bytes(limit // 4)
    for _ in range(3):
        await stream.send_all(b'%x\r\n%b\r\n' % (len(chunk), chunk))
    await stream.send_all(b'%x\r\n%b' % (len(chunk), chunk[:-1]))


async def _send_small_chunks(stream: trio.SocketStream, limit: int) -> None:
    await stream.send_all(_HEAD + _CHUNKED)
    for _ in range(_SMALL_ROUNDS):
        await stream.send_all(_SMALL_CHUNKS)
    await stream.send_all(b'1\r\n')


async def _announce_too_much(stream: trio.SocketStream, limit: int) -> None:
    await stream.send_all(_HEAD + _announce(limit * 16))
    await _send_on(stream, limit)


async def _send_too_much(stream: trio.SocketStream, limit: int) -> None:
    await stream.send_all(_HEAD + _CHUNKED)
    await stream.send_all(b'%x\r\n' % (limit * 16))
    await _send_on(stream, limit)


async def _send_on(stream: trio.SocketStream, limit: int) -> None:
    piece = bytes(_PIECE)
    for _ in range(limit * 4 // _PIECE):
        await stream.send_all(piece)


async def _announce_only(stream: trio.SocketStream, limit: int) -> None:
    await stream.send_all(_HEAD + _announce(limit))
    await stream.send_all(b'x')


async def _send_nothing(stream: trio.SocketStream, limit: int) -> None:
    await trio.lowlevel.checkpoint()


_BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


@dataclass(slots=True)
class _Client:
    """Send one hostile request, and keep the connection open."""

    gateway: _Gateway
    send: _Send
    # Set once everything was sent, or the gateway has closed the connection.
    settled: trio.Event = field(default_factory=trio.Event)

    async def run(self) -> None:
        """Send until the gateway closes the connection, then wait."""
        try:
            stream = await trio.open_tcp_stream(_GATEWAY, self.gateway.port)
        except OSError:
            self.settled.set()
            return
        async with stream:
            with suppress(*_BROKEN):
                await self.send(stream, self.gateway.machine.body_bytes)
            self.settled.set()
            await trio.sleep_forever()


async def _wait_until_settled(crowd: list[_Client]) -> None:
    with trio.move_on_after(_SENDING):
        for client in crowd:
            await client.settled.wait()
    await trio.sleep(_SETTLE)


def _attack(folder: Path, machine: _Machine, send: _Send, clients: int) -> None:
    """Check the gateway, and one request, while the clients stay open."""

    async def run() -> None:
        with trio.fail_after(_LIVENESS_BOUND):
            async with (
                _run_gateway(folder, machine) as gateway,
                trio.open_nursery() as nursery,
            ):
                crowd = [_Client(gateway, send) for _ in range(clients)]
                for client in crowd:
                    nursery.start_soon(client.run)
                await _wait_until_settled(crowd)
                gateway.check()
                status = await gateway.ask(b'small')
                gateway.check()
                assert status == 200
                nursery.cancel_scope.cancel()

    trio.run(run)


_ATTACKS: dict[str, _Send] = {
    'whole': _send_whole,
    'in pieces': _send_most,
    'large chunks': _send_large_chunks,
    'small chunks': _send_small_chunks,
    'announced far over the limit': _announce_too_much,
    'sent far over the limit': _send_too_much,
}


# Guards against a gateway that is ended by its machine, as many bodies at once
# take more memory than that has, or that answers nobody else meanwhile.
@pytest.mark.parametrize('send', _ATTACKS.values(), ids=_ATTACKS)
def test_bodies_of_a_crowd_stay_within_memory(
    tmp_path: Path, send: _Send
) -> None:
    """Stay within the memory of the machine, and answer others."""
    _attack(tmp_path, _Machine(), send, _CROWD)


# Machines, and connections just below what each accepts.
_CROWDED = {
    'smallest machine of the platform': (
        _Machine(memory=160, body_bytes=_MEGABYTE),
        700,
    ),
    'machine of a small deployment': (
        _Machine(300, 4100, body_bytes=_MEGABYTE),
        1800,
    ),
}


# Guards against a gateway that is ended by its machine, as the connections that
# bring bodies take what is left beside these.
@pytest.mark.parametrize(
    ('machine', 'clients'), _CROWDED.values(), ids=_CROWDED
)
def test_connections_of_a_crowd_stay_within_memory(
    tmp_path: Path, machine: _Machine, clients: int
) -> None:
    """Have bodies give way to connections, and answer others."""
    _attack(tmp_path, machine, _send_most, clients)


_OPENINGS: dict[str, _Send] = {
    'idle': _send_nothing,
    'unfinished': _announce_only,
}


# Guards against a gateway without descriptors for its servers and its store, as
# callers have opened too many connections.
@pytest.mark.parametrize('send', _OPENINGS.values(), ids=_OPENINGS)
def test_connections_of_a_crowd_leave_descriptors(
    tmp_path: Path, send: _Send
) -> None:
    """Stay below the limit on descriptors, and answer others."""
    _attack(tmp_path, _FEW_DESCRIPTORS, send, _MANY)


_CALM = {
    'small machine': _Machine(),
    'smallest machine of the platform': _SMALLEST,
}


# Guards against limits that refuse what the platform allows.
@pytest.mark.parametrize('machine', _CALM.values(), ids=_CALM)
@pytest.mark.parametrize('chunked', [False, True], ids=['length', 'chunked'])
def test_single_body_within_the_limit_is_served(
    tmp_path: Path, machine: _Machine, *, chunked: bool
) -> None:
    """Answer a request just below the limit within the machine's memory."""

    async def run() -> None:
        with trio.fail_after(_LIVENESS_BOUND):
            async with _run_gateway(tmp_path, machine) as gateway:
                body = bytes(machine.body_bytes - 1)
                status = await gateway.ask(body, chunked=chunked)
                gateway.check()
                assert status == 200

    trio.run(run)
