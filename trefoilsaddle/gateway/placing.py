"""Place requests: send each to a server, have it wait, or refuse it.

A request for keys that change hands waits for a short time; one that no server
would answer in time is refused at once.
"""

from dataclasses import replace

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.admitting import (
    find_wait_for_share,
    reports_load,
    spend_share,
)
from trefoilsaddle.gateway.choosing import (
    Candidate,
    build_candidate,
    choose_server,
    ends_in_time,
    has_room,
    list_open,
    may_wait,
)
from trefoilsaddle.gateway.effects import CountMetric, Effects, SendAttempt
from trefoilsaddle.gateway.ending import (
    end_call,
    find_owners_offset,
    refuse,
    refuse_busy,
    refuse_full,
    refuse_region,
    refuse_without_share,
)
from trefoilsaddle.gateway.locality import is_allowed
from trefoilsaddle.gateway.loglines import log_request
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.sharing import find_wait_for_server
from trefoilsaddle.gateway.slowstart import is_avoidable
from trefoilsaddle.gateway.state import Gateway, OpenCall
from trefoilsaddle.gateway.table import OwnerEntry
from trefoilsaddle.results import ResultCode

# Longest time for which a request waits for keys that change hands; a release
# takes about as long as one request.
_MAX_PARKED_TIME = Seconds(0.5)
# Fraction of a request's time that it may be parked.
_MAX_PARKED_FRACTION = 0.3
# A request with less time left is not worth sending.
MIN_REMAINING = Seconds(0.03)
# Requests per slot from which a server that sheds, or resets connections, is
# considered full.
FULL_SERVER_DEPTH = 2
# Retry times given to callers whose key has no owner, or whose owner is being
# replaced: by then lost, or released, keys are served again.
_OWNER_RETRY_AFTER = Seconds(1.5)
CHANGE_RETRY_AFTER = Seconds(0.6)


def retry_parked(gateway: Gateway, now: Seconds) -> Effects:
    """Try to send parked requests again, or refuse them."""
    effects: Effects = []
    for call in list(gateway.parked.values()):
        effects.extend(place_again(gateway, call, now))
    return effects


def place_again(gateway: Gateway, call: OpenCall, now: Seconds) -> Effects:
    """Place a request that has waited or was sent before.

    The regions of the version in force count, which may be newer.
    """
    configuration = gateway.configuration
    if configuration is not None:
        route = configuration.find_route(call.head.host, call.head.path)
        if route is not None and route.regions != call.route.regions:
            call.route = replace(call.route, regions=route.regions)
    return place(gateway, call, now)


def place(gateway: Gateway, call: OpenCall, now: Seconds) -> Effects:
    """Send a request to a server, park it or refuse it."""
    configuration = gateway.configuration
    if configuration is None:
        return []
    rules = configuration.services.get(call.service)
    if rules is not None and rules.keyed:
        return _place_keyed(gateway, call, now)
    servers = list(list_open(gateway, call, now))
    if reports_load(gateway, call):
        wait = find_wait_for_share(gateway, call, servers, now)
        if wait:
            return refuse_without_share(gateway, call, wait, now)
    candidate = choose_server(gateway, call, servers, now)
    if candidate is None:
        return refuse_full(gateway, call, now)
    return _send(gateway, call, candidate, now)


def _place_keyed(gateway: Gateway, call: OpenCall, now: Seconds) -> Effects:
    if call.head.key is None:
        return end_call(gateway, call, now, ResultCode.key_missing)
    server = _find_owner(gateway, call)
    if server is None or not gateway.registry.may_serve(server, now):
        return _park(gateway, call, now, _find_owner_code(gateway, call))
    if not is_allowed(gateway, call.route, server):
        return refuse_region(gateway, call, now)
    return _place_at_owner(gateway, call, server, now)


def _place_at_owner(
    gateway: Gateway, call: OpenCall, server: Server, now: Seconds
) -> Effects:
    candidate = build_candidate(gateway, server, now, call)
    if now < candidate.pool.blocked_until:
        return _park(gateway, call, now, ResultCode.owner_changing)
    wait = find_wait_for_server(gateway, call, server.life, now)
    if wait and is_avoidable(gateway, server, now):
        # The controller moves its keys to a server that is not cold.
        return _park(gateway, call, now, ResultCode.owner_changing)
    if wait:
        return refuse(gateway, call, now, ResultCode.server_limited, wait)
    full = now < candidate.pool.full_until
    if full or not has_room(call, candidate):
        return refuse_busy(gateway, call, candidate, now)
    return _send_in_time(gateway, call, candidate, now)


def _send_in_time(
    gateway: Gateway,
    call: OpenCall,
    candidate: Candidate,
    now: Seconds,
) -> Effects:
    if not ends_in_time(gateway, call, candidate, now):
        return end_call(gateway, call, now, ResultCode.stopping)
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
    if not may_wait(gateway, call, now):
        return end_call(gateway, call, now, ResultCode.stopping)
    if call.call not in gateway.parked:
        # A request that comes back from a server has its time to wait as well.
        call.parked_at = now
    whole = call.expires - call.arrived
    longest = min(_MAX_PARKED_TIME, whole * _MAX_PARKED_FRACTION)
    late = now >= call.parked_at + longest
    if late or call.expires - now < MIN_REMAINING:
        pause = _OWNER_RETRY_AFTER
        if code == ResultCode.owner_changing:
            pause = CHANGE_RETRY_AFTER
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
    incarnation = candidate.server.life
    again = incarnation in call.tried
    call.tried = (*call.tried, incarnation)
    call.server = candidate.server
    call.sent_at = now
    call.uncontended = candidate.busy + 1 <= candidate.server.slots
    candidate.pool.start_request(now)
    gateway.limits.spend(incarnation)
    gateway.cold_servers.spend(incarnation)
    spend_share(gateway, call)
    remaining = Seconds(call.expires - now)
    line = log_request(
        call.head.request_id,
        'sent',
        route=call.route.name,
        service=call.service,
        server=incarnation.server,
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
        settle=_may_be_refused(gateway, call, candidate, now),
        new_connection=again,
    )
    return [line, CountMetric('sent'), send]


def _may_be_refused(
    gateway: Gateway, call: OpenCall, candidate: Candidate, now: Seconds
) -> bool:
    # A wait for the refusal of a connection delays each request; it is worth
    # that where the outcome would be unknown.
    busy = candidate.busy >= candidate.server.slots
    reset = gateway.pools.has_recent_reset(call.service, now)
    return not call.idempotent and busy and reset


def _find_load_age(gateway: Gateway, now: Seconds) -> float:
    age = now - gateway.pools.updated_at
    return round(age, 2) if age < _MAX_LOAD_AGE else -1


# Ages above this are logged as unknown.
_MAX_LOAD_AGE = Seconds(60)
