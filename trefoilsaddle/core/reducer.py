"""Apply events to the state of a process and return the resulting effects.

    reduce(node, occurrence) -> effects

The reducer is deterministic: equal state and occurrence give equal new state
and effects, so that a recorded trace can be replayed.  The state is changed
in place, see docs/design/reducer.md.
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

_EventHandler = Callable[[Node, Moment, Event], Effects]

# The order matters: a handler may rely on the state changes of earlier ones.
_EVENT_HANDLERS: tuple[_EventHandler, ...] = (
    lifecycle.handle_event,
    following.handle_event,
    membership.handle_event,
    duties.handle_event,
    placement.handle_event,
    routing.handle_event,
    dispatching.handle_event,
)


def reduce(node: Node, occurrence: Occurrence) -> Effects:
    """Handle one event in all components and return the effects."""
    moment = occurrence.moment
    effects: Effects = []
    for handle_event in _EVENT_HANDLERS:
        effects.extend(handle_event(node, moment, occurrence.event))
    if node.duties_stale:
        node.duties_stale = False
        effects.extend(duties.update_duties(node, moment))
    if node.ready_servers:
        ready_servers = sorted(node.ready_servers)
        node.ready_servers.clear()
        effects.extend(dispatching.send_ready(node, moment, ready_servers))
    return effects
