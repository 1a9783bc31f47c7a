"""Decide which unknown idempotency keys may have been executed already.

A floor is a creation time.  A key that is not stored and was created no later
may have been executed by a former dispatcher, or its outcome was dropped.
"""

from trefoilsaddle.core.authority import Authority
from trefoilsaddle.core.calls import Request
from trefoilsaddle.core.configuration import LimitPolicy
from trefoilsaddle.core.hashing import hash_key
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outcomestate import (
    NO_FLOOR,
    Floor,
    KeyOutcome,
    OutcomeKey,
)
from trefoilsaddle.core.units import (
    MemberName,
    Moment,
    Seconds,
    ServerId,
    ShardId,
    ShardNumber,
)
from trefoilsaddle.core.view import HotKey

# Floor of a shard for which any unknown key may have been executed.
UNKNOWN_FLOOR = Seconds(float('inf'))

# Maximum bytes of answers kept by one dispatcher.
_MAX_KEPT_BYTES = 33_554_432
# When memory is short, a member's outcomes divided by this, plus one, are
# dropped.
_FORGOTTEN_DIVISOR = 16


def adopt_floor(
    node: Node,
    moment: Moment,
    shard: ShardId,
    *,
    fresh: bool,
) -> None:
    """Set the initial floor of a shard that this process begins to serve."""
    kept = Floor(UNKNOWN_FLOOR, moment.monotonic)
    _record_tokens(node, shard, kept)
    hot_key = _find_hot_key(node, shard)
    if hot_key is not None:
        # The key had an owner in the parent shard, so it is never fresh.
        _copy_parent_floor(node, hot_key, kept)
    elif fresh and _is_first(node, shard):
        kept.floor = NO_FLOOR
        kept.complete = True
    set_floor(node, shard, kept)


def _record_tokens(node: Node, shard: ShardId, kept: Floor) -> None:
    """Record the tokens of a shard, for a handover before the first send."""
    owner = node.view.owners.get(shard)
    role = node.view.roles.get(owner.server) if owner else None
    if owner is None or role is None:
        return
    if role.dispatcher == node.options.node:
        kept.term = role.term
        kept.epoch = owner.epoch


def keeps_tokens(
    node: Node,
    moment: Moment,
    shard: ShardId,
    kept: Floor,
) -> bool:
    """Return whether a shard is adopted again under unchanged tokens."""
    known = kept.settled or kept.complete or kept.prior_floor is not None
    if not known:
        return False
    _apply_renewal(node, moment, shard, kept)
    now = Floor(UNKNOWN_FLOOR, kept.adopted)
    _record_tokens(node, shard, now)
    return (now.term, now.epoch) == (kept.term, kept.epoch)


def _apply_renewal(
    node: Node,
    moment: Moment,
    shard: ShardId,
    kept: Floor,
) -> None:
    """Keep the floor across a claim by which this process renewed its term.

    Example: a holder claims again to change its claim set.  The outcomes it
    knows stay valid.  No other dispatcher can have executed an unknown key,
    unless the server may have accepted one without the log.
    """
    now = Floor(UNKNOWN_FLOOR, kept.adopted)
    _record_tokens(node, shard, now)
    owner = node.view.owners.get(shard)
    role = node.view.roles.get(owner.server) if owner else None
    if role is None or now.epoch != kept.epoch:
        return
    if now.term != role.term or role.former_term != kept.term:
        return
    kept.term = role.term
    if owner is not None and _may_follow_others(node, owner.server):
        kept.prior_floor = kept.floor
        kept.floor = UNKNOWN_FLOOR
        kept.complete = False
        kept.settled = False
        kept.adopted = moment.monotonic


def _restore_floor(node: Node, shard: ShardId, kept: Floor) -> None:
    """Lower the floor again once a take-over in between is ruled out."""
    owner = node.view.owners.get(shard)
    duty = node.duties.held.get(owner.server) if owner else None
    if kept.prior_floor is None or duty is None or not duty.continuous:
        return
    if duty.term == kept.term:
        kept.floor = min(kept.floor, kept.prior_floor)
        kept.complete = True
        kept.prior_floor = None


def _may_follow_others(node: Node, server: ServerId) -> bool:
    """Return whether a server can be taken over without the log."""
    policy = node.view.server(server)
    return policy is None or policy.checks_grants


def _is_first(node: Node, shard: ShardId) -> bool:
    """Return whether a shard has never had another owner.

    Counter-example: a process that was cut off reads in one batch that a
    shard was assigned to another server and then moved to its own.
    """
    owner = node.view.owners.get(shard)
    return owner is not None and owner.first


def set_floor(node: Node, shard: ShardId, kept: Floor) -> None:
    """Store the floor of a shard, and that of its hot key for after a split."""
    state = node.dispatching.outcomes
    state.floors[shard] = kept
    hot_key = _find_hot_key(node, shard)
    if hot_key is not None:
        state.split_floors[hot_key] = kept.floor


