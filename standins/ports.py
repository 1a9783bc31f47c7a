"""Pick ports of the loopback address for the processes of a deployment."""

import os
import socket
from collections.abc import Iterator
from itertools import cycle, islice

import trio

LOOPBACK = '127.0.0.1'

# Below the ports that the system gives to outgoing connections.
_FIRST = 10_000
_COUNT = 20_000
# Keeps runs with neighbouring process numbers apart.
_STRIDE = 211


def pick_ports(count: int) -> list[int]:
    """Return free ports, none of them twice within this process."""
    return list(islice(_free_ports, count))


async def is_open(port: int) -> bool:
    """Tell whether a process listens on a port."""
    try:
        stream = await trio.open_tcp_stream(LOOPBACK, port)
    except OSError:
        return False
    await stream.aclose()
    return True


def _list_ports() -> Iterator[int]:
    start = os.getpid() * _STRIDE % _COUNT
    for step in cycle(range(_COUNT)):
        port = _FIRST + (start + step) % _COUNT
        if _is_free(port):
            yield port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        # As servers do: a port in TIME_WAIT can be listened on.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return probe.connect_ex((LOOPBACK, port)) != 0


_free_ports = _list_ports()
