"""Divide limits on the whole fleet among the gateways, and keep to them.

A gateway has a part of a limit only while the controller counts it: gateways
that cannot tell how many they are would together take more than there is.
"""

from functools import lru_cache
from zlib import crc32

from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.budget import SlackShare
from trefoilsaddle.gateway.peers import is_linked
from trefoilsaddle.gateway.servers import ServerIncarnation, ServerTag
from trefoilsaddle.gateway.state import Gateway, OpenCall

# Gateways that share a server's limit, for each request per second of it and
# besides.  Each may save up a request, so that the fleet may send all those at
# once.
_SENDERS_PER_RATE = 1
_MIN_SENDERS = 2
# Limited servers for which the senders are kept at a time.
_MAX_CHOICES = 1024


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
    """Return the time until a server takes a request, as it has stated."""
    paused_until = gateway.pools.find(incarnation).paused_until
    pause = Seconds(max(paused_until - now, 0))
    rate = gateway.limits.find_rate(incarnation, now)
    if rate is None:
        return pause
    share = _find_rate_share(gateway, incarnation.tag, rate, now)
    rank = call.route.rank
    wait = gateway.limits.find_wait(incarnation, share, rank, now)
    return Seconds(max(wait, pause))


def _find_rate_share(
    gateway: Gateway, tag: ServerTag, rate: float, now: Seconds
) -> float:
    if not is_linked(gateway, now):
        return 0
    wanted = int(rate * _SENDERS_PER_RATE) + _MIN_SENDERS
    senders = _choose_senders(tag, gateway.link.members, wanted)
    return 1 / len(senders) if gateway.options.node in senders else 0


@lru_cache(maxsize=_MAX_CHOICES)
def _choose_senders(
    tag: ServerTag, members: tuple[NodeId, ...], wanted: int
) -> frozenset[NodeId]:
    # Every gateway draws the same ones, and the loss of one changes no other.
    ordered = sorted(members, key=lambda node: crc32(f'{tag}.{node}'.encode()))
    return frozenset(ordered[:wanted])
