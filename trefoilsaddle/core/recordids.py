"""Generate record ids, by which duplicate records are recognized."""

from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import RecordId

_ID_BITS = 64


def make_record_id(node: Node) -> RecordId:
    """Return a random id, unique across processes and their incarnations."""
    name = node.options.node
    token = node.random.getrandbits(_ID_BITS)
    return RecordId(f'{name}-{token}')
