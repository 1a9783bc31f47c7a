"""Pick free loopback ports for the processes of a deployment."""

import os
import socket
from collections.abc import Iterator
from itertools import cycle, islice

import trio

LOOPBACK = '127.0.0.1'

# Below the ephemeral ports that the system assigns to outgoing connections.
_FIRST_PORT = 10_000
# Each process takes whole blocks, so that runs side by side share no port.
_BLOCK_COUNT = 40
_BLOCK_SIZE = 500

# Held until the process ends.
_reservations: dict[int, socket.socket] = {}


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
    start = os.getpid() % _BLOCK_COUNT
    for step in cycle(range(_BLOCK_COUNT)):
        block = (start + step) % _BLOCK_COUNT
        first = _FIRST_PORT + block * _BLOCK_SIZE
        if _reserve(first):
            yield from filter(_is_free, range(first + 1, first + _BLOCK_SIZE))


def _reserve(port: int) -> bool:
    """Reserve a block by its first port; False if another process has it."""
    if port in _reservations:
        return True
    reservation = socket.socket()
    try:
        reservation.bind((LOOPBACK, port))
    except OSError:
        reservation.close()
        return False
    reservation.listen()
    _reservations[port] = reservation
    return True


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        # Servers set this option too, so a port in TIME_WAIT counts as free.
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        return probe.connect_ex((LOOPBACK, port)) != 0


_port_numbers = _list_ports()
