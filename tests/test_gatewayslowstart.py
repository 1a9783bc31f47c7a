"""Test that all gateways together keep to the rate of a cold server."""

from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random

import pytest

from measure.gatewayworld import World, build_world
from measure.worldoptions import REGION, ZONE
from measure.worldservers import WorldServer
from tests.fleetload import (
    KEYED_PATH,
    PLAIN_PATH,
    FleetLoad,
    name_gateways,
)
from tests.gatewayscenes import (
    CATALOGUE,
    CHECKOUT,
    build_configuration,
    list_unowned,
)
from tests.regionscenes import WEST, WEST_ZONE
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway import slowstart
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.events import Topic
from trefoilsaddle.gateway.options import ColdServerBound, GatewayOptions

# Figures of a users' site: the rate that a cold server tolerates, and the bound in
# any second (`warmupPerS`, `warmupOver`, `warmupSlack`).
_RATE = 7.4
_BOUND = ColdServerBound(1.5, 8)
_ALLOWED = _RATE * _BOUND.factor + _BOUND.slack
_WARM_UP = Seconds(3)
_HEARTBEAT = Seconds(0.87)
_LONG_WARM_UP = Seconds(20)
_WINDOW = Seconds(1)
_GATEWAYS = 24
_NAMES = name_gateways(_GATEWAYS)


def _set_rate(configuration: Configuration) -> Configuration:
    services = {
        name: replace(rules, cold_rate=_RATE)
        for name, rules in configuration.services.items()
    }
    return replace(configuration, services=services)


def _set_bound(options: GatewayOptions) -> GatewayOptions:
    return replace(options, cold_servers=_BOUND)


def _build_load(path: str, rate: float, servers: int = 6) -> FleetLoad:
    world = build_world(_set_rate(build_configuration()), ())
    world.adjust = _set_bound
    for name in _NAMES:
        world.start_gateway(name)
    for number in range(servers):
        world.add_server(f'guide-{number}', CATALOGUE)
        world.add_server(f'pay-{number}', CHECKOUT)
    world.run(6)
    return FleetLoad(world, _NAMES, path, rate)


def _write_cold(world: World, server: WorldServer) -> None:
    server.entry = replace(server.entry, warm_up_left=_WARM_UP)
    world.store.write_server(server.entry)


def _write_warm(world: World, server: WorldServer) -> None:
    server.entry = replace(server.entry, warm_up_left=Seconds(0))
    world.store.write_server(server.entry)


def _start_cold(world: World, service: str) -> WorldServer:
    server = world.add_server('cold-0', service, born=50)
    # The entry of a server that starts during traffic says so from the first.
    world.store.records[Topic.servers].pop()
    _write_cold(world, server)
    return server


def _count_most(server: WorldServer, since: Seconds) -> int:
    times = [arrival.at for arrival in server.arrivals if arrival.at >= since]
    return max(
        (sum(first <= at < first + _WINDOW for at in times) for first in times),
        default=0,
    )


def _do_nothing(load: FleetLoad) -> None:
    """Leave the fleet as it is."""


def _kill_controller(load: FleetLoad) -> None:
    process = load.world.find_controller()
    assert process is not None
    load.world.kill_gateway(process.gateway.options.node)


def _restart_half(load: FleetLoad) -> None:
    load.restart(load.names[::2])


def _cut_half(load: FleetLoad) -> None:
    load.cut_half(away=True)
    load.world.after(1.5, partial(load.cut_half, away=False))


def _add_gateways(load: FleetLoad) -> None:
    names = tuple(f'late-{number}' for number in range(8))
    load.restart(names)
    load.names = (*load.names, *names)


def _kill_some(load: FleetLoad) -> None:
    for name in load.names[:6]:
        load.world.kill_gateway(NodeId(name))


