"""Pick free loopback ports for the processes of a deployment."""

import os
import socket
from collections.abc import Iterator
from itertools import cycle, islice

import trio

LOOPBACK = '127.0.0.1'

# Below the ephemeral ports that the system assigns to outgoing connections.
_FIRST_PORT = 10_000
_PORT_COUNT = 20_000
# Spreads the start ports of runs with adjacent process ids.
_STRIDE = 211


def pick_ports(count: int) -> list[int]:
    """Return free ports, different ones in each call within this process."""
    return list(islice(_port_numbers, count))


async def is_open(port: int) -> bool:
    """Return whether a process listens on a port."""
    try:
        stream = await trio.open_tcp_stream(LOOPBACK, port)
    except OSError:
        return False
    await stream.aclose()
    return True


def _list_ports() -> Iterator[int]:
    start = os.getpid() * _STRIDE % _PORT_COUNT
    for step in cycle(range(_PORT_COUNT)):
        port = _FIRST_PORT + (start + step) % _PORT_COUNT
        if _is_free(port):
            yield port


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        # Servers set this option too, so a port in TIME_WAIT counts as free.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return probe.connect_ex((LOOPBACK, port)) != 0


_port_numbers = _list_ports()
