"""Build and apply handovers of a shard's outcomes between dispatchers."""

from dataclasses import dataclass, replace

from trefoilsaddle.core.calls import Answer
from trefoilsaddle.core.floors import UNKNOWN_FLOOR, set_floor
from trefoilsaddle.core.messages import Handover, KeptOutcome, MemberFloor
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outcomestate import (
    NO_FLOOR,
    Floor,
    KeyOutcome,
    OutcomeKey,
)
from trefoilsaddle.core.tickets import TicketState
from trefoilsaddle.core.units import (
    Epoch,
    ServerId,
    ShardId,
    ShardNumber,
)
from trefoilsaddle.core.view import HotKey

# Most outcomes, and bytes of answer bodies, in one handover.
_MAX_OUTCOMES = 4096
_MAX_BYTES = 1_048_576


@dataclass(frozen=True, slots=True)
class _Entry:
    """Pair an idempotency key with its outcome."""

    key: OutcomeKey
    outcome: KeyOutcome


def build_handover(node: Node, shard: ShardId, epoch: Epoch) -> Handover:
    """Move a shard's outcomes from the state into a handover.

    Later calls for the same shard and epoch return the same handover.
    """
    state = node.dispatching.outcomes
    kept = state.floors.get(shard)
    certain = kept is not None and (kept.settled or kept.complete)
    if kept is None or not certain or kept.epoch != epoch:
        # The shard was handed over already, or this process never served it
        # under this epoch and can guarantee nothing.
        former = state.handovers.get(shard)
        if former is not None and former.epoch == epoch:
            return former
        return Handover(shard, epoch, UNKNOWN_FLOOR, ())
    state.floors.pop(shard)
    leaving = [
        _Entry(key, outcome)
        for key, outcome in state.outcomes.items()
        if _shard_of(node, key, outcome) == shard
    ]
    empty = Handover(shard, epoch, kept.floor, (), (), kept.term)
    handover = _fill_handover(node, empty, leaving)
    state.handovers[shard] = handover
    return handover


def apply_handover(node: Node, shard: ShardId) -> None:
    """Apply a received handover: lower the floor and adopt the outcomes.

    Only if no other process can have served the shard in between, that is,
    if this process's ownership and role directly follow the sender's.
    """
    state = node.dispatching.outcomes
    handover = state.handovers.get(shard)
    kept = state.floors.get(shard)
    if handover is None or kept is None or kept.complete:
        return
    if not _follows_directly(node, handover, kept):
        return
    state.handovers.pop(shard)
    kept.floor = handover.floor
    kept.complete = True
    set_floor(node, shard, kept)
    for member in handover.member_floors:
        known = state.member_floors.get(member.member, NO_FLOOR)
        state.member_floors[member.member] = max(known, member.floor)
    for outcome in handover.outcomes:
        _adopt_outcome(node, shard, outcome)


def _fill_handover(
    node: Node,
    handover: Handover,
    leaving: list[_Entry],
) -> Handover:
    """Add outcomes to a handover within the bounds, newest first.

    The floor rises to the newest outcome left out.
    """
    outcomes: list[KeptOutcome] = []
    floor = handover.floor
    bytes_left = _MAX_BYTES
    for entry in reversed(leaving):
        if _is_unsent(node, entry.outcome):
            continue
        kept = _keep_entry(entry, bytes_left)
        bytes_left -= _answer_size(kept.answer)
        if len(outcomes) < _MAX_OUTCOMES:
            outcomes.append(kept)
        else:
            floor = max(floor, kept.created)
        _remove_entry(node, entry)
    return replace(
        handover,
        floor=floor,
        outcomes=tuple(reversed(outcomes)),
        member_floors=_list_member_floors(node),
    )


def _list_member_floors(node: Node) -> tuple[MemberFloor, ...]:
    floors = node.dispatching.outcomes.member_floors
    return tuple(
        MemberFloor(member, floor) for member, floor in sorted(floors.items())
    )


def _is_unsent(node: Node, outcome: KeyOutcome) -> bool:
    """Return whether a request in progress has not been sent yet."""
    if outcome.ticket is None:
        return False
    ticket = node.dispatching.tickets.get(outcome.ticket)
    return ticket is not None and ticket.state is not TicketState.running


def _keep_entry(entry: _Entry, bytes_left: int) -> KeptOutcome:
    answer = entry.outcome.answer
    if _answer_size(answer) > bytes_left:
        answer = None
    return KeptOutcome(
        member=entry.key.member,
        created=entry.outcome.created,
        token=entry.key.token,
        fingerprint=entry.outcome.fingerprint,
        key_hash=entry.outcome.key_hash,
        answer=answer,
    )


def _remove_entry(node: Node, entry: _Entry) -> None:
    state = node.dispatching.outcomes
    state.outcomes.pop(entry.key)
    state.kept_bytes -= _answer_size(entry.outcome.answer)


def _answer_size(answer: Answer | None) -> int:
    if answer is None or answer.reply is None:
        return 0
    return len(answer.reply.body)


def _follows_directly(node: Node, handover: Handover, kept: Floor) -> bool:
    owner = node.view.owners.get(handover.shard)
    if owner is None:
        return False
    role = node.view.roles.get(owner.server)
    if role is None or role.dispatcher != node.options.node:
        return False
    if kept.settled and (kept.term, kept.epoch) != (role.term, owner.epoch):
        return False
    if owner.epoch == handover.epoch:
        # Same ownership; only the server's dispatcher has changed.
        if _may_have_other_holder(node, owner.server, handover.term):
            return False
        return role.former_term == handover.term
    moved = (owner.former_epoch, owner.former_term)
    held_before = role.term < owner.epoch
    return held_before and moved == (handover.epoch, handover.term)


def _may_have_other_holder(node: Node, server: ServerId, term: Epoch) -> bool:
    """Return whether another dispatcher may have served without the log.

    To do so since the given term, it needed the promise of every other
    claim-set member, including this process if it is one.
    """
    duty = node.duties.held.get(server)
    if duty is not None and duty.outside_claim_set:
        return True
    known = node.duties.known_terms.get(server)
    return known is not None and known.unlogged_term > term


def _shard_of(node: Node, key: OutcomeKey, outcome: KeyOutcome) -> ShardId:
    hot_key = HotKey(key.service, outcome.key_hash)
    hot_shard = node.view.hot_keys.get(hot_key)
    if hot_shard is not None:
        return hot_shard
    count = 1
    configuration = node.view.configuration
    if configuration is not None:
        count = configuration.services[key.service].shard_count
    return ShardId(key.service, ShardNumber(outcome.key_hash % count))


def _adopt_outcome(node: Node, shard: ShardId, kept: KeptOutcome) -> None:
    state = node.dispatching.outcomes
    key = OutcomeKey(shard.service, kept.member, kept.token)
    former = state.outcomes.get(key)
    if former is not None:
        state.kept_bytes -= _answer_size(former.answer)
    outcome = KeyOutcome(
        created=kept.created,
        fingerprint=kept.fingerprint,
        key_hash=kept.key_hash,
        ticket=None,
        answer=kept.answer,
    )
    state.outcomes[key] = outcome
    state.kept_bytes += _answer_size(kept.answer)
