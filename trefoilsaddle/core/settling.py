"""Settle floors as soon as only this process may send a server's requests.

A floor is set from the time of day at which this process first has authority.
If it were set only at the first request, that request's outcome would be
unknown however long ago the former dispatcher was lost.
"""

from trefoilsaddle.core.authority import Authority, check_authority
from trefoilsaddle.core.floors import update_floor
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Epoch, Moment, ServerId, ShardId


def settle_floors(node: Node, moment: Moment, server: ServerId) -> None:
    """Settle the floors of a held server's shards where there is authority."""
    duty = node.duties.held.get(server)
    if duty is None:
        return
    for shard, epoch in duty.shards.items():
        if _is_settled(node, shard, duty.term, epoch):
            continue
        authority = check_authority(node, moment, server, shard)
        if isinstance(authority, Authority):
            update_floor(node, moment, shard, authority)


def _is_settled(node: Node, shard: ShardId, term: Epoch, epoch: Epoch) -> bool:
    kept = node.dispatching.outcomes.floors.get(shard)
    if kept is None or not kept.settled:
        return False
    return kept.term == term and kept.epoch == epoch