def update_floor(
    node: Node,
    moment: Moment,
    shard: ShardId,
    authority: Authority,
) -> Floor:
    """Raise the floor unless this process has served the shard continuously.

    Called with the authority to send, since only then a former dispatcher
    certainly sends nothing more.  Example: the role was claimed at 5 s, but
    the former holder went on sending until its lease expired at 7 s.
    """
    kept = node.dispatching.outcomes.floors.get(shard)
    if kept is None:
        kept = Floor(UNKNOWN_FLOOR, moment.monotonic)
    _apply_renewal(node, moment, shard, kept)
    served = kept.term == authority.term and kept.epoch == authority.epoch
    if kept.settled and not served:
        kept.floor = UNKNOWN_FLOOR
        kept.complete = False
        kept.settled = False
        kept.prior_floor = None
        kept.adopted = moment.monotonic
    if not kept.settled:
        kept.settled = True
        kept.floor = min(kept.floor, _takeover_floor(node, moment))
    kept.term = authority.term
    kept.epoch = authority.epoch
    _restore_floor(node, shard, kept)
    set_floor(node, shard, kept)
    return kept


def is_forgotten(
    node: Node,
    moment: Moment,
    shard: ShardId,
    request: Request,
) -> bool:
    """Return whether a request with an unknown key may have run before."""
    key = request.idempotency_key
    state = node.dispatching.outcomes
    kept = state.floors.get(shard)
    if key is None or kept is None:
        return True
    key_hash = hash_key(request.service, request.member, request.key)
    floor = max(
        kept.floor,
        state.member_floors.get(request.member, NO_FLOOR),
        state.split_floors.get(HotKey(request.service, key_hash), NO_FLOOR),
        _window_floor(node, moment),
    )
    return key.created <= floor


def forget_old(node: Node, moment: Moment) -> None:
    """Drop outcomes of keys older than the idempotency window."""
    state = node.dispatching.outcomes
    floor = _window_floor(node, moment)
    while state.outcomes:
        key, oldest = next(iter(state.outcomes.items()))
        if oldest.ticket is not None or oldest.created > floor:
            return
        _drop_outcome(node, key)


def shrink_outcomes(node: Node) -> bool:
    """Make room for one outcome; return False if all kept ones are running."""
    configuration = node.view.configuration
    if configuration is None:
        return False
    state = node.dispatching.outcomes
    queues = max(len(node.dispatching.queues), 1)
    limit = configuration.limits.idempotency_limit * queues
    while len(state.outcomes) >= limit:
        if not _forget_some(node):
            return False
    return True


def drop_answers(node: Node) -> None:
    """Drop the oldest answers beyond the memory bound, but keep their keys."""
    state = node.dispatching.outcomes
    for outcome in state.outcomes.values():
        if state.kept_bytes <= _MAX_KEPT_BYTES:
            return
        _drop_answer(node, outcome)


def _forget_some(node: Node) -> bool:
    """Drop the oldest outcomes of the member that has most of them."""
    state = node.dispatching.outcomes
    ended: dict[MemberName, list[OutcomeKey]] = {}
    for name, known in state.outcomes.items():
        if known.ticket is None:
            ended.setdefault(name.member, []).append(name)
    if not ended:
        return False
    member = max(ended, key=lambda other: len(ended[other]))
    count = len(ended[member]) // _FORGOTTEN_DIVISOR + 1
    for key in ended[member][:count]:
        record_forgotten(node, member, state.outcomes[key])
        _drop_outcome(node, key)
    return True


def record_forgotten(
    node: Node,
    member: MemberName,
    outcome: KeyOutcome,
) -> None:
    """Raise a member's floor to the creation time of a dropped outcome."""
    state = node.dispatching.outcomes
    floor = state.member_floors.get(member, NO_FLOOR)
    state.member_floors[member] = max(floor, outcome.created)


def _drop_outcome(node: Node, key: OutcomeKey) -> None:
    outcome = node.dispatching.outcomes.outcomes.pop(key)
    _drop_answer(node, outcome)


def _drop_answer(node: Node, outcome: KeyOutcome) -> None:
    if outcome.answer is not None and outcome.answer.reply is not None:
        size = len(outcome.answer.reply.body)
        node.dispatching.outcomes.kept_bytes -= size
    outcome.answer = None


def _limits(node: Node) -> LimitPolicy | None:
    configuration = node.view.configuration
    return None if configuration is None else configuration.limits


def _takeover_floor(node: Node, moment: Moment) -> Seconds:
    """Return a floor above every key that a former dispatcher accepted.

    A dispatcher accepts keys created up to one clock skew ahead of its own
    clock, which may be one skew ahead of this process's clock.
    """
    limits = _limits(node)
    if limits is None:
        return Seconds(float('inf'))
    return Seconds(moment.wall + 2 * limits.clock_skew)


def _window_floor(node: Node, moment: Moment) -> Seconds:
    limits = _limits(node)
    if limits is None:
        return NO_FLOOR
    return Seconds(moment.wall - limits.idempotency_window)


def _find_hot_key(node: Node, shard: ShardId) -> HotKey | None:
    """Return the hot key that a shard was split off for, if any."""
    for hot_key, hot_shard in node.view.hot_keys.items():
        if hot_shard == shard:
            return hot_key
    return None


def _copy_parent_floor(node: Node, hot_key: HotKey, kept: Floor) -> None:
    """Copy the floor of the shard that a hot key was split from."""
    configuration = node.view.configuration
    if configuration is None:
        return
    count = configuration.services[hot_key.service].shard_count
    number = ShardNumber(hot_key.key_hash % count)
    shard = ShardId(hot_key.service, number)
    parent = node.dispatching.outcomes.floors.get(shard)
    if parent is not None and parent.settled:
        kept.floor = parent.floor
        kept.complete = parent.complete
