"""Inform claim-set members of every move before it can take effect.

A member that takes the server over while the log is unavailable must not
grant the moved shards.  With the log available one acknowledgement suffices,
because such a member asks all others.  Without the log every member has to
know, because each of them may be the next to claim alone.
"""

from trefoilsaddle.core.dutystate import (
    AcknowledgedMove,
    Duty,
    MoveStage,
    SharedMove,
)
from trefoilsaddle.core.effects import (
    Component,
    Effects,
    SendMessage,
    WriteLogLine,
)
from trefoilsaddle.core.following import append_records
from trefoilsaddle.core.leases import known_term, raise_term
from trefoilsaddle.core.messages import Promise, ShareMove, ShareMoveAck
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.provisional import announce_move
from trefoilsaddle.core.recordids import make_record_id
from trefoilsaddle.core.records import Move, MovedShard
from trefoilsaddle.core.terms import next_provisional_epoch
from trefoilsaddle.core.units import Moment, NodeId, ShardId


def share_moves(
    node: Node,
    moment: Moment,
    duty: Duty,
    shards: list[ShardId],
) -> Effects:
    """Inform members of a move off a server, and append it once they know."""
    moved = tuple(_describe_move(node, duty, shard) for shard in shards)
    record = Move(make_record_id(node), duty.server, duty.term, moved)
    for shard in shards:
        move = duty.moves[shard]
        move.stage = MoveStage.sharing
        move.record_id = record.record_id
    _record_moves(node, record)
    sequence = node.duties.next_sequence()
    shared = SharedMove(record)
    duty.shared_moves[sequence] = shared
    return [
        *_advance(node, moment, duty, shared),
        *_send_shares(node, duty, sequence, shared),
    ]


def _record_moves(node: Node, move: Move | ShareMove) -> None:
    # Own moves too: the role may go to another process and come back.
    known = raise_term(node, move.server, move.term)
    for moved in move.shards:
        known.moves[moved.shard] = AcknowledgedMove(move.term, moved)


def _describe_move(node: Node, duty: Duty, shard: ShardId) -> MovedShard:
    move = duty.moves[shard]
    if node.following.log_away and move.provisional is None:
        move.provisional = next_provisional_epoch(
            node.view.applied, move.expected
        )
    return MovedShard(shard, move.expected, move.target, move.provisional)


def _list_recipients(node: Node, duty: Duty) -> set[NodeId]:
    """Return the other dispatchers that may claim the server next."""
    members = set(duty.claim_set)
    if not duty.grants.contacted:
        members.update(duty.confirmed_members)
    pending = node.duties.pending_claims.get(duty.server)
    if pending is not None:
        # The pending claim of this process may take effect at any time.
        members.update(pending.claim_set)
    return members - {node.options.node}


def _send_shares(
    node: Node,
    duty: Duty,
    sequence: int,
    shared: SharedMove,
) -> Effects:
    message = ShareMove(
        duty.server,
        duty.term,
        sequence,
        shared.record.shards,
    )
    return [
        SendMessage(member, message)
        for member in sorted(_list_recipients(node, duty) - shared.acknowledged)
    ]


def resend_shares(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Send unacknowledged moves again, and advance those that now suffice.

    If the server has accepted the current term in the meantime, its earlier
    claim set need not acknowledge any more.
    """
    effects: Effects = []
    for sequence, shared in duty.shared_moves.items():
        effects.extend(_advance(node, moment, duty, shared))
        if not (shared.queued and not node.following.log_away):
            effects.extend(_send_shares(node, duty, sequence, shared))
    return effects


def handle_share_move(
    node: Node,
    moment: Moment,
    sender: NodeId,
    share: ShareMove,
) -> Effects:
    """Record and acknowledge a move, unless a greater term is known."""
    greatest = known_term(node, share.server)
    if share.term < greatest:
        refusal = Promise(share.server, greatest, share.sequence, granted=False)
        return [SendMessage(sender, refusal)]
    if _may_be_in_use(node, moment, sender, share):
        # The sender asks again until the server is no longer in use here.
        return []
    _record_moves(node, share)
    ack = ShareMoveAck(share.server, share.term, share.sequence)
    return [SendMessage(sender, ack)]


def _may_be_in_use(
    node: Node,
    moment: Moment,
    sender: NodeId,
    share: ShareMove,
) -> bool:
    """Return whether this process, or one it followed, may use the server.

    A holder that is cut off from the server cannot know of a take-over
    without the log, even if the holder's own term is greater.
    """
    duty = node.duties.held.get(share.server)
    if duty is not None and not duty.superseded:
        return True
    known = node.duties.known_terms.get(share.server)
    if known is None:
        return False
    if moment.monotonic <= known.served_until:
        return True
    return known.followed_dispatcher not in {None, sender}


def handle_share_ack(
    node: Node,
    moment: Moment,
    sender: NodeId,
    ack: ShareMoveAck,
) -> Effects:
    """Record an acknowledgement; append or enact the move if it suffices."""
    duty = node.duties.held.get(ack.server)
    if duty is None or duty.term != ack.term:
        return []
    shared = duty.shared_moves.get(ack.sequence)
    if shared is None or sender not in _list_recipients(node, duty):
        return []
    shared.acknowledged.add(sender)
    return _advance(node, moment, duty, shared)


def _advance(
    node: Node,
    moment: Moment,
    duty: Duty,
    shared: SharedMove,
) -> Effects:
    effects: Effects = []
    if _may_append(duty, shared) and not shared.queued:
        shared.queued = True
        _set_stage(duty, shared, MoveStage.appending)
        effects.extend(append_records(node, moment, (shared.record,)))
    known_to_all = shared.acknowledged.issuperset(_list_recipients(node, duty))
    provisional = shared.record.shards[0].provisional is not None
    if known_to_all and provisional and not shared.in_force:
        shared.in_force = True
        _set_stage(duty, shared, MoveStage.provisional)
        sentence = f'moving shards off {duty.server} without the log'
        effects.append(WriteLogLine(Component.ownership, sentence))
        effects.extend(announce_move(node, moment, shared.record))
    return effects


def _may_append(duty: Duty, shared: SharedMove) -> bool:
    """Return whether a member of each relevant claim set has acknowledged."""
    groups = [duty.claim_set]
    if not duty.grants.contacted:
        groups.append(duty.confirmed_members)
    return all(
        not group or not shared.acknowledged.isdisjoint(group)
        for group in groups
    )


def _set_stage(duty: Duty, shared: SharedMove, stage: MoveStage) -> None:
    for moved in shared.record.shards:
        move = duty.moves.get(moved.shard)
        if move is not None:
            move.stage = stage
