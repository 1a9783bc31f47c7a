"""Move shards off a live server.

The order is fixed for safety: dispatching stops, requests in flight complete,
the server revokes the grant, a claim-set member is informed, and only then
the record is appended.  If a step fails before the claim set is informed, the
move is aborted and dispatching resumes; after it only the log decides which
server owns the shard.
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
from trefoilsaddle.core.recovery import former_work_end
from trefoilsaddle.core.sharing import resend_shares, share_moves
from trefoilsaddle.core.targets import choose_targets, is_leaving
from trefoilsaddle.core.units import Moment, Seconds, ServerId, ShardId

# Time between two checks of moves in progress.
_MOVE_INTERVAL = Seconds(0.1)
# Maximum wait for requests in flight and for the server's revocation.
_ABORT_TIMEOUT = Seconds(5)


def start_move(
    node: Node,
    moment: Moment,
    server: ServerId,
    targets: dict[ShardId, ServerId],
) -> Effects:
    """Start moving shards off a server that this process holds.

    Shards that the server does not own, or that are moving already, are
    skipped; nothing is moved while the role is contested.
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
    """Advance the moves off one server as far as possible."""
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
        # Requests sent by a former dispatcher may still be running.
        if moment.monotonic < former_work_end(node, duty):
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
        # There are no grants to revoke: the server runs whatever it is sent,
        # and no request is sent or in flight any more.
        return share_moves(node, moment, duty, shards)
    effects = renew_grants(node, moment, duty, revoked=tuple(shards))
    for shard in shards:
        move = duty.moves[shard]
        move.stage = MoveStage.revoking
        move.revoked_by = duty.grants.sequence
        duty.grants.accepted.pop(shard, None)
    return effects


def handle_revocation(
    node: Node,
    moment: Moment,
    duty: Duty,
    answer: GrantAnswered,
) -> Effects:
    """Advance or abort the moves that a grant call was to revoke."""
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
        and moment.monotonic - move.started > _ABORT_TIMEOUT
    ]
    return _abort(node, duty, late)


def _abort(node: Node, duty: Duty, shards: list[ShardId]) -> Effects:
    # The grant may or may not have been revoked.  It is granted again with a
    # higher sequence, so that a late revocation has no effect.
    for shard in shards:
        duty.moves.pop(shard)
        duty.grants.accepted.pop(shard, None)
        node.ready_servers.add(duty.server)
    if not shards:
        return []
    return [CountMetric(Component.ownership, 'move-aborted', len(shards))]


def settle_moves(node: Node, duty: Duty) -> None:
    """Drop moves that the log has decided; refused shards are served again."""
    for shard, move in tuple(duty.moves.items()):
        refused = move.record_id in node.view.verdicts
        if refused and duty.shards.get(shard) == move.expected:
            duty.moves.pop(shard)
            node.ready_servers.add(duty.server)
    for sequence, shared in tuple(duty.shared_moves.items()):
        if shared.record.record_id in node.view.verdicts:
            duty.shared_moves.pop(sequence)


def drain_leaving_servers(node: Node, moment: Moment) -> Effects:
    """Move all shards off leaving servers, in one batch for each."""
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


def advance_all_moves(node: Node, moment: Moment) -> Effects:
    """Advance the moves off every held server as far as possible."""
    effects: Effects = []
    for duty in node.duties.held.values():
        effects.extend(advance_moves(node, moment, duty))
    return effects


def handle_move_timer(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Advance the moves off a server and resend unacknowledged ones."""
    effects = advance_moves(node, moment, duty)
    effects.extend(resend_shares(node, moment, duty))
    return effects
