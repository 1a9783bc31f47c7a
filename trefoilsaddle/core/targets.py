"""Choose target servers for shards that leave a server."""

from collections.abc import Iterable

from trefoilsaddle.core.configuration import ServerPolicy
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import ServerId, ShardId


def choose_targets(
    node: Node,
    source: ServerId,
    shards: Iterable[ShardId],
    *,
    same_zone: bool,
) -> dict[ShardId, ServerId]:
    """Spread shards over servers of the same service, fewest shards first.

    Servers of the source's zone are preferred; with `same_zone`, no others are
    considered.
    """
    policy = node.view.server(source)
    if policy is None:
        return {}
    servers = _list_eligible(node, policy, same_zone=same_zone)
    counts = {server: node.view.count_shards(server) for server in servers}
    targets: dict[ShardId, ServerId] = {}
    for shard in sorted(shards):
        if not counts:
            break
        target = _least_filled(counts)
        counts[target] += 1
        targets[shard] = target
    return targets


def _least_filled(counts: dict[ServerId, int]) -> ServerId:
    return min(counts, key=lambda server: (counts[server], server))


def _list_eligible(
    node: Node,
    source: ServerPolicy,
    *,
    same_zone: bool,
) -> list[ServerId]:
    fit = [
        policy
        for policy in node.view.servers()
        if policy.service == source.service
        and policy.server_id != source.server_id
        and not is_leaving(node, policy.server_id)
        and not _is_unreachable(node, policy.server_id)
    ]
    local = [policy for policy in fit if policy.zone == source.zone]
    chosen = local if same_zone or local else fit
    return [policy.server_id for policy in chosen]


def _is_unreachable(node: Node, server: ServerId) -> bool:
    duty = node.duties.held.get(server)
    return duty is not None and duty.grants.failures > 0


def is_leaving(node: Node, server: ServerId) -> bool:
    """Return whether host list, grants or overlay show a server leaving."""
    if server in node.membership.leaving_servers:
        return True
    duty = node.duties.held.get(server)
    if duty is not None and duty.grants.draining:
        return True
    policy = node.view.server(server)
    return policy is None or policy.leaving
