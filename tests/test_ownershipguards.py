"""Check that each ownership guard is needed, by mutation.

Every case runs twice.  Unchanged, no shard may have two owners; with the guard
removed, the same sequence of events must give a shard two owners.
"""

from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, replace
from unittest.mock import patch

import pytest

from measure.ownershipbench import Bench, open_bench
from measure.ownershipscene import Scene
from measure.process import Process
from standins.serverstate import GrantCall, ServerState
from trefoilsaddle.core import (
    application,
    authority,
    grants,
    isolation,
    moves,
    outage,
    recovery,
    sharing,
)
from trefoilsaddle.core.dutystate import NEVER, Duty
from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import ServerStamp
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.records import Move, Record
from trefoilsaddle.core.units import (
    FOREVER,
    Epoch,
    Moment,
    RecordId,
    Seconds,
    ServerId,
    ShardId,
)
from trefoilsaddle.core.view import LogView, Verdict

_Course = Callable[[Bench], None]
_Mutation = Callable[[], object]


def move_all(bench: Bench, source: ServerId, target: ServerId) -> None:
    """Start a planned move of all shards of a server."""
    process = bench.holder(source)
    assert process is not None
    moment = Moment(process.clock, process.clock)
    shards = process.node.view.shards_on(source)
    targets = dict.fromkeys(shards, target)
    for effect in moves.start_move(process.node, moment, source, targets):
        bench.fleet.perform(process, effect)


def find_holder(bench: Bench) -> Process:
    """Return the dispatcher of the first server."""
    holder = bench.holder(bench.scene.server_ids[0])
    assert holder is not None
    return holder


def split(bench: Bench, *, alone: int) -> list[Process]:
    """Cut off the holder of the first server, and return the processes cut off.

    `alone` is their number, including the holder; they lose the log as well.
    """
    holder = find_holder(bench)
    rest = [
        process
        for process in bench.fleet.processes.values()
        if process is not holder
    ]
    inside = [holder, *rest[len(rest) + 1 - alone :]]
    outside = [process for process in rest if process not in inside]
    bench.fleet.network.cut(
        [process.node_id for process in inside],
        [process.node_id for process in outside],
    )
    cut_from_log(inside)
    return inside


def join(bench: Bench) -> None:
    """End every cut."""
    bench.fleet.network.cuts.clear()
    bench.links.cuts.clear()
    bench.links.reply_cuts.clear()
    for process in bench.fleet.processes.values():
        process.cut_from_log = False


def reach_planned_move(bench: Bench) -> None:
    """Move shards between two servers that are alive."""
    move_all(bench, *bench.scene.server_ids[:2])
    bench.run(2)


def depose_unchecked(bench: Bench) -> None:
    """Cut off a dispatcher whose successor moves the server's shards."""
    split(bench, alone=1)
    bench.run(12)
    move_all(bench, *bench.scene.server_ids[:2])
    bench.run(2)


def depose_fenced(bench: Bench) -> None:
    """Cut off a dispatcher with a member that continues to promise."""
    split(bench, alone=2)
    bench.run(12)
    move_all(bench, *bench.scene.server_ids[:2])
    bench.run(2)


def restart_deposed(bench: Bench) -> None:
    """Resume a dispatcher after its server has lost its fence by a restart."""
    first, second = bench.scene.server_ids[:2]
    paused = split(bench, alone=2)
    for process in paused:
        process.paused = True
    bench.run(12)
    move_all(bench, first, second)
    bench.run(2)
    bench.links.cuts.add((find_holder(bench).node_id, first))
    bench.servers[first].stop()
    bench.servers[first].restart()
    resume_all(paused)
    bench.run(3)


def resume_all(processes: list[Process]) -> None:
    """Resume processes, in order."""
    for process in processes:
        process.resume()


def lose_server_then_holder(bench: Bench) -> None:
    """Freeze a server, lose its dispatcher, and resume the server."""
    server = bench.servers[bench.scene.server_ids[0]]
    bench.fleet.log.faults.away = True
    bench.run(2)
    server.frozen = True
    bench.run(3)
    find_holder(bench).alive = False
    bench.run(0.2)
    server.wake()
    bench.run(4)


def lose_link(bench: Bench) -> None:
    """Cut a dispatcher off from one server, which stays alive."""
    first = bench.scene.server_ids[0]
    holder = find_holder(bench)
    bench.links.cuts.add((holder.node_id, first))
    bench.run(6)


