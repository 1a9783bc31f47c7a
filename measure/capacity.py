"""Measure the cost of a view: memory, records, look-ups and snapshots.

Run as `python -m measure.capacity`.  The slopes go into docs/CAPACITY.md.
"""

import json
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace
from time import perf_counter

from measure.layout import make_peer
from measure.report import write_row
from trefoilsaddle.core.application import apply_entry
from trefoilsaddle.core.hotkeys import KeySketch
from trefoilsaddle.core.publishing import shorten_publication
from trefoilsaddle.core.records import (
    Assign,
    Claim,
    LogEntry,
    Move,
    MovedShard,
    Placement,
    Publication,
    Record,
)
from trefoilsaddle.core.rumours import describe_peer
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    MemberName,
    NodeId,
    Offset,
    RecordId,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    SiteName,
)
from trefoilsaddle.core.view import LogView
from trefoilsaddle.core.viewtext import read_view, write_view
from trefoilsaddle.logservice.recordcodec import encode_records

_SIZES = (50, 500, 5000)
_SHARDS_PER_SERVER = 100
_SITE_SERVERS = 250
_SERVICE = ServiceName('catalogue')
_MEMBER = MemberName('north')
_MICRO = 1e6
_MILLI = 1e3
_REPEATS = 200
_CHANGES = 10


@dataclass(slots=True)
class Scene:
    """View of a number of servers, and the offset of its last entry."""

    servers: int
    view: LogView
    last: int = -1

    @property
    def shards(self) -> int:
        """Return the number of shards."""
        return self.servers * _SHARDS_PER_SERVER

    def append(self, record: Record) -> None:
        """Apply a record as a separate log entry."""
        self.last += 1
        apply_entry(self.view, LogEntry(Offset(self.last), (record,)))


def _name_server(number: int) -> ServerId:
    return ServerId(f'server-{number}')


def _write_base(shards: int) -> str:
    return json.dumps(
        {
            'ranks': [{'name': 'urgent', 'target': 0.1}],
            'services': {_SERVICE: {'shards': shards}},
            'members': [_MEMBER],
        },
    )


def _write_overlay(site: int, count: int, leaving: int = 0) -> str:
    zone = f'zone-{site}'
    servers = {
        _name_server(site * _SITE_SERVERS + number): {
            'service': _SERVICE,
            'zone': zone,
            'host': '10.0.0.1',
            'port': 9000 + number,
            'checks_grants': True,
            'leaving': number < leaving,
        }
        for number in range(count)
    }
    return json.dumps({'region': zone, 'zones': [zone], 'servers': servers})


def _publish(scene: Scene, site: int | None, document: str) -> Publication:
    return Publication(
        record_id=RecordId(f'publish-{scene.last}'),
        expected=scene.view.version,
        site=None if site is None else SiteName(f'site-{site}'),
        document=document,
    )


