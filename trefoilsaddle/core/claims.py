"""Claim servers that lack a dispatcher, and begin the duties that result."""

from dataclasses import replace

from trefoilsaddle.core.dutystate import NEVER, Duty, PendingClaim
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
    former_lease_end,
    is_takeover_excluded,
    lengthen_by_drift,
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

# Maximum number of dispatchers besides the holder that may claim a server.
CLAIM_SET_SIZE = 2
# Delay of each candidate after the one ranked before it.
STAGGER = Seconds(3 / 10)
# Delay of first claims, so that a starting process learns of its peers.
_SETTLE_TIME = Seconds(7 / 10)

# Time in which a leaving holder can hand its role over itself.
_HAND_OVER_TIME = Seconds(2)
# Time for which a newly read claim proves that its dispatcher is alive.
_CLAIM_TRUST_TIME = Seconds(1)
_UNAVAILABLE = frozenset((Health.dead, Health.leaving))
# Minimum time between two claims by one holder for the same server.
_RECLAIM_AFTER = Seconds(3)


def check_claims(node: Node, moment: Moment) -> Effects:
    """Claim the servers of this zone that have no live dispatcher."""
    effects: Effects = []
    if not node.options.dispatches or node.stopping:
        return effects
    if node.following.log_away:
        return effects
    for policy in node.view.servers_in(node.options.zone):
        effects.extend(_check_server(node, moment, policy.server_id))
    return effects


def _check_server(node: Node, moment: Moment, server: ServerId) -> Effects:
    role = node.view.roles.get(server)
    candidates = _rank_claimants(node, server, role)
    me = node.options.node
    if me not in candidates or server in node.duties.pending_claims:
        return []
    since = node.duties.vacant_since.setdefault(server, moment.monotonic)
    turn = since + STAGGER * candidates.index(me)
    if role is None and len(candidates) <= CLAIM_SET_SIZE:
        turn += _SETTLE_TIME
    if role and health_of(node, role.dispatcher) is Health.leaving:
        turn += _HAND_OVER_TIME
    # A claim that was just read outweighs an older report of its
    # dispatcher's death.
    read_at = node.duties.read_at.get(server, NEVER)
    turn = max(turn, Seconds(read_at + _CLAIM_TRUST_TIME))
    known = node.duties.known_terms.get(server)
    if known is not None:
        # A promise to the former dispatcher has to be kept until it expires.
        turn = max(turn, known.promised_until)
    left = Seconds(turn - moment.monotonic)
    if left > 0:
        return [SetTimer(TimerKey(TimerKind.claim, server), left)]
    expected = role.term if role else FIRST_EPOCH
    return append_claim(node, moment, server, expected)


def _rank_claimants(
    node: Node,
    server: ServerId,
    role: Role | None,
) -> list[NodeId]:
    """Rank the dispatchers that may claim a server; the first waits least."""
    if role is None:
        alive = live_dispatchers(node, node.options.zone)
        everyone = {*alive, node.options.node}
        return rank_candidates(server, everyone)
    holder = holder_of(node, server) or role.dispatcher
    if holder == node.options.node:
        return [] if server in node.duties.held else [holder]
    if health_of(node, holder) not in _UNAVAILABLE:
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
    """Append a claim by this process to the log."""
    record_id = make_record_id(node)
    claim = Claim(
        record_id=record_id,
        server=server,
        expected=expected,
        dispatcher=node.options.node,
        claim_set=choose_claim_set(node, server, node.options.node),
        provisional=None,
    )
    node.duties.pending_claims[server] = PendingClaim(
        record_id, claim.claim_set
    )
    sentence = f'claiming server {server}'
    return [
        WriteLogLine(Component.ownership, sentence),
        *append_records(node, moment, (claim,)),
    ]


def choose_claim_set(
    node: Node,
    server: ServerId,
    holder: NodeId,
) -> tuple[NodeId, ...]:
    """Choose the claim set for the next holder of a server.

    Until the server has accepted the current term, the claim set is chosen
    from the dispatcher and claim set of the role in force: a former
    dispatcher that is cut off may still rely on their promises.
    """
    role = node.view.roles.get(server)
    duty = node.duties.held.get(server)
    settled = duty is not None and duty.grants.contacted
    inside = role is not None and holder in _list_role_members(role)
    if role is not None and inside and not settled:
        rest = [
            member for member in _list_role_members(role) if member != holder
        ]
        return tuple(rest[:CLAIM_SET_SIZE])
    alive = live_dispatchers(node, node.options.zone)
    others = rank_candidates(server, set(alive) - {holder})
    # Live members are kept, so that a new process causes no new term.
    present = role.claim_set if role and inside else ()
    kept = [member for member in present if member in others]
    added = [member for member in others if member not in kept]
    return tuple((*kept, *added)[:CLAIM_SET_SIZE])


