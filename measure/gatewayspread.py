"""Measure how many gateways together spread requests of a service without keys.

Run as `python -m measure.gatewayspread [SEEDS]`.  Each gateway knows the
server loads that the controller sends, which are as old as the reports that
they are computed from.
"""

import sys
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from random import Random
from types import MappingProxyType

from measure.gatewayworld import World, build_world
from measure.report import write_row
from measure.worldcalls import CallResult
from trefoilsaddle.core.units import Rank, Seconds, ServiceName, Version
from trefoilsaddle.gateway.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceRules,
    WeightedService,
)

_SEEDS = 3
_SERVICE = 'intake'
# A keyed service is needed as well: gateways follow a controller only after it
# has written an ownership table.
_KEYED_SERVICE = 'catalogue'
# Servers of one service differ in speed, as on the users' sites.
_SPEEDS = (0.6, 1, 1.4)
_SPREAD = 0.5
_WARM_UP = Seconds(6)
_LENGTH = Seconds(8)
_BUDGET = Seconds(4)


@dataclass(frozen=True, slots=True)
class SpreadLoad:
    """Fleet size and request load on one service."""

    gateways: int
    servers: int
    # Requests per second, and their mean service time at speed 1.
    rate: float
    work: Seconds
    goal: Seconds
    # Delay of reports before the controller reads them.
    lag: Seconds = Seconds(0)


# Loads of one region of the users' grown site, and of one of a small site.
LOADS: Mapping[str, SpreadLoad] = MappingProxyType(
    {
        'filings, grown': SpreadLoad(45, 22, 83, Seconds(0.33), Seconds(2)),
        'filings, grown, old loads': SpreadLoad(
            45, 22, 83, Seconds(0.33), Seconds(2), Seconds(0.5)
        ),
        'charges, grown': SpreadLoad(45, 11, 75, Seconds(0.18), Seconds(0.5)),
        'filings, small': SpreadLoad(6, 6, 46, Seconds(0.21), Seconds(1.2)),
    }
)


@dataclass(frozen=True, slots=True)
class SpreadResult:
    """Fractions of all requests by result."""

    in_goal: float
    unserved: float


def run_load(load: SpreadLoad, seed: int) -> SpreadResult:
    """Simulate a load with one seed."""
    random = Random(seed)
    names = [f'gate-{number}' for number in range(load.gateways)]
    world = build_world(_build_configuration(load), names, seed)
    world.report_lag = load.lag
    world.add_server('keeper', _KEYED_SERVICE)
    for number in range(load.servers):
        speed = _SPEEDS[number % len(_SPEEDS)]
        world.add_server(f'intake-{number}', _SERVICE, speed)
    # 1.13 is the mean of the log-normal factor, so that the mean of the drawn
    # times is that of the load.
    median = load.work / 1.13
    world.work_time = partial(_draw_work, random, median)
    world.run(_WARM_UP)
    moment = random.expovariate(load.rate)
    while moment < _LENGTH:
        world.after(moment, partial(_call, world, random.choice(names)))
        moment += random.expovariate(load.rate)
    world.run(_LENGTH + _BUDGET + 1)
    return _sum_up(load, list(world.results.values()))


def _draw_work(random: Random, median: float) -> Seconds:
    return Seconds(median * random.lognormvariate(0, _SPREAD))


def _call(world: World, node: str) -> None:
    world.call(node, '/intake/x', remaining=_BUDGET)


def _sum_up(load: SpreadLoad, ended: list[CallResult]) -> SpreadResult:
    served = [
        entry.ended - entry.sent
        for entry in ended
        if entry.served and entry.ended is not None
    ]
    in_goal = [elapsed for elapsed in served if elapsed <= load.goal]
    total = len(ended)
    return SpreadResult(len(in_goal) / total, 1 - len(served) / total)


def _build_configuration(load: SpreadLoad) -> Configuration:
    route = Route(
        name='intake',
        host='shop.example',
        prefix='/intake/',
        idempotent=False,
        rank=Rank(2),
        goal=load.goal,
        timeout=_BUDGET,
        attempts=2,
        services=(WeightedService(ServiceName(_SERVICE), 1),),
    )
    services = (
        ServiceRules(ServiceName(_SERVICE), 130, keyed=False),
        ServiceRules(ServiceName(_KEYED_SERVICE), 130, keyed=True),
    )
    return Configuration(
        version=Version(1),
        limits=CallerLimits(16_384, 1_048_576, Seconds(3), Seconds(15)),
        routes={'shop.example': (route,)},
        services={rules.name: rules for rules in services},
    )


def main() -> None:
    """Print a row for each load."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else _SEEDS
    for name, load in LOADS.items():
        runs = [run_load(load, seed) for seed in range(1, seeds + 1)]
        write_row(
            name,
            in_goal=sum(entry.in_goal for entry in runs) / seeds,
            unserved=sum(entry.unserved for entry in runs) / seeds,
        )


if __name__ == '__main__':
    main()
