"""Choose where shards go: first placement, moves, hot keys."""

from trefoilsaddle.core.assignment import assign_unowned
from trefoilsaddle.core.effects import Effects, SetTimer
from trefoilsaddle.core.events import (
    Event,
    Started,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Moment, Seconds

# Time between two looks for shards that have never had an owner.
_ASSIGN_INTERVAL = Seconds(0.5)
_ASSIGN_TIMER = TimerKey(TimerKind.placement, 'assign')


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Take one event for the placement of shards."""
    if not node.options.dispatches:
        return []
    timer = SetTimer(_ASSIGN_TIMER, _ASSIGN_INTERVAL)
    if isinstance(event, Started):
        return [timer]
    if isinstance(event, TimerExpired) and event.timer == _ASSIGN_TIMER:
        return [timer, *assign_unowned(node, moment)]
    return []
