"""Accept requests, send each to a server, and answer it once.

A request ends in one of three ways: with a complete answer of a server, refused
as not run, or with an unknown outcome. It is reported as not run only if no
server can have begun it, see `OpenCall.may_have_run`.
"""

from trefoilsaddle.core.units import CallId, Seconds
from trefoilsaddle.gateway import lifecycle
from trefoilsaddle.gateway.choosing import (
    Candidate,
    build_candidate,
    choose_server,
    choose_service,
    has_room,
)
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import (
    CancelAttempts,
    CountMetric,
    Effects,
    SendAttempt,
    SetCallTimer,
)
from trefoilsaddle.gateway.ending import (
    deliver,
    end_call,
    find_owners_offset,
    find_wait,
    refuse,
    refuse_busy,
    refuse_early,
    refuse_full,
    remove_call,
)
from trefoilsaddle.gateway.events import (
    AttemptEnded,
    AttemptVerdict,
    CallerLeft,
    CallExpired,
    Event,
    RequestArrived,
    TimerExpired,
    TimerKind,
)
from trefoilsaddle.gateway.loglines import log_request
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.state import FailedAnswer, Gateway, OpenCall
from trefoilsaddle.gateway.table import OwnerEntry
from trefoilsaddle.results import ResultCode

# Longest time for which a request waits for keys that change hands; a release
# takes about as long as one request.
_MAX_PARKED_TIME = Seconds(0.5)
# Fraction of a request's time that it may be parked.
_MAX_PARKED_FRACTION = 0.3
# Delay before requests are sent again to a server that does not hold their key
# yet: its grant may be in flight.
_NOT_HOLDER_DELAY = Seconds(0.06)
# A request with less time left is not worth sending.
_MIN_REMAINING = Seconds(0.03)
# Requests per slot from which a server that sheds, or resets connections, is
# considered full.
FULL_SERVER_DEPTH = 2
# A full server that resets connections does so within this time: a connection
# between regions takes 40 ms, the request another 40 ms.
_MAX_RESET_TIME = Seconds(0.15)
# Time for which a full server gets no requests of this gateway.
_SHED_DELAY = Seconds(0.1)
# Time for which an unreachable server gets no requests.
_UNREACHABLE_DELAY = Seconds(0.5)
# Retry times given to callers whose key has no owner, or whose owner is being
# replaced: by then lost, or released, keys are served again.
_OWNER_RETRY_AFTER = Seconds(1.5)
_CHANGE_RETRY_AFTER = Seconds(0.6)
_FIRST_SERVER_ERROR = 500


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Advance requests at arrivals, results, deadlines and reviews."""
    match event:
        case RequestArrived():
            return _handle_request(gateway, now, event)
        case AttemptEnded():
            return _handle_attempt_ended(gateway, now, event)
        case CallerLeft():
            return _handle_caller_left(gateway, now, event.call)
        case CallExpired():
            return _handle_call_expired(gateway, now, event.call)
        case TimerExpired(kind=TimerKind.review):
            return retry_parked(gateway, now)
    return []


def retry_parked(gateway: Gateway, now: Seconds) -> Effects:
    """Try to send parked requests again, or refuse them."""
    effects: Effects = []
    for call in list(gateway.parked.values()):
        effects.extend(_place(gateway, call, now))
    return effects


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
    if remaining < _MIN_REMAINING:
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
    gateway.calls[call.call] = call
    gateway.find_budget(service).count_request(now)
    _count_key(gateway, configuration, call)
    effects: Effects = [SetCallTimer(call.call, Seconds(remaining))]
    return [*effects, *_place(gateway, call, now)]


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


def _place(gateway: Gateway, call: OpenCall, now: Seconds) -> Effects:
    configuration = gateway.configuration
    if configuration is None:
        return []
    rules = configuration.services.get(call.service)
    if rules is not None and rules.keyed:
        return _place_keyed(gateway, call, now)
    candidate = choose_server(gateway, call, now)
    if candidate is None:
        return refuse_full(gateway, call, now)
    return _send(gateway, call, candidate, now)


def _place_keyed(gateway: Gateway, call: OpenCall, now: Seconds) -> Effects:
    if call.head.key is None:
        return end_call(gateway, call, now, ResultCode.key_missing)
    server = _find_owner(gateway, call)
    if server is None or not gateway.registry.may_serve(server, now):
        return _park(gateway, call, now, _find_owner_code(gateway, call))
    candidate = build_candidate(gateway, server, now)
    if now < candidate.pool.blocked_until:
        return _park(gateway, call, now, ResultCode.owner_changing)
    full = now < candidate.pool.full_until
    if full or not has_room(call, candidate):
        return refuse_busy(gateway, call, candidate, now)
    return _send(gateway, call, candidate, now)


def _find_owner(gateway: Gateway, call: OpenCall) -> Server | None:
    entry = _find_entry(gateway, call)
    if entry is None or not entry.serving:
        return None
    return gateway.registry.by_tag.get(entry.tag)


def _find_entry(gateway: Gateway, call: OpenCall) -> OwnerEntry | None:
    owners = gateway.owners.get(call.service)
    if owners is None or call.head.key is None:
        return None
    return owners.owners.find(call.head.key)


def _find_owner_code(gateway: Gateway, call: OpenCall) -> ResultCode:
    """Return whether the key of a request is released or has no owner."""
    entry = _find_entry(gateway, call)
    if entry is None or entry.tag not in gateway.registry.by_tag:
        return ResultCode.owner_unknown
    return ResultCode.owner_changing


def _park(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
    code: ResultCode,
) -> Effects:
    if call.call not in gateway.parked:
        # A request that comes back from a server has its time to wait as well.
        call.parked_at = now
    whole = call.expires - call.arrived
    longest = min(_MAX_PARKED_TIME, whole * _MAX_PARKED_FRACTION)
    late = now >= call.parked_at + longest
    if late or call.expires - now < _MIN_REMAINING:
        pause = _OWNER_RETRY_AFTER
        if code == ResultCode.owner_changing:
            pause = _CHANGE_RETRY_AFTER
        return refuse(gateway, call, now, code, pause)
    if call.call in gateway.parked:
        return []
    gateway.parked[call.call] = call
    return [
        log_request(
            call.head.request_id,
            'waits for an owner of its key',
            service=call.service,
            code=code.name,
            offset=find_owners_offset(gateway, call),
        ),
    ]


def _send(
    gateway: Gateway,
    call: OpenCall,
    candidate: Candidate,
    now: Seconds,
) -> Effects:
    gateway.parked.pop(call.call, None)
    call.attempts += 1
    call.server = candidate.server
    call.sent_at = now
    call.uncontended = candidate.busy + 1 <= candidate.server.slots
    candidate.pool.start_request(now)
    remaining = Seconds(call.expires - now)
    line = log_request(
        call.head.request_id,
        'sent',
        route=call.route.name,
        service=call.service,
        server=candidate.server.life.server,
        attempt=call.attempts,
        busy=round(candidate.busy, 1),
        told_age=_find_load_age(gateway, now),
        version=gateway.version,
        owners=find_owners_offset(gateway, call),
    )
    send = SendAttempt(
        call.call,
        call.attempts,
        candidate.server,
        call.head.key,
        remaining,
        call.idempotent,
        settle=gateway.pools.has_recent_reset(call.service, now),
        keep=candidate.busy < candidate.server.slots * FULL_SERVER_DEPTH,
    )
    return [line, CountMetric('sent'), send]


def _find_load_age(gateway: Gateway, now: Seconds) -> float:
    age = now - gateway.pools.updated_at
    return round(age, 2) if age < _MAX_LOAD_AGE else -1


# Ages above this are logged as unknown.
_MAX_LOAD_AGE = Seconds(60)


def _handle_attempt_ended(
    gateway: Gateway,
    now: Seconds,
    event: AttemptEnded,
) -> Effects:
    call = gateway.calls.get(event.call)
    if call is None or call.server is None or call.attempts != event.attempt:
        return []
    server = call.server
    call.server = None
    pool = gateway.pools.find(server.life)
    pool.end_request(now)
    match event.verdict:
        case AttemptVerdict.answered:
            return _handle_answer(gateway, call, server, now, event)
        case AttemptVerdict.shed:
            if _is_busy(gateway, server, now):
                # A server that sheds requests at low load is faulty, not full:
                # a retry may succeed.
                pool.full_until = Seconds(now + _SHED_DELAY)
            return _try_again(
                gateway, call, now, ResultCode.shed_by_server, server
            )
        case AttemptVerdict.misdirected:
            pool.blocked_until = Seconds(now + _NOT_HOLDER_DELAY)
            return _try_again(gateway, call, now, ResultCode.not_holder, server)
        case AttemptVerdict.refused | AttemptVerdict.unsent:
            return _handle_not_sent(gateway, call, server, now, event)
    if _is_quick_reset(call, now, event):
        gateway.pools.record_reset(server.service, now)
    if _is_reset_when_full(gateway, call, server, now, event):
        pool.full_until = Seconds(now + _SHED_DELAY)
        gateway.pools.resetting.add(server.service)
    else:
        pool.count_result(success=False)
    call.may_have_run = True
    call.unknown_code = _find_unknown_code(event)
    return _try_again(gateway, call, now, call.unknown_code, server)


def _handle_not_sent(
    gateway: Gateway,
    call: OpenCall,
    server: Server,
    now: Seconds,
    event: AttemptEnded,
) -> Effects:
    pool = gateway.pools.find(server.life)
    code = ResultCode.shed_by_server
    if event.verdict == AttemptVerdict.refused:
        # The server has as many connections as it accepts.
        pool.full_until = Seconds(now + _SHED_DELAY)
    else:
        code = ResultCode.server_unreachable
        pool.count_result(success=False)
        pool.blocked_until = Seconds(now + _UNREACHABLE_DELAY)
    return _try_again(gateway, call, now, code, server, arrived=False)


def _is_reset_when_full(
    gateway: Gateway,
    call: OpenCall,
    server: Server,
    now: Seconds,
    event: AttemptEnded,
) -> bool:
    # The request may have run all the same, but the server is not at fault: it
    # gets less work for a moment and keeps its good name.
    quick = _is_quick_reset(call, now, event)
    return quick and _is_busy(gateway, server, now)


def _is_quick_reset(call: OpenCall, now: Seconds, event: AttemptEnded) -> bool:
    lost = event.verdict == AttemptVerdict.lost
    return lost and now - call.sent_at <= _MAX_RESET_TIME


def _is_busy(gateway: Gateway, server: Server, now: Seconds) -> bool:
    pool = gateway.pools.find(server.life)
    busy = gateway.pools.estimate_busy(pool, now, gateway.count_gateways())
    return busy >= server.slots * FULL_SERVER_DEPTH


def _find_unknown_code(event: AttemptEnded) -> ResultCode:
    if event.verdict == AttemptVerdict.too_large:
        return ResultCode.answer_too_large
    return ResultCode.answer_lost


def _handle_answer(
    gateway: Gateway,
    call: OpenCall,
    server: Server,
    now: Seconds,
    event: AttemptEnded,
) -> Effects:
    call.may_have_run = True
    failed = event.status >= _FIRST_SERVER_ERROR
    pool = gateway.pools.find(server.life)
    pool.count_result(success=not failed)
    if call.uncontended and not failed:
        pool.add_sample(Seconds(now - call.sent_at))
    if not failed:
        return deliver(gateway, call, now, event.attempt, event.status)
    call.failed = FailedAnswer(event.attempt, event.status)
    return _try_again(gateway, call, now, ResultCode.server_failed, server)


def _try_again(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
    code: ResultCode,
    server: Server,
    *,
    arrived: bool = True,
) -> Effects:
    may_repeat = call.idempotent or not call.may_have_run
    remaining = call.expires - now
    pool = gateway.pools.find(server.life)
    if not may_repeat or remaining < pool.service_time:
        return _end_attempts(gateway, call, now, code, server)
    if call.attempts >= call.route.attempts:
        return _end_attempts(gateway, call, now, code, server)
    budget = gateway.find_budget(call.service)
    if arrived and not budget.spend_retry(now, gateway.count_gateways()):
        return _end_attempts(gateway, call, now, code, server)
    line = log_request(
        call.head.request_id,
        'tried again',
        code=code.name,
        server=server.life.server,
        attempt=call.attempts,
    )
    again = CountMetric('tried_again', code.name)
    return [line, again, *_place(gateway, call, now)]


def _end_attempts(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
    code: ResultCode,
    server: Server,
) -> Effects:
    """End a request that is not sent again after an attempt."""
    if code == ResultCode.shed_by_server and _is_busy(gateway, server, now):
        # It makes sense to come back once the server has worked off its queue.
        candidate = build_candidate(gateway, server, now)
        return refuse(gateway, call, now, code, find_wait(call, candidate))
    return end_call(gateway, call, now, code)


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
    if call.server is not None:
        call.may_have_run = True
    _detach_server(gateway, call, now)
    code = ResultCode.deadline_passed
    effects = end_call(gateway, call, now, code)
    return [CancelAttempts(name), *effects]


def _detach_server(gateway: Gateway, call: OpenCall, now: Seconds) -> None:
    if call.server is not None:
        gateway.pools.find(call.server.life).end_request(now)
        call.server = None
