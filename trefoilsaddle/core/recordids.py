"""Make the ids that keep a record from taking effect twice."""

from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import RecordId

_ID_BITS = 64


def make_record_id(node: Node) -> RecordId:
    """Make an id that no other process and no other run makes."""
    name = node.options.node
    token = node.random.getrandbits(_ID_BITS)
    return RecordId(f'{name}-{token}')
