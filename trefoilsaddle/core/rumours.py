"""Weigh rumours about processes and pass them on, a few per message."""

from dataclasses import replace

from trefoilsaddle.core.memberstate import MembershipState
from trefoilsaddle.core.messages import Health, Rumour
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.options import Peer
from trefoilsaddle.core.units import NodeId

# Most rumours that one message carries.
_MAX_UPDATES = 4
# Times that a rumour is passed on, per doubling of the processes.
_SPREAD_FACTOR = 3
# Rumours that one message to a process that has just started carries.
_MAX_LISTED = 50
_SUSPECTED = frozenset((Health.suspect, Health.dead))
# At the same incarnation the later, graver one wins.
_SEVERITY = (Health.alive, Health.leaving, Health.suspect, Health.dead)


def describe_peer(peer: Peer) -> Rumour:
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


def is_newer(update: Rumour, known: Rumour | None) -> bool:
    """Tell whether a rumour replaces what is known."""
    if known is None:
        return True
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _SEVERITY.index(update.health) > _SEVERITY.index(known.health)


def record_update(node: Node, update: Rumour) -> None:
    """Keep a rumour and pass it on."""
    membership = node.membership
    former = membership.processes.get(update.node)
    membership.processes[update.node] = update
    membership.sends_left[update.node] = _count_sends(membership)
    if former is None or former.health is not update.health:
        node.reviewed = True


def refute_update(node: Node, update: Rumour) -> None:
    """Answer a rumour about this process itself with a newer one."""
    own = node.membership.processes[node.options.node]
    incarnation = max(update.incarnation, own.incarnation) + 1
    health = Health.leaving if node.stopping else Health.alive
    answer = replace(own, health=health, incarnation=incarnation)
    record_update(node, answer)


def choose_updates(node: Node, receiver: NodeId) -> tuple[Rumour, ...]:
    """Choose what a message passes on: the least told first.

    What is known of the receiver comes first, so that it can refute it.
    """
    membership = node.membership
    sends_left = membership.sends_left
    ranked = sorted(
        sends_left,
        key=lambda subject: (subject != receiver, -sends_left[subject]),
    )
    chosen = ranked[:_MAX_UPDATES]
    for sent in chosen:
        sends_left[sent] -= 1
        if not sends_left[sent]:
            sends_left.pop(sent)
    known = membership.processes.get(receiver)
    if known is not None and known.health in _SUSPECTED:
        chosen.append(receiver)
    if not membership.known_to_peers:
        chosen.append(node.options.node)
    return tuple(membership.processes[name] for name in dict.fromkeys(chosen))


def list_updates(node: Node) -> list[tuple[Rumour, ...]]:
    """Split the whole list for a process that has just started."""
    zone = node.options.zone
    known = sorted(
        node.membership.processes.values(),
        key=lambda process: (process.zone != zone, process.node),
    )
    return [
        tuple(known[start : start + _MAX_LISTED])
        for start in range(0, len(known), _MAX_LISTED)
    ]


def _count_sends(membership: MembershipState) -> int:
    return _SPREAD_FACTOR * len(membership.processes).bit_length()
