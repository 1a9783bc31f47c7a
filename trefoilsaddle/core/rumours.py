"""Weigh rumours about processes and pass them on, a few per message."""

from dataclasses import replace

from trefoilsaddle.core.memberstate import MembershipState
from trefoilsaddle.core.messages import Health, Rumour
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.options import Peer
from trefoilsaddle.core.units import NodeId

# Most rumours that one message carries.
_MOST_RUMOURS = 4
# Times that a rumour is passed on, per doubling of the processes.
_SPREAD_FACTOR = 3
# Rumours that one message to a process that has just started carries.
_LIST_PART = 50
_ACCUSED = frozenset((Health.suspect, Health.dead))
# At the same incarnation the later, graver one wins.
_GRAVITY = (Health.alive, Health.leaving, Health.suspect, Health.dead)


def introduce(peer: Peer) -> Rumour:
    """Describe a process that nothing else is known of."""
    return Rumour(
        node=peer.node,
        zone=peer.zone,
        host=peer.host,
        port=peer.port,
        dispatches=peer.dispatches,
        health=Health.alive,
        incarnation=0,
    )


def is_newer(rumour: Rumour, known: Rumour | None) -> bool:
    """Tell whether a rumour replaces what is known."""
    if known is None:
        return True
    if rumour.incarnation != known.incarnation:
        return rumour.incarnation > known.incarnation
    return _GRAVITY.index(rumour.health) > _GRAVITY.index(known.health)


def keep_rumour(node: Node, rumour: Rumour) -> None:
    """Keep a rumour and pass it on."""
    membership = node.membership
    former = membership.processes.get(rumour.node)
    membership.processes[rumour.node] = rumour
    membership.spreading[rumour.node] = _count_spread(membership)
    if former is None or former.health is not rumour.health:
        node.duties_stale = True


def refute_rumour(node: Node, rumour: Rumour) -> None:
    """Answer a rumour about this process itself with a newer one."""
    own = node.membership.processes[node.options.node]
    incarnation = max(rumour.incarnation, own.incarnation) + 1
    health = Health.leaving if node.stopping else Health.alive
    answer = replace(own, health=health, incarnation=incarnation)
    keep_rumour(node, answer)


def choose_rumours(node: Node, receiver: NodeId) -> tuple[Rumour, ...]:
    """Choose what a message passes on: the least told first.

    What is known of the receiver comes first, so that it can refute it.
    """
    membership = node.membership
    spreading = membership.spreading
    ranked = sorted(
        spreading,
        key=lambda subject: (subject != receiver, -spreading[subject]),
    )
    chosen = ranked[:_MOST_RUMOURS]
    for told in chosen:
        spreading[told] -= 1
        if not spreading[told]:
            spreading.pop(told)
    known = membership.processes.get(receiver)
    if known is not None and known.health in _ACCUSED:
        chosen.append(receiver)
    if not membership.introduced:
        chosen.append(node.options.node)
    return tuple(membership.processes[name] for name in dict.fromkeys(chosen))


def list_rumours(node: Node) -> list[tuple[Rumour, ...]]:
    """Split the whole list for a process that has just started."""
    zone = node.options.zone
    known = sorted(
        node.membership.processes.values(),
        key=lambda rumour: (rumour.zone != zone, rumour.node),
    )
    return [
        tuple(known[start : start + _LIST_PART])
        for start in range(0, len(known), _LIST_PART)
    ]


def _count_spread(membership: MembershipState) -> int:
    return _SPREAD_FACTOR * len(membership.processes).bit_length()
