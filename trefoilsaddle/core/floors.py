"""Tell which absent idempotency keys can have run unknown to this process."""

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
    FIRST_EPOCH,
    Epoch,
    MemberName,
    Moment,
    Seconds,
    ShardId,
    ShardNumber,
)
from trefoilsaddle.core.view import HotKey

# Most bytes of answers that one dispatcher keeps.
_LARGEST_KEPT_BYTES = 33_554_432
# One in so many of a member's outcomes is forgotten when room is short.
_FORGOTTEN_PART = 16


def adopt_floor(
    node: Node,
    moment: Moment,
    shard: ShardId,
    *,
    fresh: bool,
) -> None:
    """Set the floor of a shard that this process begins to serve."""
    hot_key = _find_hot_key(node, shard)
    floor = _takeover_floor(node, moment)
    if hot_key is not None:
        # Its key had an owner in the parent shard: never fresh.
        floor = _parent_floor(node, hot_key, floor)
    elif fresh:
        floor = NO_FLOOR
    owner = node.view.owners.get(shard)
    epoch = FIRST_EPOCH
    term = FIRST_EPOCH
    if owner is not None:
        epoch = owner.epoch
        term = _own_term(node, shard)
    set_floor(node, shard, Floor(floor, term, epoch))


def set_floor(node: Node, shard: ShardId, kept: Floor) -> None:
    """Keep the floor of a shard, also for when its split has ended."""
    state = node.dispatching.outcomes
    state.floors[shard] = kept
    hot_key = _find_hot_key(node, shard)
    if hot_key is not None:
        state.split_floors[hot_key] = kept.floor


def follow_tokens(
    node: Node,
    moment: Moment,
    shard: ShardId,
    authority: Authority,
) -> None:
    """Raise the floor if another process may have served in between.

    Example: the role was lost and claimed again, and the term is greater
    than the one under which the shard was adopted.
    """
    kept = node.dispatching.outcomes.floors.get(shard)
    if kept is None:
        adopt_floor(node, moment, shard, fresh=False)
        kept = node.dispatching.outcomes.floors[shard]
    elif authority.term > kept.term or authority.epoch > kept.epoch:
        kept.floor = max(kept.floor, _takeover_floor(node, moment))
    kept.term = authority.term
    kept.epoch = authority.epoch
    set_floor(node, shard, kept)


def is_forgotten(
    node: Node,
    moment: Moment,
    shard: ShardId,
    request: Request,
) -> bool:
    """Say whether an absent key may have been sent by someone before."""
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
    """Drop outcomes that the window's floor covers."""
    state = node.dispatching.outcomes
    floor = _window_floor(node, moment)
    while state.outcomes:
        key, oldest = next(iter(state.outcomes.items()))
        if oldest.ticket is not None or oldest.created > floor:
            return
        _drop_outcome(node, key)


def shrink_outcomes(node: Node) -> bool:
    """Make room for one outcome; False if all room is in progress."""
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
    """Forget the oldest answers beyond the memory bound, not their keys."""
    state = node.dispatching.outcomes
    for outcome in state.outcomes.values():
        if state.kept_bytes <= _LARGEST_KEPT_BYTES:
            return
        _drop_answer(node, outcome)


def _forget_some(node: Node) -> bool:
    """Forget the oldest outcomes of the member that has most of them."""
    state = node.dispatching.outcomes
    ended: dict[MemberName, list[OutcomeKey]] = {}
    for name, known in state.outcomes.items():
        if known.ticket is None:
            ended.setdefault(name.member, []).append(name)
    if not ended:
        return False
    member = max(ended, key=lambda other: len(ended[other]))
    count = len(ended[member]) // _FORGOTTEN_PART + 1
    floor = state.member_floors.get(member, NO_FLOOR)
    for key in ended[member][:count]:
        floor = max(floor, state.outcomes[key].created)
        _drop_outcome(node, key)
    state.member_floors[member] = floor
    return True


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

    It accepted keys up to one skew ahead of its own time of day, which may
    be one skew ahead of this process's.
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
    """Return the key that a shard was split off for, if it was."""
    for hot_key, hot_shard in node.view.hot_keys.items():
        if hot_shard == shard:
            return hot_key
    return None


def _parent_floor(node: Node, hot_key: HotKey, otherwise: Seconds) -> Seconds:
    """Return the floor of the shard that a hot key was split from."""
    configuration = node.view.configuration
    if configuration is None:
        return otherwise
    count = configuration.services[hot_key.service].shard_count
    number = ShardNumber(hot_key.key_hash % count)
    shard = ShardId(hot_key.service, number)
    parent = node.dispatching.outcomes.floors.get(shard)
    return otherwise if parent is None else parent.floor


def _own_term(node: Node, shard: ShardId) -> Epoch:
    owner = node.view.owners[shard]
    role = node.view.roles.get(owner.server)
    if role is None or role.dispatcher != node.options.node:
        return FIRST_EPOCH
    return role.term
