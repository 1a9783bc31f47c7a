"""Follow the log: read, relay, append again, snapshot, catch up."""

from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import Event
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.records import Record
from trefoilsaddle.core.units import Moment


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Take one event for the log client."""
    return []


def append_records(
    node: Node,
    moment: Moment,
    records: tuple[Record, ...],
) -> Effects:
    """Queue records; they are appended until the log is seen to hold them."""
    return []
