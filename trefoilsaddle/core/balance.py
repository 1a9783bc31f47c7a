"""Decide which shards of a server to move, and to which servers.

Pure functions of the reported loads.  Requests wait while their shard moves,
so nothing moves below a threshold, and only half of the excess at a time.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from random import Random

from trefoilsaddle.core.units import (
    RegionName,
    ServerId,
    ShardId,
    ZoneName,
)

# Fraction of the excess load that one decision moves.
_DAMPING = 0.5
# Least excess of utilisation over the mean that justifies a move.
_MIN_EXCESS = 0.05
# Mean utilisation of a region above which work may leave the region.
_FULL_UTILISATION = 0.8
# Least fraction of a shard's requests from one zone or region that makes the
# shard move there.
_MIN_CALLER_FRACTION = 0.7
# Least requests of a shard from which its callers' location is inferred.
_MIN_REQUESTS = 20
# Most shards that one decision moves towards their callers.
_MAX_MOVES_TO_CALLERS = 2
# To even out shard counts, a target's utilisation must be below this
# fraction of the source's.
_IDLER_FRACTION = 0.75
# Fraction of the mean shard count that a server with few shards gets from
# all other servers together per decision interval.
_FILL_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class ServerSummary:
    """Hold the properties of a server that placement depends on."""

    server: ServerId
    zone: ZoneName
    region: RegionName
    utilisation: float
    shards: int


@dataclass(frozen=True, slots=True)
class CallerShare:
    """Hold the zone and region that most of a shard's requests come from."""

    zone: ZoneName
    zone_share: float
    region: RegionName
    region_share: float


@dataclass(frozen=True, slots=True)
class ShardSummary:
    """Hold the load and the callers' location of one shard."""

    shard: ShardId
    requests: float
    # False for a while after a move, so that shards do not move repeatedly.
    settled: bool
    # None if nothing is known of the callers.
    callers: CallerShare | None


@dataclass(frozen=True, slots=True)
class BalancePolicy:
    """Hold the limits that trade balance against churn."""

    # Fraction by which a server's utilisation may exceed the mean.
    imbalance: float
    # Most shards that one decision moves to even out loads or counts.
    max_moves: int = 4


Targets = dict[ShardId, ServerId]


@dataclass(frozen=True, slots=True)
class _LoadedShard:
    """Pair a shard with its part of the server's utilisation."""

    summary: ShardSummary
    load: float


@dataclass(slots=True)
class _Packing:
    """Place shards on servers with enough remaining capacity."""

    # Utilisation or number of shards that each server can still take.
    capacity: dict[ServerId, float]
    random: Random
    targets: Targets = field(default_factory=dict)

    def place(self, shard: ShardId, size: float) -> bool:
        """Place a shard on a random server, if it fits there.

        Random, so that dispatchers do not all choose the least loaded one.
        """
        servers = [
            name for name in sorted(self.capacity) if self.capacity[name] > 0
        ]
        if not servers:
            return False
        weights = [self.capacity[name] for name in servers]
        target = self.random.choices(servers, weights)[0]
        if size > self.capacity[target]:
            return False
        self.capacity[target] -= size
        self.targets[shard] = target
        return True


def plan_moves(
    source: ServerSummary,
    shards: Sequence[ShardSummary],
    others: Sequence[ServerSummary],
    policy: BalancePolicy,
    random: Random,
) -> Targets:
    """Choose shards of a server to move, and their targets.

    The first of three goals that calls for any move decides: proximity to
    callers, then even load, then even shard counts.
    """
    if not others:
        return {}
    settled = _list_settled(source, shards)
    return (
        _move_to_callers(source, settled, others)
        or _move_excess_load(source, settled, others, policy, random)
        or _move_to_even_counts(source, settled, others, policy, random)
    )


def _list_settled(
    source: ServerSummary,
    shards: Sequence[ShardSummary],
) -> list[_LoadedShard]:
    """List settled shards with their part of the utilisation, by requests."""
    total = sum(summary.requests for summary in shards) or 1
    load_per_request = source.utilisation / total
    return [
        _LoadedShard(summary, summary.requests * load_per_request)
        for summary in shards
        if summary.settled
    ]


