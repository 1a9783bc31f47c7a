"""Weigh which shards of a server to move, and where to.

A pure decision on loads: a move makes its keys wait, so nothing moves below
a threshold, and only half of the excess moves at a time.
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
# Least excess of utilisation that is worth a move.
_MIN_EXCESS = 0.05
# Above this mean utilisation a region's work may leave the region.
_FULL_UTILISATION = 0.8
# Fraction of a shard's callers in one place that pulls the shard there.
_MIN_CALLER_FRACTION = 0.7
# Requests that show where a shard's callers are.
_MIN_REQUESTS = 20
# Shards that one decision moves towards their callers.
_MAX_MOVES_TO_CALLERS = 2
# A server this much idler may get more shards, for the sake of their count.
_IDLER_FRACTION = 0.75
# Fraction of the mean count that a server with few shards gets per decision
# of all others together.
_FILL_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class ServerSketch:
    """Describe a server as far as placement is concerned."""

    server: ServerId
    zone: ZoneName
    region: RegionName
    utilisation: float
    shards: int


@dataclass(frozen=True, slots=True)
class CallerShare:
    """Say which zone and region most of a shard's requests come from."""

    zone: ZoneName
    zone_share: float
    region: RegionName
    region_share: float


@dataclass(frozen=True, slots=True)
class ShardSketch:
    """Describe the work of one shard."""

    shard: ShardId
    requests: float
    # False for a while after a move, so that no shard goes to and fro.
    settled: bool
    # None if nothing is known of the callers.
    callers: CallerShare | None


@dataclass(frozen=True, slots=True)
class BalancePolicy:
    """Weigh balance against churn."""

    # Fraction by which a load may exceed the mean.
    imbalance: float
    # Most shards that one decision moves.
    max_moves: int = 4


Targets = dict[ShardId, ServerId]


@dataclass(frozen=True, slots=True)
class _LoadedShard:
    """Pair a shard with the part of its server's utilisation."""

    sketch: ShardSketch
    load: float


@dataclass(slots=True)
class _Packing:
    """Put shards onto servers that have room for them."""

    # Work or shards that each server can still take.
    room: dict[ServerId, float]
    random: Random
    targets: Targets = field(default_factory=dict)

    def place(self, shard: ShardId, size: float) -> bool:
        """Place a shard on a random server, if it fits there.

        Random, so that dispatchers do not all choose the emptiest one.
        """
        servers = [name for name in sorted(self.room) if self.room[name] > 0]
        if not servers:
            return False
        weights = [self.room[name] for name in servers]
        target = self.random.choices(servers, weights)[0]
        if size > self.room[target]:
            return False
        self.room[target] -= size
        self.targets[shard] = target
        return True


def plan_moves(
    source: ServerSketch,
    shards: Sequence[ShardSketch],
    others: Sequence[ServerSketch],
    policy: BalancePolicy,
    random: Random,
) -> Targets:
    """Choose shards of a server to move, and their targets.

    Callers' whereabouts come first, then load, then the count of shards.
    """
    if not others:
        return {}
    settled = _list_settled(source, shards)
    return (
        _move_to_callers(source, settled, others)
        or _shed_load(source, settled, others, policy, random)
        or _even_counts(source, settled, others, policy, random)
    )


def _list_settled(
    source: ServerSketch,
    shards: Sequence[ShardSketch],
) -> list[_LoadedShard]:
    """Share a server's utilisation out to its shards by their requests."""
    total = sum(sketch.requests for sketch in shards) or 1
    load_per_request = source.utilisation / total
    return [
        _LoadedShard(sketch, sketch.requests * load_per_request)
        for sketch in shards
        if sketch.settled
    ]


