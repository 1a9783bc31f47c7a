"""Test what a successor may trust after the store came back from a copy.

Tables of the present era say which holders are confirmed and how long unknown
ones may be left.  The simulation raises as soon as two servers hold a key or a
fencing token does not rise.
"""

import os
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from random import Random

import pytest

from measure.gatewayworld import World
from measure.worldprocess import Process
from measure.worldservers import WorldServer
from measure.worldstore import Membership, StoreCopy
from tests.gatewayscenes import CATALOGUE, GATEWAYS, build_scene, list_unowned
from trefoilsaddle.core.units import (
    NodeId,
    Offset,
    Seconds,
    ServiceName,
    StoreEra,
)
from trefoilsaddle.gateway.events import (
    ControllerAnnounced,
    Event,
    JoinEnded,
    OrderEnded,
    OrderVerdict,
    StopRequested,
    Topic,
)
from trefoilsaddle.gateway.granting import handle_order_ended
from trefoilsaddle.gateway.options import MAX_HOLD
from trefoilsaddle.gateway.partitions import PartitionState
from trefoilsaddle.gateway.peermessages import (
    ControllerAnnouncement,
    ServiceWait,
)
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.restoring import record_unknown_end
from trefoilsaddle.gateway.table import GatewayAddress, StoredTable
from trefoilsaddle.gateway.takeover import take_over_service

_Fault = Callable[[World, Random], None]

# Time from the return of the store until no grant of a lost table is in force:
# the time for which a controller may renew without the store, a late call and
# the longest hold by a slow clock, and a division of the keys.
_MAX_UNKNOWN_TIME = 12 + 0.5 + 2.6 + MAX_HOLD * 1.02 + 1
_OUTAGE = 0.5
_LOAD_TIME = 60
_WALKS = int(os.environ.get('TREFOIL_EXAMPLES', '12'))
# Time in which a successor takes over.
_TAKEOVER_TIME = 4


class _FreezingWorld(World):
    """Simulation whose processes can be suspended for some time."""

    thawing: dict[int, Seconds]

    def freeze(self, process: Process, seconds: float) -> None:
        """Suspend a process: its events wait until it goes on."""
        self.thawing[id(process)] = Seconds(self.now + seconds)

    def feed(self, process: Process, event: Event) -> None:
        """Feed an event, once its process goes on."""
        thawed = self.thawing.get(id(process), Seconds(0))
        if self.now < thawed:
            self.after(thawed - self.now, partial(self.feed, process, event))
        else:
            super().feed(process, event)


def _build_scene(monkeypatch: pytest.MonkeyPatch, seed: int) -> _FreezingWorld:
    monkeypatch.setattr('measure.gatewayworld.World', _FreezingWorld)
    monkeypatch.setattr(_FreezingWorld, 'thawing', {}, raising=False)
    world = build_scene(seed)
    assert isinstance(world, _FreezingWorld)
    return world


def _send_load(world: World, random: Random) -> None:
    """Send requests for few keys, others each second, so that ranges move."""
    end = world.now + _LOAD_TIME

    def send() -> None:
        living = [name for name in GATEWAYS if _is_alive(world, name)]
        if living:
            first = int(world.now) * 7919 % 65_000
            key = first + random.randrange(300)
            world.call(random.choice(living), '/reads/x', key)
        if world.now < end:
            world.after(0.02, send)

    world.after(0.02, send)


def _is_alive(world: World, name: str) -> bool:
    return world.processes[NodeId(name)].alive


def _start_return(world: World, outage: float) -> None:
    world.faults.store_down = True
    copy = world.store.copy()
    world.after(outage, partial(_bring_back, world, copy))


def _bring_back(world: World, copy: StoreCopy) -> None:
    world.store.restore(copy)
    world.faults.store_down = False


def _start(world: World, name: str) -> None:
    if not _is_alive(world, name):
        world.start_gateway(name)


def _stop_and_start(world: World) -> None:
    process = world.find_controller()
    if process is None:
        return
    world.feed(process, StopRequested())
    name = process.gateway.options.node
    world.after(1.5, partial(_restart, world, name))


def _restart(world: World, name: str) -> None:
    world.start_gateway(name)


def _lose_tables(world: World, age: float) -> None:
    """Have the store come back from a copy of some time ago."""
    copy = world.store.copy()
    world.run(age)
    world.faults.store_down = True
    world.run(_OUTAGE)
    _bring_back(world, copy)


def _count_kept(world: World, lost: WorldServer) -> int:
    """Return the keys, of a sample, that are owned by other servers."""
    return sum(
        any(holder is not lost for holder in world.find_holders(key, CATALOGUE))
        for key in range(0, 65_536, 1024)
    )


