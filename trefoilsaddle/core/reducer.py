"""Reduce every event of a process to effects.

    reduce(node, occurrence) -> effects

The step is deterministic: the same node and the same occurrence give the
same node and the same effects, so that a recorded trace can be replayed.
The node is changed in place, see docs/design/reducer.md.
"""

from collections.abc import Callable

from trefoilsaddle.core import (
    dispatching,
    duties,
    following,
    lifecycle,
    membership,
    placement,
    routing,
)
from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import Event, Occurrence
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Moment

_Handler = Callable[[Node, Moment, Event], Effects]

# In this order: a part may rely on what an earlier one has done.
_HANDLERS: tuple[_Handler, ...] = (
    lifecycle.handle_event,
    following.handle_event,
    membership.handle_event,
    duties.handle_event,
    placement.handle_event,
    routing.handle_event,
    dispatching.handle_event,
)


def reduce(node: Node, occurrence: Occurrence) -> Effects:
    """Take one event and return the effects that it calls for."""
    moment = occurrence.moment
    effects: Effects = []
    for handle_event in _HANDLERS:
        effects.extend(handle_event(node, moment, occurrence.event))
    if node.duties_stale:
        node.duties_stale = False
        effects.extend(duties.review_duties(node, moment))
    if node.ready_servers:
        ready_servers = sorted(node.ready_servers)
        node.ready_servers.clear()
        effects.extend(dispatching.send_ready(node, moment, ready_servers))
    return effects