def _list_role_members(role: Role) -> tuple[NodeId, ...]:
    return (*role.claim_set, role.dispatcher)


def record_appended(
    node: Node,
    moment: Moment,
    record_ids: tuple[RecordId, ...],
) -> None:
    """Record when the log acknowledged this process's claims."""
    for pending in node.duties.pending_claims.values():
        if pending.record_id in record_ids:
            pending.acknowledged = moment.monotonic


def begin_duty(
    node: Node,
    moment: Moment,
    server: ServerId,
    role: Role,
    former: Role | None,
) -> Effects:
    """Begin the duty for a role that the log has given to this process."""
    pending = node.duties.pending_claims.pop(server, None)
    started = moment.monotonic
    if pending is not None and pending.acknowledged is not None:
        started = pending.acknowledged
    raise_term(node, server, role.term)
    duty = _build_duty(node, server, role, former)
    duty.started = started
    present = node.duties.held.get(server)
    certain = former is None or former.term == role.former_term
    duty.former_known = certain
    renewed = former is not None and former.dispatcher == node.options.node
    if present is not None and renewed and certain:
        _copy_duty_state(present, duty)
    node.duties.held[server] = duty
    node.duties.vacant_since.pop(server, None)
    if former is not None and not renewed:
        duty.outside_claim_set = node.options.node not in former.claim_set
        duty.usable_from = former_lease_end(node, started, former.term)
        if node.duties.released.pop(server, None) == role.term:
            end_former_lease(moment, duty)
    node.ready_servers.add(server)
    sentence = f'began dispatching to server {server}'
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


def _copy_duty_state(present: Duty, duty: Duty) -> None:
    """Copy state from this process's duty under a lower term to the new one.

    Moves made without the log are repeated under the new term, see
    `trefoilsaddle.core.outage`.
    """
    former = present.grants
    duty.former_dispatcher = present.former_dispatcher
    duty.former_term = present.former_term
    duty.former_members = present.former_members
    duty.followers = present.followers
    duty.usable_from = present.usable_from
    duty.released = present.released
    duty.outside_claim_set = present.outside_claim_set
    duty.contacted_before = present.contacted_before or former.contacted
    duty.former_known = present.former_known
    duty.confirmed_members = present.confirmed_members
    duty.final_terms = present.final_terms
    if former.contacted:
        duty.confirmed_members = present.claim_set
        duty.renewed_from = present.term
        duty.continuous = is_takeover_excluded(present)
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


def end_former_lease(moment: Moment, duty: Duty) -> None:
    """Stop waiting for the former dispatcher's lease to expire."""
    duty.released = True
    duty.usable_from = min(duty.usable_from, moment.monotonic)


def record_release(
    node: Node,
    moment: Moment,
    sender: NodeId,
    promise: Promise,
) -> None:
    """Record that a former dispatcher has announced its release of a server."""
    known = node.duties.known_terms.get(promise.server)
    if known is not None and known.followed_dispatcher == sender:
        limits = limits_of(node)
        grant = limits.grant_duration if limits else Seconds(0)
        until = moment.monotonic + lengthen_by_drift(node, grant)
        known.followed_dispatcher = None
        known.served_until = max(known.served_until, Seconds(until))
    duty = node.duties.held.get(promise.server)
    if duty is None or duty.term < promise.term:
        node.duties.released[promise.server] = promise.term
        return
    if duty.term == promise.term and sender == duty.former_dispatcher:
        end_former_lease(moment, duty)
        node.ready_servers.add(promise.server)


def maintain_claim(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Claim a held server again if its term or claim set has to change."""
    following = node.following
    unsafe = following.log_away or node.stopping or duty.provisional
    if unsafe or duty.server in node.duties.pending_claims:
        return []
    role = node.view.roles.get(duty.server)
    if role is None or role.term != duty.term:
        return []
    since = max(duty.started, duty.fenced_at)
    if moment.monotonic - since < _RECLAIM_AFTER:
        return []
    if duty.superseded or duty.refused_for > duty.term:
        return append_claim(node, moment, duty.server, duty.term)
    if _needs_members(node, duty) or _has_former_durations(node, duty):
        return append_claim(node, moment, duty.server, duty.term)
    return []


def _has_former_durations(node: Node, duty: Duty) -> bool:
    """Return whether the duty's term is older than the current durations.

    Until a new term, successors have to wait by the longest durations of the
    base files in force since this one.
    """
    history = node.view.durations
    return len(history) > 1 and duty.term.offset < history[-1].since


def _needs_members(node: Node, duty: Duty) -> bool:
    if not duty.grants.contacted:
        return False
    if duty.has_provisional_moves:
        # A new member would not know of these moves.
        return False
    chosen = choose_claim_set(node, duty.server, node.options.node)
    return set(chosen) != set(duty.claim_set)
