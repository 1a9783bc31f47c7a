"""Pass on the loads of the servers that this process dispatches to."""

from trefoilsaddle.core.messages import ServerLoad
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Moment, Seconds

# Most loads that one message carries.
_MAX_LOADS = 4
# Least time between two messages that carry loads.
_LOAD_INTERVAL = Seconds(1)


def choose_loads(node: Node, moment: Moment) -> tuple[ServerLoad, ...]:
    """Choose own loads to pass on; servers take turns."""
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
    """Keep the newest report of each server's dispatcher."""
    for load in loads:
        known = node.membership.loads.get(load.server)
        if known is None or _is_newer(node, load, known):
            node.membership.loads[load.server] = load


def _is_newer(node: Node, load: ServerLoad, known: ServerLoad) -> bool:
    if load.dispatcher == known.dispatcher:
        return load.sequence > known.sequence
    role = node.view.roles.get(load.server)
    return role is not None and role.dispatcher == load.dispatcher
