"""Compare membership updates and spread them, a few per message.

An update is a `Rumour` on the wire.
"""

from dataclasses import replace

from trefoilsaddle.core.memberstate import MembershipState
from trefoilsaddle.core.messages import Health, Rumour
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.options import Peer
from trefoilsaddle.core.units import NodeId

# Maximum number of updates passed on by one message.
_MAX_UPDATES = 4
# Sends of an update per bit of the number of processes, so that their number
# grows with the logarithm of the fleet size.
_SENDS_PER_BIT = 3
# Updates per message of the whole list for a process that has just started.
_MAX_LISTED = 50
_SUSPECTED = frozenset((Health.suspect, Health.dead))
# At the same incarnation the update with the later of these wins.
_SEVERITY = (Health.alive, Health.leaving, Health.suspect, Health.dead)


def describe_peer(peer: Peer) -> Rumour:
    """Build the initial update about a process: alive, incarnation zero."""
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
    """Return whether an update supersedes the known one."""
    if known is None:
        return True
    if update.incarnation != known.incarnation:
        return update.incarnation > known.incarnation
    return _SEVERITY.index(update.health) > _SEVERITY.index(known.health)


def record_update(node: Node, update: Rumour) -> None:
    """Store an update and schedule it for sending."""
    membership = node.membership
    former = membership.processes.get(update.node)
    membership.processes[update.node] = update
    membership.sends_left[update.node] = _count_sends(membership)
    if former is None or former.health is not update.health:
        node.duties_stale = True


def refute_update(node: Node, update: Rumour) -> None:
    """Override an update about this process by a greater incarnation."""
    own = node.membership.processes[node.options.node]
    incarnation = max(update.incarnation, own.incarnation) + 1
    health = Health.leaving if node.stopping else Health.alive
    answer = replace(own, health=health, incarnation=incarnation)
    record_update(node, answer)


def choose_updates(node: Node, receiver: NodeId) -> tuple[Rumour, ...]:
    """Choose the updates for a message, those with most sends left first.

    The update about the receiver precedes all others, so that the receiver
    can refute it.
    """
    membership = node.membership
    sends_left = membership.sends_left
    ranked = sorted(
        sends_left,
        key=lambda subject: (subject != receiver, -sends_left[subject]),
    )
    chosen = ranked[:_MAX_UPDATES]
    for subject in chosen:
        sends_left[subject] -= 1
        if not sends_left[subject]:
            sends_left.pop(subject)
    known = membership.processes.get(receiver)
    if known is not None and known.health in _SUSPECTED:
        chosen.append(receiver)
    if not membership.known_to_peers:
        chosen.append(node.options.node)
    return tuple(membership.processes[name] for name in dict.fromkeys(chosen))


def list_updates(node: Node) -> list[tuple[Rumour, ...]]:
    """Return the whole process list in chunks, the own zone first."""
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
    return _SENDS_PER_BIT * len(membership.processes).bit_length()
