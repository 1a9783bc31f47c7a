"""Handle the results of attempts, and repeat requests that may be repeated.

A request may be repeated if it is idempotent or if no server can have begun it,
see `OpenCall.may_have_run`.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.admitting import record_work
from trefoilsaddle.gateway.choosing import build_candidate
from trefoilsaddle.gateway.effects import CountMetric, Effects
from trefoilsaddle.gateway.ending import (
    deliver,
    end_call,
    find_wait,
    refuse,
)
from trefoilsaddle.gateway.events import AttemptEnded, AttemptVerdict
from trefoilsaddle.gateway.loglines import log_request
from trefoilsaddle.gateway.notices import record_answer
from trefoilsaddle.gateway.placing import (
    CHANGE_RETRY_AFTER,
    FULL_SERVER_DEPTH,
    place_again,
)
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.sharing import find_slack_share, find_wait_for_server
from trefoilsaddle.gateway.state import FailedAnswer, Gateway, OpenCall
from trefoilsaddle.results import ResultCode

# Delay before requests are sent again to a server that does not hold their key
# yet: its grant may be in flight.
_NOT_HOLDER_DELAY = Seconds(0.06)
# A full server that resets connections does so within this time: a connection
# between regions takes 40 ms, the request another 40 ms.
_MAX_RESET_TIME = Seconds(0.15)
# Time for which a full server gets no requests of this gateway.
_SHED_DELAY = Seconds(0.1)
# Time for which an unreachable server gets no requests.
_UNREACHABLE_DELAY = Seconds(0.5)
_FIRST_SERVER_ERROR = 500


def handle_attempt_ended(
    gateway: Gateway,
    now: Seconds,
    event: AttemptEnded,
) -> Effects:
    """Handle the result of an attempt."""
    call = gateway.calls.get(event.call)
    if call is None or call.server is None or call.attempts != event.attempt:
        return []
    server = call.server
    call.server = None
    notices = record_answer(gateway, server.life, call.sent_at, now, event)
    return [*notices, *_handle_verdict(gateway, call, server, now, event)]


def _handle_verdict(
    gateway: Gateway,
    call: OpenCall,
    server: Server,
    now: Seconds,
    event: AttemptEnded,
) -> Effects:
    pool = gateway.pools.find(server.life)
    pool.end_request(now)
    match event.verdict:
        case AttemptVerdict.answered:
            return _handle_answer(gateway, call, server, now, event)
        case AttemptVerdict.shed:
            if _is_busy(gateway, server, now):
                # A server that sheds requests at low load is faulty, not full:
                # a retry may succeed.
                gateway.pools.record_shed(server.service)
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
    # gets less work for a moment and no failure is counted.
    quick = _is_quick_reset(call, now, event)
    if not quick or server.service in gateway.pools.shedding:
        # Servers that shed reset only connections over their cap.
        return False
    return _is_busy(gateway, server, now)


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
        elapsed = Seconds(now - call.sent_at)
        pool.add_sample(elapsed)
        record_work(gateway, call, server, elapsed, now)
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
    share = find_slack_share(gateway, now)
    if arrived and not budget.spend_retry(now, share):
        return _end_attempts(gateway, call, now, code, server)
    line = log_request(
        call.head.request_id,
        'tried again',
        code=code.name,
        server=server.life.server,
        attempt=call.attempts,
        gateways=share.gateways,
        counted_for=round(share.counted_for, 2),
        retries=len(budget.retries),
    )
    again = CountMetric('tried_again', code.name)
    return [line, again, *place_again(gateway, call, now)]


def _end_attempts(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
    code: ResultCode,
    server: Server,
) -> Effects:
    """End a request that is not sent again after an attempt."""
    if code == ResultCode.not_holder:
        return refuse(gateway, call, now, code, CHANGE_RETRY_AFTER)
    if code != ResultCode.shed_by_server:
        return end_call(gateway, call, now, code)
    wait: float = find_wait_for_server(gateway, call, server.life, now)
    if _is_busy(gateway, server, now):
        # It makes sense to come back once the server has worked off its queue.
        candidate = build_candidate(gateway, server, now, call)
        wait = max(wait, find_wait(call, candidate))
    if not wait:
        return end_call(gateway, call, now, code)
    return refuse(gateway, call, now, code, wait)
