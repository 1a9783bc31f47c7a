"""Test that a drained zone gets no requests, and its keys stay served."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random

import pytest

from measure.gatewayworld import World
from measure.worldoptions import ZONE, Machine
from measure.worldpeers import Peers
from measure.worldprocess import Process
from measure.worldservers import WorldServer
from tests.fleetload import KEYED_PATH, PLAIN_PATH, FleetLoad
from tests.gatewayscenes import (
    CATALOGUE,
    CHECKOUT,
    build_configuration,
    list_unowned,
)
from tests.regionscenes import WEST, WEST_ZONE
from trefoilsaddle.core.units import NodeId, Seconds, ServerId, ZoneName
from trefoilsaddle.gateway.effects import SendNews

_ZONES = (ZONE, ZoneName('east-2'), WEST_ZONE)
# Time after the request to drain from which nothing new may reach the zone
# (`evacuate`, stated by the users).
_BOUND = Seconds(5)
_NAMES = tuple(f'gate-{number}' for number in range(6))


class _EarlierPeers(Peers):
    """Send updates like a gateway that does not know of drained zones."""

    def send_news(self, process: Process, effect: SendNews) -> None:
        """Send an update that tells no drained zones."""
        news = replace(effect.news, drained=None)
        super().send_news(process, replace(effect, news=news))


def _build_world() -> World:
    world = World(Random(1))
    world.regions[_ZONES[1]] = world.regions[ZONE]
    world.regions[WEST_ZONE] = WEST
    world.store.write_configuration(build_configuration())
    for number in range(18):
        zone = _ZONES[number % 3]
        world.add_server(f'guide-{number}', CATALOGUE, zone=zone)
        world.add_server(f'pay-{number}', CHECKOUT, zone=zone)
    for number, name in enumerate(_NAMES):
        world.start_gateway(name, machine=Machine(zone=_ZONES[number % 3]))
    world.run(6)
    return world


def _start_load(world: World, seconds: Seconds) -> None:
    FleetLoad(world, _NAMES, KEYED_PATH, 60).begin(seconds)
    FleetLoad(world, _NAMES, PLAIN_PATH, 60).begin(seconds)


def _list_zone(world: World, zone: ZoneName) -> list[WorldServer]:
    return [server for server in world.servers if server.entry.zone == zone]


def _count_arrivals(world: World, zone: ZoneName, since: Seconds) -> int:
    return sum(
        arrival.at >= since
        for server in _list_zone(world, zone)
        for arrival in server.arrivals
    )


def _do_nothing(world: World) -> None:
    """Leave the fleet as it is."""


def _kill_controller(world: World) -> None:
    process = world.find_controller()
    assert process is not None
    world.kill_gateway(process.gateway.options.node)


def _kill_controller_halfway(world: World) -> None:
    # The keys of the zone have begun to move.
    world.after(0.5, partial(_kill_controller, world))


def _lose_store(world: World) -> None:
    # After the gateways have learnt of the drain.
    world.after(1.9, partial(_set_store, world, down=True))
    world.after(9, partial(_set_store, world, down=False))


def _set_store(world: World, *, down: bool) -> None:
    world.faults.store_down = down


def _cut_gateways(world: World) -> None:
    # Half of the gateways lose the others, and read the store themselves.
    for name in _NAMES[::2]:
        world.processes[NodeId(name)].peers_cut = True


def _tell_no_drains(world: World) -> None:
    # The controller and the relays are of an earlier version.
    world.peers = _EarlierPeers(world, world.dials)


def _restart_servers(world: World) -> None:
    for server in _list_zone(world, ZONE):
        world.crash_server(server)
        world.after(1, partial(_start_again, world, server))


def _start_again(world: World, server: WorldServer) -> None:
    life = server.entry.life
    service = server.entry.service
    world.add_server(life.server, service, born=life.born + 1, zone=ZONE)


# Guards against requests to a zone that is to be taken out of use: operators work
# on its servers then.
@pytest.mark.parametrize(
    'fault',
    [
        _do_nothing,
        _kill_controller,
        _kill_controller_halfway,
        _lose_store,
        _cut_gateways,
        _restart_servers,
        _tell_no_drains,
    ],
)
def test_drained_zone_gets_nothing_within_the_bound(
    fault: Callable[[World], None],
) -> None:
    """Send nothing there from the bound on, in each state of the fleet."""
    world = _build_world()
    _start_load(world, Seconds(14))
    world.run(2)
    world.store.drain_zone(ZONE)
    since = Seconds(world.now + _BOUND)
    fault(world)
    world.run(11)
    assert not _count_arrivals(world, ZONE, since)
    assert not list_unowned(world)


def _restart_some(world: World) -> None:
    for name in _NAMES[1::3]:
        if world.processes[NodeId(name)].alive:
            world.start_gateway(name)


# Guards against a gateway that counts the drain from its own start: the keys of the
# zone had not moved yet, as the store could record no new owners.
def test_gateway_that_starts_during_a_drain_keeps_the_bound() -> None:
    """Send nothing to the zone from gateways that start just before the bound."""
    world = _build_world()
    FleetLoad(world, _NAMES, KEYED_PATH, 300).begin(Seconds(9))
    world.run(2)
    world.store.drain_zone(ZONE)
    since = Seconds(world.now + _BOUND)
    world.after(0.3, partial(_kill_controller, world))
    world.after(1.5, partial(_set_store, world, down=True))
    world.after(4.6, partial(_set_store, world, down=False))
    world.after(4.9, partial(_restart_some, world))
    world.run(8)
    assert not _count_arrivals(world, ZONE, since)


def test_two_zones_are_drained_at_once() -> None:
    """Use only the zone that is left."""
    world = _build_world()
    _start_load(world, Seconds(12))
    world.store.drain_zone(ZONE)
    world.store.drain_zone(_ZONES[1])
    since = Seconds(world.now + _BOUND)
    world.run(11)
    assert not _count_arrivals(world, ZONE, since)
    assert not _count_arrivals(world, _ZONES[1], since)
    assert _count_arrivals(world, WEST_ZONE, since)
    assert not list_unowned(world)


# Guards against a zone that stays out of use: a successor of the controller knew
# its servers only as draining.
@pytest.mark.parametrize('fault', [_do_nothing, _kill_controller])
def test_zone_is_used_again_after_the_drain(
    fault: Callable[[World], None],
) -> None:
    """Send requests there once the operator has taken the request back."""
    world = _build_world()
    _start_load(world, Seconds(20))
    world.store.drain_zone(ZONE)
    world.run(6)
    fault(world)
    world.run(1)
    world.store.drain_zone(ZONE, begins=False)
    ended = world.now
    world.run(8)
    used = {
        server.entry.service
        for server in _list_zone(world, ZONE)
        if any(arrival.at > ended for arrival in server.arrivals)
    }
    assert CHECKOUT in used


# Guards against refusals while keys change hands: all ranges of the zone were
# released at once.
def test_keys_of_a_drained_zone_stay_served() -> None:
    """Refuse few of the requests for keys while the zone is drained."""
    world = _build_world()
    load = FleetLoad(world, _NAMES, KEYED_PATH, 60)
    load.begin(Seconds(10))
    world.run(2)
    world.store.drain_zone(ZONE)
    world.run(10)
    answered = [world.results[call].served for call in load.sent]
    assert sum(answered) >= 0.98 * len(answered)


def test_entry_of_a_drained_server_is_told_as_written() -> None:
    """Keep what the server itself has written for the end of the drain."""
    world = _build_world()
    world.store.drain_zone(ZONE)
    world.run(3)
    for process in world.processes.values():
        registry = process.gateway.registry
        server = registry.servers[ServerId('pay-0')]
        assert server.draining
        assert not registry.zones.find_declared(server).draining