def build_scene(servers: int) -> Scene:
    """Build a view with all servers published, assigned and claimed."""
    scene = Scene(servers, LogView())
    scene.append(_publish(scene, None, _write_base(scene.shards)))
    for site in range(-(-servers // _SITE_SERVERS)):
        count = min(_SITE_SERVERS, servers - site * _SITE_SERVERS)
        scene.append(_publish(scene, site, _write_overlay(site, count)))
    placements = tuple(
        Placement(
            _name_server(number),
            tuple(map(ShardNumber, range(number, scene.shards, servers))),
        )
        for number in range(servers)
    )
    scene.append(Assign(RecordId('assign'), _SERVICE, placements))
    for number in range(servers):
        scene.append(_claim(_name_server(number), FIRST_EPOCH))
    return scene


def _claim(server: ServerId, expected: Epoch) -> Claim:
    return Claim(
        record_id=RecordId(f'claim-{server}-{expected.offset}'),
        server=server,
        expected=expected,
        dispatcher=NodeId('node-1'),
        claim_set=(NodeId('node-1'), NodeId('node-2'), NodeId('node-3')),
        provisional=None,
    )


def measure_memory(servers: int) -> None:
    """Print the memory of a view, and the size and times of its snapshot."""
    tracemalloc.start()
    scene = build_scene(servers)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    began = perf_counter()
    text = write_view(scene.view)
    written = perf_counter()
    read_view(text)
    read = perf_counter()
    write_row(
        'view',
        servers=servers,
        shards=scene.shards,
        bytes_per_shard=size / scene.shards,
        megabytes=size / 1e6,
        snapshot_bytes_per_shard=len(text) / scene.shards,
        snapshot_write_s=written - began,
        snapshot_read_s=read - written,
    )


def measure_records(servers: int) -> None:
    """Print the time of a claim, a move and a look-up, in microseconds."""
    scene = build_scene(servers)
    server = _name_server(0)
    claims = _time(lambda: scene.append(_reclaim(scene, server)))
    moves = _time(lambda: scene.append(_move_one(scene, server)))
    lookups = _time(
        lambda: scene.view.shard_of(_SERVICE, _MEMBER, b'key'),
    )
    write_row(
        'records',
        servers=servers,
        claim_us=claims,
        move_us=moves,
        lookup_us=lookups,
    )


def measure_changes(servers: int) -> None:
    """Print the size and time of a configuration change."""
    scene = build_scene(servers)
    count = min(servers, _SITE_SERVERS)
    publications = [
        _publish(scene, 0, _write_overlay(0, count, leaving=number))
        for number in range(1, _CHANGES + 1)
    ]
    began = perf_counter()
    shortened = [
        shorten_publication(scene.view, publication)
        for publication in publications
    ]
    written = perf_counter()
    for number in range(_CHANGES):
        scene.append(_patch_one(scene, leaving=bool(number % 2)))
    applied = perf_counter()
    write_row(
        'change of one server',
        servers=servers,
        site_servers=count,
        whole_bytes=len(encode_records(publications[:1])),
        patch_bytes=len(encode_records(shortened[:1])),
        shorten_ms=(written - began) / _CHANGES * _MILLI,
        apply_ms=(applied - written) / _CHANGES * _MILLI,
    )


def measure_peers() -> None:
    """Print the memory that is needed for each known process."""
    tracemalloc.start()
    known = {}
    for number in range(_SIZES[-1]):
        peer = make_peer(number, _SIZES[-1])
        known[peer.node] = describe_peer(peer)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    write_row('peer', bytes_per_peer=size / len(known))


def measure_sketch() -> None:
    """Print the time to count a request in a full sketch."""
    sketch = KeySketch()
    numbers = iter(range(10**6))
    write_row('sketch', note_us=_time(lambda: sketch.record(next(numbers))))


def _patch_one(scene: Scene, *, leaving: bool) -> Publication:
    change = {'servers': {_name_server(1): {'leaving': leaving}}}
    patch = _publish(scene, 0, json.dumps(change))
    return replace(patch, merge=True)


def _reclaim(scene: Scene, server: ServerId) -> Claim:
    return _claim(server, scene.view.roles[server].term)


def _move_one(scene: Scene, server: ServerId) -> Move:
    shard = next(iter(scene.view.shards_on(server)), None)
    if shard is None:
        shard = ShardId(_SERVICE, ShardNumber(0))
    owner = scene.view.owners[shard]
    moved = MovedShard(shard, owner.epoch, _name_server(1), None)
    return Move(
        record_id=RecordId(f'move-{scene.last}'),
        server=server,
        term=scene.view.roles[server].term,
        shards=(moved,),
    )


def _time(action: Callable[[], object]) -> float:
    """Return the mean time of an action, in microseconds."""
    began = perf_counter()
    for _ in range(_REPEATS):
        action()
    return (perf_counter() - began) / _REPEATS * _MICRO


def main() -> None:
    """Run all measurements."""
    for servers in _SIZES:
        measure_memory(servers)
        measure_records(servers)
        measure_changes(servers)
    measure_peers()
    measure_sketch()


if __name__ == '__main__':
    main()
