"""Accept requests, send each to a server, and answer it once.

A request ends in one of three ways: with a complete answer of a server, refused
as not run, or with an unknown outcome. It is reported as not run only if no
server can have begun it, see `OpenCall.may_have_run`.
"""

from trefoilsaddle.core.units import CallId, Seconds
from trefoilsaddle.gateway import lifecycle
from trefoilsaddle.gateway.admitting import find_standing
from trefoilsaddle.gateway.attempts import handle_attempt_ended
from trefoilsaddle.gateway.choosing import choose_service
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import (
    CancelAttempts,
    CountMetric,
    Effects,
    SetCallTimer,
)
from trefoilsaddle.gateway.ending import end_call, refuse_early, remove_call
from trefoilsaddle.gateway.events import (
    AttemptEnded,
    CallerLeft,
    CallExpired,
    Event,
    RequestArrived,
    TimerExpired,
    TimerKind,
)
from trefoilsaddle.gateway.loglines import log_request
from trefoilsaddle.gateway.placing import MIN_REMAINING, place, retry_parked
from trefoilsaddle.gateway.state import Gateway, OpenCall
from trefoilsaddle.results import ResultCode


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Advance requests at arrivals, results, deadlines and reviews."""
    match event:
        case RequestArrived():
            return _handle_request(gateway, now, event)
        case AttemptEnded():
            return handle_attempt_ended(gateway, now, event)
        case CallerLeft():
            return _handle_caller_left(gateway, now, event.call)
        case CallExpired():
            return _handle_call_expired(gateway, now, event.call)
        case TimerExpired(kind=TimerKind.review):
            return _review(gateway, now)
    return []


def _handle_request(
    gateway: Gateway,
    now: Seconds,
    event: RequestArrived,
) -> Effects:
    head = event.head
    configuration = gateway.configuration
    if lifecycle.is_refusing(gateway, now):
        return refuse_early(gateway, event, ResultCode.stopping, not_run=True)
    if configuration is None:
        return refuse_early(
            gateway, event, ResultCode.configuration_missing, not_run=True
        )
    route = configuration.find_route(head.host, head.path)
    if route is None:
        return refuse_early(
            gateway, event, ResultCode.route_unknown, not_run=False
        )
    service = choose_service(gateway, route)
    remaining = min(head.remaining, route.timeout)
    if remaining < MIN_REMAINING:
        return refuse_early(
            gateway, event, ResultCode.deadline_unreachable, not_run=True
        )
    call = OpenCall(
        event.call,
        head,
        route,
        service,
        now,
        Seconds(now + remaining),
    )
    call.standing = find_standing(gateway, call)
    gateway.calls[call.call] = call
    gateway.find_budget(service).count_request(now)
    _count_key(gateway, configuration, call)
    effects: Effects = [SetCallTimer(call.call, Seconds(remaining))]
    return [*effects, *place(gateway, call, now)]


def _count_key(
    gateway: Gateway,
    configuration: Configuration,
    call: OpenCall,
) -> None:
    rules = configuration.services.get(call.service)
    if rules is None or not rules.keyed or call.head.key is None:
        return
    counts = gateway.key_counts.setdefault(call.service, {})
    counts[call.head.key] = counts.get(call.head.key, 0) + 1


def _handle_caller_left(
    gateway: Gateway, now: Seconds, name: CallId
) -> Effects:
    call = gateway.calls.get(name)
    if call is None:
        return []
    _detach_server(gateway, call, now)
    remove_call(gateway, call)
    line = log_request(
        call.head.request_id,
        'caller left',
        elapsed=round(now - call.arrived, 3),
        attempts=call.attempts,
    )
    return [line, CountMetric('caller_left'), CancelAttempts(name)]


def _handle_call_expired(
    gateway: Gateway, now: Seconds, name: CallId
) -> Effects:
    call = gateway.calls.get(name)
    if call is None:
        return []
    return _break_off(gateway, call, now, ResultCode.deadline_passed)


def _review(gateway: Gateway, now: Seconds) -> Effects:
    if gateway.stopped:
        return _end_open_calls(gateway, now)
    return retry_parked(gateway, now)


def _end_open_calls(gateway: Gateway, now: Seconds) -> Effects:
    """Answer what is still open at the end of a stop.

    A caller that is told that the outcome is unknown does not send the request
    again by itself, as it may when the connection is closed.
    """
    effects: Effects = []
    for call in list(gateway.calls.values()):
        effects.extend(_break_off(gateway, call, now, ResultCode.stopping))
    return effects


def _break_off(
    gateway: Gateway, call: OpenCall, now: Seconds, code: ResultCode
) -> Effects:
    if call.server is not None:
        call.may_have_run = True
    _detach_server(gateway, call, now)
    effects = end_call(gateway, call, now, code)
    return [CancelAttempts(call.call), *effects]


def _detach_server(gateway: Gateway, call: OpenCall, now: Seconds) -> None:
    if call.server is not None:
        gateway.pools.find(call.server.life).end_request(now)
        call.server = None