def lose_link_skewed(bench: Bench) -> None:
    """Lose the link while the server's clock is slow and the holder's fast."""
    for server in bench.servers.values():
        server.rate = 1 - bench.scene.drift / 2
    for process in bench.fleet.processes.values():
        process.rate = 1 + bench.scene.drift / 2
    bench.run(5)
    first = bench.scene.server_ids[0]
    holder = find_holder(bench)
    link = (holder.node_id, first)
    bench.links.reply_cuts.add(link)
    bench.run(holder.node.options.grant_interval)
    bench.links.cuts.add(link)
    bench.run(6)


def freeze_server(bench: Bench) -> None:
    """Freeze a server with a renewal in its socket, and resume it late."""
    server = bench.servers[bench.scene.server_ids[0]]
    server.frozen = True
    bench.run(4)
    server.wake()
    bench.run(1)


def delay_record(bench: Bench) -> None:
    """Let a move reach the log only after its dispatcher was replaced."""
    first, second = bench.scene.server_ids[:2]
    holder = find_holder(bench)
    bench.fleet.log.faults.lose_appends = True
    move_all(bench, first, second)
    bench.run(0.2)
    holder.paused = True
    bench.fleet.log.faults.lose_appends = False
    bench.run(5)
    holder.resume()
    bench.run(3)


def repeat_record(bench: Bench) -> None:
    """Append a move again after its shards have moved back."""
    first, second = bench.scene.server_ids[:2]
    move_all(bench, first, second)
    bench.run(2)
    move = _find_move(bench)
    bench.run(1)
    move_all(bench, second, first)
    bench.run(2)
    bench.fleet.log.append((move,))
    bench.run(2)


def _find_move(bench: Bench) -> Record:
    return next(
        record
        for entry in bench.fleet.log.entries
        for record in entry.records
        if isinstance(record, Move)
    )


def split_log_from_server(bench: Bench) -> None:
    """Leave the holder only the log, and its claim set only the server."""
    first = bench.scene.server_ids[0]
    holder = find_holder(bench)
    others = set(bench.fleet.processes) - {holder.node_id}
    for other in others:
        bench.fleet.processes[other].cut_from_log = True
    bench.fleet.network.cut([holder.node_id], others)
    bench.links.cuts.add((holder.node_id, first))
    bench.run(6)


def cut_zone(bench: Bench) -> None:
    """Cut a zone off from the other one and from the log."""
    zone = bench.scene.zone_names[0]
    inside = [
        process
        for process in bench.fleet.processes.values()
        if process.node.options.zone == zone
    ]
    names = {process.node_id for process in inside}
    bench.fleet.network.cut(names, set(bench.fleet.processes) - names)
    cut_from_log(inside)
    bench.links.cuts.update(
        (node, server)
        for node in bench.fleet.processes
        for server in bench.servers
        if server.startswith(zone) != (node in names)
    )
    bench.run(16)


def cut_from_log(processes: list[Process]) -> None:
    """Cut processes off from the log."""
    for process in processes:
        process.cut_from_log = True


def share_at_once(
    node: Node,
    moment: Moment,
    duty: Duty,
    shards: list[ShardId],
) -> Effects:
    """Append a move without informing any claim-set member."""
    claim_set = duty.claim_set
    confirmed_members = duty.confirmed_members
    duty.claim_set = ()
    duty.confirmed_members = ()
    effects = _SHARE_MOVES(node, moment, duty, shards)
    duty.claim_set = claim_set
    duty.confirmed_members = confirmed_members
    return effects


def move_without_revoking(
    node: Node,
    moment: Moment,
    duty: Duty,
    shards: list[ShardId],
) -> Effects:
    """Append a move without revoking the former owner's grant."""
    return sharing.share_moves(node, moment, duty, shards)


def apply_any_term(view: LogView, record: Record, position: Epoch) -> None:
    """Apply a move regardless of its term."""
    if isinstance(record, Move) and record.server in view.roles:
        record = replace(record, term=view.roles[record.server].term)
    _APPLY_ONCE(view, record, position)


def apply_any_epoch(view: LogView, record: Record, position: Epoch) -> None:
    """Apply a move regardless of the epochs of its shards."""
    if isinstance(record, Move):
        shards = tuple(
            replace(moved, expected=view.owners[moved.shard].epoch)
            for moved in record.shards
        )
        term = view.roles[record.server].term
        record = replace(record, shards=shards, term=term)
    _APPLY_ONCE(view, record, position)


def forget_verdict(
    view: LogView,
    record_id: RecordId,
    verdict: Verdict,
) -> None:
    """Let a record that is appended twice take effect twice."""


def count_from_receipt(
    state: ServerState,
    now: Seconds,
    call: GrantCall,
) -> None:
    """Measure a grant from the time at which the server reads the call."""
    if call.stamp is not None:
        stamp = ServerStamp(call.stamp.instance, now)
        call = replace(call, stamp=stamp)
    _CHANGE_GRANTS(state, now, call)


