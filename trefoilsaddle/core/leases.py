"""Maintain the lease of each role, by reading the log or by promises.

The holder shortens its lease by the maximum clock drift, and processes that
wait for its end lengthen it by the same drift.
"""

from collections.abc import Iterable

from trefoilsaddle.core.configuration import LimitPolicy
from trefoilsaddle.core.durations import find_longest
from trefoilsaddle.core.dutystate import NEVER, Duty, KnownTerm
from trefoilsaddle.core.effects import Effects, SendMessage
from trefoilsaddle.core.messages import Promise, PromiseRequest
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.terms import is_provisional
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    FOREVER,
    Epoch,
    Moment,
    NodeId,
    Seconds,
    ServerId,
)

# Time for which members of an earlier claim set are asked to confirm that
# no other dispatcher has used the server.
_CONTINUITY_TIMEOUT = Seconds(2)

# Used by processes without a configuration; they hold no roles either.
_NO_DURATION = Seconds(0)


def limits_of(node: Node) -> LimitPolicy | None:
    """Return the limits in force, or None without a configuration."""
    configuration = node.view.configuration
    return None if configuration is None else configuration.limits


def shorten_by_drift(node: Node, duration: Seconds) -> Seconds:
    """Reduce a duration to what a holder may rely on despite clock drift."""
    limits = limits_of(node)
    drift = limits.clock_drift if limits else 0
    return Seconds(duration * (1 - drift))


def lengthen_by_drift(node: Node, duration: Seconds) -> Seconds:
    """Extend a duration that another process measures, to wait for its end."""
    limits = limits_of(node)
    drift = limits.clock_drift if limits else 0
    return Seconds(duration * (1 + drift))


def lease_duration(node: Node) -> Seconds:
    """Return the configured lease duration, or zero without a configuration."""
    limits = limits_of(node)
    return limits.lease_duration if limits else _NO_DURATION


def isolation_hold(node: Node, server: ServerId) -> Seconds | None:
    """Return how long an isolated zone keeps a server; None means forever."""
    policy = node.view.server(server)
    configuration = node.view.configuration
    if policy is None or configuration is None:
        return _NO_DURATION
    service = configuration.services.get(policy.service)
    return service.isolation_hold if service else _NO_DURATION


def lease_end(node: Node, duty: Duty, *, every: bool) -> Seconds:
    """Return until when no other dispatcher can use the server.

    With `every`, each claim-set member must have promised, else all but one.
    The weaker rule suffices where a successor needs the acceptance of the
    server itself, or the promises of all other members, before it acts.
    """
    lease = shorten_by_drift(node, lease_duration(node))
    by_log = Seconds(node.following.fresh_at + lease)
    if duty.provisional:
        by_log = NEVER
    return max(by_log, _promised_end(node, duty, lease, every=every))


def _promised_end(
    node: Node,
    duty: Duty,
    lease: Seconds,
    *,
    every: bool,
) -> Seconds:
    spared = 0 if every else 1
    needed = len(duty.claim_set) - spared
    ends = sorted(
        (
            Seconds(duty.promised.get(member, NEVER) + lease)
            for member in duty.claim_set
        ),
        reverse=True,
    )
    promised = ends[needed - 1] if needed > 0 else FOREVER
    return min(promised, _isolation_end(node, duty))


def _isolation_end(node: Node, duty: Duty) -> Seconds:
    if node.view.is_zone_lost(node.options.zone):
        # Other processes measure the hold from the declaration.  From now on
        # only a lease renewed by reading the log is safe.
        return NEVER
    hold = isolation_hold(node, duty.server)
    if hold is None:
        return FOREVER
    return Seconds(node.following.fresh_at + shorten_by_drift(node, hold))


def former_lease_end(node: Node, started: Seconds, term: Epoch) -> Seconds:
    """Return when a lease that was last renewed at a time must have expired.

    Any read that the holder of the term sends after the next claim was
    acknowledged shows it that claim, so only one lease has to be waited for,
    by the longest durations that the holder can have read.
    """
    longest = find_longest(node.view.durations, term)
    if longest is None:
        return FOREVER
    return Seconds(started + longest.lease * (1 + longest.clock_drift))


def former_isolation_hold(node: Node, server: ServerId, term: Epoch) -> Seconds:
    """Return how long an isolated holder of a term may use a server."""
    longest = find_longest(node.view.durations, term)
    policy = node.view.server(server)
    if longest is None or policy is None:
        return FOREVER
    service = longest.services.get(policy.service)
    if service is None:
        return FOREVER
    wait = max(service.isolation_hold, longest.lease)
    return Seconds(wait * (1 + longest.clock_drift))


