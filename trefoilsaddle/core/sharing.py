"""Tell claim-set members of every move before it can take effect.

A member that takes the server over while the log is away must not grant what
has been moved.  With the log up one acknowledgement is enough, because such a
member asks all the others; with the log away every member must know, because
each of them may be the next to claim alone.
"""

from trefoilsaddle.core.dutystate import (
    Duty,
    MoveStage,
    RememberedMove,
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
from trefoilsaddle.core.terms import next_epoch
from trefoilsaddle.core.units import Moment, NodeId, ShardId


def share_moves(
    node: Node,
    moment: Moment,
    duty: Duty,
    shards: list[ShardId],
) -> Effects:
    """Share shards that their server holds no more, then append the move."""
    moved = tuple(_describe_move(node, duty, shard) for shard in shards)
    record = Move(make_record_id(node), duty.server, duty.term, moved)
    for shard in shards:
        move = duty.moves[shard]
        move.stage = MoveStage.sharing
        move.record_id = record.record_id
    _remember(node, record)
    sequence = node.duties.count()
    shared = SharedMove(record)
    duty.shared[sequence] = shared
    return [
        *_complete(node, moment, duty, shared),
        *_send(node, duty, sequence, shared),
    ]


def _remember(node: Node, move: Move | ShareMove) -> None:
    # Our own moves too: the role may go to another process and come back.
    known = raise_term(node, move.server, move.term)
    for moved in move.shards:
        known.moves[moved.shard] = RememberedMove(move.term, moved)


def _describe_move(node: Node, duty: Duty, shard: ShardId) -> MovedShard:
    move = duty.moves[shard]
    if node.following.log_away and move.provisional is None:
        move.provisional = next_epoch(node.view.applied, move.expected)
    return MovedShard(shard, move.expected, move.target, move.provisional)


def _audience(node: Node, duty: Duty) -> set[NodeId]:
    """Return all who may claim the server next, in or without the log."""
    members = set(duty.claim_set)
    if not duty.grants.contacted:
        members.update(duty.witnesses)
    claiming = node.duties.claiming.get(duty.server)
    if claiming is not None:
        # This claim of ours may take effect at any time.
        members.update(claiming.claim_set)
    return members - {node.options.node}


def _send(
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
        for member in sorted(_audience(node, duty) - shared.acknowledged)
    ]


def share_again(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Repeat what members have not acknowledged, until it is settled.

    The server may have come to follow this process meanwhile, so that no
    word of its former claim set is needed any more.
    """
    effects: Effects = []
    for sequence, shared in duty.shared.items():
        effects.extend(_complete(node, moment, duty, shared))
        if not (shared.queued and not node.following.log_away):
            effects.extend(_send(node, duty, sequence, shared))
    return effects


def take_share(
    node: Node,
    moment: Moment,
    sender: NodeId,
    share: ShareMove,
) -> Effects:
    """Remember a move, unless a greater term has been acknowledged."""
    greatest = known_term(node, share.server)
    if share.term < greatest:
        refusal = Promise(share.server, greatest, share.sequence, granted=False)
        return [SendMessage(sender, refusal)]
    if _may_be_served(node, moment, sender, share):
        # Asked again soon; the move waits until this has ended.
        return []
    _remember(node, share)
    ack = ShareMoveAck(share.server, share.term, share.sequence)
    return [SendMessage(sender, ack)]


def _may_be_served(
    node: Node,
    moment: Moment,
    sender: NodeId,
    share: ShareMove,
) -> bool:
    """Say whether the server may still act for us, or for one we followed.

    A holder that is cut off from the server can't know of a take-over
    without the log, even if its own term is the greater one.
    """
    duty = node.duties.held.get(share.server)
    if duty is not None and not duty.superseded:
        return True
    known = node.duties.known.get(share.server)
    if known is None:
        return False
    if moment.monotonic <= known.served_until:
        return True
    return known.followed not in {None, sender}


def take_ack(
    node: Node,
    moment: Moment,
    sender: NodeId,
    ack: ShareMoveAck,
) -> Effects:
    """Count an acknowledgement; append or enact the move if it suffices."""
    duty = node.duties.held.get(ack.server)
    if duty is None or duty.term != ack.term:
        return []
    shared = duty.shared.get(ack.sequence)
    if shared is None or sender not in _audience(node, duty):
        return []
    shared.acknowledged.add(sender)
    return _complete(node, moment, duty, shared)


def _complete(
    node: Node,
    moment: Moment,
    duty: Duty,
    shared: SharedMove,
) -> Effects:
    effects: Effects = []
    if _is_told(duty, shared) and not shared.queued:
        shared.queued = True
        _set_stage(duty, shared, MoveStage.appending)
        effects.extend(append_records(node, moment, (shared.record,)))
    known_to_all = shared.acknowledged.issuperset(_audience(node, duty))
    provisional = shared.record.shards[0].provisional is not None
    if known_to_all and provisional and not shared.in_force:
        shared.in_force = True
        _set_stage(duty, shared, MoveStage.provisional)
        sentence = f'moving off {duty.server} without the log'
        effects.append(WriteLogLine(Component.ownership, sentence))
        effects.extend(announce_move(node, moment, shared.record))
    return effects


def _is_told(duty: Duty, shared: SharedMove) -> bool:
    """Say whether a member knows, whichever claim set a successor knows."""
    groups = [duty.claim_set]
    if not duty.grants.contacted:
        groups.append(duty.witnesses)
    return all(
        not group or not shared.acknowledged.isdisjoint(group)
        for group in groups
    )


def _set_stage(duty: Duty, shared: SharedMove, stage: MoveStage) -> None:
    for moved in shared.record.shards:
        move = duty.moves.get(moved.shard)
        if move is not None:
            move.stage = stage
