"""Test the simulated links between regions."""

from dataclasses import dataclass
from random import Random
from types import MappingProxyType

import pytest

from measure.gatewayworld import World, build_world
from measure.worldlinks import (
    LOCAL_DELAY,
    REGION_DELAY,
    Purpose,
    Route,
    add_overhead,
    build_parcel,
)
from measure.worldoptions import Machine
from measure.worldprocess import Process
from tests.gatewayscenes import CATALOGUE, build_configuration
from trefoilsaddle.core.units import RegionName, Seconds, ZoneName

_EAST = RegionName('east')
_WEST = RegionName('west')
_WEST_ZONE = ZoneName('west-1')
_ACROSS = Route(_EAST, _WEST)
_BACK = Route(_WEST, _EAST)
_WITHIN = Route(_EAST, _EAST)
# Bytes per second.
_RATE = 10_000
_PACKET = 70
# A link that is hardly ever busy.
_FAST = 10_000_000


@dataclass(frozen=True, slots=True)
class _Sent:
    """Parcel sent at a time, and when it should arrive."""

    at: float
    route: Route
    size: int
    arrives: float


@dataclass(slots=True)
class _Recorder:
    """Carry a parcel and record when it arrives."""

    world: World
    sent: _Sent
    begun: float
    arrived: float = 0

    def carry(self) -> None:
        """Send the parcel."""
        parcel = build_parcel(Purpose.updates, self.sent.size)
        self.world.links.carry(self.sent.route, parcel, self.arrive)

    def arrive(self) -> None:
        """Record the arrival."""
        self.arrived = self.world.now - self.begun


_CASES = MappingProxyType(
    {
        'within a region nothing queues': (
            _Sent(0, _WITHIN, 1_000_000, LOCAL_DELAY),
            _Sent(0, _WITHIN, 1_000_000, LOCAL_DELAY),
        ),
        'one parcel takes its size and the delay': (
            _Sent(0, _ACROSS, 930, 0.1 + REGION_DELAY),
        ),
        'the second parcel waits for the first': (
            _Sent(0, _ACROSS, 930, 0.1 + REGION_DELAY),
            _Sent(0, _ACROSS, 930, 0.2 + REGION_DELAY),
        ),
        'a small parcel waits behind a large one': (
            _Sent(0, _ACROSS, 10_000 - 7 * _PACKET, 1 + REGION_DELAY),
            _Sent(0.5, _ACROSS, 30, 1.01 + REGION_DELAY),
        ),
        'an idle link is free again': (
            _Sent(0, _ACROSS, 930, 0.1 + REGION_DELAY),
            _Sent(0.5, _ACROSS, 930, 0.6 + REGION_DELAY),
        ),
        'each direction has its own queue': (
            _Sent(0, _ACROSS, 930, 0.1 + REGION_DELAY),
            _Sent(0, _BACK, 930, 0.1 + REGION_DELAY),
        ),
        'each packet has its overhead': (
            _Sent(0, _ACROSS, 2_860, 0.307 + REGION_DELAY),
        ),
    }
)


def _build_linked(rate: float) -> World:
    world = World(Random(1))
    world.regions[_WEST_ZONE] = _WEST
    world.links.rate = rate
    return world


@pytest.mark.parametrize('case', _CASES.values(), ids=_CASES)
def test_link_delivers_in_order(case: tuple[_Sent, ...]) -> None:
    """Deliver each parcel after those before it, its own size and delay."""
    world = _build_linked(_RATE)
    parcels = [_Recorder(world, sent, world.now) for sent in case]
    for recorder in parcels:
        world.after(recorder.sent.at, recorder.carry)
    world.run(2)
    arrivals = [parcel.arrived for parcel in parcels]
    assert arrivals == pytest.approx([sent.arrives for sent in case])


def test_link_counts_bytes_and_its_longest_wait() -> None:
    """Count bytes by purpose, and the greatest queueing delay."""
    world = _build_linked(_RATE)
    for purpose in (Purpose.copies, Purpose.copies, Purpose.orders):
        parcel = build_parcel(purpose, 930)
        world.links.carry(_ACROSS, parcel, lambda: None)
    link = world.links.find(_ACROSS)
    assert link.sent == {Purpose.copies: 2_000, Purpose.orders: 1_000}
    assert link.max_wait == pytest.approx(0.2)
    assert world.links.find(_BACK).sent.total() == 0


