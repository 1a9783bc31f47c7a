"""Measure served requests under heavy keyed load, compared with baselines.

Run as `python -m measure.gatewayload [SEEDS]`.  Gateways, store and servers
run in virtual time.  Refused callers retry at most once, after the time in
the answer, and give up at their deadline, as on the users' sites.
"""

import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random
from types import MappingProxyType
from unittest.mock import patch

from measure.gatewayworld import World, build_world
from measure.report import write_row
from trefoilsaddle.core.units import CallId, Rank, Seconds, ServiceName, Version
from trefoilsaddle.gateway import balance, controller, placing
from trefoilsaddle.gateway.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceRules,
    WeightedService,
)
from trefoilsaddle.gateway.events import Topic
from trefoilsaddle.gateway.keys import ALL_KEYS

_SEEDS = 3
SERVICE = 'catalogue'
_GATEWAYS = tuple(f'gate-{number}' for number in range(6))
# Values of the cple-gateway data sheet: number of servers of the keyed service,
# latency goal and time budget of its requests, and one retry by the caller.
_SERVERS = 14
_GOAL = Seconds(0.6)
_BUDGET = Seconds(2.5)
_ATTEMPTS = 2
# A caller waits for at most its remaining time divided by this.
_WAIT_DIVISOR = 3
# Servers of one service differ in speed.
_SPEEDS = (0.6, 0.8, 1, 1, 1.2, 1.4)
# Parameters of the log-normal service time: mu and sigma, for a mean of 160 ms.
_WORK = -2.0
_WORK_SPREAD = 0.6
_WARM_UP = Seconds(6)
_LENGTH = Seconds(24)
_COOL_DOWN = Seconds(4)
# Interval between two checks whether a request has ended.
_POLL_INTERVAL = Seconds(0.01)


@dataclass(frozen=True, slots=True)
class Span:
    """Time span, in seconds from the first request."""

    first: Seconds
    last: Seconds

    def contains(self, elapsed: float) -> bool:
        """Return whether a time lies in the span."""
        return self.first <= elapsed <= self.last


@dataclass(frozen=True, slots=True)
class Load:
    """Request load on the keyed service."""

    # Requests per second.
    rate: float
    # Fractions of the requests for one hot key and for its neighbours.
    hot: float = 0
    near: float = 0
    # Number of neighbour keys, and the time until other keys become hot.
    width: int = 400
    period: Seconds = Seconds(6)
    # Time spans in which keys are hot.
    hot_times: tuple[Span, ...] = (Span(Seconds(0), _LENGTH),)


LOADS: Mapping[str, Load] = MappingProxyType(
    {
        'calm': Load(110),
        'hot neighbours': Load(130, 0.07, 0.33),
        'hot neighbours in a burst': Load(200, 0.07, 0.33),
        'burst': Load(230),
        # Load of the cple-gateway run quiet-1: 68 requests per second in its
        # report, and two spans in which a third of them is for 200 neighbours.
        'quiet day': Load(
            68,
            near=0.37,
            width=200,
            period=Seconds(12),
            hot_times=(
                Span(Seconds(6.7), Seconds(11.7)),
                Span(Seconds(12.2), Seconds(16.2)),
            ),
        ),
    }
)


@dataclass(frozen=True, slots=True)
class Variant:
    """Policy that replaces one attribute of a product module."""

    module: object
    name: str
    replacement: object


def _move_nothing(*_: object) -> list[balance.Move]:
    return []


def _admit_all(*_: object) -> bool:
    return True


VARIANTS: Mapping[str, Variant | None] = MappingProxyType(
    {
        'the product': None,
        'six ranges a server': Variant(balance, '_MAX_RANGES', 6),
        'servers in use for 0.45 give': Variant(balance, '_MIN_BUSY_USE', 0.45),
        'no moves': Variant(controller, 'choose_moves', _move_nothing),
        'nothing refused (FIFO)': Variant(placing, 'has_room', _admit_all),
    }
)


@dataclass(slots=True)
class Tally:
    """Counts of requests by result."""

    requests: int = 0
    in_goal: int = 0
    late: int = 0
    unserved: int = 0
    refusals: int = 0
    tables: int = 0

    def add(self, other: 'Tally') -> None:
        """Add the counts of another run."""
        self.requests += other.requests
        self.in_goal += other.in_goal
        self.late += other.late
        self.unserved += other.unserved
        self.refusals += other.refusals
        self.tables += other.tables

    def fraction(self, count: int) -> float:
        """Return a count as a fraction of all requests."""
        return count / max(self.requests, 1)


@dataclass(frozen=True, slots=True)
class _Request:
    key: int
    began: Seconds
    left: int