# Guards against a keyed service that is unserved as a whole, because some keys
# have lapsed and each successor takes all holders for unknown.
@pytest.mark.parametrize('seed', range(3))
@pytest.mark.parametrize('crash', [0.7, 2])
def test_successors_keep_confirmed_holders(seed: int, crash: float) -> None:
    """Keep the confirmed keys owned while controllers stop in turn."""
    world = build_scene(seed)
    world.run(1)
    lost = world.servers[0]
    world.after(4 - crash, partial(world.crash_server, lost))
    _lose_tables(world, 4)
    for moment in (1.5, 4.5, 7.5, 10.5):
        world.after(moment, partial(_stop_and_start, world))
    world.run(1)
    kept = [_count_kept(world, lost)]
    for _ in range(60):
        world.run(0.2)
        kept.append(_count_kept(world, lost))
    assert min(kept) >= 48


# Guards against a wait that each successor begins anew.
@pytest.mark.parametrize('seed', range(3))
def test_wait_for_unknown_holders_ends_in_spite_of_stops(seed: int) -> None:
    """Own all keys once no grant of a lost table can be left."""
    world = build_scene(seed)
    world.run(1)
    world.after(3, partial(world.crash_server, world.servers[0]))
    _lose_tables(world, 4)
    for moment in range(3, 25, 3):
        world.after(moment, partial(_stop_and_start, world))
    world.run(_MAX_UNKNOWN_TIME + _TAKEOVER_TIME)
    assert list_unowned(world) == []


def _kill_controller(world: World, random: Random) -> None:
    process = world.find_controller()
    if process is None:
        return
    name = process.gateway.options.node
    world.kill_gateway(name)
    world.after(random.uniform(0.3, 4), partial(_start, world, name))


def _stop_controller(world: World, random: Random) -> None:
    _stop_and_start(world)


def _freeze_controller(world: World, random: Random) -> None:
    process = world.find_controller()
    assert isinstance(world, _FreezingWorld)
    if process is not None:
        world.freeze(process, random.uniform(0.5, 16))


def _cut_controller(world: World, random: Random) -> None:
    """Cut the controller off, with some of the servers or none."""
    process = world.find_controller()
    if process is None:
        return
    process.store_cut = True
    process.peers_cut = True
    names = {server.entry.life.server for server in world.servers}
    process.unreachable = set(
        random.sample(sorted(names), random.randrange(len(names)))
    )
    others = names - process.unreachable if random.random() < 0.5 else set()
    for other in world.processes.values():
        if other is not process:
            other.unreachable = set(others)
    world.after(random.uniform(1, 15), partial(_reconnect, world))


def _reconnect(world: World) -> None:
    for process in world.processes.values():
        process.store_cut = False
        process.peers_cut = False
        process.unreachable = set()


def _crash_server(world: World, random: Random) -> None:
    server = random.choice(world.servers)
    if not server.up or server.entry.service != CATALOGUE:
        return
    world.crash_server(server)
    world.after(random.uniform(3, 6), partial(_start_anew, world, server))


def _start_anew(world: World, server: WorldServer) -> None:
    life = server.entry.life
    world.add_server(life.server, CATALOGUE, born=life.born + 1)


def _cut_server(world: World, random: Random) -> None:
    server = random.choice(world.servers)
    server.cut = True
    world.after(random.uniform(0.5, 6), partial(_join_server, server))


def _join_server(server: WorldServer) -> None:
    server.cut = False


def _disturb_orders(world: World, random: Random) -> None:
    world.faults.late_orders = 0.2
    world.faults.queued_orders = 0.2
    world.faults.max_late_delay = Seconds(2.5)
    world.after(random.uniform(1, 5), partial(_end_disturbances, world))


def _lose_appends(world: World, random: Random) -> None:
    world.faults.lost_appends = 0.5
    world.faults.refused_appends = 0.2
    world.after(random.uniform(1, 5), partial(_end_disturbances, world))


def _end_disturbances(world: World) -> None:
    world.faults.late_orders = 0
    world.faults.queued_orders = 0
    world.faults.lost_appends = 0
    world.faults.refused_appends = 0


def _return_again(world: World, random: Random) -> None:
    if not world.faults.store_down:
        age = random.uniform(0.1, 6)
        copy = world.store.copy()
        outage = random.uniform(0.1, 3)
        world.after(age, partial(_go_away, world, copy, outage))


def _go_away(world: World, copy: StoreCopy, outage: float) -> None:
    if not world.faults.store_down:
        world.faults.store_down = True
        world.after(outage, partial(_bring_back, world, copy))