# Guards against a burst on a cold server, which crashes it: each gateway alone kept
# within its part, but others that did not know of it sent as well.
@pytest.mark.parametrize('path', [PLAIN_PATH, KEYED_PATH])
@pytest.mark.parametrize(
    'fault',
    [
        _do_nothing,
        _kill_controller,
        _restart_half,
        _cut_half,
        _add_gateways,
        _kill_some,
    ],
)
def test_cold_server_gets_no_more_than_the_bound(
    fault: Callable[[FleetLoad], None], path: str
) -> None:
    """Count the requests in each second from the start of a cold server."""
    load = _build_load(path, rate=150)
    service = CATALOGUE if path == KEYED_PATH else CHECKOUT
    load.begin(Seconds(9))
    load.world.run(1)
    cold = _start_cold(load.world, service)
    since = load.world.now
    load.world.after(0.4, partial(fault, load))
    load.world.run(_WARM_UP)
    assert _count_most(cold, since) <= _ALLOWED


# Guards against a burst on a server that has just started: its first entries do not
# say yet that it is cold.
@pytest.mark.parametrize('path', [PLAIN_PATH, KEYED_PATH])
def test_server_whose_third_entry_says_cold_keeps_to_the_bound(
    path: str,
) -> None:
    """Count the requests in each second from its start."""
    load = _build_load(path, rate=400)
    service = CATALOGUE if path == KEYED_PATH else CHECKOUT
    world = load.world
    load.begin(Seconds(6))
    world.run(1)
    since = world.now
    cold = world.add_server('cold-0', service, born=50)
    world.after(2 * _HEARTBEAT, partial(_write_cold, world, cold))
    world.run(4.5)
    # It gets no keys while others may hold them.
    assert bool(cold.arrivals) == (path == PLAIN_PATH)
    assert _count_most(cold, since) <= _ALLOWED


# Guards against the same limit for servers that are not new: their entries lapsed
# with the store, or the gateway is.
def test_known_servers_are_not_taken_to_be_cold() -> None:
    """Use warm servers in full after a gateway has started."""
    load = _build_load(PLAIN_PATH, rate=25, servers=2)
    world = load.world
    load.restart(load.names)
    world.run(3)
    load.begin(Seconds(2))
    world.run(4)
    answered = [world.results[call].served for call in load.sent]
    assert all(answered)


# Guards against keys at a server that turns cold while it holds them.
def test_keys_leave_a_server_that_turns_cold() -> None:
    """Move its keys to servers that are not cold, and serve them there."""
    load = _build_load(KEYED_PATH, rate=60)
    world = load.world
    load.begin(Seconds(8))
    world.run(1)
    cold = next(
        server
        for server in world.servers
        if server.entry.service == CATALOGUE and server.holdings
    )
    _write_cold(world, cold)
    # The controller reads the entries within 0.6 s, and others are told at once.
    world.run(0.9)
    known = world.now
    world.run(1.9)
    assert _count_most(cold, known) <= _ALLOWED
    held = [entry for entry in cold.holdings if entry.until > world.now]
    assert not held


def _build_regions(servers: int) -> FleetLoad:
    """Start a fleet whose keys are held in one of two regions."""
    world = World(Random(1))
    world.regions[WEST_ZONE] = WEST
    configuration = _set_rate(build_configuration())
    routes = tuple(
        replace(route, regions=frozenset((REGION,)))
        for route in configuration.routes['shop.example']
    )
    routed = replace(configuration, routes={'shop.example': routes})
    world.store.write_configuration(routed)
    world.adjust = _set_bound
    for number in range(servers):
        world.add_server(f'east-{number}', CATALOGUE)
        world.add_server(f'west-{number}', CATALOGUE, zone=WEST_ZONE)
    names = name_gateways(4)
    for name in names:
        world.start_gateway(name)
    world.run(6)
    return FleetLoad(world, names, KEYED_PATH, 20)


