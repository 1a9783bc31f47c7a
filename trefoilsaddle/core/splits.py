"""Split hot keys off into their own shards, and end splits of cool keys."""

from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.following import append_records
from trefoilsaddle.core.moves import start_move
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.placementstate import ServerStats
from trefoilsaddle.core.recordids import make_record_id
from trefoilsaddle.core.records import SplitKey
from trefoilsaddle.core.units import (
    Moment,
    ServerId,
    ServiceName,
    ShardId,
)
from trefoilsaddle.core.view import HotKey

# Least decayed request count of a hot key.
_MIN_REQUESTS = 50
# A key is cool at this fraction of the count that makes it hot.
_COOL_FRACTION = 0.25
# Consecutive checks at which a key must be cool before its split ends.
_COOL_CHECKS = 6
# Most splits that one decision starts per server.
_MAX_SPLITS = 4


def split_hot_keys(node: Node, moment: Moment, server: ServerId) -> Effects:
    """Append a split record for each key that has become hot at a server."""
    stats = node.placement.servers[server]
    duty = node.duties.held[server]
    threshold = _hot_count(node, stats)
    policy = node.view.server(server)
    if policy is None:
        return []
    records = [
        SplitKey(
            record_id=make_record_id(node),
            server=server,
            term=duty.term,
            parent=parent,
            key_hash=key_hash,
            active=True,
        )
        for key_hash in stats.sketch.list_frequent(threshold)
        if (parent := _find_parent(node, server, policy.service, key_hash))
    ]
    return append_records(node, moment, tuple(records[:_MAX_SPLITS]))


def end_cool_splits(node: Node, moment: Moment, server: ServerId) -> Effects:
    """End the splits of cool keys whose shards a server owns.

    A shard on another server than its parent moves there first.
    """
    effects: Effects = []
    for hot_key, shard in list(node.view.hot_keys.items()):
        owner = node.view.owners.get(shard)
        if owner is not None and owner.server == server:
            effects.extend(_end_if_cool(node, moment, server, hot_key))
    return effects


def _end_if_cool(
    node: Node,
    moment: Moment,
    server: ServerId,
    hot_key: HotKey,
) -> Effects:
    stats = node.placement.servers[server]
    key_hash = hot_key.key_hash
    limit = _hot_count(node, stats) * _COOL_FRACTION
    if stats.sketch.count_of(key_hash) > limit:
        stats.cool_checks.pop(key_hash, None)
        return []
    checks = stats.cool_checks.get(key_hash, 0) + 1
    stats.cool_checks[key_hash] = checks
    if checks < _COOL_CHECKS:
        return []
    stats.cool_checks.pop(key_hash)
    return _end_split(node, moment, server, hot_key)


def _end_split(
    node: Node,
    moment: Moment,
    server: ServerId,
    hot_key: HotKey,
) -> Effects:
    parent = node.view.base_shard(hot_key.service, hot_key.key_hash)
    if parent is None or parent not in node.view.owners:
        return []
    home = node.view.owners[parent].server
    if home != server:
        shard = node.view.hot_keys[hot_key]
        return start_move(node, moment, server, {shard: home})
    record = SplitKey(
        record_id=make_record_id(node),
        server=server,
        term=node.duties.held[server].term,
        parent=parent,
        key_hash=hot_key.key_hash,
        active=False,
    )
    return append_records(node, moment, (record,))


def _find_parent(
    node: Node,
    server: ServerId,
    service: ServiceName,
    key_hash: int,
) -> ShardId | None:
    """Return the shard to split a key from, or None.

    None if the key is split already or the server does not own the shard.
    """
    if HotKey(service, key_hash) in node.view.hot_keys:
        return None
    parent = node.view.base_shard(service, key_hash)
    if parent is None:
        return None
    owner = node.view.owners.get(parent)
    if owner is None or owner.server != server:
        return None
    return parent


def _hot_count(node: Node, stats: ServerStats) -> float:
    """Return the decayed request count from which a key is hot."""
    configuration = node.view.configuration
    if configuration is None:
        return float('inf')
    share = stats.count * configuration.limits.hot_fraction
    return max(share, _MIN_REQUESTS)
