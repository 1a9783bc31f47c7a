"""Choose routes from the log view and newer reports of dispatchers."""

from trefoilsaddle.core.messages import ForwardAnswer
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.provisional import holder_of, owner_of
from trefoilsaddle.core.routestate import (
    PendingCall,
    ReportedHolder,
    ReportedOwner,
    Route,
)
from trefoilsaddle.core.units import (
    Moment,
    NodeId,
    Seconds,
    ServerId,
    ShardId,
)

# How long requests that are not idempotent are held back after the loss of
# the connection to their dispatcher.
_LOSS_HOLD_OFF = Seconds(0.1)


def choose_route(
    node: Node,
    moment: Moment,
    pending: PendingCall,
) -> Route | None:
    """Return a call's server and dispatcher, or None to wait."""
    server = _find_owner(node, pending.shard)
    if server is None:
        return None
    dispatcher = _find_holder(node, server)
    if dispatcher is None:
        return None
    if not pending.call.request.idempotent:
        # The request cannot be repeated if this attempt gets no answer.
        if _is_lost(node, moment, dispatcher):
            return None
    return Route(server, dispatcher)


def record_route(
    node: Node,
    pending: PendingCall,
    message: ForwardAnswer,
) -> None:
    """Store the owner and holder that a refusal reports.

    Ignored if the dispatcher has applied less of the log than this process.
    """
    forget_route(node, pending)
    if message.owner is None or message.applied < node.view.applied:
        return
    owner = ReportedOwner(message.owner, message.applied)
    node.routing.owners[pending.shard] = owner
    if message.holder is None:
        return
    holder = ReportedHolder(message.holder, message.applied)
    node.routing.holders[message.owner] = holder


def forget_route(node: Node, pending: PendingCall) -> None:
    """Drop the reported owner and holder of a route that failed."""
    node.routing.owners.pop(pending.shard, None)
    if pending.route is not None:
        node.routing.holders.pop(pending.route.server, None)


def _find_owner(node: Node, shard: ShardId) -> ServerId | None:
    reported = node.routing.owners.get(shard)
    if reported is not None and reported.applied >= node.view.applied:
        return reported.server
    return owner_of(node, shard)


def _find_holder(node: Node, server: ServerId) -> NodeId | None:
    reported = node.routing.holders.get(server)
    if reported is not None and reported.applied >= node.view.applied:
        return reported.node
    return holder_of(node, server)


def _is_lost(node: Node, moment: Moment, dispatcher: NodeId) -> bool:
    lost_at = node.routing.lost_at.get(dispatcher)
    if lost_at is None:
        return False
    return moment.monotonic < lost_at + _LOSS_HOLD_OFF
