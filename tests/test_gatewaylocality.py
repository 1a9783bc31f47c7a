"""Test that the requests of a route stay in the regions that it allows."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

import pytest

from measure.gatewayworld import World
from measure.worldoptions import REGION, ZONE, Machine
from tests.gatewayscenes import CATALOGUE, CHECKOUT, build_configuration
from tests.regionscenes import WEST, WEST_ZONE
from trefoilsaddle.core.units import (
    NodeId,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
    Version,
)
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.events import (
    AttemptEnded,
    AttemptVerdict,
    TimerExpired,
    TimerKind,
)
from trefoilsaddle.results import ResultCode

_NOWHERE = RegionName('south')
_CALLS = 40
_KEYS = range(0, 65_536, 2048)
_Paths = dict[str, frozenset[RegionName]]


def _limit_routes(paths: _Paths, version: int = 1) -> Configuration:
    """Build a configuration with regions for the routes of some prefixes."""
    configuration = build_configuration(version)
    routes = tuple(
        replace(route, regions=paths.get(route.prefix, frozenset()))
        for route in configuration.routes['shop.example']
    )
    return replace(configuration, routes={'shop.example': routes})


def _build_world(paths: _Paths) -> World:
    world = World(Random(1))
    world.regions[WEST_ZONE] = WEST
    world.store.write_configuration(_limit_routes(paths))
    for number in range(8):
        zone = WEST_ZONE if number % 2 else ZONE
        world.add_server(f'guide-{number}', CATALOGUE, zone=zone)
        world.add_server(f'pay-{number}', CHECKOUT, zone=zone)
    world.start_gateway('east-0')
    world.start_gateway('west-0', machine=Machine(zone=WEST_ZONE))
    world.run(Seconds(6))
    return world


def _count_arrivals(world: World, service: str, region: RegionName) -> int:
    return sum(
        len(server.arrivals)
        for server in world.servers
        if server.entry.service == service
        and world.regions[server.entry.zone] == region
    )


def _send(world: World, path: str, key: int | None = None) -> None:
    for number in range(_CALLS):
        world.call(('east-0', 'west-0')[number % 2], path, key)
        world.run(0.05)


# Guards against requests that leave their region: the far gateway chose near
# servers, as it does for routes without regions.
@pytest.mark.parametrize(
    ('regions', 'inside', 'outside'),
    [
        (frozenset((REGION,)), REGION, WEST),
        (frozenset((WEST,)), WEST, REGION),
    ],
)
def test_requests_are_sent_to_allowed_regions_only(
    regions: frozenset[RegionName], inside: RegionName, outside: RegionName
) -> None:
    """Send requests of both gateways to the allowed region."""
    world = _build_world({'/pay/': regions})
    _send(world, '/pay/1')
    world.run(2)
    assert _count_arrivals(world, CHECKOUT, inside) >= _CALLS
    assert not _count_arrivals(world, CHECKOUT, outside)


def _crash_allowed(world: World) -> None:
    for server in world.servers:
        if world.regions[server.entry.zone] == REGION:
            world.crash_server(server)
            world.store.remove_server(server.entry.life.server)


def _change_configuration(world: World) -> None:
    paths = {'/pay/': frozenset((_NOWHERE,))}
    world.store.write_configuration(_limit_routes(paths, version=2))


def _drain_allowed(world: World) -> None:
    world.store.drain_zone(ZONE)


# Guards against a second choice outside the regions once those inside are gone, and
# against a region name that no zone has.
@pytest.mark.parametrize(
    'cause', [_crash_allowed, _drain_allowed, _change_configuration]
)
def test_request_without_an_allowed_server_is_refused_at_once(
    cause: Callable[[World], None],
) -> None:
    """Refuse it as not run; send nothing outside."""
    world = _build_world({'/pay/': frozenset((REGION,))})
    cause(world)
    world.run(4)
    call = world.call('west-0', '/pay/1')
    assert world.results[call].code == ResultCode.region_unavailable
    assert not _count_arrivals(world, CHECKOUT, WEST)


# Guards against a request that is sent again by the regions of the version that
# was in force at its arrival.
def test_retry_keeps_to_the_regions_in_force() -> None:
    """Send a request again where the newer version allows."""
    world = _build_world({'/pay/': frozenset((REGION,))})
    process = world.processes[NodeId('east-0')]
    call = world.call('east-0', '/pay/1')
    paths = {'/pay/': frozenset((WEST,))}
    process.gateway.configuration = _limit_routes(paths, version=2)
    ended = AttemptEnded(call, 1, AttemptVerdict.unsent, 0)
    world.feed(process, ended)
    world.run(0.05)
    assert _count_arrivals(world, CHECKOUT, REGION) == 1
    assert _count_arrivals(world, CHECKOUT, WEST) == 1


# Guards against the same for a request that waited for the owner of its key.
def test_parked_request_keeps_to_the_regions_in_force() -> None:
    """Refuse it if the owner that is found is not where the version allows."""
    world = _build_world({'/book/': frozenset((REGION,))})
    # The controller would begin to move the key at once.
    process = next(
        process
        for process in world.processes.values()
        if not process.gateway.control.leading
    )
    gateway = process.gateway
    service = ServiceName(CATALOGUE)
    owners = gateway.owners.pop(service)
    call = world.call(process.node, '/book/1', key=7)
    assert call in gateway.parked
    paths = {'/book/': frozenset((WEST,))}
    gateway.configuration = _limit_routes(paths, version=2)
    gateway.replace_owners(service, owners.owners, owners.position)
    world.feed(process, TimerExpired(TimerKind.review))
    world.run(0.05)
    assert world.results[call].code == ResultCode.region_unavailable
    assert not _count_arrivals(world, CATALOGUE, REGION)


# Guards against keys whose owner may not run the requests of a route.
def test_keys_are_held_where_all_routes_allow() -> None:
    """Place ranges in the common region, and move them there after a change."""
    world = _build_world({})
    west = {ServerId(f'guide-{number}') for number in range(8) if number % 2}
    held = {_find_holder(world, key) for key in _KEYS}
    assert held & west
    paths = {'/book/': frozenset((REGION,))}
    world.store.write_configuration(_limit_routes(paths, version=2))
    world.run(6)
    held = {_find_holder(world, key) for key in _KEYS}
    assert None not in held
    assert not held & west
    process = world.find_controller()
    assert process is not None
    assert process.gateway.version == Version(2)


def _find_holder(world: World, key: int) -> ServerId | None:
    holders = world.find_holders(key, ServiceName(CATALOGUE))
    return holders[0].entry.life.server if holders else None
