"""Send waiting requests to servers while this process has authority."""

from dataclasses import replace

from trefoilsaddle.core.answers import refuse
from trefoilsaddle.core.authority import Authority, check_authority
from trefoilsaddle.core.effects import Effects, RunAttempt, SetTimer
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outcomes import authorise_send
from trefoilsaddle.core.queues import ServerQueue
from trefoilsaddle.core.replies import answer_ticket
from trefoilsaddle.core.tickets import Ticket, TicketState
from trefoilsaddle.core.units import Moment, Seconds, ShardId
from trefoilsaddle.results import ResultCode

# Seconds between two checks of parked requests.
_PARKED_INTERVAL = 0.05


def fill_slots(node: Node, moment: Moment, queue: ServerQueue) -> Effects:
    """Send queued requests while the server has free slots."""
    effects: Effects = []
    now = moment.monotonic
    discipline = node.dispatching.discipline
    while len(queue.running) < discipline.concurrency_limit(queue, now):
        ticket = discipline.choose(queue, now)
        if ticket is None:
            break
        effects.extend(_send_ticket(node, moment, queue, ticket))
    effects.extend(_schedule_check(queue, now))
    return effects


def update_waiting(
    node: Node,
    moment: Moment,
    queue: ServerQueue,
) -> Effects:
    """Update all waiting requests to the current authority.

    Parked requests that may be sent return to the queue.  Requests of shards
    that this process no longer holds are refused.
    """
    effects: Effects = []
    failures: dict[ShardId, Failure | None] = {}
    for ticket in queue.list_waiting():
        if ticket.shard not in failures:
            failures[ticket.shard] = _find_failure(node, moment, ticket)
        failure = failures[ticket.shard]
        effects.extend(_update_ticket(node, moment, queue, ticket, failure))
    return effects


def dequeue_ticket(queue: ServerQueue, ticket: Ticket) -> None:
    """Remove a request that has not been sent from its queue."""
    if ticket.state is TicketState.waiting:
        queue.rank_queue(ticket).remove(ticket)
    elif ticket.state is TicketState.parked:
        queue.parked.remove(ticket)


def _update_ticket(
    node: Node,
    moment: Moment,
    queue: ServerQueue,
    ticket: Ticket,
    failure: Failure | None,
) -> Effects:
    if failure is None:
        if ticket.state is TicketState.parked:
            dequeue_ticket(queue, ticket)
            ticket.state = TicketState.waiting
            queue.rank_queue(ticket).push_front(ticket)
    elif failure.code is ResultCode.not_holder:
        dequeue_ticket(queue, ticket)
        answer = refuse(ResultCode.not_holder)
        return answer_ticket(node, moment, ticket, answer)
    return []


def _find_failure(
    node: Node,
    moment: Moment,
    ticket: Ticket,
) -> Failure | None:
    authority = check_authority(node, moment, ticket.server, ticket.shard)
    return authority if isinstance(authority, Failure) else None


def _send_ticket(
    node: Node,
    moment: Moment,
    queue: ServerQueue,
    ticket: Ticket,
) -> Effects:
    authority = check_authority(node, moment, ticket.server, ticket.shard)
    if isinstance(authority, Failure):
        return _park_or_refuse(node, moment, queue, ticket, authority)
    answer = authorise_send(node, moment, ticket, authority)
    if isinstance(answer, Failure):
        return _park_or_refuse(node, moment, queue, ticket, answer)
    if answer is not None:
        return answer_ticket(node, moment, ticket, answer)
    remaining = ticket.remaining(moment.monotonic)
    if remaining <= node.dispatching.discipline.required_time(queue, ticket):
        answer = refuse(ResultCode.deadline_unreachable)
        return answer_ticket(node, moment, ticket, answer)
    ticket.state = TicketState.running
    ticket.started = moment.monotonic
    queue.running[ticket.number] = ticket
    return [_build_attempt(ticket, authority, remaining)]


def _build_attempt(
    ticket: Ticket,
    authority: Authority,
    remaining: Seconds,
) -> RunAttempt:
    return RunAttempt(
        server=ticket.server,
        attempt=ticket.number,
        term=authority.term,
        shard=ticket.shard,
        epoch=authority.epoch,
        request=replace(ticket.request, remaining=remaining),
        send_before=min(authority.send_before, ticket.deadline),
    )


def _park_or_refuse(
    node: Node,
    moment: Moment,
    queue: ServerQueue,
    ticket: Ticket,
    failure: Failure,
) -> Effects:
    """Refuse a request if another process holds its shard, else park it."""
    if failure.code is ResultCode.not_holder:
        answer = refuse(failure.code)
        return answer_ticket(node, moment, ticket, answer)
    ticket.state = TicketState.parked
    queue.parked.append(ticket)
    return []


def _schedule_check(queue: ServerQueue, now: Seconds) -> Effects:
    """Set a timer if requests wait for a condition without an event."""
    pause = queue.pacing.pause_left(now)
    timer = TimerKey(TimerKind.queue, queue.server)
    if pause > 0 and queue.count_waiting():
        return [SetTimer(timer, pause)]
    if queue.parked:
        return [SetTimer(timer, Seconds(_PARKED_INTERVAL))]
    return []
