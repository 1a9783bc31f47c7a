"""Choose where shards go: first placement, moves, hot keys."""

from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import Event
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Moment


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Take one event for the placement of shards."""
    return []