# Guards against keys without an owner while the only servers that may hold them are
# cold: those of another region, which may not, are not.
def test_cold_servers_keep_keys_that_no_other_server_may_hold() -> None:
    """Serve the keys within the rate of the cold servers."""
    load = _build_regions(servers=3)
    world = load.world
    cold = [entry for entry in world.servers if entry.entry.zone == ZONE]
    for server in cold:
        _write_cold(world, server)
    world.run(2)
    assert not list_unowned(world)
    assert all(server.holdings for server in cold)


# Guards against keys without an owner until the entry of a crashed server lapses:
# it is the only one that is not cold.
def test_cold_server_gets_the_keys_of_a_server_that_does_not_answer() -> None:
    """Assign the keys to a cold server rather than to none."""
    world = _build_load(KEYED_PATH, rate=20, servers=2).world
    cold, lost = (
        server for server in world.servers if server.entry.service == CATALOGUE
    )
    cold.entry = replace(cold.entry, warm_up_left=_LONG_WARM_UP)
    world.store.write_server(cold.entry)
    world.run(2)
    lost.cut = True
    world.run(7)
    assert not list_unowned(world)


# Guards against a zone that is not used again after it came back cold, and against
# refusals for good: all servers of a service are cold.
def test_cold_servers_alone_serve_within_their_rate() -> None:
    """Serve up to the rate of all servers, and in full once they are warm."""
    load = _build_load(PLAIN_PATH, rate=60, servers=3)
    world = load.world
    pay = [entry for entry in world.servers if entry.entry.service == CHECKOUT]
    for cold in pay:
        _write_cold(world, cold)
    world.run(1)
    since = world.now
    load.begin(Seconds(6))
    world.run(2)
    counts = [len(server.arrivals) for server in pay]
    assert min(counts) >= _RATE / 2
    assert max(_count_most(server, since) for server in pay) <= _ALLOWED
    for warm in pay:
        _write_warm(world, warm)
    world.run(2)
    sent = len(load.sent)
    world.run(2)
    late = [world.results[call].served for call in load.sent[sent:]]
    assert sum(late[:60]) >= 55


# Guards against gateways that each take themselves for the only sender: a new
# controller lists those that have reported already, one after the other.
def test_parts_of_the_rate_never_exceed_it() -> None:
    """Send nothing by a list of members that is not complete yet."""
    load = _build_load(PLAIN_PATH, rate=1)
    world = load.world
    cold = _start_cold(world, CHECKOUT)
    world.run(1)
    load.cut_half(away=True)
    world.after(6, partial(load.cut_half, away=False))
    end = world.now + 10
    totals: list[float] = []
    while world.now < end:
        world.run(0.02)
        totals.append(_sum_shares(world, cold))
    assert max(totals) == pytest.approx(1)


def _sum_shares(world: World, cold: WorldServer) -> float:
    """Return the sum of all gateways' parts of a cold server's rate."""
    return sum(
        slowstart.find_share(process.gateway, cold.entry.life.tag, 8, world.now)
        for process in world.processes.values()
    )


# Guards against a request more than the bound where the settings allow nothing
# beyond the rate: what a gateway saves up comes on top of it.
def test_bound_without_slack_is_kept() -> None:
    """Send no more than the rate in any second."""
    names = name_gateways(3)
    world = build_world(_set_rate(build_configuration()), names)
    cold = world.add_server('pay-0', CHECKOUT)
    world.run(5)
    _write_cold(world, cold)
    world.run(1)
    since = world.now
    FleetLoad(world, names, PLAIN_PATH, 1500).begin(Seconds(2))
    world.run(1.9)
    assert 4 <= _count_most(cold, since) <= _RATE


# Guards against a change for services whose configuration states no rate.
def test_service_without_a_rate_is_not_limited() -> None:
    """Send as many requests to a cold server as to others."""
    names = name_gateways(3)
    world = build_world(build_configuration(), names)
    server = world.add_server('pay-0', CHECKOUT)
    world.run(5)
    _write_cold(world, server)
    world.run(1)
    load = FleetLoad(world, names, PLAIN_PATH, 25)
    load.begin(Seconds(2))
    world.run(2)
    assert len(server.arrivals) >= 45
