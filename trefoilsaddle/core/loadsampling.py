"""Measure the load that a dispatcher sends to its servers."""

from dataclasses import dataclass

from trefoilsaddle.core.dispatching import count_running
from trefoilsaddle.core.hashing import hash_key
from trefoilsaddle.core.messages import Forward, ServerLoad
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.placementstate import ServerStats, ShardStats
from trefoilsaddle.core.units import Moment, NodeId, Seconds, ServerId

# Time constant of the exponential decay of counts and averages.
_AVERAGING_TIME = Seconds(10)


@dataclass(frozen=True, slots=True)
class Sampling:
    """Hold the interval at which loads are sampled."""

    interval: Seconds

    @property
    def decay(self) -> float:
        """Return the factor by which a count decays in one interval."""
        return 1 - self.interval / _AVERAGING_TIME


def record_forward(node: Node, sender: NodeId, forward: Forward) -> None:
    """Count one forwarded request by shard, key and caller's zone."""
    stats = node.placement.servers.get(forward.server)
    if stats is None:
        return
    request = forward.request
    key_hash = hash_key(request.service, request.member, request.key)
    stats.sketch.record(key_hash)
    stats.count += 1
    shard = node.view.shard_of_hash(request.service, key_hash)
    if shard is None:
        return
    shard_stats = stats.shards.get(shard)
    if shard_stats is None:
        # The server does not own the shard yet, or no longer.
        return
    shard_stats.count += 1
    known = node.membership.processes.get(sender)
    if known is not None:
        former = shard_stats.by_zone.get(known.zone, 0)
        shard_stats.by_zone[known.zone] = former + 1


def sample_loads(node: Node, moment: Moment, sampling: Sampling) -> None:
    """Sample the utilisation of every held server, and decay old counts."""
    held = node.duties.held
    state = node.placement
    for former in set(state.servers).difference(held):
        state.servers.pop(former)
        _drop_own_report(node, former)
    state.reports += 1
    for server in held:
        stats = state.servers.setdefault(server, ServerStats())
        _track_owned_shards(node, moment, server, stats)
        _decay_counts(stats, sampling.decay)
        sample = _sample_utilisation(node, server)
        stats.utilisation += (sample - stats.utilisation) * (1 - sampling.decay)
        node.membership.loads[server] = ServerLoad(
            server=server,
            dispatcher=node.options.node,
            utilisation=stats.utilisation,
            rate=stats.count / _AVERAGING_TIME,
            sequence=state.reports,
        )


def _track_owned_shards(
    node: Node,
    moment: Moment,
    server: ServerId,
    stats: ServerStats,
) -> None:
    """Start counting shards that the server has gained, drop the others."""
    stats.shards = {
        shard: stats.shards.get(shard) or ShardStats(moment.monotonic)
        for shard in node.view.shards_on(server)
    }


def _drop_own_report(node: Node, server: ServerId) -> None:
    report = node.membership.loads.get(server)
    if report is not None and report.dispatcher == node.options.node:
        node.membership.loads.pop(server)


def _sample_utilisation(node: Node, server: ServerId) -> float:
    policy = node.view.server(server)
    if policy is None:
        return 0
    queue = node.dispatching.queues.get(server)
    waiting = 0 if queue is None else queue.count_waiting()
    busy = count_running(node, server, None) + waiting
    return busy / policy.slots


def _decay_counts(stats: ServerStats, decay: float) -> None:
    stats.count *= decay
    stats.sketch.decay(decay)
    for shard_stats in stats.shards.values():
        shard_stats.count *= decay
        for zone in shard_stats.by_zone:
            shard_stats.by_zone[zone] *= decay