def _move_to_callers(
    source: ServerSummary,
    shards: Sequence[_LoadedShard],
    others: Sequence[ServerSummary],
) -> Targets:
    """Move shards closer to their callers where no target is overloaded."""
    mean = _mean_utilisation((source, *others))
    targets: Targets = {}
    for loaded in shards:
        summary = loaded.summary
        if summary.callers is None or summary.requests < _MIN_REQUESTS:
            continue
        ceiling = max(mean, _MIN_EXCESS) - loaded.load
        near = _list_nearer(source, summary.callers, others)
        fit = [other for other in near if other.utilisation <= ceiling]
        if fit and len(targets) < _MAX_MOVES_TO_CALLERS:
            target = min(fit, key=_order_by_load)
            targets[summary.shard] = target.server
    return targets


def _list_nearer(
    source: ServerSummary,
    callers: CallerShare,
    others: Sequence[ServerSummary],
) -> list[ServerSummary]:
    """List the servers closer to a shard's callers than the source is."""
    if callers.zone_share >= _MIN_CALLER_FRACTION:
        if callers.zone == source.zone:
            return []
        zone = [other for other in others if other.zone == callers.zone]
        if zone:
            return zone
    if callers.region_share < _MIN_CALLER_FRACTION:
        return []
    if callers.region == source.region:
        return []
    return [other for other in others if other.region == callers.region]


def _move_excess_load(
    source: ServerSummary,
    shards: Sequence[_LoadedShard],
    others: Sequence[ServerSummary],
    policy: BalancePolicy,
    random: Random,
) -> Targets:
    group = _choose_group(source, others)
    mean = _mean_utilisation((source, *group))
    excess = source.utilisation - mean
    if excess < max(_MIN_EXCESS, mean * policy.imbalance):
        return {}
    capacity = {other.server: mean - other.utilisation for other in group}
    packing = _Packing(capacity, random)
    budget = excess * _DAMPING
    for loaded in sorted(shards, key=_order_by_requests, reverse=True):
        fits = 0 < loaded.load <= budget
        if len(packing.targets) == policy.max_moves:
            break
        if fits and packing.place(loaded.summary.shard, loaded.load):
            budget -= loaded.load
    return packing.targets


def _choose_group(
    source: ServerSummary,
    others: Sequence[ServerSummary],
) -> Sequence[ServerSummary]:
    """Return the other servers of the source's region, or all if it is full.

    Also returns all if the region has no other server.
    """
    region = [other for other in others if other.region == source.region]
    if not region or _mean_utilisation((source, *region)) > _FULL_UTILISATION:
        return others
    return region


def _move_to_even_counts(
    source: ServerSummary,
    shards: Sequence[_LoadedShard],
    others: Sequence[ServerSummary],
    policy: BalancePolicy,
    random: Random,
) -> Targets:
    """Move the least loaded shards to servers with few shards, gradually."""
    group = _choose_group(source, others)
    counts = [other.shards for other in group]
    mean = (sum(counts) + source.shards) / (len(counts) + 1)
    if source.shards <= mean:
        return {}
    capacity = _find_shard_capacity(source, group, mean, policy)
    packing = _Packing(capacity, random)
    donors = 1 + sum(count > mean for count in counts)
    fill = max(1, mean * _FILL_FRACTION) * len(capacity) / donors
    limit = min(_round_randomly(fill, random), policy.max_moves)
    for loaded in sorted(shards, key=_order_by_requests)[:limit]:
        packing.place(loaded.summary.shard, 1)
    return packing.targets


def _find_shard_capacity(
    source: ServerSummary,
    group: Sequence[ServerSummary],
    mean: float,
    policy: BalancePolicy,
) -> dict[ServerId, float]:
    few = mean * (1 - policy.imbalance / 2)
    # Counts must not worsen the load balance: targets are much less loaded.
    limit = max(source.utilisation * _IDLER_FRACTION, _MIN_EXCESS)
    return {
        other.server: mean - other.shards
        for other in group
        if other.shards < few and other.utilisation <= limit
    }


def _round_randomly(number: float, random: Random) -> int:
    whole = int(number)
    return whole + (random.random() < number - whole)


def _mean_utilisation(summaries: Iterable[ServerSummary]) -> float:
    loads = [summary.utilisation for summary in summaries]
    return sum(loads) / len(loads)


def _order_by_load(summary: ServerSummary) -> tuple[float, ServerId]:
    return summary.utilisation, summary.server


def _order_by_requests(loaded: _LoadedShard) -> tuple[float, ShardId]:
    return loaded.summary.requests, loaded.summary.shard
