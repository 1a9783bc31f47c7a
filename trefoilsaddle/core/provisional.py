"""Put moves in force within a zone while the log is unavailable."""

from trefoilsaddle.core.dutystate import Arrival
from trefoilsaddle.core.effects import Effects, SendMessage
from trefoilsaddle.core.messages import (
    Health,
    Message,
    ProvisionalMove,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.records import Move
from trefoilsaddle.core.units import Epoch, Moment, NodeId, ServerId, ShardId
from trefoilsaddle.core.view import Ownership


def announce_move(node: Node, moment: Moment, record: Move) -> Effects:
    """Announce a move that the whole claim set has acknowledged to the zone."""
    message = ProvisionalMove(record.server, record.term, record.shards)
    apply_provisional_move(node, node.options.node, message)
    return broadcast_to_zone(node, message)


def apply_provisional_move(
    node: Node, sender: NodeId, message: ProvisionalMove
) -> None:
    """Record the shards of an announced move as arrived at their targets."""
    if holder_of(node, message.server) != sender:
        return
    role = node.view.roles.get(message.server)
    informed = (sender, *role.claim_set) if role else (sender,)
    for moved in message.shards:
        expected = Ownership(message.server, moved.expected)
        if moved.provisional is None:
            continue
        if node.view.owners.get(moved.shard) != expected:
            continue
        node.duties.arrivals[moved.shard] = Arrival(
            source=message.server,
            informed=informed,
            target=moved.target,
            expected=moved.expected,
            epoch=moved.provisional,
        )
    node.duties.unsettled = True
    node.duties_stale = True


def drop_settled_arrivals(node: Node) -> None:
    """Drop arrivals that the log has confirmed or overruled."""
    for shard, arrival in tuple(node.duties.arrivals.items()):
        expected = Ownership(arrival.source, arrival.expected)
        role = node.view.roles.get(arrival.source)
        known = role is not None and role.dispatcher in arrival.informed
        if node.view.owners.get(shard) != expected or not known:
            node.duties.arrivals.pop(shard)


def arrivals_at(node: Node, server: ServerId) -> dict[ShardId, Epoch]:
    """Return the shards that moves without the log have brought to a server."""
    return {
        shard: arrival.epoch
        for shard, arrival in node.duties.arrivals.items()
        if arrival.target == server
    }


def holder_of(node: Node, server: ServerId) -> NodeId | None:
    """Return the dispatcher of a server, as far as this process knows."""
    role = node.view.roles.get(server)
    claim = node.duties.provisional_holders.get(server)
    if claim is not None and (role is None or role.term < claim.term):
        return claim.dispatcher
    return role.dispatcher if role else None


def owner_of(node: Node, shard: ShardId) -> ServerId | None:
    """Return the server that owns a shard, as far as this process knows."""
    owner = node.view.owners.get(shard)
    if owner is None:
        return None
    arrival = node.duties.arrivals.get(shard)
    if arrival is None:
        return owner.server
    replaced = Ownership(arrival.source, arrival.expected)
    return arrival.target if owner == replaced else owner.server


def broadcast_to_zone(node: Node, message: Message) -> Effects:
    """Send a message to every other live process of the zone."""
    return [
        SendMessage(process.node, message)
        for process in node.membership.processes.values()
        if process.zone == node.options.zone
        and process.health is Health.alive
        and process.node != node.options.node
    ]
