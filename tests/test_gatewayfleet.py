"""Test a fleet whose controller needs time for each of its orders."""

from dataclasses import dataclass, replace
from functools import partial
from random import Random

import pytest

from measure.gatewayworld import World, build_world
from tests.gatewayscenes import (
    CATALOGUE,
    build_configuration,
    build_scene,
    list_unowned,
)
from trefoilsaddle.core.units import Seconds, ServiceName
from trefoilsaddle.gateway.assigning import list_capacities
from trefoilsaddle.gateway.calling import send_orders
from trefoilsaddle.gateway.effects import GrantKeys
from trefoilsaddle.gateway.events import OrderEnded, OrderVerdict
from trefoilsaddle.gateway.granting import handle_order_ended
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.pacing import (
    bound_moves,
    count_free_calls,
    find_renewal_interval,
    size_hold,
)
from trefoilsaddle.gateway.partitions import Partition, PartitionState
from trefoilsaddle.gateway.state import Gateway

_GATEWAYS = tuple(f'gate-{number}' for number in range(30))
_SERVERS = 97
# Largest share of keys of one server, in mean shares.
_MAX_SHARES = 4
# Time for which servers register before the first table.
_GATHERING = Seconds(1.4)


@dataclass(frozen=True, slots=True)
class _Scene:
    """Define the number of gateways and servers, and the controller's speed."""

    # Half of an order's processing time: 3 ms at full speed, on 0.43 cores.
    turn: Seconds = Seconds(0.0035)
    servers: int = _SERVERS


def _build_fleet(scene: _Scene) -> World:
    world = build_world(build_configuration(), ())
    world.order_turn = scene.turn
    for number in range(scene.servers):
        world.add_server(f'guide-{number}', CATALOGUE)
    for name in _GATEWAYS:
        world.start_gateway(name)
    world.run(_GATHERING)
    return world


def _assert_served(world: World) -> None:
    assert list_unowned(world) == []
    _assert_even(world)


def _list_suspected(world: World) -> list[str]:
    return [
        server.life.server
        for process in world.processes.values()
        if process.alive
        for server in process.gateway.registry.servers.values()
        if process.gateway.control.suspicions.is_suspected(
            server.life, world.now
        )
    ]


def _run_served(world: World, seconds: int) -> None:
    for _ in range(seconds * 2):
        world.run(0.5)
        _assert_served(world)
        assert _list_suspected(world) == []


# Guards against a first assignment whose grants time out in the controller's
# own queue, and against all keys on the servers that are not suspected because
# of it.
@pytest.mark.parametrize(
    'scene',
    [
        _Scene(),
        _Scene(turn=Seconds(0.002)),
        _Scene(turn=Seconds(0.005)),
        _Scene(servers=24),
    ],
    ids=['slow', 'faster', 'slower', 'few'],
)
def test_slow_controller_serves_all_keys(scene: _Scene) -> None:
    """Assign and spread all keys quickly, also through a takeover."""
    world = _build_fleet(scene)
    world.run(3)
    _run_served(world, 10)
    process = world.find_controller()
    assert process is not None
    world.kill_gateway(process.gateway.options.node)
    world.run(3)
    _run_served(world, 5)


def _find_controller(world: World) -> Gateway:
    process = world.find_controller()
    assert process is not None
    return process.gateway


# Guards against orders that time out in the controller's own queue.
def test_orders_on_the_way_are_bounded() -> None:
    """Have no more orders in flight than can be processed in their time."""
    world = _build_fleet(_Scene())
    world.run(10)
    most = count_free_calls(_find_controller(world), 0)
    peaks = [process.worker.peak for process in world.processes.values()]
    assert max(peaks) == most


# Time for which the partition is due, whether it is served, and whether it
# comes before a first grant that has been due for a tenth of a second.
_URGENCIES = (
    (0.05, False, False),
    (0.2, False, True),
    (0.2, True, False),
    (0.8, True, False),
    (0.9, True, True),
)


@pytest.mark.parametrize(('age', 'serving', 'first'), _URGENCIES)
def test_urgent_orders_go_first(
    age: float,
    serving: bool,
    first: bool,
) -> None:
    """Grant unserved keys first, unless a renewal is far too late."""
    world = _build_fleet(_Scene(turn=Seconds(0)))
    world.run(1)
    gateway = _find_controller(world)
    now = Seconds(world.now + 5)
    gateway.control.confirmed_at = now
    ranges = gateway.control.keyed[ServiceName(CATALOGUE)].partitions.ordered
    for partition in ranges:
        _set_due(partition, now - 0.1, serving=False)
    other = ranges[-1]
    _set_due(other, now - age, serving=serving)
    orders = send_orders(gateway, now)
    sent = [order.keys for order in orders if isinstance(order, GrantKeys)]
    assert (other.keys in sent) == first


