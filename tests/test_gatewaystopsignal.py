"""Test that a gateway exits in time after SIGTERM, with its answers written."""

import json
import os
import signal
import socket
import time
from pathlib import Path

import pytest
import trio

from standins.platform import StoreStandIn
from tests.scriptedserver import ScriptedServer, Step, whole
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http import sockets
from trefoilsaddle.platform.settings import GatewaySettings, read_settings
from trefoilsaddle.programs.gateway import serve_gateway

_HOST = '127.0.0.1'
# Seconds between SIGTERM and SIGKILL, and for which the loop is busy at SIGTERM.
_GRACE = 3.7
_BUSY = 0.6
_LIVENESS_BOUND = 20
# Seconds from SIGTERM at which the caller still reads its answer.
_READING = 4
_SMALL_BUFFER = 65_536
_WINDOW = 4096
_PAUSE = 0.2
_BODY = b'b' * 8_388_608
_SHORT_BODY = b'b' * 12_000
_GET = b'GET /reads/1 HTTP/1.1\r\nhost: shop.example\r\n'
_HEADERS = b'x-attempt-id: mine\r\nx-deadline-ms: 2000\r\n\r\n'
_PATIENT_HEADERS = b'x-attempt-id: mine\r\nx-deadline-ms: 6000\r\n\r\n'
_SEAL = (b'x-attempt-id: mine', b'x-upstream-seal: seal')
_CONFIGURATION = {
    'version': 'r3',
    'limits': {
        'headerBytes': 16_384,
        'maxBodyBytes': 1000,
        'headerTimeout': '3000ms',
        'idleTimeout': '15s',
    },
    'listeners': [
        {
            'host': 'shop.example',
            'rules': [
                {
                    'name': 'r',
                    'kind': 'idempotent',
                    'targetLatency': '600ms',
                    'priority': 1,
                    'match': {'pathPrefix': '/reads/'},
                    'action': {
                        'service': 'guide',
                        'timeout': '2s',
                        'attempts': 2,
                    },
                },
            ],
        },
    ],
    'clusters': [{'name': 'guide', 'maxConns': 130}],
}
_ENTRY = {
    'service': 'guide',
    'zone': 'a',
    'version': 'v1',
    'slots': 3,
    'state': 'ready',
    'warmupLeft': '0ms',
    'seq': 1,
    'born': 5,
}
_SETTINGS = """
node = "edge-a-1"
ip = "127.0.0.1"
zone = "a"
region = "east"
heartbeat = "870ms"
internalPorts = [{peers}, {last}]
[zones]
a = "east"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
retryRatio = 0.2
retrySlack = 64
budgetWindow = "10s"
holdMax = "10000ms"
grace = "{grace}"
[platform]
address = "127.0.0.1:{store}"
"""


def _find_ports(count: int) -> list[int]:
    """Return free ports, each with a free one above it."""
    opened: list[trio.SocketListener] = []
    ports: list[int] = []
    while len(ports) < count:
        listener = sockets.listen(_HOST, 0)
        assert listener is not None
        opened.append(listener)
        port = listener.socket.getsockname()[1]
        above = sockets.listen(_HOST, port + 1)
        if above is not None:
            opened.append(above)
            ports.append(port)
    for listener in opened:
        listener.socket.close()
    return ports


def _write_settings(path: Path, grace: float, store: int) -> GatewaySettings:
    front, ready, peers = _find_ports(3)
    path.write_text(
        _SETTINGS.format(
            front=front,
            ready=ready,
            peers=peers,
            last=peers + 2,
            store=store,
            grace=f'{grace}s',
        )
    )
    settings = read_settings(path, 1)
    assert isinstance(settings, GatewaySettings)
    return settings


async def _run_gateway(settings: GatewaySettings, path: Path) -> None:
    """Run a gateway, and fail at once if it cannot start."""
    failure = await serve_gateway(settings, path)
    assert failure is None, failure


async def _wait_until_running(port: int) -> None:
    stream = None
    while stream is None:
        stream = await sockets.open_stream(_HOST, port, Seconds(1))
        await trio.sleep(0.05)
    sockets.close(stream)


# Guards against a process that is killed with its last answers unwritten, as a
# busy loop handled SIGTERM late and counted the whole grace from then on.
@pytest.mark.parametrize('busy', [0, _BUSY])
def test_exit_counts_from_the_signal(tmp_path: Path, busy: float) -> None:
    """Exit within the grace, however late the loop handles the signal."""
    path = tmp_path / 'settings.toml'

    async def run() -> float:
        settings = _write_settings(path, _GRACE, _find_ports(1)[0])
        with trio.fail_after(_LIVENESS_BOUND):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_run_gateway, settings, path)
                await _wait_until_running(settings.ready.port)
                sent = trio.current_time()
                os.kill(os.getpid(), signal.SIGTERM)
                time.sleep(busy)
        return trio.current_time() - sent

    assert trio.run(run) < _GRACE


async def _start_store(nursery: trio.Nursery, server_port: int) -> int:
    store = StoreStandIn()
    port: int = await nursery.start(store.serve)
    store.put('keyed.op', 'config', json.dumps(_CONFIGURATION).encode())
    entry = _ENTRY | {'address': f'{_HOST}:{server_port}'}
    store.put('keyed.servers', 'i-1', json.dumps(entry).encode())
    return port


