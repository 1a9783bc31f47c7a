"""End requests that are answered, refused, expired or abandoned."""

from types import MappingProxyType

from trefoilsaddle.core.answers import refuse, report_unknown, wrap_reply
from trefoilsaddle.core.calls import Answer
from trefoilsaddle.core.effects import CancelAttempt, Effects
from trefoilsaddle.core.events import AttemptEnded, AttemptVerdict
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outcomes import record_answer
from trefoilsaddle.core.queues import ServerQueue
from trefoilsaddle.core.replies import answer_ticket, close_ticket
from trefoilsaddle.core.sending import dequeue_ticket, fill_slots
from trefoilsaddle.core.tickets import Origin, Ticket, TicketState
from trefoilsaddle.core.units import AttemptId, Moment, NodeId, Seconds
from trefoilsaddle.results import ResultCode

# Verdicts that prove that the server did not run the request.
_REFUSALS = MappingProxyType(
    {
        AttemptVerdict.unsent: ResultCode.server_unreachable,
        AttemptVerdict.fenced: ResultCode.fenced,
        AttemptVerdict.shed: ResultCode.shed_by_server,
        AttemptVerdict.draining: ResultCode.stopping,
        AttemptVerdict.expired: ResultCode.deadline_unreachable,
    }
)
_UNKNOWN_ENDINGS = MappingProxyType(
    {
        AttemptVerdict.lost: ResultCode.server_lost,
        AttemptVerdict.cut_short: ResultCode.answer_cut_short,
    }
)
# Most times that one request is resent after the server has shed it.
_MAX_SHEDS = 6
# Verdicts that suggest that the server is currently unreachable.
_FAILURES = frozenset(
    (
        AttemptVerdict.unsent,
        AttemptVerdict.lost,
        AttemptVerdict.cut_short,
    )
)


def end_attempt(node: Node, moment: Moment, event: AttemptEnded) -> Effects:
    """Answer or resend the request of an attempt; ignore a late ending."""
    queue = node.dispatching.queues.get(event.server)
    if queue is None:
        return []
    ticket = queue.running.pop(event.attempt, None)
    if ticket is None:
        return []
    _record_ending(queue, ticket, moment, event.verdict)
    effects: Effects = []
    if _should_resend(ticket, event.verdict):
        ticket.state = TicketState.waiting
        queue.rank_queue(ticket).push_front(ticket)
    else:
        answer = _build_answer(event)
        effects = answer_ticket(node, moment, ticket, answer)
    return effects + fill_slots(node, moment, queue)


def handle_deadline(node: Node, moment: Moment, number: AttemptId) -> Effects:
    """End a request whose deadline has passed."""
    ticket = node.dispatching.tickets.get(number)
    if ticket is None:
        return []
    queue = node.dispatching.queues[ticket.server]
    if ticket.state is TicketState.joined:
        answer = report_unknown(ResultCode.in_progress)
        return answer_ticket(node, moment, ticket, answer)
    if ticket.state is not TicketState.running:
        dequeue_ticket(queue, ticket)
        answer = refuse(ResultCode.deadline_unreachable)
        return answer_ticket(node, moment, ticket, answer)
    effects = _cancel_attempt(queue, ticket)
    mean = queue.rank_queue(ticket).service.mean
    queue.pacing.record_timeout(ticket.started, mean, moment.monotonic)
    answer = report_unknown(ResultCode.deadline_passed)
    effects.extend(answer_ticket(node, moment, ticket, answer))
    return effects + fill_slots(node, moment, queue)


def abandon_ticket(node: Node, moment: Moment, origin: Origin) -> Effects:
    """Cancel a request whose caller no longer waits.

    It goes on if other callers wait for it or if a retry may need its answer.
    """
    number = node.dispatching.origins.get(origin)
    if number is None:
        return []
    ticket = node.dispatching.tickets[number]
    queue = node.dispatching.queues[ticket.server]
    if ticket.state is TicketState.joined:
        return close_ticket(node, ticket)
    if ticket.followers or _must_finish(ticket):
        ticket.abandoned = True
        return []
    effects: Effects = []
    answer = refuse(ResultCode.cancelled)
    if ticket.state is TicketState.running:
        effects = _cancel_attempt(queue, ticket)
        answer = report_unknown(ResultCode.cancelled)
    dequeue_ticket(queue, ticket)
    record_answer(node, ticket, answer)
    effects.extend(close_ticket(node, ticket))
    return effects + fill_slots(node, moment, queue)


def handle_sender_lost(node: Node, moment: Moment, sender: NodeId) -> Effects:
    """Abandon all requests of a lost entry process."""
    lost = [
        origin for origin in node.dispatching.origins if origin.node == sender
    ]
    effects: Effects = []
    for origin in lost:
        effects.extend(abandon_ticket(node, moment, origin))
    return effects


def _must_finish(ticket: Ticket) -> bool:
    """Return whether a running request's answer may serve a retry.

    A request that is not idempotent must not be repeated.
    """
    running = ticket.state is TicketState.running
    return running and not ticket.request.idempotent


def _cancel_attempt(queue: ServerQueue, ticket: Ticket) -> Effects:
    queue.running.pop(ticket.number)
    # The server may run the request until the deadline that was sent with it.
    queue.uncertain_until = max(queue.uncertain_until, ticket.deadline)
    return [CancelAttempt(ticket.server, ticket.number)]


def _should_resend(
    ticket: Ticket,
    verdict: AttemptVerdict,
) -> bool:
    """Count a shed of a request and return whether to queue it again.

    Entry processes do not retry shed requests.  Pacing bounds the extra load
    on the server.
    """
    if verdict is not AttemptVerdict.shed or ticket.abandoned:
        return False
    ticket.sheds += 1
    return ticket.sheds <= _MAX_SHEDS


def _build_answer(event: AttemptEnded) -> Answer:
    if event.reply is not None:
        return wrap_reply(event.reply)
    refusal = _REFUSALS.get(event.verdict)
    if refusal is not None:
        return refuse(refusal)
    return report_unknown(
        _UNKNOWN_ENDINGS.get(event.verdict, ResultCode.answer_lost)
    )


def _record_ending(
    queue: ServerQueue,
    ticket: Ticket,
    moment: Moment,
    verdict: AttemptVerdict,
) -> None:
    now = moment.monotonic
    if verdict is AttemptVerdict.answered:
        duration = Seconds(now - ticket.started)
        queue.rank_queue(ticket).service.observe(duration)
        queue.pacing.record_reply(queue.rules.slots)
    elif verdict is AttemptVerdict.shed:
        queue.pacing.record_shed(queue.rules.slots, now)
    elif verdict in _FAILURES:
        queue.pacing.record_failure(now)
    if verdict in _UNKNOWN_ENDINGS:
        queue.uncertain_until = max(queue.uncertain_until, ticket.deadline)
