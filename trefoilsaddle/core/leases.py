"""Keep the lease of each role: by reading the log, or by promises.

The holder counts its lease short and everyone who waits counts it long, each
by the drift between two monotonic clocks.
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

# Time for which former claim-set members are asked for their word.
_WITNESS_TIME = Seconds(2)

# For processes that know no configuration yet; they hold no role either.
_NO_LIMITS = Seconds(0)


def limits_of(node: Node) -> LimitPolicy | None:
    """Return the limits in force, if any configuration is."""
    configuration = node.view.configuration
    return None if configuration is None else configuration.limits


def shorten(node: Node, duration: Seconds) -> Seconds:
    """Return how long a holder may rely on a duration given by another."""
    limits = limits_of(node)
    drift = limits.clock_drift if limits else 0
    return Seconds(duration * (1 - drift))


def lengthen(node: Node, duration: Seconds) -> Seconds:
    """Return how long to wait for a duration counted by another to end."""
    limits = limits_of(node)
    drift = limits.clock_drift if limits else 0
    return Seconds(duration * (1 + drift))


def lease_duration(node: Node) -> Seconds:
    """Return the configured lease, or zero without a configuration."""
    limits = limits_of(node)
    return limits.lease_duration if limits else _NO_LIMITS


def isolation_hold(node: Node, server: ServerId) -> Seconds | None:
    """Return how long a cut-off zone serves a server; None means forever."""
    policy = node.view.server(server)
    configuration = node.view.configuration
    if policy is None or configuration is None:
        return _NO_LIMITS
    service = configuration.services.get(policy.service)
    return service.isolation_hold if service else _NO_LIMITS


def lease_end(node: Node, duty: Duty, *, every: bool) -> Seconds:
    """Return until when no other dispatcher can act for the server.

    With `every`, each claim-set member must have promised, else all but one.
    The weaker rule suffices where a successor must be accepted by the server
    itself, or be followed by every other member, before it acts.
    """
    lease = shorten(node, lease_duration(node))
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
        # Others count the hold from the declaration on; from here on only
        # what the log itself renews is safe.
        return NEVER
    hold = isolation_hold(node, duty.server)
    if hold is None:
        return FOREVER
    return Seconds(node.following.fresh_at + shorten(node, hold))


def former_end(node: Node, started: Seconds, term: Epoch) -> Seconds:
    """Return when a lease that was renewed until a time is sure to be over.

    Every read that the holder of the term sent after the next claim was
    acknowledged shows it that claim, so that only its lease has to be waited
    out, by the longest durations that it can have read.
    """
    longest = find_longest(node.view.durations, term)
    if longest is None:
        return FOREVER
    return Seconds(started + longest.lease * (1 + longest.clock_drift))


def former_hold(node: Node, server: ServerId, term: Epoch) -> Seconds:
    """Return how long the holder of a term may serve a server cut off."""
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
    """Ask the claim set for promises if the log does not renew the lease."""
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
    """Ask members to follow a duty's term, and note when they were asked."""
    sequence = node.duties.count()
    duty.asked[sequence] = moment.monotonic
    request = PromiseRequest(
        duty.server,
        duty.term,
        sequence,
        lease_duration(node),
    )
    return [SendMessage(member, request) for member in members]


def needs_promises(node: Node, moment: Moment) -> bool:
    """Say whether the log has not been read to its end for a while."""
    age = moment.monotonic - node.following.fresh_at
    return node.following.log_away or age > lease_duration(node) / 2


def _forget_old_requests(node: Node, moment: Moment, duty: Duty) -> None:
    oldest = moment.monotonic - lease_duration(node)
    duty.asked = {
        sequence: sent
        for sequence, sent in duty.asked.items()
        if sent >= oldest
    }


def known_term(node: Node, server: ServerId) -> Epoch:
    """Return the greatest term of a server that this process knows of."""
    known = node.duties.known.get(server)
    role = node.view.roles.get(server)
    duty = node.duties.held.get(server)
    return max(
        known.term if known else FIRST_EPOCH,
        role.term if role else FIRST_EPOCH,
        duty.term if duty else FIRST_EPOCH,
    )


def raise_term(node: Node, server: ServerId, term: Epoch) -> KnownTerm:
    """Remember a term, and never follow a lower one again."""
    known = node.duties.known.setdefault(server, KnownTerm(term))
    known.term = max(known.term, term)
    return known


def answer_request(
    node: Node,
    moment: Moment,
    sender: NodeId,
    request: PromiseRequest,
) -> Effects:
    """Promise not to act for a server, unless a greater term is known."""
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
        known.followed = sender
        known.unlogged_term = max(known.unlogged_term, request.term)
    if granted:
        until = moment.monotonic + lengthen(node, request.duration)
        known.promised_until = max(known.promised_until, Seconds(until))
    promise = Promise(
        request.server,
        known.term,
        request.sequence,
        granted,
        tuple(remembered.moved for remembered in known.moves.values()),
        known.unlogged_term,
    )
    return [SendMessage(sender, promise)]


def _may_promise(node: Node, sender: NodeId, request: PromiseRequest) -> bool:
    server = request.server
    if server in node.duties.claiming or server in node.duties.take_overs:
        return False
    role = node.view.roles.get(server)
    same_term = role is not None and role.term == request.term
    if same_term and role and role.dispatcher != sender:
        return False
    duty = node.duties.held.get(server)
    if duty is not None and duty.term >= request.term:
        return False
    if is_provisional(request.term):
        # The log can still be asked, by us at least; or we have given our
        # last word.
        if node.stopping or not node.following.log_away:
            return False
    return request.term >= known_term(node, server)


def note_promise(
    node: Node,
    moment: Moment,
    sender: NodeId,
    promise: Promise,
) -> None:
    """Count a promise for the lease, from when it was asked for."""
    duty = node.duties.held.get(promise.server)
    if duty is None:
        return
    if not promise.granted:
        duty.refused_for = max(duty.refused_for, promise.term)
    sent = duty.asked.get(promise.sequence)
    if sent is None or not promise.granted or promise.term != duty.term:
        return
    duty.promised[sender] = max(duty.promised.get(sender, NEVER), sent)
    duty.followers.setdefault(sender, moment.monotonic)
    _note_witness(node, duty, sender, promise)


def _note_witness(
    node: Node,
    duty: Duty,
    sender: NodeId,
    promise: Promise,
) -> None:
    """Learn that nobody took the server over since our former term.

    Whoever did so would have needed the word of every other member, and this
    one follows no lower term from here on.
    """
    if duty.renewed_from is None or sender not in duty.witnesses:
        return
    if promise.unlogged_term <= duty.renewed_from:
        duty.continuous = True
        node.ready_servers.add(duty.server)


def note_last_word(node: Node, sender: NodeId, promise: Promise) -> None:
    """Keep the word of a claim-set member that leaves."""
    duty = node.duties.held.get(promise.server)
    if duty is None:
        return
    duty.last_words[sender] = promise.unlogged_term
    _note_witness(node, duty, sender, promise)


def is_assured(duty: Duty) -> bool:
    """Say whether nobody can take a server over from a holder unseen."""
    if not duty.claim_set:
        return True
    words = [
        duty.last_words[member]
        for member in duty.claim_set
        if member in duty.last_words
    ]
    return any(word <= duty.term for word in words)


def ask_witnesses(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Ask whether anybody has taken a server over since our former term."""
    if duty.renewed_from is None or duty.continuous:
        return []
    if moment.monotonic - duty.started > _WITNESS_TIME:
        return []
    others = [
        member for member in duty.witnesses if member != node.options.node
    ]
    return request_promises(node, moment, duty, others)
