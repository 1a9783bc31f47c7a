"""Claim servers that lack a dispatcher, and follow the log's verdicts."""

from dataclasses import replace

from trefoilsaddle.core.dutystate import NEVER, Claiming, Duty
from trefoilsaddle.core.effects import (
    Component,
    Effects,
    SetTimer,
    WriteLogLine,
)
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.following import append_records
from trefoilsaddle.core.hashing import rank_candidates
from trefoilsaddle.core.leases import (
    former_end,
    is_assured,
    lengthen,
    limits_of,
    raise_term,
)
from trefoilsaddle.core.membership import health_of, live_dispatchers
from trefoilsaddle.core.messages import Health, Promise
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.provisional import holder_of
from trefoilsaddle.core.recordids import make_record_id
from trefoilsaddle.core.records import Claim
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    Moment,
    NodeId,
    RecordId,
    Seconds,
    ServerId,
)
from trefoilsaddle.core.view import Role

# Most dispatchers besides the holder that may take a server over.
CLAIM_SET_SIZE = 2
# Head start of each candidate over the next one.
STAGGER = Seconds(3 / 10)
# Time for a starting process to hear of the others before its first claim.
_SETTLE_TIME = Seconds(7 / 10)

# Time for a leaving holder to hand its role over itself.
_HAND_OVER_TIME = Seconds(2)
# Time for which a claim shows that its dispatcher is alive.
_TRUST_CLAIM = Seconds(1)
_GONE = frozenset((Health.dead, Health.leaving))
# Least time between two claims of one holder for the same server.
_RECLAIM_AFTER = Seconds(3)


def review_claims(node: Node, moment: Moment) -> Effects:
    """Claim the servers of this zone whose turn has come."""
    effects: Effects = []
    if not node.options.dispatches or node.stopping:
        return effects
    if node.following.log_away:
        return effects
    for policy in node.view.servers_in(node.options.zone):
        effects.extend(_consider_server(node, moment, policy.server_id))
    return effects


def _consider_server(node: Node, moment: Moment, server: ServerId) -> Effects:
    role = node.view.roles.get(server)
    candidates = _candidates(node, server, role)
    me = node.options.node
    if me not in candidates or server in node.duties.claiming:
        return []
    since = node.duties.vacant_since.setdefault(server, moment.monotonic)
    turn = since + STAGGER * candidates.index(me)
    if role is None and len(candidates) <= CLAIM_SET_SIZE:
        turn += _SETTLE_TIME
    if role and health_of(node, role.dispatcher) is Health.leaving:
        turn += _HAND_OVER_TIME
    # A claim that was read just now tells more than an old rumour of death.
    read_at = node.duties.read_at.get(server, NEVER)
    turn = max(turn, Seconds(read_at + _TRUST_CLAIM))
    known = node.duties.known.get(server)
    if known is not None:
        # A promise to the former dispatcher is kept to its end.
        turn = max(turn, known.promised_until)
    left = Seconds(turn - moment.monotonic)
    if left > 0:
        return [SetTimer(TimerKey(TimerKind.claim, server), left)]
    expected = role.term if role else FIRST_EPOCH
    return append_claim(node, moment, server, expected)


def _candidates(
    node: Node,
    server: ServerId,
    role: Role | None,
) -> list[NodeId]:
    """Order those that may claim now; the first has no delay."""
    if role is None:
        alive = live_dispatchers(node, node.options.zone)
        everyone = {*alive, node.options.node}
        return rank_candidates(server, everyone)
    holder = holder_of(node, server) or role.dispatcher
    if holder == node.options.node:
        return [] if server in node.duties.held else [holder]
    if health_of(node, holder) not in _GONE:
        node.duties.vacant_since.pop(server, None)
        return []
    members = [
        member
        for member in role.claim_set
        if member == node.options.node
        or health_of(node, member) is Health.alive
    ]
    return rank_candidates(server, members)


def append_claim(
    node: Node,
    moment: Moment,
    server: ServerId,
    expected: Epoch,
) -> Effects:
    """Append a claim of this process to the log."""
    record_id = make_record_id(node)
    claim = Claim(
        record_id=record_id,
        server=server,
        expected=expected,
        dispatcher=node.options.node,
        claim_set=choose_claim_set(node, server, node.options.node),
        provisional=None,
    )
    node.duties.claiming[server] = Claiming(record_id, claim.claim_set)
    sentence = f'claiming {server}'
    return [
        WriteLogLine(Component.ownership, sentence),
        *append_records(node, moment, (claim,)),
    ]


def choose_claim_set(
    node: Node,
    server: ServerId,
    holder: NodeId,
) -> tuple[NodeId, ...]:
    """Choose who may take a server over from its next holder.

    Until the server has accepted the new term, the former group stays in
    charge: a former dispatcher that is cut off may still rely on it.
    """
    role = node.view.roles.get(server)
    duty = node.duties.held.get(server)
    settled = duty is not None and duty.grants.contacted
    inside = role is not None and holder in _group(role)
    if role is not None and inside and not settled:
        rest = [member for member in _group(role) if member != holder]
        return tuple(rest[:CLAIM_SET_SIZE])
    alive = live_dispatchers(node, node.options.zone)
    others = rank_candidates(server, set(alive) - {holder})
    # Members that are alive stay, so that a newcomer changes no term.
    present = role.claim_set if role and inside else ()
    kept = [member for member in present if member in others]
    added = [member for member in others if member not in kept]
    return tuple((*kept, *added)[:CLAIM_SET_SIZE])


