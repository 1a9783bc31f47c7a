"""Check moves and splits in a fleet, by load, hot keys and new servers."""

from dataclasses import replace
from functools import partial

import pytest

from measure.fleet import Fleet
from measure.process import Process
from tests.sites import (
    BASE,
    SITES,
    describe_overlay,
    make_options,
    make_publication,
)
from trefoilsaddle.core.calls import Request
from trefoilsaddle.core.effects import Effect, SendGrant
from trefoilsaddle.core.events import GrantAnswered, GrantVerdict
from trefoilsaddle.core.hashing import hash_key
from trefoilsaddle.core.loadsampling import record_forward
from trefoilsaddle.core.messages import Forward
from trefoilsaddle.core.units import (
    AttemptId,
    MemberName,
    NodeId,
    Rank,
    Seconds,
    ServerId,
    ServiceName,
    ShardId,
)
from trefoilsaddle.core.view import HotKey, LogView

_SIZE = 4
_SERVICE = ServiceName('catalogue')
_MEMBER = MemberName('kushiro')
_HOT = b'hot'
_HOT_KEY = HotKey(_SERVICE, hash_key(_SERVICE, _MEMBER, _HOT))
_SERVER = ServerId('north-a-0')
# Seconds between two batches of requests, and their number.
_STEP = 0.25
_BATCH = 20


@pytest.fixture
def fleet() -> Fleet:
    """Start a fleet of dispatchers whose servers accept every grant."""
    started = Fleet(seed=1)
    started.perform_other = partial(_perform, started)
    _publish(started, None, BASE)
    for site in SITES:
        document = describe_overlay(site).replace('true', 'false')
        _publish(started, site.name, document)
    for index in range(_SIZE):
        options = make_options(index, _SIZE, seed=2)
        started.start(replace(options, placement_interval=Seconds(1)))
    started.run(6)
    return started


def _publish(fleet: Fleet, site: str | None, document: str) -> None:
    record = make_publication(f'first-{site}', 0, site, document)
    fleet.log.append((record,))


def _perform(fleet: Fleet, process: Process, effect: Effect) -> None:
    if not isinstance(effect, SendGrant):
        return
    answer = GrantAnswered(
        server=effect.server,
        sequence=effect.sequence,
        verdict=GrantVerdict.accepted,
        term=effect.term,
        sent=Seconds(fleet.schedule.now),
        draining=False,
    )
    fleet.schedule.add(0.002, partial(fleet.deliver, process, answer))


def _view(fleet: Fleet) -> LogView:
    return fleet.processes[NodeId('node-0')].node.view


def _holder(fleet: Fleet, server: ServerId) -> Process:
    return fleet.processes[_view(fleet).roles[server].dispatcher]


def _record_requests(fleet: Fleet, key: bytes) -> None:
    """Record a batch of requests at the dispatcher of a key's owner."""
    shard = _view(fleet).shard_of(_SERVICE, _MEMBER, key)
    assert shard is not None
    server = _view(fleet).owners[shard].server
    request = Request(
        service=_SERVICE,
        member=_MEMBER,
        rank=Rank(0),
        key=key,
        method='GET',
        path='/',
        content_type='',
        body=b'',
        idempotent=True,
        idempotency_key=None,
        remaining=Seconds(1),
    )
    node = _holder(fleet, server).node
    for _ in range(_BATCH):
        forward = Forward(AttemptId(1), server, request)
        record_forward(node, NodeId('entry'), forward)


def test_hot_key_has_a_shard_of_its_own_as_long_as_it_is_hot(
    fleet: Fleet,
) -> None:
    """Check that a hot key is split and that the split ends when it cools."""
    for step in range(24):
        _record_requests(fleet, _HOT)
        _record_requests(fleet, b'%d' % step)
        fleet.run(_STEP)
    shard = _view(fleet).hot_keys[_HOT_KEY]
    assert shard in _view(fleet).owners
    assert set(_view(fleet).hot_keys) == {_HOT_KEY}
    fleet.run(60)
    assert not _view(fleet).hot_keys
    assert shard not in _view(fleet).owners


def test_shards_leave_an_overloaded_server_and_then_stay(
    fleet: Fleet,
) -> None:
    """Check that a busy server loses a few shards and moves then stop."""
    # Shards assigned at the start have settled by then.
    fleet.run(60)
    view = _view(fleet)
    shards = sorted(view.shards_on(_SERVER))
    for _ in range(60):
        _set_load(fleet, shards)
        fleet.run(0.5)
    moved = len(shards) - view.count_shards(_SERVER)
    assert 1 <= moved <= 6
    applied = view.applied
    fleet.run(5)
    assert view.applied == applied


def _set_load(fleet: Fleet, shards: list[ShardId]) -> None:
    """Set a load in proportion to the shards still on the server."""
    stats = _holder(fleet, _SERVER).node.placement.servers[_SERVER]
    for shard, counted in stats.shards.items():
        counted.count = 100 if shard in shards else 0
    stats.utilisation = _view(fleet).count_shards(_SERVER) / len(shards)


def test_new_server_fills_slowly(fleet: Fleet) -> None:
    """Check that a new server gains shards a few at a time."""
    fleet.run(60)
    wider = replace(SITES[0], servers=3)
    document = describe_overlay(wider).replace('true', 'false')
    expected = _view(fleet).version
    record = make_publication('wider', expected, wider.name, document)
    fleet.log.append((record,))
    counts = []
    for _ in range(60):
        fleet.run(1)
        counts.append(_view(fleet).count_shards(ServerId('north-a-2')))
    gains = [
        late - early for early, late in zip(counts, counts[1:], strict=False)
    ]
    assert counts[0] == 0
    assert 3 <= counts[-1] <= 8
    assert max(gains) <= 4