@dataclass(slots=True)
class _Callers:
    """Callers that send requests and retry refused ones."""

    world: World
    load: Load
    random: Random
    tally: Tally = field(default_factory=Tally)

    def start(self, elapsed: float) -> None:
        """Send a new request for a key of the load."""
        self.tally.requests += 1
        key = self._choose_key(elapsed)
        self._send(_Request(key, self.world.now, _ATTEMPTS))

    def _choose_key(self, elapsed: float) -> int:
        load = self.load
        drawn = self.random.random()
        if not any(span.contains(elapsed) for span in load.hot_times):
            return self.random.randrange(ALL_KEYS.width)
        centre = 3000 + int(elapsed / load.period) * 15_000
        if drawn < load.hot:
            return centre
        if drawn < load.hot + load.near:
            offset = self.random.randrange(load.width)
            return centre - load.width // 2 + offset
        return self.random.randrange(ALL_KEYS.width)

    def _send(self, request: _Request) -> None:
        node = self.random.choice(_GATEWAYS)
        left = request.began + _BUDGET - self.world.now
        call = self.world.call(node, '/reads/x', request.key, left)
        self._poll(request, call)

    def _poll(self, request: _Request, call: CallId) -> None:
        ended = self.world.results[call].ended
        if ended is None:
            if self.world.now < request.began + _BUDGET + _COOL_DOWN / 2:
                self.world.after(
                    _POLL_INTERVAL, partial(self._poll, request, call)
                )
            else:
                self.tally.unserved += 1
            return
        if self.world.results[call].served:
            self._count_served(Seconds(ended - request.began))
            return
        self._retry(request, call)

    def _count_served(self, elapsed: Seconds) -> None:
        if elapsed <= _GOAL:
            self.tally.in_goal += 1
        else:
            self.tally.late += 1

    def _retry(self, request: _Request, call: CallId) -> None:
        self.tally.refusals += 1
        left = request.began + _BUDGET - self.world.now
        if request.left < 2 or left <= 0:
            self.tally.unserved += 1
            return
        again = _Request(request.key, request.began, request.left - 1)
        pause = min(self.world.results[call].retry_after, left / _WAIT_DIVISOR)
        self.world.after(pause, partial(self._send, again))


def run_load(load: Load, seed: int) -> Tally:
    """Simulate a load with one seed."""
    random = Random(seed)
    world = build_world(build_configuration(), _GATEWAYS, seed)
    for number in range(_SERVERS):
        world.add_server(f'guide-{number}', SERVICE, random.choice(_SPEEDS))
    world.run(_WARM_UP)
    work = Random(seed + 1)
    world.work_time = partial(_draw_work, work)
    callers = _Callers(world, load, random)
    for moment in _list_moments(load, random):
        world.after(moment, partial(callers.start, moment))
    world.run(_LENGTH + _COOL_DOWN)
    callers.tally.tables = world.store.find_end(Topic.ownership)
    return callers.tally


def _draw_work(work: Random) -> Seconds:
    return Seconds(work.lognormvariate(_WORK, _WORK_SPREAD))


def _list_moments(load: Load, random: Random) -> Iterator[float]:
    moment = random.expovariate(load.rate)
    while moment < _LENGTH:
        yield moment
        moment += random.expovariate(load.rate)


def build_configuration() -> Configuration:
    """Build a configuration with one key-divided service."""
    route = Route(
        name='reads',
        host='shop.example',
        prefix='/reads/',
        idempotent=True,
        # The sites' charges and payments use the same service with rank 0.
        rank=Rank(1),
        goal=_GOAL,
        timeout=_BUDGET,
        attempts=2,
        services=(WeightedService(ServiceName(SERVICE), 1),),
    )
    rules = ServiceRules(ServiceName(SERVICE), 46, keyed=True)
    return Configuration(
        version=Version(1),
        limits=CallerLimits(16_384, 1_048_576, Seconds(3), Seconds(15)),
        routes={'shop.example': (route,)},
        services={rules.name: rules},
    )


def measure(load: Load, variant: Variant | None, seeds: int) -> Tally:
    """Sum the counts of a load over seeds, optionally with another policy."""
    total = Tally()
    for seed in range(1, seeds + 1):
        total.add(_run_variant(load, variant, seed))
    return total


def _run_variant(load: Load, variant: Variant | None, seed: int) -> Tally:
    if variant is None:
        return run_load(load, seed)
    with patch.object(variant.module, variant.name, variant.replacement):
        return run_load(load, seed)


def main() -> None:
    """Print a row for each load and policy."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else _SEEDS
    for name, load in LOADS.items():
        for policy, variant in VARIANTS.items():
            _write_tally(f'{name}: {policy}', measure(load, variant, seeds))


def _write_tally(subject: str, tally: Tally) -> None:
    write_row(
        subject,
        in_goal=tally.fraction(tally.in_goal),
        late=tally.fraction(tally.late),
        unserved=tally.fraction(tally.unserved),
        refusals=tally.fraction(tally.refusals),
        tables=tally.tables,
    )


if __name__ == '__main__':
    main()