def ask_promises(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Ask the claim set for promises if log reads do not renew the lease."""
    if not needs_promises(node, moment):
        return []
    _forget_old_requests(node, moment, duty)
    return request_promises(node, moment, duty, duty.claim_set)


def request_promises(
    node: Node,
    moment: Moment,
    duty: Duty,
    members: Iterable[NodeId],
) -> Effects:
    """Send promise requests for a duty's term and record their send time."""
    sequence = node.duties.next_sequence()
    duty.request_times[sequence] = moment.monotonic
    request = PromiseRequest(
        duty.server,
        duty.term,
        sequence,
        lease_duration(node),
    )
    return [SendMessage(member, request) for member in members]


def needs_promises(node: Node, moment: Moment) -> bool:
    """Return whether no recent read has reached the tail of the log."""
    age = moment.monotonic - node.following.fresh_at
    return node.following.log_away or age > lease_duration(node) / 2


def _forget_old_requests(node: Node, moment: Moment, duty: Duty) -> None:
    oldest = moment.monotonic - lease_duration(node)
    duty.request_times = {
        sequence: sent
        for sequence, sent in duty.request_times.items()
        if sent >= oldest
    }


def known_term(node: Node, server: ServerId) -> Epoch:
    """Return the greatest term of a server known to this process."""
    known = node.duties.known_terms.get(server)
    role = node.view.roles.get(server)
    duty = node.duties.held.get(server)
    return max(
        known.term if known else FIRST_EPOCH,
        role.term if role else FIRST_EPOCH,
        duty.term if duty else FIRST_EPOCH,
    )


def raise_term(node: Node, server: ServerId, term: Epoch) -> KnownTerm:
    """Record a term; lower ones are refused from then on."""
    known = node.duties.known_terms.setdefault(server, KnownTerm(term))
    known.term = max(known.term, term)
    return known


def handle_promise_request(
    node: Node,
    moment: Moment,
    sender: NodeId,
    request: PromiseRequest,
) -> Effects:
    """Grant a promise not to use a server, unless a greater term is known."""
    granted = _may_promise(node, sender, request)
    known = raise_term(
        node,
        request.server,
        request.term if granted else known_term(node, request.server),
    )
    duty = node.duties.held.get(request.server)
    if granted and duty is not None and duty.term < request.term:
        known.served_until = max(
            known.served_until,
            duty.grants.lapsed_after,
        )
        duty.supersede(moment.monotonic, request.term)
    if granted and is_provisional(request.term):
        known.followed_dispatcher = sender
        known.unlogged_term = max(known.unlogged_term, request.term)
    if granted:
        until = moment.monotonic + lengthen_by_drift(node, request.duration)
        known.promised_until = max(known.promised_until, Seconds(until))
    promise = Promise(
        request.server,
        known.term,
        request.sequence,
        granted,
        tuple(acknowledged.moved for acknowledged in known.moves.values()),
        known.unlogged_term,
    )
    return [SendMessage(sender, promise)]


def _may_promise(node: Node, sender: NodeId, request: PromiseRequest) -> bool:
    server = request.server
    if server in node.duties.pending_claims or server in node.duties.take_overs:
        return False
    role = node.view.roles.get(server)
    same_term = role is not None and role.term == request.term
    if same_term and role and role.dispatcher != sender:
        return False
    duty = node.duties.held.get(server)
    if duty is not None and duty.term >= request.term:
        return False
    if is_provisional(request.term):
        # This process can still read the log, or has announced its leaving
        # and promises nothing any more.
        if node.stopping or not node.following.log_away:
            return False
    return request.term >= known_term(node, server)


def record_promise(
    node: Node,
    moment: Moment,
    sender: NodeId,
    promise: Promise,
) -> None:
    """Extend the lease by a promise, measured from the request's send time."""
    duty = node.duties.held.get(promise.server)
    if duty is None:
        return
    if not promise.granted:
        duty.refused_for = max(duty.refused_for, promise.term)
    sent = duty.request_times.get(promise.sequence)
    if sent is None or not promise.granted or promise.term != duty.term:
        return
    duty.promised[sender] = max(duty.promised.get(sender, NEVER), sent)
    duty.followers.setdefault(sender, moment.monotonic)
    _record_continuity(node, duty, sender, promise)


def _record_continuity(
    node: Node,
    duty: Duty,
    sender: NodeId,
    promise: Promise,
) -> None:
    """Record that no take-over has happened since the duty's former term.

    A take-over would have needed a promise of every other member, and this
    member accepts no lower term from now on.
    """
    if duty.renewed_from is None or sender not in duty.confirmed_members:
        return
    if promise.unlogged_term <= duty.renewed_from:
        duty.continuous = True
        node.ready_servers.add(duty.server)


def record_final_promise(node: Node, sender: NodeId, promise: Promise) -> None:
    """Record the greatest provisional term of a member that leaves."""
    duty = node.duties.held.get(promise.server)
    if duty is None:
        return
    duty.final_terms[sender] = promise.unlogged_term
    _record_continuity(node, duty, sender, promise)


def is_takeover_excluded(duty: Duty) -> bool:
    """Return whether no take-over can happen without the holder's knowledge.

    One member that has left without following a later term is enough, since
    a take-over needs the promises of all members.
    """
    if not duty.claim_set:
        return True
    terms = [
        duty.final_terms[member]
        for member in duty.claim_set
        if member in duty.final_terms
    ]
    return any(term <= duty.term for term in terms)


def verify_continuity(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Ask members whether the server was taken over since the former term."""
    if duty.renewed_from is None or duty.continuous:
        return []
    if moment.monotonic - duty.started > _CONTINUITY_TIMEOUT:
        return []
    others = [
        member
        for member in duty.confirmed_members
        if member != node.options.node
    ]
    return request_promises(node, moment, duty, others)
