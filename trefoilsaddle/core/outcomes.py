"""Record outcomes of idempotency keys, so that requests run at most once.

See docs/design/at-most-once.md for the floors and their assumptions.
"""

from trefoilsaddle.core.answers import refuse, report_unknown
from trefoilsaddle.core.authority import Authority
from trefoilsaddle.core.calls import Answer, IdempotencyKey, Request
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.floors import (
    adopt_floor,
    drop_answers,
    forget_old,
    is_forgotten,
    keeps_tokens,
    shrink_outcomes,
    update_floor,
)
from trefoilsaddle.core.handovers import apply_handover, build_handover
from trefoilsaddle.core.hashing import hash_key, hash_parts
from trefoilsaddle.core.messages import Handover
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outcomestate import KeyOutcome, OutcomeKey
from trefoilsaddle.core.tickets import Ticket
from trefoilsaddle.core.units import (
    AttemptId,
    Epoch,
    MemberName,
    Moment,
    Seconds,
    ShardId,
)
from trefoilsaddle.results import Outcome, ResultCode

# Longer reply bodies, in bytes, are not kept: a retry is answered with
# `outcome_forgotten`.
_MAX_KEPT_BODY = 65_536
# Seconds after a shard's adoption during which requests wait for its handover.
_HANDOVER_WAIT = 0.5


def adopt_shard(
    node: Node,
    moment: Moment,
    shard: ShardId,
    *,
    fresh: bool,
) -> None:
    """Start recording outcomes of a shard that this process will serve.

    A fresh shard never had an owner, so no request can have been sent.  For
    any other shard, keys created before this process first had authority to
    send have an unknown outcome, unless the previous dispatcher hands its
    outcomes over.
    """
    former = node.dispatching.outcomes.floors.get(shard)
    if former is not None:
        if keeps_tokens(node, moment, shard, former):
            return
        # The shard moved between two servers of this process.
        build_handover(node, shard, former.epoch)
    adopt_floor(node, moment, shard, fresh=fresh)
    apply_handover(node, shard)


def release_shard(node: Node, shard: ShardId, epoch: Epoch) -> Handover:
    """Stop recording outcomes of a shard and return the known ones.

    `epoch` is the one under which the shard was served until now.
    """
    return build_handover(node, shard, epoch)


def handle_handover(node: Node, handover: Handover) -> None:
    """Store a received handover, and apply it if its shard is adopted."""
    node.dispatching.outcomes.handovers[handover.shard] = handover
    apply_handover(node, handover.shard)
    owner = node.view.owners.get(handover.shard)
    if owner is not None:
        node.ready_servers.add(owner.server)


def register_key(node: Node, moment: Moment, ticket: Ticket) -> Answer | None:
    """Return an answer from a key's outcome, or record the key in progress.

    Also returns None if an earlier request with the key is in progress;
    `find_leader` then returns its ticket, for this one to join.
    """
    request = ticket.request
    key = request.idempotency_key
    configuration = node.view.configuration
    if key is None or configuration is None:
        return None
    if is_in_future(key, moment, configuration.limits.clock_skew):
        return refuse(ResultCode.idempotency_key_in_future)
    known = node.dispatching.outcomes.outcomes.get(_outcome_key(ticket))
    if known is not None:
        return _answer_retry(known, ticket)
    if request.idempotent:
        return None
    if not shrink_outcomes(node):
        return refuse(ResultCode.memory_bound)
    forget_old(node, moment)
    outcome = KeyOutcome(
        created=key.created,
        fingerprint=_fingerprint(ticket),
        key_hash=hash_key(request.service, request.member, request.key),
        ticket=ticket.number,
    )
    node.dispatching.outcomes.outcomes[_outcome_key(ticket)] = outcome
    return None


def is_in_future(
    key: IdempotencyKey,
    moment: Moment,
    skew: Seconds,
) -> bool:
    """Return whether a key is too new to be covered by a successor's floor."""
    return key.created > moment.wall + skew


def find_leader(node: Node, ticket: Ticket) -> AttemptId | None:
    """Return the earlier ticket in progress with a request's key, if any."""
    known = _find_outcome(node, ticket)
    if known is None or known.ticket == ticket.number:
        return None
    return known.ticket


def authorise_send(
    node: Node,
    moment: Moment,
    ticket: Ticket,
    authority: Authority,
) -> Answer | Failure | None:
    """Return None if a request may be sent, for the first and only time.

    Checked directly before the send: since the request was accepted, the
    floor may have risen or a handover may have brought the key's outcome.
    A `Failure` means that the request must wait for a handover.
    """
    if ticket.request.idempotent:
        return None
    known = _find_outcome(node, ticket)
    if known is None:
        return report_unknown(ResultCode.outcome_forgotten)
    if known.ticket != ticket.number:
        return _answer_retry(known, ticket) or report_unknown(
            ResultCode.in_progress
        )
    kept = update_floor(node, moment, ticket.shard, authority)
    if not is_forgotten(node, moment, ticket.shard, ticket.request):
        return None
    waited = moment.monotonic - kept.adopted
    if not kept.complete and waited < _HANDOVER_WAIT:
        return Failure(ResultCode.owner_changing, 'waiting for a handover')
    return report_unknown(ResultCode.outcome_forgotten)


def record_answer(node: Node, ticket: Ticket, answer: Answer) -> None:
    """Record the outcome of a request with an idempotency key."""
    known = _find_outcome(node, ticket)
    if known is None or known.ticket != ticket.number:
        return
    if answer.outcome is Outcome.not_run:
        node.dispatching.outcomes.outcomes.pop(_outcome_key(ticket))
        return
    known.ticket = None
    if answer.reply is None:
        # A code such as `deadline_passed` applies to the first try only, not
        # to the retries that will get this answer.
        known.answer = report_unknown(ResultCode.answer_lost)
        return
    size = len(answer.reply.body)
    if size <= _MAX_KEPT_BODY:
        known.answer = answer
        node.dispatching.outcomes.kept_bytes += size
        drop_answers(node)


def _answer_retry(known: KeyOutcome, ticket: Ticket) -> Answer | None:
    """Return the answer to a retry; None if the first try is in progress."""
    if known.fingerprint != _fingerprint(ticket):
        return refuse(ResultCode.idempotency_key_reused)
    if known.ticket is not None:
        return None
    if known.answer is not None:
        return known.answer
    return report_unknown(ResultCode.outcome_forgotten)


def _find_outcome(node: Node, ticket: Ticket) -> KeyOutcome | None:
    if ticket.request.idempotency_key is None:
        return None
    return node.dispatching.outcomes.outcomes.get(_outcome_key(ticket))


def _outcome_key(ticket: Ticket) -> OutcomeKey:
    request = ticket.request
    key = request.idempotency_key
    token = '' if key is None else key.token
    return OutcomeKey(request.service, _member_of(request), token)


def _member_of(request: Request) -> MemberName:
    return request.member


def _fingerprint(ticket: Ticket) -> int:
    """Hash all fields that must be equal in retries of a request."""
    request = ticket.request
    key = request.idempotency_key
    created = Seconds(0) if key is None else key.created
    parts = (
        request.key,
        request.method.encode(),
        request.path.encode(),
        request.content_type.encode(),
        request.body,
        str(created).encode(),
        str(request.idempotent).encode(),
    )
    return hash_parts(parts)
