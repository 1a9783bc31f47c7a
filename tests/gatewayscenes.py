"""Build simulated fleets of gateways and servers for the tests."""

from dataclasses import dataclass
from random import Random

from measure.gatewayworld import World, build_world
from trefoilsaddle.core.units import Rank, Seconds, ServiceName, Version
from trefoilsaddle.gateway.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceRules,
    WeightedService,
)
from trefoilsaddle.gateway.keys import LAST_KEY

CATALOGUE = 'catalogue'
CHECKOUT = 'checkout'
GATEWAYS = ('gate-1', 'gate-2', 'gate-3')
# Interval between two looks at the owners.
_SAMPLE_INTERVAL = Seconds(0.1)
LIMITS = CallerLimits(16_384, 1_048_576, Seconds(3), Seconds(15))


def build_route(
    name: str,
    prefix: str,
    service: str,
    *,
    idempotent: bool,
    rank: int = 0,
) -> Route:
    """Build a route to one service."""
    return Route(
        name=name,
        host='shop.example',
        prefix=prefix,
        idempotent=idempotent,
        rank=Rank(rank),
        goal=Seconds(0.6),
        timeout=Seconds(2),
        attempts=2,
        services=(WeightedService(ServiceName(service), 1),),
    )


def build_configuration(version: int = 1) -> Configuration:
    """Build a configuration with a key-divided and a plain service."""
    routes = (
        build_route('reads', '/reads/', CATALOGUE, idempotent=True, rank=1),
        build_route('pay', '/pay/', CHECKOUT, idempotent=False),
        build_route('book', '/book/', CATALOGUE, idempotent=False, rank=2),
    )
    services = (
        ServiceRules(ServiceName(CATALOGUE), 130, keyed=True),
        ServiceRules(ServiceName(CHECKOUT), 130, keyed=False),
    )
    return Configuration(
        version=Version(version),
        limits=LIMITS,
        routes={'shop.example': routes},
        services={rules.name: rules for rules in services},
    )


def build_scene(seed: int = 1, servers: int = 4) -> World:
    """Run three gateways and servers of both services for 6 s."""
    world = build_world(build_configuration(), GATEWAYS, seed)
    for number in range(servers):
        world.add_server(f'guide-{number}', CATALOGUE)
    world.add_server('pay-0', CHECKOUT)
    world.add_server('pay-1', CHECKOUT)
    world.run(6)
    return world


@dataclass(frozen=True, slots=True)
class _MovingLoad:
    """Send requests until a time."""

    world: World
    random: Random
    end: float
    interval: Seconds

    def send(self) -> None:
        """Send a request to a living gateway, and the next one later."""
        world = self.world
        living = [node for node, one in world.processes.items() if one.alive]
        if living:
            first = int(world.now) * 7919 % 65_000
            key = first + self.random.randrange(300)
            world.call(self.random.choice(living), '/reads/x', key)
        if world.now < self.end:
            world.after(self.interval, self.send)


def send_moving_load(
    world: World, random: Random, seconds: Seconds, interval: Seconds
) -> None:
    """Send requests for few keys, others each second, so that ranges move."""
    load = _MovingLoad(world, random, world.now + seconds, interval)
    world.after(interval, load.send)


def list_unowned(world: World, service: str = CATALOGUE) -> list[int]:
    """Return sampled keys of a service that no server holds."""
    keys = range(0, LAST_KEY + 1, 1024)
    return [key for key in keys if not world.find_holders(key, service)]


def list_unserved(world: World, seconds: float) -> list[int]:
    """Return sampled keys that no server holds for some seconds.

    Keys that change hands are without an owner for a short time.
    """
    unserved = set(list_unowned(world))
    end = world.now + seconds
    while world.now < end:
        world.run(_SAMPLE_INTERVAL)
        unserved.intersection_update(list_unowned(world))
    return sorted(unserved)
