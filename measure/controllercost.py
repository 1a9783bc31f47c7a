"""Measure what the reducer of a gateway costs, by kind of event.

Gateways, servers and callers are simulated; the time is the processor time of
this machine in `reduce`. Run with the numbers of gateways as arguments.
"""

import sys
from collections import defaultdict
from dataclasses import dataclass, field
from functools import partial
from random import Random
from time import process_time

from measure.gatewayload import SERVICE, build_configuration
from measure.gatewayworld import World
from measure.report import write_row
from measure.worldprocess import Process
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.events import Event
from trefoilsaddle.gateway.keys import ALL_KEYS

_SERVERS_PER_GATEWAY = 0.75
_REQUESTS_PER_GATEWAY = 3
_WARM_UP = Seconds(6)
_MEASURED = Seconds(5)
_ORDER_TURN = Seconds(0.0007)
_MICROSECONDS = 1_000_000
_SIZES = (30, 100, 200)


@dataclass(slots=True)
class Cost:
    """Sum the events of one kind and their processor time."""

    events: int = 0
    seconds: float = 0


@dataclass(slots=True)
class MeasuredWorld(World):
    """Simulation that measures its gateways' reducers."""

    measuring: bool = False
    # By role and kind of event.
    costs: dict[tuple[str, str], Cost] = field(
        default_factory=lambda: defaultdict(Cost)
    )

    def feed(self, process: Process, event: Event) -> None:
        """Reduce an event, and add its processor time."""
        leads = process.gateway.control.leading
        started = process_time()
        World.feed(self, process, event)
        if self.measuring:
            role = 'controller' if leads else 'other'
            cost = self.costs[(role, type(event).__name__)]
            cost.events += 1
            cost.seconds += process_time() - started


def run_fleet(gateways: int) -> MeasuredWorld:
    """Run a fleet of some size under an even load."""
    random = Random(1)
    world = MeasuredWorld(random)
    world.order_turn = _ORDER_TURN
    world.store.write_configuration(build_configuration())
    names = [f'gate-{number}' for number in range(gateways)]
    for number in range(int(gateways * _SERVERS_PER_GATEWAY)):
        world.add_server(f'guide-{number}', SERVICE)
    for name in names:
        world.start_gateway(name)
    world.run(2)
    pause = 1 / (gateways * _REQUESTS_PER_GATEWAY)
    world.after(0, partial(_send_load, world, names, pause))
    world.run(_WARM_UP)
    world.measuring = True
    world.run(_MEASURED)
    return world


def _send_load(world: World, names: list[str], pause: float) -> None:
    key = world.random.randrange(ALL_KEYS.width)
    world.call(world.random.choice(names), '/reads/x', key)
    world.after(pause, partial(_send_load, world, names, pause))


def write_rows(world: MeasuredWorld, gateways: int) -> None:
    """Print a row for each role and kind of event."""
    for (role, kind), cost in sorted(world.costs.items()):
        count = 1 if role == 'controller' else gateways - 1
        write_row(
            f'{role}: {kind}',
            gateways=gateways,
            per_second=cost.events / _MEASURED / count,
            microseconds=cost.seconds / cost.events * _MICROSECONDS,
            cores=cost.seconds / _MEASURED / count,
        )


def main() -> None:
    """Print the rows of the sizes given as arguments."""
    sizes = [int(text) for text in sys.argv[1:]] or list(_SIZES)
    for gateways in sizes:
        write_rows(run_fleet(gateways), gateways)


if __name__ == '__main__':
    main()
