"""Measure imbalance, moves and waiting time for several thresholds.

Run as `python -m measure.placement [SEEDS]`.  The product's decision function
runs in virtual time on loads that are averaged, delayed and noisy.
"""

import sys
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from random import Random
from statistics import mean, median

from measure.report import write_row
from trefoilsaddle.core.balance import (
    BalancePolicy,
    CallerShare,
    ServerSummary,
    ShardSummary,
    plan_moves,
)
from trefoilsaddle.core.units import (
    RegionName,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    ZoneName,
)

_SEEDS = 5
_SERVERS = 20
_SHARDS = 256
_ZONES = 4
_SPAN = 1800
_STEP = 1
# Mean load of all servers, as a fraction of their slots.
_MEAN_LOAD = 0.6
# Exponent of the Zipf distribution of the shards' loads.
_SKEW = 0.5
# Interval at which shards swap their loads, and the number of swaps.
_DRIFT_PERIOD = 300
_DRIFTING = 12
# Time for which a move holds back a shard's requests, in seconds.
_MOVE_TIME = 0.3
_DECISION_INTERVAL = 5
_QUIET_TIME = 10
_SETTLING_TIME = 60
# Averaging time of reported loads, and their relative error.
_MEMORY = 10
_NOISE = 0.1
# Requests per second of all servers together at the mean load.
_REQUESTS = 4000
_JOIN_TIME = 600
_SHIFT_TIME = 1200
_THRESHOLDS = (0.05, 0.1, 0.25, 0.5, 1, 1e9)
_SERVICE = ServiceName('catalogue')


@dataclass(slots=True)
class Shard:
    """True and observed request rate of a shard."""

    shard: ShardId
    server: int
    rate: float
    observed: float
    # Zone from which all its requests come.
    zone: int
    moving_for: float = 0
    since: float = -_SETTLING_TIME


@dataclass(slots=True)
class Figures:
    """Results of one simulation."""

    peaks: list[float] = field(default_factory=list)
    counts: list[float] = field(default_factory=list)
    moves: int = 0
    waited: float = 0
    overloaded: float = 0
    requests: float = 0
    crossing: float = 0


