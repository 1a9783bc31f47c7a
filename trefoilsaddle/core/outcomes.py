"""Remember outcomes of idempotency keys, so that work runs at most once."""

from trefoilsaddle.core.messages import Handover
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Epoch, Moment, Seconds, ShardId


def adopt_shard(
    node: Node,
    moment: Moment,
    shard: ShardId,
    *,
    fresh: bool,
) -> None:
    """Begin to keep outcomes of a shard that this process now serves.

    A fresh shard never had an owner, so that no key can have been sent.
    For any other, keys older than now have an unknown outcome.
    """


def release_shard(node: Node, shard: ShardId, epoch: Epoch) -> Handover:
    """Stop keeping outcomes of a shard and return what is known."""
    return Handover(shard, epoch, Seconds(0), ())
