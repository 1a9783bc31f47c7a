"""Forward callers' requests from an entry process to dispatchers."""

from dataclasses import replace

from trefoilsaddle.core.answers import refuse, report_unknown
from trefoilsaddle.core.calls import Answer, Call
from trefoilsaddle.core.effects import (
    AnswerCaller,
    CancelTimer,
    Component,
    CountMetric,
    Effects,
    SendMessage,
    SetTimer,
)
from trefoilsaddle.core.events import (
    CallArrived,
    CallerLeft,
    Event,
    MessageReceived,
    PeerLost,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.messages import Abandon, Forward, ForwardAnswer
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.pressure import check_pressure
from trefoilsaddle.core.routes import choose_route, forget_route, record_route
from trefoilsaddle.core.routestate import PendingCall, Route
from trefoilsaddle.core.units import (
    AttemptId,
    CallId,
    Moment,
    NodeId,
    Seconds,
)
from trefoilsaddle.results import Outcome, ResultCode

# Most retries of one call.
_MAX_RETRIES = 6
# Wait before a retry when no better route is known.
_RETRY_DELAY = 0.05
# Seconds of the deadline that are reserved for the answer's way back.
_HOP_ALLOWANCE = 0.002
# Attempt ids start at the wall clock in microseconds, so that they differ
# between two incarnations of a process.
_MICROSECONDS = 1_000_000

# The server or its dispatcher refused; another route may succeed.
_ROUTE_CODES = frozenset(
    (
        ResultCode.not_holder,
        ResultCode.fenced,
        ResultCode.owner_changing,
        ResultCode.lease_lapsed,
        ResultCode.stopping,
        ResultCode.server_unreachable,
        ResultCode.dispatcher_unreachable,
    )
)
# The attempt has ended and may have run; an idempotent request is repeated.
_REPEATABLE_CODES = frozenset(
    (
        ResultCode.answer_lost,
        ResultCode.server_lost,
        ResultCode.dispatcher_lost,
        ResultCode.answer_cut_short,
    )
)


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Handle one event that concerns callers' requests."""
    match event:
        case CallArrived():
            return _handle_call(node, moment, event.call)
        case MessageReceived(sender, ForwardAnswer() as message):
            return _handle_answer(node, moment, sender, message)
        case TimerExpired(timer):
            return _handle_timer(node, moment, timer)
        case PeerLost():
            return _handle_peer_lost(node, moment, event)
        case CallerLeft():
            return _abandon_call(node, event.call_id)
    return []


def _handle_timer(node: Node, moment: Moment, timer: TimerKey) -> Effects:
    if timer.kind is TimerKind.call:
        return _handle_deadline(node, CallId(int(timer.subject)))
    if timer.kind is TimerKind.retry:
        return _retry_call(node, moment, CallId(int(timer.subject)))
    return []


def _handle_call(node: Node, moment: Moment, call: Call) -> Effects:
    request = call.request
    configuration = node.view.configuration
    shard = node.view.shard_of(request.service, request.member, request.key)
    if configuration is None:
        return _refuse_call(call, ResultCode.configuration_missing)
    if shard is None:
        return _refuse_call(call, ResultCode.service_unknown)
    if not request.idempotent and request.idempotency_key is None:
        return _refuse_call(call, ResultCode.idempotency_key_missing)
    if request.remaining <= 0:
        return _refuse_call(call, ResultCode.deadline_unreachable)
    node.routing.budget.earn(configuration.limits.retry_budget)
    deadline = Seconds(moment.monotonic + request.remaining)
    pending = PendingCall(call, shard, deadline)
    node.routing.pending[call.call_id] = pending
    timer = TimerKey(TimerKind.call, str(call.call_id))
    start = SetTimer(timer, request.remaining)
    return [start, *_forward_call(node, moment, pending)]


def _refuse_call(call: Call, code: ResultCode) -> Effects:
    return _send_answer(call, refuse(code))


def _send_answer(call: Call, answer: Answer) -> Effects:
    """Send the answer and count it by rank, outcome and code."""
    rank = call.request.rank
    name = '.'.join((f'rank-{rank}', answer.outcome.value, answer.code.name))
    return [
        AnswerCaller(call.call_id, answer),
        CountMetric(Component.routing, name),
    ]


def _forward_call(
    node: Node,
    moment: Moment,
    pending: PendingCall,
) -> Effects:
    route = choose_route(node, moment, pending)
    if route is None:
        return [_delay_retry(pending)]
    remaining = _remaining_at_dispatcher(moment, pending)
    request = replace(pending.call.request, remaining=remaining)
    routing = node.routing
    refusal = check_pressure(
        routing.pressure,
        route.server,
        request,
        moment.monotonic,
        node.random,
    )
    if refusal is not None:
        return _answer_call(node, pending, refusal)
    attempt = _next_attempt(node, moment)
    pending.attempt = attempt
    pending.route = route
    routing.attempts[attempt] = pending.call.call_id
    forward = Forward(attempt, route.server, request)
    return [SendMessage(route.dispatcher, forward)]


def _remaining_at_dispatcher(moment: Moment, pending: PendingCall) -> Seconds:
    left = pending.deadline - moment.monotonic - _HOP_ALLOWANCE
    return Seconds(max(left, 0))


def _next_attempt(node: Node, moment: Moment) -> AttemptId:
    """Return an id above all earlier ones, also of earlier incarnations."""
    routing = node.routing
    if not routing.last_attempt:
        routing.last_attempt = AttemptId(int(moment.wall * _MICROSECONDS))
    routing.last_attempt = AttemptId(routing.last_attempt + 1)
    return routing.last_attempt


def _delay_retry(pending: PendingCall) -> SetTimer:
    timer = TimerKey(TimerKind.retry, str(pending.call.call_id))
    return SetTimer(timer, Seconds(_RETRY_DELAY))


def _handle_answer(
    node: Node,
    moment: Moment,
    sender: NodeId,
    message: ForwardAnswer,
) -> Effects:
    routing = node.routing
    if message.pressure is not None:
        routing.pressure.record(message.pressure, moment.monotonic)
    pending = _find_pending(node, sender, message.attempt)
    if pending is None:
        return []
    _end_attempt(node, pending)
    answer = message.answer
    former = pending.route
    if answer.outcome is Outcome.unknown:
        pending.may_have_run = True
        return _repeat_call(node, moment, pending, answer)
    if answer.code not in _ROUTE_CODES:
        return _answer_call(node, pending, answer)
    record_route(node, pending, message)
    return _reroute_call(node, moment, pending, answer, former)


def _find_pending(
    node: Node,
    sender: NodeId,
    attempt: AttemptId,
) -> PendingCall | None:
    """Return the call of an attempt and sender; None for a late answer."""
    call_id = node.routing.attempts.get(attempt)
    if call_id is None:
        return None
    pending = node.routing.pending[call_id]
    if pending.route is None or pending.route.dispatcher != sender:
        return None
    return pending


def _end_attempt(node: Node, pending: PendingCall) -> None:
    if pending.attempt is not None:
        node.routing.attempts.pop(pending.attempt, None)
    pending.attempt = None


def _reroute_call(
    node: Node,
    moment: Moment,
    pending: PendingCall,
    answer: Answer,
    former: Route | None,
) -> Effects:
    """Retry a request that was not run, at once if its route has changed."""
    if not _spend_retry(node, pending):
        return _answer_call(node, pending, answer)
    route = choose_route(node, moment, pending)
    if route is None or route == former:
        return [_delay_retry(pending)]
    return _forward_call(node, moment, pending)


def _repeat_call(
    node: Node,
    moment: Moment,
    pending: PendingCall,
    answer: Answer,
) -> Effects:
    """Retry an idempotent request whose outcome is unknown, or answer it."""
    repeatable = answer.code in _REPEATABLE_CODES
    if not (repeatable and pending.call.request.idempotent):
        return _answer_call(node, pending, answer)
    if not _spend_retry(node, pending):
        return _answer_call(node, pending, answer)
    return [_delay_retry(pending)]


def _spend_retry(node: Node, pending: PendingCall) -> bool:
    if pending.retries >= _MAX_RETRIES:
        return False
    pending.retries += 1
    return node.routing.budget.spend()


def _retry_call(node: Node, moment: Moment, call_id: CallId) -> Effects:
    pending = node.routing.pending.get(call_id)
    if pending is None or pending.attempt is not None:
        return []
    return _forward_call(node, moment, pending)


def _handle_deadline(node: Node, call_id: CallId) -> Effects:
    pending = node.routing.pending.get(call_id)
    if pending is None:
        return []
    if pending.attempt is None:
        answer = refuse(ResultCode.owner_unknown)
        return _answer_call(node, pending, answer)
    pending.may_have_run = True
    effects = _send_abandon(pending)
    answer = report_unknown(ResultCode.deadline_passed)
    return effects + _answer_call(node, pending, answer)


def _handle_peer_lost(node: Node, moment: Moment, event: PeerLost) -> Effects:
    node.routing.lost_at[event.node] = moment.monotonic
    lost = [
        pending
        for pending in node.routing.pending.values()
        if pending.attempt is not None
        and pending.route is not None
        and pending.route.dispatcher == event.node
    ]
    effects: Effects = []
    for pending in lost:
        effects.extend(_handle_lost_attempt(node, moment, pending, event))
    return effects


def _handle_lost_attempt(
    node: Node,
    moment: Moment,
    pending: PendingCall,
    event: PeerLost,
) -> Effects:
    never_left = pending.attempt in event.unsent
    former = pending.route
    _end_attempt(node, pending)
    forget_route(node, pending)
    if never_left:
        answer = refuse(ResultCode.dispatcher_unreachable)
        return _reroute_call(node, moment, pending, answer, former)
    pending.may_have_run = True
    answer = report_unknown(ResultCode.dispatcher_lost)
    return _repeat_call(node, moment, pending, answer)


def _abandon_call(node: Node, call_id: CallId) -> Effects:
    pending = node.routing.pending.get(call_id)
    if pending is None:
        return []
    effects = _send_abandon(pending)
    return effects + _drop_call(node, pending)


def _send_abandon(pending: PendingCall) -> Effects:
    if pending.attempt is None or pending.route is None:
        return []
    message = Abandon(pending.attempt)
    return [SendMessage(pending.route.dispatcher, message)]


def _answer_call(
    node: Node,
    pending: PendingCall,
    answer: Answer,
) -> Effects:
    # An earlier attempt may have run even if the last one did not.
    if pending.may_have_run and answer.outcome is Outcome.not_run:
        answer = report_unknown(ResultCode.answer_lost)
    effects = _drop_call(node, pending)
    return [*effects, *_send_answer(pending.call, answer)]


def _drop_call(node: Node, pending: PendingCall) -> Effects:
    _end_attempt(node, pending)
    call_id = pending.call.call_id
    node.routing.pending.pop(call_id, None)
    subject = str(call_id)
    return [
        CancelTimer(TimerKey(TimerKind.call, subject)),
        CancelTimer(TimerKey(TimerKind.retry, subject)),
    ]
