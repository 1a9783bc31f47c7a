"""Measure a controller's cost for an order: `python -m measure.ordercost`.

The servers run in a separate thread, whose processor time is not counted.
"""

import threading
from collections.abc import Awaitable, Callable
from functools import partial
from time import thread_time

import trio

from measure.report import write_row
from standins.platform import ServerStandIn
from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName
from trefoilsaddle.gateway.effects import GrantKeys
from trefoilsaddle.gateway.events import OrderEnded, OrderVerdict
from trefoilsaddle.gateway.keys import divide_keys
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.platform.orders import PlatformOrders

_HOST = '127.0.0.1'
_SERVERS = 97
_ROUNDS = 10
_TIMEOUT = Seconds(2)
_HOLD = Seconds(9)
_AT_ONCE = 8
_MILLISECONDS = 1000
_Grant = Callable[[GrantKeys], Awaitable[OrderEnded]]


def _build_grants(ports: dict[int, int]) -> list[GrantKeys]:
    ranges = divide_keys(len(ports))
    return [
        GrantKeys(_build_server(number, port), keys, 1, _HOLD, handover='')
        for (number, port), keys in zip(ports.items(), ranges, strict=True)
    ]


def _build_server(number: int, port: int) -> Server:
    return Server(
        ServerIncarnation(ServerId(f'i-{number}'), 1),
        ServiceName('guide'),
        _HOST,
        port,
        ZoneName('east-1'),
        slots=3,
        draining=False,
        warm_up_left=Seconds(0),
    )


async def _serve(ports: dict[int, int], started: threading.Event) -> None:
    async with trio.open_nursery() as nursery:
        for number in range(_SERVERS):
            nursery.start_soon(_serve_one, number, ports, started)


async def _serve_one(
    number: int,
    ports: dict[int, int],
    started: threading.Event,
) -> None:
    stand_in = ServerStandIn(f'i-{number}')
    async with trio.open_nursery() as nursery:
        ports[number] = await nursery.start(stand_in.serve)
        if len(ports) == _SERVERS:
            started.set()


async def _send(
    grant: _Grant,
    limit: trio.CapacityLimiter,
    effect: GrantKeys,
) -> None:
    async with limit:
        ended = await grant(effect)
    if ended.verdict != OrderVerdict.done:
        raise RuntimeError(f'{effect.keys} was not granted: {ended.verdict}')


async def _measure(ports: dict[int, int]) -> list[float]:
    orders = PlatformOrders(_TIMEOUT, _TIMEOUT)
    limit = trio.CapacityLimiter(_AT_ONCE)
    costs = []
    for _ in range(_ROUNDS):
        before = thread_time()
        async with trio.open_nursery() as nursery:
            for effect in _build_grants(ports):
                nursery.start_soon(_send, orders.grant, limit, effect)
        costs.append((thread_time() - before) / len(ports))
    return costs


def main() -> None:
    """Print the processor time of an order on new and on kept connections."""
    ports: dict[int, int] = {}
    started = threading.Event()
    serve = partial(trio.run, _serve, ports, started)
    threading.Thread(target=serve, daemon=True).start()
    started.wait()
    first, *later = trio.run(_measure, ports)
    mean = sum(later) / len(later)
    write_row('new', milliseconds=first * _MILLISECONDS)
    write_row('kept', milliseconds=mean * _MILLISECONDS)


if __name__ == '__main__':
    main()
