"""Move shards off a server that is alive, in the one safe order.

Dispatching stops, work in flight ends, the server gives the grant up, a
claim-set member is told, and only then is the record appended.  Before the
claim set is told a failed step ends the move and serving resumes; after it
only the log can say which server owns the shard.
"""

from trefoilsaddle.core.dispatching import count_running
from trefoilsaddle.core.dutystate import (
    IRREVOCABLE,
    Duty,
    MoveStage,
    ShardMove,
)
from trefoilsaddle.core.effects import Component, CountMetric, Effects, SetTimer
from trefoilsaddle.core.events import (
    GrantAnswered,
    GrantVerdict,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.grants import is_fenced, renew_grants
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.recovery import former_deadline
from trefoilsaddle.core.sharing import share_again, share_moves
from trefoilsaddle.core.targets import choose_targets, is_leaving
from trefoilsaddle.core.units import Moment, Seconds, ServerId, ShardId

# Time between two looks at moves that wait for something.
_MOVE_INTERVAL = Seconds(0.1)
# Longest wait for requests in flight and for the server's word.
_ABORT_AFTER = Seconds(5)


def start_move(
    node: Node,
    moment: Moment,
    server: ServerId,
    targets: dict[ShardId, ServerId],
) -> Effects:
    """Begin to move shards off a server of this process.

    Shards that it does not own, or that are moving already, are passed over;
    nothing is moved while the role is contested.
    """
    duty = node.duties.held.get(server)
    if duty is None or not _may_move(moment, duty):
        return []
    for shard, target in targets.items():
        epoch = duty.shards.get(shard)
        if epoch is None or shard in duty.moves or target == server:
            continue
        duty.moves[shard] = ShardMove(
            target,
            epoch,
            MoveStage.draining,
            moment.monotonic,
        )
    return advance_moves(node, moment, duty)


def _may_move(moment: Moment, duty: Duty) -> bool:
    if duty.superseded or duty.provisional:
        # The dispatcher that the log names would not know of the move.
        return False
    return moment.monotonic >= duty.usable_from


def advance_moves(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Take every move as far as it can go now."""
    if not duty.moves:
        return []
    effects = _abort_late(node, moment, duty)
    drained = _find_drained(node, moment, duty)
    if drained:
        effects.extend(_revoke(node, moment, duty, drained))
    timer = TimerKey(TimerKind.recovery, duty.server)
    effects.append(SetTimer(timer, _MOVE_INTERVAL))
    return effects


def _find_drained(node: Node, moment: Moment, duty: Duty) -> list[ShardId]:
    if not is_fenced(node, duty):
        # Work that a former dispatcher sent may still run.
        if moment.monotonic < former_deadline(node, duty):
            return []
    return [
        shard
        for shard, move in duty.moves.items()
        if move.stage is MoveStage.draining
        and count_running(node, duty.server, shard) == 0
    ]


def _revoke(
    node: Node,
    moment: Moment,
    duty: Duty,
    shards: list[ShardId],
) -> Effects:
    if not is_fenced(node, duty):
        # Nothing was granted: a server that does not check runs whatever it
        # is sent, and nothing is sent or in flight any more.
        return share_moves(node, moment, duty, shards)
    effects = renew_grants(node, moment, duty, revoked=tuple(shards))
    for shard in shards:
        move = duty.moves[shard]
        move.stage = MoveStage.revoking
        move.revoked_by = duty.grants.sequence
        duty.grants.accepted.pop(shard, None)
    return effects


def note_revocation(
    node: Node,
    moment: Moment,
    duty: Duty,
    answer: GrantAnswered,
) -> Effects:
    """Go on with the shards that the server was asked to give up."""
    shards = [
        shard
        for shard, move in duty.moves.items()
        if move.stage is MoveStage.revoking
        and move.revoked_by == answer.sequence
    ]
    if not shards:
        return []
    if answer.verdict is GrantVerdict.accepted:
        return share_moves(node, moment, duty, shards)
    return _abort(node, duty, shards)


def _abort_late(node: Node, moment: Moment, duty: Duty) -> Effects:
    late = [
        shard
        for shard, move in duty.moves.items()
        if move.stage not in IRREVOCABLE
        and moment.monotonic - move.started > _ABORT_AFTER
    ]
    return _abort(node, duty, late)


def _abort(node: Node, duty: Duty, shards: list[ShardId]) -> Effects:
    # The grant may or may not have been revoked; it is asked for again,
    # with a higher sequence, so that a late revocation does nothing.
    for shard in shards:
        duty.moves.pop(shard)
        duty.grants.accepted.pop(shard, None)
        node.ready_servers.add(duty.server)
    if not shards:
        return []
    return [CountMetric(Component.ownership, 'move-aborted', len(shards))]


def settle_moves(node: Node, duty: Duty) -> None:
    """Resume serving the shards whose move the log has refused."""
    for shard, move in tuple(duty.moves.items()):
        refused = move.record_id in node.view.verdicts
        if refused and duty.shards.get(shard) == move.expected:
            duty.moves.pop(shard)
            node.ready_servers.add(duty.server)
    for sequence, shared in tuple(duty.shared.items()):
        if shared.record.record_id in node.view.verdicts:
            duty.shared.pop(sequence)


def empty_leaving(node: Node, moment: Moment) -> Effects:
    """Move everything off servers that are leaving, in one batch each."""
    effects: Effects = []
    for server, duty in tuple(node.duties.held.items()):
        if not is_leaving(node, server):
            continue
        waiting = [shard for shard in duty.shards if shard not in duty.moves]
        near = node.following.log_away
        targets = choose_targets(node, server, waiting, same_zone=near)
        if targets:
            effects.extend(start_move(node, moment, server, targets))
    return effects


def advance_all(node: Node, moment: Moment) -> Effects:
    """Take the moves off every server as far as they can go now."""
    effects: Effects = []
    for duty in node.duties.held.values():
        effects.extend(advance_moves(node, moment, duty))
    return effects


def take_move_timer(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Look at the moves again, and repeat what was not acknowledged."""
    effects = advance_moves(node, moment, duty)
    effects.extend(share_again(node, moment, duty))
    return effects
