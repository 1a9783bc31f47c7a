"""Compare keeping and giving up the keys of a zone that is cut off.

    python -m measure.isolation

One of four zones is temporarily cut off from the others and from the log.  Its
callers reach only servers inside it, all others only servers outside.  A
fraction of each caller's keys is owned in its own zone.  "refused" is the
fraction of all requests that find no server; "unavailable" is the time, in
seconds and summed over the shards, during which no server serves a shard.
"""

import sys
from dataclasses import dataclass

from measure.ownershipbench import Bench, open_bench
from measure.ownershipscene import Scene
from trefoilsaddle.core.units import NodeId, ServerId, ShardId, ZoneName

# In seconds.
_WARM_UP = 4
_CUT = 30
_AFTER = 12
_SAMPLE_INTERVAL = 0.1
# A shard counts as served for this long after a request, in seconds.
_RECENT = 0.2
_HOLDS = (None, 3, 10)
_LOCAL = (0.25, 0.5, 0.75, 0.95)


@dataclass(slots=True)
class Tally:
    """Samples of the shard states while the zone is cut off."""

    samples: int = 0
    # Shards of the zone that its own callers, or the others, can use.
    inside: int = 0
    outside: int = 0
    unavailable: float = 0

    def refused(self, local: float, zones: int, shards: int) -> float:
        """Return the refused fraction of all calls for a locality of keys."""
        share = 1 / zones
        # Calls for the keys of the cut-off zone, from inside and from outside.
        # Its callers' other keys are unreachable, whichever server owns them.
        total = self.samples * shards
        from_inside = share * local * (1 - self.inside / total)
        from_outside = share * (1 - local) * (1 - self.outside / total)
        return from_inside + from_outside + share * (1 - local)


def main() -> None:
    """Print one row for each isolation hold."""
    columns = [
        'hold',
        'unavailable',
        *(f'refused at {local}' for local in _LOCAL),
    ]
    _write(columns)
    for hold in _HOLDS:
        scene = Scene(zones=4, dispatchers=2, servers=1, shards=8, hold=hold)
        tally = _measure_cut(scene)
        lost = scene.shards // scene.zones
        refused = [tally.refused(local, scene.zones, lost) for local in _LOCAL]
        cells = (f'{fraction:.3f}' for fraction in refused)
        _write([str(hold), f'{tally.unavailable:.1f}', *cells])


def _measure_cut(scene: Scene) -> Tally:
    with open_bench(scene) as bench:
        bench.run(_WARM_UP)
        zone = scene.zone_names[0]
        _cut_zone(bench, zone)
        shards = _shards_of(bench, zone)
        tally = Tally()
        while bench.now < _WARM_UP + _CUT:
            bench.run(_SAMPLE_INTERVAL)
            _count(bench, shards, zone, tally)
        bench.fleet.network.cuts.clear()
        bench.links.cuts.clear()
        for process in bench.fleet.processes.values():
            process.cut_from_log = False
        bench.run(_AFTER)
        if bench.violations:
            raise RuntimeError(bench.violations[0])
        return tally


def _cut_zone(bench: Bench, zone: ZoneName) -> None:
    processes = bench.fleet.processes.values()
    inside: list[NodeId] = []
    outside: list[NodeId] = []
    for process in processes:
        here = process.node.options.zone == zone
        process.cut_from_log = here
        (inside if here else outside).append(process.node_id)
    bench.fleet.network.cut(inside, outside)
    for server in bench.servers:
        far = outside if _zone_of(server) == zone else inside
        bench.links.cuts.update((node, server) for node in far)


def _zone_of(server: ServerId) -> ZoneName:
    return ZoneName(server.partition('-')[0])


def _shards_of(bench: Bench, zone: ZoneName) -> list[ShardId]:
    view = bench.process(0).node.view
    return [
        shard
        for shard, owner in view.owners.items()
        if _zone_of(owner.server) == zone
    ]


def _count(
    bench: Bench,
    shards: list[ShardId],
    zone: ZoneName,
    tally: Tally,
) -> None:
    tally.samples += 1
    served = bench.traffic.served
    for shard in shards:
        if served.get(shard, 0) < bench.now - _RECENT:
            tally.unavailable += _SAMPLE_INTERVAL
        elif _zone_of(bench.traffic.served_by[shard]) == zone:
            tally.inside += 1
        else:
            tally.outside += 1


def _write(cells: list[str]) -> None:
    row = ' | '.join(cells)
    sys.stdout.write(f'{row}\n')


if __name__ == '__main__':
    main()
