"""Send answers to forwarded requests, with the route and the pressure."""

from trefoilsaddle.core.calls import Answer, Pressure
from trefoilsaddle.core.effects import (
    CancelTimer,
    Effects,
    SendMessage,
)
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.messages import ForwardAnswer
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outcomes import record_answer
from trefoilsaddle.core.provisional import holder_of, owner_of
from trefoilsaddle.core.tickets import Origin, Ticket, TicketState
from trefoilsaddle.core.units import (
    AttemptId,
    Moment,
    ServerId,
    ShardId,
)


def answer_ticket(
    node: Node,
    moment: Moment,
    ticket: Ticket,
    answer: Answer,
) -> Effects:
    """Record an answer, send it to all waiting callers, close the tickets."""
    record_answer(node, ticket, answer)
    effects = close_ticket(node, ticket)
    if not ticket.abandoned:
        effects.append(_build_ticket_answer(node, moment, ticket, answer))
    for number in ticket.followers:
        follower = node.dispatching.tickets.get(number)
        if follower is not None:
            effects.extend(close_ticket(node, follower))
            effects.append(_build_ticket_answer(node, moment, follower, answer))
    return effects


def close_ticket(node: Node, ticket: Ticket) -> Effects:
    """Remove a request from the state without sending an answer."""
    ticket.state = TicketState.ended
    node.dispatching.tickets.pop(ticket.number, None)
    node.dispatching.origins.pop(ticket.origin, None)
    return [CancelTimer(attempt_timer(ticket.number))]


def attempt_timer(number: AttemptId) -> TimerKey:
    """Return the key of the timer for a request's deadline."""
    return TimerKey(TimerKind.attempt, str(number))


def build_answer_message(
    node: Node,
    origin: Origin,
    shard: ShardId | None,
    answer: Answer,
    pressure: Pressure | None = None,
) -> SendMessage:
    """Build the answer message with the shard's current route."""
    owner = None if shard is None else owner_of(node, shard)
    message = ForwardAnswer(
        attempt=origin.attempt,
        answer=answer,
        owner=owner,
        holder=None if owner is None else holder_of(node, owner),
        applied=node.view.applied,
        pressure=pressure,
    )
    return SendMessage(origin.node, message)


def _build_ticket_answer(
    node: Node,
    moment: Moment,
    ticket: Ticket,
    answer: Answer,
) -> SendMessage:
    pressure = _build_pressure(node, moment, ticket.server)
    return build_answer_message(
        node, ticket.origin, ticket.shard, answer, pressure
    )


def _build_pressure(
    node: Node,
    moment: Moment,
    server: ServerId,
) -> Pressure | None:
    """Build the report of the estimated waits at a server, by rank."""
    queue = node.dispatching.queues.get(server)
    if queue is None:
        return None
    discipline = node.dispatching.discipline
    waits = tuple(
        discipline.estimate(queue, ranked.rank, moment.monotonic)
        for ranked in queue.ranks
    )
    holds = tuple(
        discipline.hold(queue, ranked.rank, moment.monotonic)
        for ranked in queue.ranks
    )
    crowding = tuple(ranked.largest_member() for ranked in queue.ranks)
    return Pressure(server, waits, holds, crowding)