def _set_due(partition: Partition, due: float, *, serving: bool) -> None:
    partition.state = PartitionState.held
    partition.call_pending = False
    partition.serving = serving
    partition.next_call = Seconds(due)


# Guards against more renewals than a slow controller can send.
def test_renewals_are_paced_by_their_cost() -> None:
    """Renew all grants of a large fleet in half of the order capacity."""
    world = _build_fleet(_Scene())
    world.run(5)
    gateway = _find_controller(world)
    worker = world.processes[gateway.options.node].worker
    before = worker.opened
    world.run(10)
    assert worker.opened - before < 75 * 10


# Guards against a hot key that is not split off, as the partitions that a slow
# machine can renew were used up before; and against so many that a successor
# cannot grant them again in time.
@pytest.mark.parametrize(
    ('order_time', 'servers', 'most'),
    [
        (0.007, 97, 178),
        (0.0013, 97, 582),
        (0.0013, 20, 240),
        (0.0013, 400, 961),
        (0.007, 400, 600),
    ],
)
def test_fast_controllers_bear_more_ranges(
    order_time: float,
    servers: int,
    most: int,
) -> None:
    """Limit the partitions to what this machine and a successor can grant."""
    gateway = _find_controller(build_scene())
    options = replace(gateway.options, order_time=Seconds(order_time))
    gateway.options = options
    held = len(gateway.control.keyed[ServiceName(CATALOGUE)].partitions.ordered)
    assert bound_moves(gateway, servers).cuts == most - held


# Number of partitions, then the hold and the renewal interval in seconds: as
# configured for few partitions, and never above what servers accept.
_SIZES = (
    (1, 2, 0.5),
    (35, 2, 0.5),
    (97, 3.29, 1.36),
    (200, 5.45, 2.8),
    (1000, 9.5, 8),
)


@pytest.mark.parametrize(('ranges', 'hold', 'interval'), _SIZES)
def test_holds_grow_with_the_ranges(
    ranges: int,
    hold: float,
    interval: float,
) -> None:
    """Choose a hold that allows for the renewal interval."""
    gateway = _find_controller(build_scene())
    keyed = gateway.control.keyed[ServiceName(CATALOGUE)]
    keyed.partitions.ordered = [Partition(ALL_KEYS) for _ in range(ranges)]
    sized = size_hold(gateway, keyed)
    assert sized == pytest.approx(hold, abs=0.01)
    renewal = find_renewal_interval(gateway, sized)
    assert renewal == pytest.approx(interval, abs=0.01)


# Guards against a grant with a short hold that lapses before its renewal.
@pytest.mark.parametrize('hold', [0.2, 0.6, 1, 2, 3.3, 9.5])
def test_grants_are_renewed_before_they_lapse(hold: float) -> None:
    """Leave time for failed calls, however short a grant is."""
    gateway = _find_controller(build_scene())
    keyed = gateway.control.keyed[ServiceName(CATALOGUE)]
    lead = gateway.options.hold - gateway.options.renewal_interval
    for ranges in (4, 97, 1000):
        keyed.partitions.ordered = [Partition(ALL_KEYS) for _ in range(ranges)]
        interval = find_renewal_interval(gateway, Seconds(hold))
        assert interval <= max(hold / 4, hold - lead)


# Time for which the controller is suspended, and the number of servers.
_STALLS = ((0.6, 4), (1.2, 4), (0.6, 97), (1.2, 97))


# Guards against servers that are suspected because the controller is slow.
@pytest.mark.parametrize(('stall', 'servers'), _STALLS)
def test_busy_controller_suspects_no_server(stall: float, servers: int) -> None:
    """Keep all grants while no order of the controller completes."""
    world = _build_fleet(_Scene(servers=servers))
    world.run(4)
    process = world.processes[_find_controller(world).options.node]
    process.worker.idle_at = Seconds(world.now + stall)
    _run_served(world, 6)


# Number of servers, and how many of them are cut off.
_CUTS = ((2, 1), (4, 1), (6, 3), (97, 1), (97, 32))