async def _ask(port: int) -> trio.SocketStream:
    """Return a connection on which an answer with success has begun."""
    status = b''
    while status != b'200':
        stream = await trio.open_tcp_stream(_HOST, port)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _SMALL_BUFFER)
        await stream.send_all(_GET + _HEADERS)
        status = (await stream.receive_some(12))[-3:]
        await trio.sleep(_PAUSE)
    return stream


async def _read_slowly(stream: trio.SocketStream, until: float) -> bytes:
    received = bytearray()
    part = await stream.receive_some(_SMALL_BUFFER)
    while part:
        received += part
        if trio.current_time() < until:
            await trio.sleep(_PAUSE)
        part = await stream.receive_some(_SMALL_BUFFER)
    return bytes(received)


# Guards against answers that are cut while they are written, as the process ended
# once no request was at a server.
def test_exit_waits_for_answers_that_are_written(tmp_path: Path) -> None:
    """Write the whole answer to a slow reader before the process ends."""
    path = tmp_path / 'settings.toml'

    async def run() -> bytes:
        server = ScriptedServer([Step(whole(_BODY, *_SEAL))])
        with trio.fail_after(_LIVENESS_BOUND):
            async with trio.open_nursery() as nursery:
                server_port = await nursery.start(server.serve)
                store_port = await _start_store(nursery, server_port)
                settings = _write_settings(path, 6, store_port)
                nursery.start_soon(_run_gateway, settings, path)
                await _wait_until_running(settings.ready.port)
                stream = await _ask(settings.callers.port)
                os.kill(os.getpid(), signal.SIGTERM)
                until = trio.current_time() + _READING
                received = await _read_slowly(stream, until)
                nursery.cancel_scope.cancel()
        return received

    assert trio.run(run).endswith(b'\r\n\r\n' + _BODY)


async def _ask_without_reading(port: int) -> trio.SocketStream:
    connection = trio.socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _WINDOW)
    await connection.connect((_HOST, port))
    stream = trio.SocketStream(connection)
    await stream.send_all(_GET + _PATIENT_HEADERS)
    await trio.sleep(_PAUSE * 2)
    return stream


async def _send_and_read(stream: trio.SocketStream) -> bytes:
    # A connection that was closed meanwhile is reset by this request.
    await stream.send_all(_GET + _PATIENT_HEADERS)
    await trio.sleep(_PAUSE)
    received = bytearray()
    async for part in stream:
        received += part
    return bytes(received)


async def _stop_before_reading(port: int) -> bytes:
    (await _ask(port)).socket.close()
    stream = await _ask_without_reading(port)
    os.kill(os.getpid(), signal.SIGTERM)
    await trio.sleep(_READING)
    return await _send_and_read(stream)


# Guards against an answer that was written before SIGTERM, and that the exit of
# the process resets, as its caller has not read it yet.
def test_exit_waits_for_kept_connections(tmp_path: Path) -> None:
    """Keep the connection of a late reader until it has its answer."""
    path = tmp_path / 'settings.toml'

    async def run() -> bytes:
        step = Step(whole(_SHORT_BODY, *_SEAL))
        server = ScriptedServer([step, step, step])
        with trio.fail_after(_LIVENESS_BOUND):
            async with trio.open_nursery() as nursery:
                server_port = await nursery.start(server.serve)
                store_port = await _start_store(nursery, server_port)
                settings = _write_settings(path, 6, store_port)
                nursery.start_soon(_run_gateway, settings, path)
                await _wait_until_running(settings.ready.port)
                received = await _stop_before_reading(settings.callers.port)
                nursery.cancel_scope.cancel()
        return received

    first, _, rest = trio.run(run).partition(b'HTTP/1.1 503')
    assert first.endswith(b'\r\n\r\n' + _SHORT_BODY)
    assert b'connection: close' in rest.lower()


# Guards against callers that hold a process until it is killed, as they read none
# of their answers.
def test_exit_does_not_wait_for_callers_that_never_read(tmp_path: Path) -> None:
    """Exit within the grace, whatever was not read."""
    path = tmp_path / 'settings.toml'

    async def run() -> float:
        step = Step(whole(_BODY, *_SEAL))
        server = ScriptedServer([step for _ in range(8)])
        with trio.fail_after(_LIVENESS_BOUND):
            async with trio.open_nursery() as nursery:
                port = await nursery.start(server.serve)
                store_port = await _start_store(nursery, port)
                settings = _write_settings(path, _GRACE, store_port)
                elapsed = await _stop_unread(settings, path)
                nursery.cancel_scope.cancel()
        return elapsed

    assert trio.run(run) < _GRACE


async def _stop_unread(settings: GatewaySettings, path: Path) -> float:
    port = settings.callers.port
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_gateway, settings, path)
        await _wait_until_running(settings.ready.port)
        unread = [await _ask(port), await _ask_without_reading(port)]
        sent = trio.current_time()
        os.kill(os.getpid(), signal.SIGTERM)
        unread.append(await _ask_without_reading(port))
    for stream in unread:
        stream.socket.close()
    return trio.current_time() - sent
