"""End requests with a server's answer, or with a refusal and a retry time.

A request is reported as not run only if no server can have begun it. The retry
time is the one at which room is expected.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.choosing import (
    Candidate,
    find_depth,
    has_room,
    list_candidates,
)
from trefoilsaddle.gateway.effects import (
    CountMetric,
    DeliverAnswer,
    Effects,
    EndCall,
    ObserveTime,
)
from trefoilsaddle.gateway.events import RequestArrived
from trefoilsaddle.gateway.locality import has_allowed_server, is_allowed
from trefoilsaddle.gateway.loglines import log_request
from trefoilsaddle.gateway.sharing import find_wait_for_server
from trefoilsaddle.gateway.state import Gateway, OpenCall
from trefoilsaddle.results import ResultCode

# Limits of the retry time given to callers.
_MIN_RETRY_AFTER = Seconds(0.1)
_MAX_RETRY_AFTER = Seconds(3)
# Shortest retry time of a full server, as other requests arrive meanwhile.
_MIN_FULL_WAIT = Seconds(0.25)
# Jitter of the retry time as a fraction, so that callers do not return
# together.
_RETRY_JITTER = 0.5
# Retry time while a gateway starts; it knows the configuration and the servers
# by then.
_START_RETRY_AFTER = Seconds(0.5)
_HUNDRED = 100


def refuse_early(
    gateway: Gateway,
    event: RequestArrived,
    code: ResultCode,
    *,
    not_run: bool,
) -> Effects:
    """Refuse a request before it is opened."""
    line = log_request(
        event.head.request_id,
        'refused',
        code=code.name,
        version=gateway.version,
    )
    end = EndCall(event.call, code, not_run, _START_RETRY_AFTER)
    return [line, CountMetric('refused', code.name), end]


def deliver(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
    attempt: int,
    status: int,
) -> Effects:
    """Deliver a server's answer to the caller."""
    remove_call(gateway, call)
    elapsed = Seconds(now - call.arrived)
    line = log_request(
        call.head.request_id,
        'answered',
        status=status,
        attempt=attempt,
        elapsed=round(elapsed, 3),
    )
    return [
        line,
        CountMetric('answered', _status_class(status)),
        ObserveTime('answer_seconds', elapsed),
        DeliverAnswer(call.call, attempt),
    ]


def _status_class(status: int) -> str:
    hundreds = status // _HUNDRED
    return f'{hundreds}xx'


def end_call(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
    code: ResultCode,
) -> Effects:
    """End a request that is not retried."""
    return refuse(gateway, call, now, code, _MIN_RETRY_AFTER)


def refuse_full(gateway: Gateway, call: OpenCall, now: Seconds) -> Effects:
    """Refuse a request that no server has room for."""
    candidates = list_candidates(gateway, call, now)
    if not candidates:
        return _refuse_unavailable(gateway, call, now)
    if any(has_room(call, candidate) for candidate in candidates):
        # Only a stop keeps a gateway from using a server that has room.
        return end_call(gateway, call, now, ResultCode.stopping)
    waits = [find_wait(call, candidate) for candidate in candidates]
    return refuse(gateway, call, now, ResultCode.queue_full, min(waits))


def refuse_region(gateway: Gateway, call: OpenCall, now: Seconds) -> Effects:
    """Refuse a request that no server in the regions of its route can run."""
    code = ResultCode.region_unavailable
    return refuse(gateway, call, now, code, _START_RETRY_AFTER)


def refuse_without_share(
    gateway: Gateway, call: OpenCall, wait: Seconds, now: Seconds
) -> Effects:
    """Refuse a request that exceeds this gateway's part of the room."""
    code = ResultCode.admission_limited
    return refuse(gateway, call, now, code, max(wait, _MIN_FULL_WAIT))


def _refuse_unavailable(
    gateway: Gateway, call: OpenCall, now: Seconds
) -> Effects:
    allowed = has_allowed_server(gateway, call.route, call.service)
    if call.route.regions and not allowed:
        if any(gateway.registry.list_service(call.service)):
            return refuse_region(gateway, call, now)
    waits = [
        find_wait_for_server(gateway, call, server.life, now)
        for server in gateway.registry.list_service(call.service)
        if not server.draining and is_allowed(gateway, call.route, server)
    ]
    limited = [wait for wait in waits if wait]
    if limited:
        code = ResultCode.server_limited
        return refuse(gateway, call, now, code, min(limited))
    code = ResultCode.server_unreachable
    return refuse(gateway, call, now, code, _START_RETRY_AFTER)


def refuse_busy(
    gateway: Gateway,
    call: OpenCall,
    candidate: Candidate,
    now: Seconds,
) -> Effects:
    """Refuse a request whose only server has no room."""
    wait = find_wait(call, candidate)
    return refuse(gateway, call, now, ResultCode.queue_full, wait)


def find_wait(call: OpenCall, candidate: Candidate) -> float:
    """Return the time after which a server is expected to have room."""
    slots = candidate.server.slots
    excess = candidate.busy + 1 - find_depth(call, candidate) * slots
    wait = max(excess, 1) * candidate.pool.service_time / slots
    return max(wait, _MIN_FULL_WAIT)


def refuse(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
    code: ResultCode,
    wait: float,
) -> Effects:
    """Refuse a request, unless a server has answered it with a failure."""
    failed = call.failed
    if failed is not None:
        return deliver(gateway, call, now, failed.attempt, failed.status)
    remove_call(gateway, call)
    not_run = not call.may_have_run
    # The reason why the outcome is unknown matters more than why no retry
    # followed.
    reason = call.unknown_code or code
    spread = 1 + gateway.random.random() * _RETRY_JITTER
    pause = min(max(wait * spread, _MIN_RETRY_AFTER), _MAX_RETRY_AFTER)
    line = log_request(
        call.head.request_id,
        'refused' if not_run else 'outcome unknown',
        code=reason.name,
        last=code.name,
        service=call.service,
        attempts=call.attempts,
        elapsed=round(now - call.arrived, 3),
        retry_after=round(pause, 2),
        owners=find_owners_offset(gateway, call),
        version=gateway.version,
    )
    end = EndCall(call.call, reason, not_run, Seconds(pause))
    kind = 'refused' if not_run else 'unknown'
    return [line, CountMetric(kind, reason.name), end]


def remove_call(gateway: Gateway, call: OpenCall) -> None:
    """Remove a request that has ended."""
    gateway.calls.pop(call.call, None)
    gateway.parked.pop(call.call, None)


def find_owners_offset(gateway: Gateway, call: OpenCall) -> int:
    """Return the position of the known ownership table, or -1."""
    owners = gateway.owners.get(call.service)
    return -1 if owners is None else owners.position.offset