@pytest.mark.parametrize(('servers', 'cut'), _CUTS)
def test_servers_that_do_not_answer_are_suspected(
    servers: int,
    cut: int,
) -> None:
    """Move the keys of servers that are cut off to the others."""
    world = _build_fleet(_Scene(servers=servers))
    world.run(4)
    lost = world.servers[:cut]
    for server in lost:
        server.cut = True
    world.run(3.5)
    assert len(_list_suspected(world)) == cut
    world.run(5)
    assert list_unowned(world) == []
    assert not any(server.find_holdings(ALL_KEYS, world.now) for server in lost)


# Guards against all keys on the few servers that are not suspected.
@pytest.mark.parametrize('suspected', [40, 83, 96])
def test_few_servers_are_not_given_all_free_keys(suspected: int) -> None:
    """Give no server many shares, and leave no key without an owner."""
    world = _build_fleet(_Scene())
    world.run(4)
    gateway = _find_controller(world)
    lapsed = {server.entry.life: server for server in world.servers[:suspected]}
    for partition in gateway.control.keyed[
        ServiceName(CATALOGUE)
    ].partitions.ordered:
        if partition.incarnation in lapsed:
            partition.set_free(world.now)
    for incarnation, server in lapsed.items():
        server.holdings.clear()
        gateway.control.suspicions.suspect(incarnation, world.now)
    for _ in range(14):
        world.run(0.5)
        _assert_even(world)
    _assert_served(world)


def _assert_even(world: World) -> None:
    widths = [
        sum(
            held.keys.width
            for held in server.find_holdings(ALL_KEYS, world.now)
        )
        for server in world.servers
    ]
    assert max(widths) * len(widths) <= ALL_KEYS.width * _MAX_SHARES


def _send_load(world: World, until: Seconds, random: Random) -> None:
    if world.now < until:
        key = random.randrange(ALL_KEYS.width)
        world.call(random.choice(_GATEWAYS), '/reads/x', key)
        world.after(0.004, partial(_send_load, world, until, random))


# Guards against keys assigned to servers that are cut off, which is then
# detected only one hold later.
def test_server_with_an_unconfirmed_order_gets_no_keys() -> None:
    """Exclude a server as soon as an order counts against it."""
    world = build_scene()
    gateway = _find_controller(world)
    keyed = gateway.control.keyed[ServiceName(CATALOGUE)]
    lost = world.servers[0]
    lost.cut = True
    world.run(1)
    assert not gateway.control.suspicions.is_suspected(
        lost.entry.life, world.now
    )
    capable = list_capacities(gateway, keyed, world.now)
    assert lost.entry.life not in {entry.server.life for entry in capable}


# Guards against a server that gets its keys again as soon as they are free.
@pytest.mark.parametrize(
    ('verdict', 'suspected'),
    [(OrderVerdict.unknown, True), (OrderVerdict.done, False)],
)
def test_server_that_does_not_release_stays_suspected(
    verdict: OrderVerdict,
    *,
    suspected: bool,
) -> None:
    """Keep a server suspected while it leaves releases unanswered."""
    gateway = _find_controller(build_scene())
    service = ServiceName(CATALOGUE)
    partition = gateway.control.keyed[service].partitions.ordered[0]
    assert partition.incarnation is not None
    suspicions = gateway.control.suspicions
    suspicions.suspect(partition.incarnation, Seconds(0))
    partition.state = PartitionState.lapsing
    release = OrderEnded(
        service,
        partition.keys,
        partition.incarnation,
        partition.fence,
        release=True,
        verdict=verdict,
        handover='',
    )
    handle_order_ended(gateway, Seconds(3), release)
    assert (
        suspicions.is_suspected(partition.incarnation, Seconds(5)) == suspected
    )


# Guards against a fleet that takes over its keys a few ranges at a time.
def test_many_servers_soon_share_the_keys_of_few() -> None:
    """Serve within seconds the load that four of 97 servers cannot."""
    world = _build_fleet(_Scene(servers=4))
    world.run(3)
    for number in range(4, _SERVERS):
        world.add_server(f'guide-{number}', CATALOGUE)
    world.work_time = lambda: Seconds(0.2)
    world.run(1)
    _send_load(world, Seconds(world.now + 6), Random(1))
    world.run(3)
    seen = len(world.results)
    world.run(3)
    later = list(world.results.values())[seen:]
    assert sum(ended.not_run for ended in later) <= len(later) * 0.12
