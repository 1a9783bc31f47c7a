"""Divide limits on the whole fleet among the gateways, and keep to them.

A gateway has a part of a limit only while the controller counts it: gateways
that cannot tell how many they are would together take more than there is.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway import slowstart
from trefoilsaddle.gateway.budget import SlackShare
from trefoilsaddle.gateway.peers import is_linked
from trefoilsaddle.gateway.senders import find_sender_share
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.state import Gateway, OpenCall

# Gateways that share a server's limit, for each request per second of it and
# besides.  Each may save up a request, so that the fleet may send all those at
# once.
_SENDERS_PER_RATE = 1
_MIN_SENDERS = 2


def find_slack_share(gateway: Gateway, now: Seconds) -> SlackShare:
    """Return this gateway's share of the retries that all may make."""
    linked_at = gateway.link.linked_at
    counted_for = Seconds(0)
    if linked_at is not None and is_linked(gateway, now):
        counted_for = Seconds(now - linked_at)
    return SlackShare(gateway.count_gateways(), counted_for)


def find_wait_for_server(
    gateway: Gateway,
    call: OpenCall,
    incarnation: ServerIncarnation,
    now: Seconds,
) -> Seconds:
    """Return the time until a server takes a request, zero if it does now.

    A server may be cold, ask for a pause or name a limit on its requests.
    """
    paused_until = gateway.pools.find(incarnation).paused_until
    cold = slowstart.find_wait(gateway, incarnation, now)
    pause = Seconds(max(paused_until - now, cold))
    rate = gateway.limits.find_rate(incarnation, now)
    if rate is None:
        return pause
    wanted = int(rate * _SENDERS_PER_RATE) + _MIN_SENDERS
    share = find_sender_share(gateway, incarnation.tag, wanted, now)
    rank = call.route.rank
    wait = gateway.limits.find_wait(incarnation, share, rank, now)
    return Seconds(max(wait, pause))