def _move_to_callers(
    source: ServerSketch,
    shards: Sequence[_LoadedShard],
    others: Sequence[ServerSketch],
) -> Targets:
    """Move shards nearer to their callers, where that overloads nobody."""
    mean = _mean_utilisation((source, *others))
    targets: Targets = {}
    for loaded in shards:
        sketch = loaded.sketch
        if sketch.callers is None or sketch.requests < _MIN_REQUESTS:
            continue
        ceiling = max(mean, _MIN_EXCESS) - loaded.load
        near = _list_nearer(source, sketch.callers, others)
        fit = [other for other in near if other.utilisation <= ceiling]
        if fit and len(targets) < _MAX_MOVES_TO_CALLERS:
            target = min(fit, key=_order_by_load)
            targets[sketch.shard] = target.server
    return targets


def _list_nearer(
    source: ServerSketch,
    callers: CallerShare,
    others: Sequence[ServerSketch],
) -> list[ServerSketch]:
    """List servers that are nearer to the callers than the source is."""
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


def _shed_load(
    source: ServerSketch,
    shards: Sequence[_LoadedShard],
    others: Sequence[ServerSketch],
    policy: BalancePolicy,
    random: Random,
) -> Targets:
    group = _choose_group(source, others)
    mean = _mean_utilisation((source, *group))
    excess = source.utilisation - mean
    if excess < max(_MIN_EXCESS, mean * policy.imbalance):
        return {}
    room = {other.server: mean - other.utilisation for other in group}
    packing = _Packing(room, random)
    budget = excess * _DAMPING
    for loaded in sorted(shards, key=_order_by_work, reverse=True):
        fits = 0 < loaded.load <= budget
        if len(packing.targets) == policy.max_moves:
            break
        if fits and packing.place(loaded.sketch.shard, loaded.load):
            budget -= loaded.load
    return packing.targets


def _choose_group(
    source: ServerSketch,
    others: Sequence[ServerSketch],
) -> Sequence[ServerSketch]:
    """Prefer the own region, unless it is full."""
    region = [other for other in others if other.region == source.region]
    if not region or _mean_utilisation((source, *region)) > _FULL_UTILISATION:
        return others
    return region


def _even_counts(
    source: ServerSketch,
    shards: Sequence[_LoadedShard],
    others: Sequence[ServerSketch],
    policy: BalancePolicy,
    random: Random,
) -> Targets:
    """Fill servers with few shards, slowly, with shards of little work."""
    group = _choose_group(source, others)
    counts = [other.shards for other in group]
    mean = (sum(counts) + source.shards) / (len(counts) + 1)
    if source.shards <= mean:
        return {}
    room = _find_room_for_shards(source, group, mean, policy)
    packing = _Packing(room, random)
    donors = 1 + sum(count > mean for count in counts)
    fill = max(1, mean * _FILL_FRACTION) * len(room) / donors
    limit = min(_round_randomly(fill, random), policy.max_moves)
    for loaded in sorted(shards, key=_order_by_work)[:limit]:
        packing.place(loaded.sketch.shard, 1)
    return packing.targets


def _find_room_for_shards(
    source: ServerSketch,
    group: Sequence[ServerSketch],
    mean: float,
    policy: BalancePolicy,
) -> dict[ServerId, float]:
    few = mean * (1 - policy.imbalance / 2)
    # Never against the load: the target has to be the idler one by far.
    limit = max(source.utilisation * _IDLER_FRACTION, _MIN_EXCESS)
    return {
        other.server: mean - other.shards
        for other in group
        if other.shards < few and other.utilisation <= limit
    }


def _round_randomly(number: float, random: Random) -> int:
    whole = int(number)
    return whole + (random.random() < number - whole)


def _mean_utilisation(sketches: Iterable[ServerSketch]) -> float:
    loads = [sketch.utilisation for sketch in sketches]
    return sum(loads) / len(loads)


def _order_by_load(sketch: ServerSketch) -> tuple[float, ServerId]:
    return sketch.utilisation, sketch.server


def _order_by_work(loaded: _LoadedShard) -> tuple[float, ShardId]:
    return loaded.sketch.requests, loaded.sketch.shard
