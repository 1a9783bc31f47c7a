"""Measure the processor time of a dispatcher by the size of the fleet.

Run as `python -m measure.control`.  The slopes go into docs/CAPACITY.md.
"""

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from statistics import median
from time import process_time

from measure.layout import make_options, make_peer, name_zone
from measure.report import write_row
from trefoilsaddle.core.dutystate import Duty
from trefoilsaddle.core.events import (
    Event,
    LogRead,
    MessageReceived,
    Occurrence,
    Started,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.messages import Ping
from trefoilsaddle.core.node import Node, build_node
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
from trefoilsaddle.core.reducer import reduce
from trefoilsaddle.core.rumours import describe_peer
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Moment,
    NodeId,
    Offset,
    RecordId,
    Seconds,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    SiteName,
    Version,
)

_SERVICE = ServiceName('catalogue')
# Numbers of processes, and then of servers for each process and of shards for
# each server.
_SIZES = (64, 512, 2000)
_SERVERS_EACH = 2
_SHARDS_EACH = 100
# Number of servers that the measured process dispatches to.
_HELD = 3
_REPEATS = 25
_MICRO = 1_000_000
_STEP = 0.13
_WALL = 1_000_000_000


@dataclass(slots=True)
class _Scene:
    """Dispatcher in a fleet of a given size, and its position in the log."""

    size: int
    node: Node = field(init=False)
    now: float = 0
    offset: int = 0

    def __post_init__(self) -> None:
        self.node = build_node(make_options(0, self.size, seed=1))

    @property
    def servers(self) -> list[ServerId]:
        """Return all servers, which are assigned to the zones in turn."""
        return [
            ServerId(f'server-{number}')
            for number in range(self.size * _SERVERS_EACH)
        ]

    def feed(self, event: Event) -> float:
        """Pass an event to the dispatcher and return the processor time."""
        self.now += _STEP
        moment = Moment(Seconds(self.now), Seconds(_WALL + self.now))
        began = process_time()
        reduce(self.node, Occurrence(moment, event))
        return process_time() - began

    def read(self, *records: Record) -> float:
        """Deliver a log read with one entry, or with none, and time it."""
        entries: tuple[LogEntry, ...] = ()
        if records:
            entries = (LogEntry(Offset(self.offset), records),)
            self.offset += 1
        tail = Offset(self.offset)
        return self.feed(LogRead(entries, Offset(0), tail, Seconds(self.now)))


def _publish(scene: _Scene) -> None:
    shards = len(scene.servers) * _SHARDS_EACH
    base = {
        'ranks': [{'name': 'urgent', 'target': 1}],
        'members': ['north'],
        'services': {_SERVICE: {'shards': shards}},
    }
    scene.read(_write('base', None, base))
    zones: dict[str, dict[str, object]] = {}
    for number, server in enumerate(scene.servers):
        zone = name_zone(number, scene.size)
        zones.setdefault(zone, {})[server] = {
            'service': _SERVICE,
            'zone': zone,
            'host': '127.0.0.1',
            'port': 9000,
            'checks_grants': True,
        }
    for name, servers in zones.items():
        overlay = {'region': 'region', 'zones': [name], 'servers': servers}
        scene.read(_write(name, SiteName(name), overlay))


def _write(
    name: str,
    site: SiteName | None,
    document: Mapping[str, object],
) -> Publication:
    text = json.dumps(document)
    return Publication(RecordId(name), Version(0), site, text)


def _assign(scene: _Scene) -> None:
    placements = tuple(
        Placement(
            server,
            tuple(
                ShardNumber(number * _SHARDS_EACH + shard)
                for shard in range(_SHARDS_EACH)
            ),
        )
        for number, server in enumerate(scene.servers)
    )
    scene.read(Assign(RecordId('assign'), _SERVICE, placements))
    claims = [
        _claim(scene, number, server)
        for number, server in enumerate(scene.servers)
    ]
    scene.read(*claims)


def _claim(scene: _Scene, number: int, server: ServerId) -> Claim:
    holder = 0 if number < _HELD else number % scene.size
    return Claim(
        record_id=RecordId(f'claim-{server}'),
        server=server,
        expected=FIRST_EPOCH,
        dispatcher=make_peer(holder, scene.size).node,
        claim_set=(NodeId('node-1'), NodeId('node-2')),
        provisional=None,
    )


def _assign_duties(scene: _Scene) -> None:
    """Add the duties for the roles in the log as if this run claimed them."""
    for server in scene.servers[:_HELD]:
        role = scene.node.view.roles[server]
        scene.node.duties.held[server] = Duty(
            server=server,
            term=role.term,
            claim_set=role.claim_set,
            former_members=(),
            former_dispatcher=None,
            started=Seconds(scene.now),
        )
    scene.node.duties.unsettled = True


def _build_scene(size: int) -> _Scene:
    scene = _Scene(size)
    scene.feed(Started())
    for index in range(1, size):
        peer = make_peer(index, size)
        scene.node.membership.processes[peer.node] = describe_peer(peer)
    _publish(scene)
    _assign(scene)
    _assign_duties(scene)
    scene.read()
    return scene


def _move(scene: _Scene, number: int) -> Move:
    """Build a move of a shard between servers of other dispatchers."""
    server, target = scene.servers[number : number + 2]
    shard = ShardId(_SERVICE, ShardNumber(number * _SHARDS_EACH))
    view = scene.node.view
    owner = view.owners[shard]
    term = view.roles[server].term
    moved = MovedShard(shard, owner.epoch, target, None)
    return Move(RecordId(f'move-{number}'), server, term, (moved,))


def _measure(size: int) -> None:
    scene = _build_scene(size)
    grant = TimerExpired(TimerKey(TimerKind.grant, scene.servers[0]))
    # Triggers a check of all duties.
    check = TimerExpired(TimerKey(TimerKind.claim, scene.servers[0]))
    ping = MessageReceived(NodeId('node-1'), Ping(1, None, (), ()))
    rounds = range(_HELD, _HELD + _REPEATS)
    reads = median([scene.read() for _ in rounds])
    grants = median([scene.feed(grant) for _ in rounds])
    checks = median([scene.feed(check) for _ in rounds])
    pings = median([scene.feed(ping) for _ in rounds])
    moves = median([scene.read(_move(scene, number)) for number in rounds])
    write_row(
        'control',
        processes=size,
        servers=len(scene.servers),
        shards=len(scene.node.view.owners),
        read_us=reads * _MICRO,
        grant_us=grants * _MICRO,
        review_us=checks * _MICRO,
        ping_us=pings * _MICRO,
        move_us=moves * _MICRO,
    )


def main() -> None:
    """Measure all fleet sizes."""
    for size in _SIZES:
        _measure(size)


if __name__ == '__main__':
    main()
