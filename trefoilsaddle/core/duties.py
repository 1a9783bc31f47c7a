"""Hold the roles of a dispatcher: claims, leases, grants, moves, recovery."""

from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import Event
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Moment


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Take one event for the duties of this process."""
    return []


def review_duties(node: Node, moment: Moment) -> Effects:
    """Compare the duties with the view and liveness after a change."""
    return []
