"""Queue forwarded requests and send them to servers by rank."""

from collections.abc import Iterable

from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import Event
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Moment, Seconds, ServerId, ShardId


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Take one event for the queues of this process."""
    return []


def send_ready(
    node: Node,
    moment: Moment,
    servers: Iterable[ServerId],
) -> Effects:
    """Send what the servers' free slots and the authority allow."""
    return []


def count_running(node: Node, server: ServerId, shard: ShardId | None) -> int:
    """Count attempts in flight at a server, of one shard or of all."""
    return 0


def latest_deadline(node: Node, server: ServerId) -> Seconds:
    """Return the monotonic time by which all in flight will have ended."""
    return Seconds(0)