@pytest.mark.parametrize(
    ('size', 'sent'), [(0, 70), (1_400, 1_470), (1_401, 1_541)]
)
def test_overhead_is_for_each_packet(size: int, sent: int) -> None:
    """Add the overhead of at least one packet."""
    assert add_overhead(size) == sent


def _run_two_regions(rate: float) -> World:
    world = _build_linked(rate)
    world.store.write_configuration(build_configuration())
    for number in range(6):
        zone = _WEST_ZONE if number % 2 else ZoneName('east-1')
        world.add_server(f'guide-{number}', CATALOGUE, zone=zone)
    for name in ('east-0', 'east-1'):
        world.start_gateway(name, speed=4)
    for name in ('west-0', 'west-1'):
        world.start_gateway(name, machine=Machine(zone=_WEST_ZONE))
    world.run(5)
    return world


def _find_controller(world: World) -> Process:
    process = world.find_controller()
    assert process is not None
    return process


def test_fleet_in_two_regions_uses_the_links() -> None:
    """Count what gateways in two regions exchange, by purpose."""
    world = _run_two_regions(_FAST)
    process = world.find_controller()
    assert process is not None
    source = process.region
    call = world.call('west-0', '/reads/1', 7)
    world.run(1)
    assert world.results[call].served
    target = _WEST if source == _EAST else _EAST
    out = world.links.find(Route(source, target)).sent
    back = world.links.find(Route(target, source)).sent
    assert {Purpose.updates, Purpose.orders} <= out.keys()
    assert {Purpose.reports, Purpose.orders} <= back.keys()
    assert Purpose.store in world.links.find(_ACROSS).sent


def test_fleet_in_one_region_uses_no_link() -> None:
    """Leave a world without regions as it is."""
    world = build_world(build_configuration(), ('gate-1', 'gate-2'))
    world.run(3)
    assert not world.links.by_route


def test_grant_on_a_full_link_arrives_late() -> None:
    """Give a grant up in time, and apply it when it arrives."""
    world = _run_two_regions(_FAST)
    process = _find_controller(world)
    source = process.region
    target = _WEST if source == _EAST else _EAST
    block = build_parcel(Purpose.background, 2 * _FAST)
    world.links.carry(Route(source, target), block, lambda: None)
    far = [
        server
        for server in world.servers
        if world.regions[server.entry.zone] == target
    ]
    # What was on its way has arrived.
    world.run(0.1)
    known = sum(len(server.fences) for server in far)
    opened = process.worker.opened
    world.run(1.5)
    assert len(process.worker.open) < process.worker.opened - opened
    assert sum(len(server.fences) for server in far) == known
    world.run(1.5)
    assert sum(len(server.fences) for server in far) > known


@pytest.mark.parametrize(('turn', 'slower'), [(0, False), (0.15, True)])
def test_messages_take_turns(turn: float, slower: bool) -> None:
    """Handle events after the messages that a gateway works on."""
    world = _build_linked(_FAST)
    world.message_turn = Seconds(turn)
    world.store.write_configuration(build_configuration())
    for name in ('east-0', 'east-1', 'east-2'):
        world.start_gateway(name)
    world.run(6)
    waits = [
        process.inbox.find_wait(world.now)
        for process in world.processes.values()
    ]
    assert (max(waits) > 0) == slower


def _list_far(world: World) -> list[Process]:
    """Return the gateways that are linked to the controller from afar."""
    controller = _find_controller(world)
    return [
        process
        for process in world.processes.values()
        if process.region != controller.region
        and process.linked == controller.node
    ]


def test_silent_connection_is_closed_and_opened_again() -> None:
    """Close a connection whose messages wait on the link for too long."""
    world = _run_two_regions(_FAST)
    source = _find_controller(world)
    far = _list_far(world)
    assert far
    block = build_parcel(Purpose.background, 2 * _FAST)
    route = Route(source.region, far[0].region)
    world.links.carry(route, block, lambda: None)
    world.run(1.6)
    assert {process.linked for process in far} == {None}
    world.run(2)
    assert {process.linked for process in far} == {source.node}


def test_end_that_closes_a_connection_is_dialed_again() -> None:
    """Tell a gateway that the other end has closed its connection."""
    world = _run_two_regions(_FAST)
    source = _find_controller(world)
    far = _list_far(world)
    near = [
        process
        for process in world.processes.values()
        if process.linked == source.node and process not in far
    ]
    world.dials.close(source, far[0])
    world.run(2 * REGION_DELAY)
    assert far[0].linked is None
    assert far[0].gateway.link.news_at is None
    assert {process.linked for process in near} == {source.node}
    world.run(1)
    assert far[0].linked == source.node