_SHARE_MOVES = sharing.share_moves
_APPLY_ONCE = application._apply_once
_CHANGE_GRANTS = ServerState._update_grants


@dataclass(frozen=True, slots=True)
class Guard:
    """Name a guard, a sequence of events that needs it, and its removal."""

    name: str
    scene: Scene
    course: _Course
    # Targets, attribute names and replacements for `patch.object`.
    removal: tuple[tuple[object, str, object], ...]


def _keep_duration(node: Node, duration: Seconds) -> Seconds:
    return duration


def _allow(*arguments: object) -> bool:
    return True


def _end_at_once(*arguments: object) -> Seconds:
    return Seconds(0)


def _no_hold(*arguments: object) -> Seconds:
    return Seconds(0)


def _ignore(*arguments: object) -> None:
    """Do nothing."""


def _deny(*arguments: object) -> bool:
    return False


def _never(*arguments: object) -> Seconds:
    return NEVER


def _forever(*arguments: object, every: bool) -> Seconds:
    return FOREVER


CHECKED = Scene(seed=5)
UNCHECKED = Scene(seed=5, checks_grants=False)
SKEWED = Scene(seed=5, drift=0.2, lease=4, grant=4)

GUARDS = (
    Guard(
        'revoke before append',
        CHECKED,
        reach_planned_move,
        ((moves, '_revoke', move_without_revoking),),
    ),
    Guard(
        'lease check before each send',
        UNCHECKED,
        depose_unchecked,
        ((authority, 'lease_end', _forever),),
    ),
    Guard(
        'fence of the server',
        CHECKED,
        depose_fenced,
        ((ServerState, '_is_fenced', _deny),),
    ),
    Guard(
        'full lease for a restarted server',
        CHECKED,
        restart_deposed,
        ((grants, '_is_trusted', _allow),),
    ),
    Guard(
        'wait for the expiry of grants',
        CHECKED,
        lose_link,
        ((recovery, 'idle_after', _never), (recovery, 'is_suspected', _allow)),
    ),
    Guard(
        'wait for the last deadline',
        replace(UNCHECKED, deadline=4, service_time=3),
        lose_link,
        ((recovery, 'idle_after', _never),),
    ),
    Guard(
        'allowance for drift',
        SKEWED,
        lose_link_skewed,
        (
            (grants, 'lengthen_by_drift', _keep_duration),
            (recovery, 'is_suspected', _allow),
        ),
    ),
    Guard(
        'stamp of the server clock',
        CHECKED,
        freeze_server,
        ((ServerState, '_update_grants', count_from_receipt),),
    ),
    Guard(
        'term of a move',
        CHECKED,
        delay_record,
        ((application, '_apply_once', apply_any_term),),
    ),
    Guard(
        'id and epoch of a move',
        CHECKED,
        repeat_record,
        (
            (application, '_apply_once', apply_any_epoch),
            (application, '_keep_verdict', forget_verdict),
        ),
    ),
    Guard(
        'acknowledgement of a claim-set member before the append',
        CHECKED,
        split_log_from_server,
        ((recovery, 'share_moves', share_at_once),),
    ),
    Guard(
        'isolation hold',
        Scene(seed=5, zones=2, servers=1, hold=10),
        cut_zone,
        ((isolation, '_hold_end', _end_at_once),),
    ),
    Guard(
        'no claim of a zone with an unlimited hold',
        Scene(seed=5, zones=2, servers=1, hold=None),
        cut_zone,
        (
            (isolation, 'isolation_hold', _no_hold),
            (isolation, 'former_isolation_hold', _no_hold),
            (application, '_may_claim', _allow),
        ),
    ),
    Guard(
        'knowledge of moves without the log',
        CHECKED,
        lose_server_then_holder,
        ((outage, 'block_moved_shards', _ignore),),
    ),
)


@contextmanager
def remove(guard: Guard) -> Iterator[None]:
    """Remove a guard for the duration of the context."""
    patches = [patch.object(*place) for place in guard.removal]
    for change in patches:
        change.start()
    try:
        yield
    finally:
        for change in patches:
            change.stop()


def run_course(guard: Guard) -> list[str]:
    """Run a guard's sequence of events and return the ownership violations."""
    with open_bench(guard.scene) as bench:
        bench.run(4)
        assert not bench.find_unserved(bench.now - 1)
        guard.course(bench)
        join(bench)
        bench.run(3)
        return bench.violations


@pytest.mark.parametrize('guard', GUARDS, ids=lambda guard: guard.name)
def test_guard_is_needed(guard: Guard) -> None:
    """Detect two owners of a shard only with the guard removed."""
    assert not run_course(guard)
    with remove(guard):
        assert run_course(guard)