_FAULTS: tuple[_Fault, ...] = (
    _kill_controller,
    _stop_controller,
    _stop_controller,
    _freeze_controller,
    _cut_controller,
    _crash_server,
    _cut_server,
    _disturb_orders,
    _lose_appends,
    _return_again,
)


def _walk(world: _FreezingWorld, random: Random, steps: int = 14) -> None:
    """Have the store return from a copy among random faults."""
    _send_load(world, random)
    for step in range(steps):
        if step % 6 == 1:
            _return_again(world, random)
        world.run(random.random() * 3)
        random.choice(_FAULTS)(world, random)
        if random.random() < 0.2:
            random.choice(_FAULTS)(world, random)
    _reconnect(world)


# Guards against two owners when a successor trusts a table of the present era.
@pytest.mark.parametrize('seed', range(_WALKS))
def test_keys_are_owned_once_on_a_walk_of_returns(
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Keep one owner per key through returns and faults at random times."""
    world = _build_scene(monkeypatch, seed)
    _walk(world, Random(seed))
    world.run(20)
    _end_disturbances(world)
    for name in GATEWAYS:
        _start(world, name)
    world.run(20 + _MAX_UNKNOWN_TIME)
    assert list_unowned(world) == []


def _find_controller(world: World) -> Process:
    process = world.find_controller()
    assert process is not None
    return process


def _choose(world: World, process: Process) -> None:
    options = process.gateway.options
    world.store.leader = f'{options.node}-{options.run}'
    lease = Membership(world.now, Seconds(5))
    world.store.members[world.store.leader] = lease


def _return_to(world: World, copy: StoreCopy, process: Process) -> None:
    _bring_back(world, copy)
    _choose(world, process)


# Guards against two owners when a controller goes on that was suspended for
# longer than its successor waits, and that the copy of the store names again.
@pytest.mark.parametrize('seed', range(3))
def test_suspended_controller_does_not_continue_after_the_return(
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Take over anew if the outage tolerance had passed before the return."""
    world = _build_scene(monkeypatch, seed)
    _send_load(world, Random(seed))
    world.run(1)
    old = _find_controller(world)
    copy = world.store.copy()
    hidden = world.servers[0].entry.life.server
    for process in world.processes.values():
        if process is not old:
            process.unreachable = {hidden}
    world.freeze(old, 26)
    world.run(25)
    assert _count_kept(world, world.servers[0]) > 48
    world.faults.store_down = True
    world.run(0.9)
    _return_to(world, copy, old)
    world.run(_MAX_UNKNOWN_TIME)


# Guards against two owners when a controller of lost tables was suspended before
# it sent its first grants.
@pytest.mark.parametrize('seed', range(3))
def test_grants_of_a_suspended_successor_are_refused(
    seed: int,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Give no keys away that an earlier controller may still grant."""
    world = _build_scene(monkeypatch, seed)
    _send_load(world, Random(seed))
    world.run(1)
    old = _find_controller(world)
    copy = world.store.copy()
    ended = world.store.find_end(Topic.ownership)
    old.store_cut = True
    old.peers_cut = True
    other = old
    while other is old or world.store.find_end(Topic.ownership) == ended:
        world.run(0.001)
        other = _find_leading(world, old)
    assert isinstance(world, _FreezingWorld)
    world.freeze(other, 9)
    world.faults.store_down = True
    world.run(0.5)
    _reconnect(world)
    _return_to(world, copy, old)
    world.run(_MAX_UNKNOWN_TIME)
    assert list_unowned(world) == []


def _find_leading(world: World, old: Process) -> Process:
    for process in world.processes.values():
        if process is not old and process.gateway.control.leading:
            return process
    return old


def _raise_era(world: World, process: Process) -> None:
    """Tell a controller that the store came back, and that it still leads."""
    gateway = process.gateway
    joined = JoinEnded(
        answered=True,
        generation=gateway.control.generation,
        leads=True,
        asked_at=world.now,
        era=StoreEra(gateway.era + 1),
    )
    world.feed(process, joined)


# Guards against two owners when a controller goes on for which its successor has
# waited.
@pytest.mark.parametrize(('silence', 'leading'), [(11.9, True), (12.1, False)])
def test_controller_goes_on_only_within_its_tolerance(
    silence: float,
    *,
    leading: bool,
) -> None:
    """Step down at the return if the store had been silent for too long."""
    world = build_scene()
    process = _find_controller(world)
    process.gateway.control.confirmed_at = Seconds(world.now - silence)
    _raise_era(world, process)
    assert process.gateway.control.leading == leading


# Guards against two owners when a holder was taken over between its answer and
# the return of the store.
@pytest.mark.parametrize('pending', [False, True])
def test_answer_of_before_the_return_confirms_no_holder(
    *,
    pending: bool,
) -> None:
    """Ask holders again whose answers were under way at the return."""
    world = build_scene()
    process = _find_controller(world)
    keyed = process.gateway.control.keyed[ServiceName(CATALOGUE)]
    partition = keyed.partitions.ordered[0]
    assert partition.incarnation is not None
    partition.call_pending = pending
    _raise_era(world, process)
    answered = OrderEnded(
        keyed.service,
        partition.keys,
        partition.incarnation,
        partition.fence,
        release=False,
        verdict=OrderVerdict.done,
        handover='',
    )
    handle_order_ended(process.gateway, world.now, answered)
    assert partition.confirmed != pending


def _cut_off(process: Process, *, cut: bool = True) -> None:
    process.store_cut = cut
    process.peers_cut = cut


def _store_unconfirmed_rows(world: World, seed: int) -> None:
    """Have a replaced controller store its rows, which no server confirms."""
    _send_load(world, Random(seed))
    old = _find_controller(world)
    copy = world.store.copy()
    _cut_off(old)
    world.run(7)
    world.faults.store_down = True
    world.run(0.3)
    old.unreachable = {server.entry.life.server for server in world.servers}
    _cut_off(old, cut=False)
    _return_to(world, copy, old)
    world.after(0.4, partial(world.feed, old, StopRequested()))
    world.run(_MAX_UNKNOWN_TIME)


# Guards against two owners when a successor finds rows of a replaced controller.
@pytest.mark.parametrize('seed', range(3))
def test_unconfirmed_rows_are_waited_for(seed: int) -> None:
    """Keep one owner per key if the rows of a table are not confirmed."""
    world = build_scene(seed)
    _store_unconfirmed_rows(world, seed)
    world.run(_LOAD_TIME)
    assert list_unowned(world) == []


@pytest.mark.parametrize(
    ('confirmed', 'later', 'state'),
    [
        (True, 0, PartitionState.assigning),
        (False, 0, PartitionState.lapsing),
        # The store came back once more: no row tells anything.
        (True, 1, PartitionState.free),
        (False, 1, PartitionState.free),
    ],
)
@pytest.mark.parametrize('left', [-1, 0, 8, 100])
def test_only_confirmed_rows_of_the_era_are_granted(
    left: float,
    later: int,
    state: PartitionState,
    *,
    confirmed: bool,
) -> None:
    """Wait for all other holders, no longer than without the table."""
    world = build_scene()
    gateway = world.processes[NodeId(GATEWAYS[1])].gateway
    stored = world.store.read_newest(Topic.ownership)[-1]
    assert isinstance(stored, StoredTable)
    rows = tuple(
        replace(row, confirmed=confirmed) for row in stored.table.assignments
    )
    table = replace(
        stored.table,
        assignments=rows,
        incomplete=True,
        unknown_left=Seconds(left),
    )
    record_unknown_end(gateway, table, world.now)
    gateway.tables[table.service] = replace(stored, table=table)
    gateway.era_seen_at = world.now
    gateway.era = StoreEra(gateway.era + later)
    if later:
        gateway.unknown_ends.clear()
    take_over_service(gateway, table.service, world.now)
    keyed = gateway.control.keyed[table.service]
    assert {partition.state for partition in keyed.partitions.ordered} == {
        state
    }
    longest = _MAX_UNKNOWN_TIME - 1
    stated = left >= 0 and not later
    wait = min(left, longest) if stated else longest
    assert keyed.unknown_until == pytest.approx(world.now + wait)
    earliest = min(
        partition.held_until for partition in keyed.partitions.ordered
    )
    assert round(earliest - world.now, 3) >= round(wait, 3)


# Guards against a successor that counts the wait for unknown holders from its own
# read of the table, though its predecessor had announced what was left of it.
@pytest.mark.parametrize(
    ('eras', 'left', 'known'),
    [(0, 5, 5), (0, 0, 0), (1, 5, None)],
    ids=['waits', 'has ended', 'other era'],
)
def test_announced_wait_is_known(
    eras: int, left: float, known: float | None
) -> None:
    """Record the end of a wait that a controller of this era announces."""
    world = build_scene()
    gateway = world.processes[NodeId(GATEWAYS[-1])].gateway
    era = StoreEra(gateway.era + eras)
    wait = ServiceWait(ServiceName(CATALOGUE), Seconds(left))
    address = GatewayAddress(NodeId('new-1'), 9, 'new-1', 1)
    announcement = ControllerAnnouncement(address, Offset(99), era, (wait,))
    reduce(gateway, world.now, ControllerAnnounced(announcement))
    end = gateway.unknown_ends.get(ServiceName(CATALOGUE))
    assert (end is None) == (known is None)
    assert end is None or end == world.now + (known or 0)
