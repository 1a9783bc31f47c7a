"""Measure which requests a fleet serves when there is too little room.

Run as `python -m measure.overload [SEEDS]`.  Gateways, store and servers run in
virtual time.  The servers report their load and reset connections when they are
full.  A refused caller returns once, after the time in the answer.
"""

import sys
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from functools import partial
from random import Random
from types import MappingProxyType

from measure.gatewayworld import World
from measure.report import write_row
from trefoilsaddle.core.units import CallId, Rank, Seconds, ServiceName, Version
from trefoilsaddle.gateway.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceRules,
    WeightedService,
)
from trefoilsaddle.gateway.keys import ALL_KEYS

_SEEDS = 2
# Figures of a users' site, for a third of its gateways and servers.
_GATEWAYS = 22
_SLOTS = 6
_QUEUE = 24
_SPEEDS = (0.6, 1, 1, 1.4)
_WAIT_DIVISOR = 3
_WARM_UP = Seconds(6)
_COOL_DOWN = Seconds(4)
_POLL_INTERVAL = Seconds(0.01)


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe one kind of request, its load and its callers."""

    name: str
    service: str
    rate: float
    # Mean and spread of the work, as a log-normal distribution.
    work: Seconds
    spread: float
    goal: Seconds
    timeout: Seconds
    # Time that a caller waits in all.
    budget: Seconds
    rank: int = 0
    idempotent: bool = False
    keyed: bool = False

    @property
    def path(self) -> str:
        """Return the path of its requests."""
        return f'/{self.name}/'


@dataclass(frozen=True, slots=True)
class Burst:
    """Multiply the load of a kind for a time."""

    kind: str
    factor: float
    first: Seconds = Seconds(3)
    last: Seconds = Seconds(9)


@dataclass(frozen=True, slots=True)
class Scene:
    """Combine kinds of requests, the servers and a burst."""

    kinds: tuple[Kind, ...]
    servers: Mapping[str, int]
    burst: Burst
    length: Seconds = Seconds(12)


READ = Kind(
    'read',
    'logbook',
    rate=200,
    work=Seconds(0.24),
    spread=0.5,
    goal=Seconds(0.82),
    timeout=Seconds(1.2),
    budget=Seconds(2.03),
    idempotent=True,
    keyed=True,
)
DISPATCH = Kind(
    'dispatch',
    'dispatcher',
    rate=60,
    work=Seconds(0.31),
    spread=0.8,
    goal=Seconds(2.03),
    timeout=Seconds(1.5),
    budget=Seconds(2.52),
    rank=2,
)
COMMISSION = Kind(
    'commission',
    'dispatcher',
    rate=30,
    work=Seconds(0.17),
    spread=0.3,
    goal=Seconds(0.83),
    timeout=Seconds(1.2),
    budget=Seconds(2.08),
    rank=1,
)
SCENES: Mapping[str, Scene] = MappingProxyType(
    {
        'burst of the least urgent kind': Scene(
            (DISPATCH, COMMISSION),
            {'dispatcher': 6},
            Burst('dispatch', 2.7),
        ),
        'burst of one kind': Scene(
            (DISPATCH,), {'dispatcher': 5}, Burst('dispatch', 2.7)
        ),
        'burst of keyed reads': Scene(
            (READ,), {'logbook': 16}, Burst('read', 1.9)
        ),
        'no burst': Scene(
            (DISPATCH, COMMISSION),
            {'dispatcher': 10},
            Burst('dispatch', 1),
        ),
    }
)


@dataclass(slots=True)
class Tally:
    """Count the requests of one kind by result."""

    requests: int = 0
    in_goal: int = 0
    late: int = 0
    # Ended by a refusal, and with an unknown outcome.
    refused: int = 0
    failed: int = 0
    # Refusals, also of callers who came back.
    refusals: int = 0
    # Time of the answers, in total.
    waited: float = 0

    def fraction(self, count: float) -> float:
        """Return a count as a fraction of all requests."""
        return count / max(self.requests, 1)


@dataclass(frozen=True, slots=True)
class _Request:
    kind: Kind
    key: int | None
    began: Seconds
    may_return: bool = True


@dataclass(slots=True)
class Callers:
    """Send requests, and send refused ones once more."""

    world: World
    scene: Scene
    random: Random
    names: tuple[str, ...]
    tallies: dict[str, Tally] = field(default_factory=dict)

    def start(self, kind: Kind) -> None:
        """Send a new request."""
        self.tallies.setdefault(kind.name, Tally()).requests += 1
        key = self.random.randrange(ALL_KEYS.width) if kind.keyed else None
        self._send(_Request(kind, key, self.world.now))

    def _send(self, request: _Request) -> None:
        kind = request.kind
        work = self.world.random.lognormvariate(0, kind.spread)
        self.world.work_time = partial(_fix_work, Seconds(kind.work * work))
        left = request.began + kind.budget - self.world.now
        node = self.random.choice(self.names)
        call = self.world.call(node, kind.path, request.key, left, kind.rank)
        self._poll(request, call)

    def _poll(self, request: _Request, call: CallId) -> None:
        if self.world.results[call].ended is None:
            again = partial(self._poll, request, call)
            self.world.after(_POLL_INTERVAL, again)
        else:
            self._count(request, call)

    def _count(self, request: _Request, call: CallId) -> None:
        found = self.world.results[call]
        tally = self.tallies[request.kind.name]
        elapsed = self.world.now - request.began
        if found.served:
            late = elapsed > request.kind.goal
            tally.late += late
            tally.in_goal += not late
            tally.waited += elapsed
        elif found.not_run:
            tally.refusals += 1
            self._return(request, call)
        else:
            tally.failed += 1

    def _return(self, request: _Request, call: CallId) -> None:
        left = request.began + request.kind.budget - self.world.now
        if not request.may_return or left <= 0:
            self.tallies[request.kind.name].refused += 1
            return
        pause = min(self.world.results[call].retry_after, left / _WAIT_DIVISOR)
        again = _Request(request.kind, request.key, request.began, False)
        self.world.after(pause, partial(self._send, again))


def _fix_work(work: Seconds) -> Seconds:
    return work


def run_scene(scene: Scene, seed: int) -> dict[str, Tally]:
    """Simulate a scene with one seed; return the counts by kind."""
    random = Random(seed)
    world = World(Random(seed))
    world.store.write_configuration(build_configuration(scene.kinds))
    names = tuple(f'gate-{number}' for number in range(_GATEWAYS))
    for name in names:
        world.start_gateway(name)
    _add_servers(world, scene)
    world.run(_WARM_UP)
    callers = Callers(world, scene, random, names)
    for kind in scene.kinds:
        for moment in _list_moments(kind, scene, random):
            world.after(moment, partial(callers.start, kind))
    world.run(scene.length + _COOL_DOWN)
    return callers.tallies


def _add_servers(world: World, scene: Scene) -> None:
    # Gateways learn of the controller by the owners of a service's keys.
    for service, count in {READ.service: 2, **scene.servers}.items():
        for number in range(count):
            speed = _SPEEDS[number % len(_SPEEDS)]
            server = world.add_server(
                f'{service}-{number}', service, speed, slots=_SLOTS
            )
            server.queue_limit = _QUEUE
            server.reports_load = True
            server.resets = True


def _list_moments(kind: Kind, scene: Scene, random: Random) -> Iterator[float]:
    burst = scene.burst
    moment = random.expovariate(kind.rate)
    while moment < scene.length:
        yield moment
        within = burst.kind == kind.name and burst.first < moment < burst.last
        rate = kind.rate * burst.factor if within else kind.rate
        moment += random.expovariate(rate)


def build_configuration(kinds: tuple[Kind, ...]) -> Configuration:
    """Build a configuration with a route for each kind."""
    routes = tuple(
        Route(
            name=kind.name,
            host='shop.example',
            prefix=kind.path,
            idempotent=kind.idempotent,
            rank=Rank(kind.rank),
            goal=kind.goal,
            timeout=kind.timeout,
            attempts=2,
            services=(WeightedService(ServiceName(kind.service), 1),),
        )
        for kind in kinds
    )
    keyed = {READ.service: True}
    keyed.update({kind.service: kind.keyed for kind in kinds})
    return Configuration(
        version=Version(1),
        limits=CallerLimits(16_384, 1_048_576, Seconds(3), Seconds(15)),
        routes={'shop.example': routes},
        services={
            ServiceName(name): ServiceRules(
                ServiceName(name), 460, keyed=divided
            )
            for name, divided in keyed.items()
        },
    )


def main() -> None:
    """Print a row for each scene and kind."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else _SEEDS
    for name, scene in SCENES.items():
        for seed in range(1, seeds + 1):
            for kind, tally in run_scene(scene, seed).items():
                _write_tally(f'{name}, seed {seed}: {kind}', tally)


def _write_tally(subject: str, tally: Tally) -> None:
    answered = max(tally.in_goal + tally.late, 1)
    write_row(
        subject,
        requests=tally.requests,
        in_goal=tally.fraction(tally.in_goal),
        late=tally.fraction(tally.late),
        refused=tally.fraction(tally.refused),
        failed=tally.fraction(tally.failed),
        refusals=tally.fraction(tally.refusals),
        mean_wait=tally.waited / answered,
    )


if __name__ == '__main__':
    main()
