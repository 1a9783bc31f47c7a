"""Handle the events that queue, send and end a dispatcher's requests."""

from collections.abc import Iterable

from trefoilsaddle.core.acceptance import handle_forward
from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.endings import (
    abandon_ticket,
    end_attempt,
    handle_deadline,
    handle_sender_lost,
)
from trefoilsaddle.core.events import (
    AttemptEnded,
    Event,
    GrantAnswered,
    MessageReceived,
    PeerLost,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.messages import Abandon, Forward, Handover
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outcomes import handle_handover
from trefoilsaddle.core.sending import fill_slots, update_waiting
from trefoilsaddle.core.settling import settle_floors
from trefoilsaddle.core.tickets import Origin
from trefoilsaddle.core.units import (
    AttemptId,
    Moment,
    Seconds,
    ServerId,
    ShardId,
)


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Handle one event that concerns the queues of this process."""
    match event:
        case MessageReceived():
            return _handle_message(node, moment, event)
        case AttemptEnded():
            return end_attempt(node, moment, event)
        case GrantAnswered(server=server):
            settle_floors(node, moment, server)
        case TimerExpired(timer):
            return _handle_timer(node, moment, timer)
        case PeerLost():
            return handle_sender_lost(node, moment, event.node)
    return []


def send_ready(
    node: Node,
    moment: Moment,
    servers: Iterable[ServerId],
) -> Effects:
    """Update the given servers' queues and send what may be sent now."""
    effects: Effects = []
    for server in servers:
        queue = node.dispatching.queues.get(server)
        if queue is not None:
            effects.extend(update_waiting(node, moment, queue))
            effects.extend(fill_slots(node, moment, queue))
    return effects


def count_running(node: Node, server: ServerId, shard: ShardId | None) -> int:
    """Count the attempts in flight at a server, of one shard or of all."""
    queue = node.dispatching.queues.get(server)
    if queue is None:
        return 0
    if shard is None:
        return len(queue.running)
    return sum(ticket.shard == shard for ticket in queue.running.values())


def latest_deadline(node: Node, server: ServerId) -> Seconds:
    """Return the monotonic time by which all requests in flight have ended.

    Requests whose connection was closed count until their deadline, since
    the server may still be running them.
    """
    queue = node.dispatching.queues.get(server)
    if queue is None:
        return Seconds(0)
    deadlines = [ticket.deadline for ticket in queue.running.values()]
    return max(queue.uncertain_until, *deadlines, Seconds(0))


def _handle_message(
    node: Node,
    moment: Moment,
    event: MessageReceived,
) -> Effects:
    match event.message:
        case Forward() as forward:
            return handle_forward(node, moment, event.sender, forward)
        case Abandon(attempt):
            return abandon_ticket(node, moment, Origin(event.sender, attempt))
        case Handover() as handover:
            handle_handover(node, handover)
    return []


def _handle_timer(node: Node, moment: Moment, timer: TimerKey) -> Effects:
    if timer.kind is TimerKind.attempt:
        return handle_deadline(node, moment, AttemptId(int(timer.subject)))
    if timer.kind is TimerKind.grant:
        settle_floors(node, moment, ServerId(timer.subject))
    if timer.kind is TimerKind.queue:
        return send_ready(node, moment, (ServerId(timer.subject),))
    return []
