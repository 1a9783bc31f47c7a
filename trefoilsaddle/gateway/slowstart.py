"""Limit the requests to servers that are cold.

A server is cold for a time after its start, and at times again later.  Its
service's configuration states the rate that it tolerates meanwhile, and the
settings by how much all gateways together may exceed that in any second.  A few
gateways send to it, each at an equal part of the rate; none saves up more than
one request, so that the rate and what is saved stay below the bound.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.coldservers import MAX_SAVED
from trefoilsaddle.gateway.locality import may_hold_keys
from trefoilsaddle.gateway.senders import find_sender_share
from trefoilsaddle.gateway.servers import Server, ServerIncarnation, ServerTag
from trefoilsaddle.gateway.state import Gateway

# Senders by which the choices of two gateways may differ while one of them does
# not know the newest members, and requests on their way for longer than others.
_MARGIN = 3
# Time within which a controller lists all gateways to each of them: they connect
# within a second, and updates with the members are sent twice a second.
_COUNTING_TIME = Seconds(2)
# Longest retry time of a request that only a cold server can run: its keys move to
# another server meanwhile.
_MAX_WAIT = Seconds(1)


def is_cold(gateway: Gateway, server: Server, now: Seconds) -> bool:
    """Return whether a server tolerates only the rate of a cold one."""
    cold_until = gateway.registry.cold.until.get(server.life)
    if cold_until is None or now >= cold_until:
        return False
    return _find_rate(gateway, server) > 0


def is_avoidable(gateway: Gateway, server: Server, now: Seconds) -> bool:
    """Return whether a server is cold and another may hold its keys."""
    if not is_cold(gateway, server, now):
        return False
    return any(
        not is_cold(gateway, other, now) and _can_hold_keys(gateway, other, now)
        for other in gateway.registry.list_service(server.service)
    )


def _can_hold_keys(gateway: Gateway, server: Server, now: Seconds) -> bool:
    """Return whether a server would get keys now.

    Those of a cold server are served within its rate until another one can.
    """
    deferred = server.life.server in gateway.registry.deferred_removals
    if server.draining or deferred or not may_hold_keys(gateway, server):
        return False
    # Only the controller suspects servers.
    suspicions = gateway.control.suspicions
    return not suspicions.is_suspected(server.life, now)


def find_wait(
    gateway: Gateway, incarnation: ServerIncarnation, now: Seconds
) -> Seconds:
    """Return the time until a request may be sent to a server, if it is cold."""
    cold_until = gateway.registry.cold.until.get(incarnation)
    if cold_until is None or now >= cold_until:
        return Seconds(0)
    server = gateway.registry.find_incarnation(incarnation)
    rate = 0 if server is None else _find_rate(gateway, server)
    if not rate:
        return Seconds(0)
    senders = _count_senders(gateway, rate)
    share = find_share(gateway, incarnation.tag, senders, now)
    usable = _find_usable_rate(gateway, rate, senders)
    wait = gateway.cold_servers.find_wait(incarnation, usable * share, now)
    return Seconds(min(wait, cold_until - now, _MAX_WAIT))


def _find_rate(gateway: Gateway, server: Server) -> float:
    configuration = gateway.configuration
    if configuration is None:
        return 0
    rules = configuration.services.get(server.service)
    return 0 if rules is None else rules.cold_rate


def find_share(
    gateway: Gateway, tag: ServerTag, senders: int, now: Seconds
) -> float:
    """Return this gateway's part of the rate of a cold server.

    It has none until the controller has had the time to list all gateways.
    """
    counted_since = gateway.link.counted_since
    if counted_since is None or now - counted_since < _COUNTING_TIME:
        return 0
    return find_sender_share(gateway, tag, senders, now)


def _find_usable_rate(gateway: Gateway, rate: float, senders: int) -> float:
    """Return the rate that stays within the bound with what is saved up."""
    bound = gateway.options.cold_servers
    most = bound.factor * rate + bound.slack
    # One request a second is within any bound that allows one.
    return min(rate, max(most - senders * MAX_SAVED, 1))


def _count_senders(gateway: Gateway, rate: float) -> int:
    bound = gateway.options.cold_servers
    spare = (bound.factor - 1) * rate + bound.slack - _MARGIN
    return max(int(spare / MAX_SAVED), 1)