def _group(role: Role) -> tuple[NodeId, ...]:
    return (*role.claim_set, role.dispatcher)


def note_appended(
    node: Node,
    moment: Moment,
    record_ids: tuple[RecordId, ...],
) -> None:
    """Remember when the log acknowledged a claim."""
    for claiming in node.duties.claiming.values():
        if claiming.record_id in record_ids:
            claiming.acknowledged = moment.monotonic


def take_role(
    node: Node,
    moment: Moment,
    server: ServerId,
    role: Role,
    former: Role | None,
) -> Effects:
    """Begin a duty: the log, or the server's fence, gave it to us."""
    claiming = node.duties.claiming.pop(server, None)
    started = moment.monotonic
    if claiming is not None and claiming.acknowledged is not None:
        started = claiming.acknowledged
    raise_term(node, server, role.term)
    duty = _build_duty(node, server, role, former)
    duty.started = started
    present = node.duties.held.get(server)
    certain = former is None or former.term == role.former_term
    duty.former_known = certain
    renewed = former is not None and former.dispatcher == node.options.node
    if present is not None and renewed and certain:
        _carry_over(present, duty)
    node.duties.held[server] = duty
    node.duties.vacant_since.pop(server, None)
    if former is not None and not renewed:
        duty.outsider = node.options.node not in former.claim_set
        duty.usable_from = former_end(node, started, former.term)
        if node.duties.released.pop(server, None) == role.term:
            release_former(moment, duty)
    node.ready_servers.add(server)
    sentence = f'dispatching to {server} now'
    return [WriteLogLine(Component.ownership, sentence)]


def _build_duty(
    node: Node,
    server: ServerId,
    role: Role,
    former: Role | None,
) -> Duty:
    others = former.claim_set if former else ()
    return Duty(
        server=server,
        term=role.term,
        claim_set=role.claim_set,
        former_members=tuple(
            member for member in others if member != node.options.node
        ),
        former_dispatcher=former.dispatcher if former else None,
        started=NEVER,
        former_term=former.term if former else FIRST_EPOCH,
    )


def _carry_over(present: Duty, duty: Duty) -> None:
    """Keep what this process did for the server under a lower term.

    Moves without the log are repeated under the new term, see
    `trefoilsaddle.core.outage`.
    """
    former = present.grants
    duty.former_dispatcher = present.former_dispatcher
    duty.former_term = present.former_term
    duty.former_members = present.former_members
    duty.followers = present.followers
    duty.usable_from = present.usable_from
    duty.released = present.released
    duty.outsider = present.outsider
    duty.reached = present.reached or former.contacted
    duty.former_known = present.former_known
    duty.witnesses = present.witnesses
    duty.last_words = present.last_words
    if former.contacted:
        duty.witnesses = present.claim_set
        duty.renewed_from = present.term
        duty.continuous = is_assured(present)
    duty.moves = {
        shard: replace(move, record_id=None)
        for shard, move in present.moves.items()
        if move.provisional is not None
    }
    duty.shards = present.shards
    duty.grants.stamp = former.stamp
    duty.grants.trusted_instance = former.trusted_instance
    duty.grants.stamp_sent = former.stamp_sent
    duty.grants.stamp_received = former.stamp_received
    duty.grants.lapsed_after = former.lapsed_after
    duty.grants.answered_at = former.answered_at


def release_former(moment: Moment, duty: Duty) -> None:
    """Wait no longer: the former dispatcher sends nothing more."""
    duty.released = True
    duty.usable_from = min(duty.usable_from, moment.monotonic)


def note_release(
    node: Node,
    moment: Moment,
    sender: NodeId,
    promise: Promise,
) -> None:
    """Take a former dispatcher's word that it has stopped."""
    known = node.duties.known.get(promise.server)
    if known is not None and known.followed == sender:
        limits = limits_of(node)
        grant = limits.grant_duration if limits else Seconds(0)
        until = moment.monotonic + lengthen(node, grant)
        known.followed = None
        known.served_until = max(known.served_until, Seconds(until))
    duty = node.duties.held.get(promise.server)
    if duty is None or duty.term < promise.term:
        node.duties.released[promise.server] = promise.term
        return
    if duty.term == promise.term and sender == duty.former_dispatcher:
        release_former(moment, duty)
        node.ready_servers.add(promise.server)


def maintain_claim(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Claim a role of ours again: to renew its claim set, or its term."""
    following = node.following
    unsafe = following.log_away or node.stopping or duty.provisional
    if unsafe or duty.server in node.duties.claiming:
        return []
    role = node.view.roles.get(duty.server)
    if role is None or role.term != duty.term:
        return []
    since = max(duty.started, duty.fenced_at)
    if moment.monotonic - since < _RECLAIM_AFTER:
        return []
    if duty.superseded or duty.refused_for > duty.term:
        return append_claim(node, moment, duty.server, duty.term)
    if _needs_members(node, duty) or _goes_by_former_durations(node, duty):
        return append_claim(node, moment, duty.server, duty.term)
    return []


def _goes_by_former_durations(node: Node, duty: Duty) -> bool:
    """Say whether others must reckon with a former base file's durations."""
    history = node.view.durations
    return len(history) > 1 and duty.term.offset < history[-1].since


def _needs_members(node: Node, duty: Duty) -> bool:
    if not duty.grants.contacted:
        return False
    if duty.moves_without_log:
        # A new member would not know of them.
        return False
    chosen = choose_claim_set(node, duty.server, node.options.node)
    return set(chosen) != set(duty.claim_set)
