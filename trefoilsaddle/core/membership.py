"""Detect lost processes: probes, suspicion, rumours."""

from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import Event
from trefoilsaddle.core.messages import Health
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Moment, NodeId, ZoneName


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Take one event for the list of processes."""
    return []


def health_of(node: Node, subject: NodeId) -> Health:
    """Return how a process is thought to fare."""
    return Health.dead


def live_dispatchers(node: Node, zone: ZoneName | None) -> list[NodeId]:
    """Return the dispatchers that can take work, of a zone or of all."""
    return []
