"""Choose the few gateways that send to a server whose rate is limited.

Gateways that cannot count each other would together exceed a limit that each
divides by its own count.  All gateways draw the same few from the members that
the controller lists, and the others send that server nothing.
"""

from functools import lru_cache
from zlib import crc32

from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.peers import is_linked
from trefoilsaddle.gateway.servers import ServerTag
from trefoilsaddle.gateway.state import Gateway

# Limited servers for which the senders are kept at a time.
_MAX_CHOICES = 1024


def find_sender_share(
    gateway: Gateway, tag: ServerTag, wanted: int, now: Seconds
) -> float:
    """Return this gateway's part of a server's rate, zero for most gateways."""
    if not is_linked(gateway, now):
        return 0
    senders = _choose_senders(tag, gateway.link.members, wanted)
    return 1 / len(senders) if gateway.options.node in senders else 0


@lru_cache(maxsize=_MAX_CHOICES)
def _choose_senders(
    tag: ServerTag, members: tuple[NodeId, ...], wanted: int
) -> frozenset[NodeId]:
    # Every gateway draws the same ones, and the loss of one changes no other.
    ordered = sorted(members, key=lambda node: crc32(f'{tag}.{node}'.encode()))
    return frozenset(ordered[:wanted])
