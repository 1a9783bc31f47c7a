"""Move shards off a dispatcher's own servers, based on reported loads."""

from trefoilsaddle.core.balance import (
    BalancePolicy,
    CallerShare,
    ServerSummary,
    ShardSummary,
    plan_moves,
)
from trefoilsaddle.core.configuration import ServerPolicy
from trefoilsaddle.core.effects import Component, Effects, WriteLogLine
from trefoilsaddle.core.moves import start_move
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.placementstate import ServerStats, ShardStats
from trefoilsaddle.core.targets import is_leaving
from trefoilsaddle.core.units import (
    Moment,
    RegionName,
    Seconds,
    ServerId,
    ZoneName,
)

# Decision intervals to wait after a move until the loads have settled.
_QUIET_INTERVALS = 2
# Least time that a shard stays on a server before it may move again.
_SETTLING_TIME = Seconds(60)


def rebalance_server(node: Node, moment: Moment, server: ServerId) -> Effects:
    """Start the planned moves off one server, if any are due."""
    stats = node.placement.servers[server]
    policy = node.view.server(server)
    if policy is None or moment.monotonic < stats.quiet_until:
        return []
    if node.duties.held[server].moves or is_leaving(node, server):
        return []
    source = _summarise_server(node, policy, stats.utilisation)
    targets = plan_moves(
        source,
        _summarise_shards(node, moment, stats),
        _list_others(node, policy),
        _build_policy(node),
        node.random,
    )
    if not targets:
        return []
    quiet = node.options.placement_interval * _QUIET_INTERVALS
    stats.quiet_until = Seconds(moment.monotonic + quiet)
    count = len(targets)
    line = f'moving {count} shards off {server}'
    return [
        WriteLogLine(Component.placement, line),
        *start_move(node, moment, server, targets),
    ]


def _build_policy(node: Node) -> BalancePolicy:
    configuration = node.view.configuration
    assert configuration is not None
    return BalancePolicy(configuration.limits.imbalance)


def _summarise_server(
    node: Node,
    policy: ServerPolicy,
    utilisation: float,
) -> ServerSummary:
    return ServerSummary(
        server=policy.server_id,
        zone=policy.zone,
        region=_region_of(node, policy.zone),
        utilisation=utilisation,
        shards=node.view.count_shards(policy.server_id),
    )


def _region_of(node: Node, zone: ZoneName) -> RegionName:
    return node.view.region_of(zone) or RegionName(zone)


def _list_others(node: Node, source: ServerPolicy) -> list[ServerSummary]:
    """List the other servers of the service with a known load."""
    return [
        _summarise_server(node, policy, load.utilisation)
        for policy in node.view.servers()
        if policy.service == source.service
        and policy.server_id != source.server_id
        and not is_leaving(node, policy.server_id)
        and (load := node.membership.loads.get(policy.server_id))
    ]


def _summarise_shards(
    node: Node,
    moment: Moment,
    stats: ServerStats,
) -> list[ShardSummary]:
    settled = moment.monotonic - _SETTLING_TIME
    return [
        ShardSummary(
            shard=shard,
            requests=shard_stats.count,
            settled=shard_stats.since <= settled,
            callers=_locate_callers(node, shard_stats),
        )
        for shard, shard_stats in stats.shards.items()
    ]


def _locate_callers(node: Node, stats: ShardStats) -> CallerShare | None:
    total = sum(stats.by_zone.values())
    if not total:
        return None
    regions: dict[RegionName, float] = {}
    for zone, count in stats.by_zone.items():
        region = _region_of(node, zone)
        regions[region] = regions.get(region, 0) + count
    main_zone = max(sorted(stats.by_zone), key=stats.by_zone.__getitem__)
    main_region = max(sorted(regions), key=regions.__getitem__)
    return CallerShare(
        zone=main_zone,
        zone_share=stats.by_zone[main_zone] / total,
        region=main_region,
        region_share=regions[main_region] / total,
    )
