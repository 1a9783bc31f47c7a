"""Accept forwarded requests into the queues or refuse them immediately."""

from trefoilsaddle.core.answers import refuse
from trefoilsaddle.core.authority import check_authority
from trefoilsaddle.core.effects import Effects, SetTimer
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.messages import Forward
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outcomes import find_leader, register_key
from trefoilsaddle.core.provisional import owner_of
from trefoilsaddle.core.queues import (
    QueueRules,
    ServerQueue,
    adjust_queue,
    build_queue,
)
from trefoilsaddle.core.replies import (
    answer_ticket,
    attempt_timer,
    build_answer_message,
)
from trefoilsaddle.core.sending import fill_slots
from trefoilsaddle.core.tickets import Origin, Ticket, TicketState
from trefoilsaddle.core.units import (
    AttemptId,
    Moment,
    NodeId,
    Seconds,
    ServerId,
    ShardId,
)
from trefoilsaddle.results import ResultCode


def handle_forward(
    node: Node,
    moment: Moment,
    sender: NodeId,
    forward: Forward,
) -> Effects:
    """Queue a forwarded request; drop a duplicate, or refuse it."""
    origin = Origin(sender, forward.attempt)
    state = node.dispatching
    if is_duplicate(node, origin):
        return []
    request = forward.request
    shard = node.view.shard_of(request.service, request.member, request.key)
    if shard is None:
        answer = refuse(ResultCode.configuration_missing)
        return [build_answer_message(node, origin, shard, answer)]
    server = _find_server(node, moment, forward.server, shard)
    if server is not None and node.refusing:
        answer = refuse(ResultCode.stopping)
        return [build_answer_message(node, origin, shard, answer)]
    queue = None
    if server is not None:
        queue = _find_queue(node, server)
    if server is None or queue is None or request.rank >= len(queue.ranks):
        answer = refuse(ResultCode.not_holder)
        return [build_answer_message(node, origin, shard, answer)]
    deadline = Seconds(moment.monotonic + request.remaining)
    ticket = Ticket(
        number=AttemptId(state.last_number + 1),
        origin=origin,
        server=server,
        shard=shard,
        request=request,
        arrived=moment.monotonic,
        deadline=deadline,
    )
    state.last_number = ticket.number
    return _accept_ticket(node, moment, queue, ticket)


def is_duplicate(node: Node, origin: Origin) -> bool:
    """Return whether an attempt id is not above the sender's earlier ones.

    The first copy is answered.  A second copy must not run after the first
    was answered as not run.
    """
    last_attempts = node.dispatching.last_attempts
    if origin.attempt <= last_attempts.get(origin.node, AttemptId(0)):
        return True
    last_attempts[origin.node] = origin.attempt
    return False


def _accept_ticket(
    node: Node,
    moment: Moment,
    queue: ServerQueue,
    ticket: Ticket,
) -> Effects:
    state = node.dispatching
    state.tickets[ticket.number] = ticket
    state.origins[ticket.origin] = ticket.number
    answer = register_key(node, moment, ticket)
    if answer is not None:
        return answer_ticket(node, moment, ticket, answer)
    timer = attempt_timer(ticket.number)
    start = SetTimer(timer, ticket.remaining(moment.monotonic))
    leader = find_leader(node, ticket)
    if leader is not None:
        ticket.state = TicketState.joined
        state.tickets[leader].followers.append(ticket.number)
        return [start]
    answer = state.discipline.admit(queue, ticket, moment.monotonic)
    if answer is not None:
        return answer_ticket(node, moment, ticket, answer)
    queue.rank_queue(ticket).push(ticket)
    effects: Effects = [start]
    effects.extend(fill_slots(node, moment, queue))
    effects.extend(_shorten_queue(node, moment, queue))
    return effects


def _shorten_queue(
    node: Node,
    moment: Moment,
    queue: ServerQueue,
) -> Effects:
    displaced = node.dispatching.discipline.displace(queue)
    if displaced is None:
        return []
    answer = refuse(ResultCode.queue_full)
    return answer_ticket(node, moment, displaced, answer)


def _find_server(
    node: Node,
    moment: Moment,
    named: ServerId,
    shard: ShardId,
) -> ServerId | None:
    """Return the server, named or owner, that may be sent the request.

    A server whose authority is missing only for now counts as well.
    """
    candidates = [named]
    owner = owner_of(node, shard)
    if owner is not None and owner != named:
        candidates.append(owner)
    for server in candidates:
        authority = check_authority(node, moment, server, shard)
        if not isinstance(authority, Failure):
            return server
        if authority.code is not ResultCode.not_holder:
            return server
    return None


def _find_queue(node: Node, server: ServerId) -> ServerQueue | None:
    """Return a server's queue, updated to the configuration in force."""
    configuration = node.view.configuration
    queue = node.dispatching.queues.get(server)
    if configuration is None:
        return queue
    if queue is not None and queue.rules.version == configuration.version:
        return queue
    policy = node.view.server(server)
    if policy is None:
        return queue
    rules = QueueRules(
        version=configuration.version,
        slots=policy.slots,
        queue_limit=configuration.services[policy.service].queue_limit,
        ranks=configuration.ranks,
    )
    if queue is None:
        queue = build_queue(server, rules)
        node.dispatching.queues[server] = queue
    else:
        adjust_queue(queue, rules)
    return queue
