"""Exchange load reports of servers between dispatchers."""

from trefoilsaddle.core.messages import ServerLoad
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Moment, Seconds

# Most load reports in one message.
_MAX_LOADS = 4
# Least time between two messages that carry load reports.
_LOAD_INTERVAL = Seconds(1)


def choose_loads(node: Node, moment: Moment) -> tuple[ServerLoad, ...]:
    """Choose reports on own servers to send next, in round-robin order."""
    membership = node.membership
    if moment.monotonic - membership.loads_sent_at < _LOAD_INTERVAL:
        return ()
    own = [
        load
        for load in membership.loads.values()
        if load.dispatcher == node.options.node
    ]
    if not own:
        return ()
    membership.loads_sent_at = moment.monotonic
    start = membership.load_position % len(own)
    membership.load_position = start + _MAX_LOADS
    return tuple((own[start:] + own[:start])[:_MAX_LOADS])


def record_loads(node: Node, loads: tuple[ServerLoad, ...]) -> None:
    """Store received reports that are newer than the known ones.

    A report from another dispatcher is newer if that holds the server now.
    """
    for load in loads:
        known = node.membership.loads.get(load.server)
        if known is None or _is_newer(node, load, known):
            node.membership.loads[load.server] = load


def _is_newer(node: Node, load: ServerLoad, known: ServerLoad) -> bool:
    if load.dispatcher == known.dispatcher:
        return load.sequence > known.sequence
    role = node.view.roles.get(load.server)
    return role is not None and role.dispatcher == load.dispatcher