@dataclass(slots=True)
class Scene:
    """Simulation of the servers and shards of one service."""

    policy: BalancePolicy
    random: Random
    shards: list[Shard]
    servers: int
    quiet: dict[int, float] = field(default_factory=dict)
    figures: Figures = field(default_factory=Figures)

    def run(self) -> Figures:
        """Simulate the whole span and return the results."""
        for now in range(0, _SPAN, _STEP):
            self._change_work(now)
            for shard in self.shards:
                shard.observed += (shard.rate - shard.observed) / _MEMORY
            self._measure(now)
            for server in range(self.servers):
                due = self.random.random() < _STEP / _DECISION_INTERVAL
                if due and self.quiet.get(server, 0) <= now:
                    self._decide(server, now)
        return self.figures

    def _change_work(self, now: int) -> None:
        if now and not now % _DRIFT_PERIOD:
            for _ in range(_DRIFTING):
                one, other = self.random.sample(self.shards, 2)
                rate = one.rate
                one.rate = other.rate
                other.rate = rate
        if now == _JOIN_TIME:
            self.servers += 1
        if now == _SHIFT_TIME:
            for shard in self.random.sample(self.shards, len(self.shards) // 8):
                shard.zone = (shard.zone + 1) % _ZONES

    def _measure(self, now: int) -> None:
        loads = self._list_loads([shard.rate for shard in self.shards])
        average = sum(loads) / len(loads)
        figures = self.figures
        figures.peaks.append(max(loads) / average)
        owned = self._count_owned()
        for shard in self.shards:
            figures.requests += shard.rate
            waited = min(shard.moving_for, _STEP)
            figures.waited += shard.rate * waited
            shard.moving_for -= waited
            if shard.zone != shard.server % _ZONES:
                figures.crossing += shard.rate
        figures.counts.append(max(owned) * len(owned) / sum(owned))
        figures.overloaded += sum(max(load - 1, 0) for load in loads)

    def _list_loads(self, rates: Sequence[float]) -> list[float]:
        loads = [float(0) for _ in range(self.servers)]
        capacity = _REQUESTS / _SERVERS / _MEAN_LOAD
        for shard, rate in zip(self.shards, rates, strict=True):
            loads[shard.server] += rate / capacity
        return loads

    def _count_owned(self) -> list[int]:
        owned = Counter(shard.server for shard in self.shards)
        return [owned[server] for server in range(self.servers)]

    def _decide(self, server: int, now: int) -> None:
        summaries = self._summarise_servers()
        source = summaries.pop(server)
        shards = {
            shard.shard: shard
            for shard in self.shards
            if shard.server == server
        }
        targets = plan_moves(
            source,
            [_summarise_shard(shard, now) for shard in shards.values()],
            summaries,
            self.policy,
            self.random,
        )
        for name, target in targets.items():
            shards[name].server = int(target)
            shards[name].moving_for = _MOVE_TIME
            shards[name].since = now
        self.figures.moves += len(targets)
        if targets:
            self.quiet[server] = now + _QUIET_TIME

    def _summarise_servers(self) -> list[ServerSummary]:
        loads = self._list_loads([shard.observed for shard in self.shards])
        owned = self._count_owned()
        return [
            ServerSummary(
                server=ServerId(str(number)),
                zone=_name_zone(number % _ZONES),
                region=_name_region(number % _ZONES),
                utilisation=load * self.random.gauss(1, _NOISE),
                shards=owned[number],
            )
            for number, load in enumerate(loads)
        ]


def _name_zone(zone: int) -> ZoneName:
    return ZoneName(str(zone))


def _name_region(zone: int) -> RegionName:
    return RegionName(str(zone // 2))


def _summarise_shard(shard: Shard, now: int) -> ShardSummary:
    callers = CallerShare(
        zone=_name_zone(shard.zone),
        zone_share=1,
        region=_name_region(shard.zone),
        region_share=1,
    )
    return ShardSummary(
        shard=shard.shard,
        requests=shard.observed * _MEMORY,
        settled=now - shard.since >= _SETTLING_TIME,
        callers=callers,
    )


def build_scene(policy: BalancePolicy, seed: int) -> Scene:
    """Build a simulation with shards spread evenly by count, as at first."""
    random = Random(seed)
    weights = [1 / (rank + 1) ** _SKEW for rank in range(_SHARDS)]
    random.shuffle(weights)
    total = sum(weights)
    shards = [
        Shard(
            shard=ShardId(_SERVICE, ShardNumber(number)),
            server=number % _SERVERS,
            rate=_REQUESTS * weight / total,
            observed=0,
            zone=random.randrange(_ZONES),
        )
        for number, weight in enumerate(weights)
    ]
    return Scene(policy, random, shards, _SERVERS)


def measure_threshold(threshold: float, max_moves: int, seeds: int) -> None:
    """Print the results for a threshold over several seeds."""
    policy = replace(BalancePolicy(threshold), max_moves=max_moves)
    runs = [build_scene(policy, seed).run() for seed in range(seeds)]
    write_row(
        'placement',
        threshold=threshold,
        most_moves=max_moves,
        load_peak_median=mean(median(run.peaks) for run in runs),
        load_peak_worst=max(max(run.peaks[60:]) for run in runs),
        count_peak_median=mean(median(run.counts) for run in runs),
        moves_per_shard_hour=mean(_hourly(run) for run in runs),
        waiting_share=mean(run.waited / run.requests for run in runs),
        overload_share=mean(_overload(run) for run in runs),
        other_zone_share=mean(run.crossing / run.requests for run in runs),
    )


def _hourly(run: Figures) -> float:
    return run.moves / _SHARDS * 3600 / _SPAN


def _overload(run: Figures) -> float:
    return run.overloaded / (_SPAN * _SERVERS * _MEAN_LOAD)


def main() -> None:
    """Measure each threshold, and then each limit on moves per decision."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else _SEEDS
    for threshold in _THRESHOLDS:
        measure_threshold(threshold, 4, seeds)
    for max_moves in (1, 2, 8):
        measure_threshold(0.25, max_moves, seeds)


if __name__ == '__main__':
    main()
