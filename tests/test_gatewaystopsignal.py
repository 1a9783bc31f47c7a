"""Test that a gateway counts the time of a stop from the signal."""

import os
import signal
import time
from pathlib import Path

import pytest
import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http import sockets
from trefoilsaddle.platform.settings import GatewaySettings, read_settings
from trefoilsaddle.programs.gateway import serve_gateway

_HOST = '127.0.0.1'
# Seconds between SIGTERM and SIGKILL, and for which the loop is busy at SIGTERM.
_GRACE = 3.7
_BUSY = 0.6
_LIVENESS_BOUND = 20
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
grace = "3700ms"
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


def _write_settings(path: Path) -> GatewaySettings:
    front, ready, peers, store = _find_ports(4)
    path.write_text(
        _SETTINGS.format(
            front=front,
            ready=ready,
            peers=peers,
            last=peers + 2,
            store=store,
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
        settings = _write_settings(path)
        with trio.fail_after(_LIVENESS_BOUND):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_run_gateway, settings, path)
                await _wait_until_running(settings.ready.port)
                sent = trio.current_time()
                os.kill(os.getpid(), signal.SIGTERM)
                time.sleep(busy)
        return trio.current_time() - sent

    assert trio.run(run) < _GRACE
