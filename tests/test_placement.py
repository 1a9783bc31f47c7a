"""Check the choice of moves and the counting of frequent keys."""

from collections import Counter
from dataclasses import dataclass, replace
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from trefoilsaddle.core.balance import (
    BalancePolicy,
    CallerShare,
    ServerSummary,
    ShardSummary,
    plan_moves,
)
from trefoilsaddle.core.hotkeys import KeySketch
from trefoilsaddle.core.units import (
    RegionName,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    ZoneName,
)

_POLICY = BalancePolicy(imbalance=0.25)
_SHARDS = 10


def _server(
    name: str,
    utilisation: float,
    shards: int = _SHARDS,
    zone: str = 'north-a',
) -> ServerSummary:
    region, _, _ = zone.partition('-')
    return ServerSummary(
        server=ServerId(name),
        zone=ZoneName(zone),
        region=RegionName(region),
        utilisation=utilisation,
        shards=shards,
    )


def _shards(
    *requests: float,
    callers: str = 'north-a',
    settled: bool = True,
) -> list[ShardSummary]:
    region, _, _ = callers.partition('-')
    share = CallerShare(ZoneName(callers), 1, RegionName(region), 1)
    return [
        ShardSummary(
            shard=ShardId(ServiceName('catalogue'), ShardNumber(number)),
            requests=count,
            settled=settled,
            callers=share,
        )
        for number, count in enumerate(requests)
    ]


@dataclass(frozen=True, slots=True)
class _Case:
    """Hold the input of a decision and the expected moves."""

    name: str
    source: ServerSummary
    shards: list[ShardSummary]
    others: tuple[ServerSummary, ...]
    # Least and greatest number of moved shards over all seeds, and the servers
    # that they may move to.
    moves: tuple[int, int]
    targets: frozenset[str]


_EVEN = tuple(100 for _ in range(_SHARDS))
_IDLE = tuple(0 for _ in range(_SHARDS))
_NO_TARGETS: frozenset[str] = frozenset()
_CASES = (
    _Case(
        'alone',
        _server('s', 2),
        _shards(*_EVEN),
        (),
        (0, 0),
        _NO_TARGETS,
    ),
    _Case(
        'balanced',
        _server('s', 0.5),
        _shards(*_EVEN),
        (_server('t', 0.45), _server('u', 0.4)),
        (0, 0),
        _NO_TARGETS,
    ),
    _Case(
        'overloaded',
        _server('s', 0.9),
        _shards(*_EVEN),
        (_server('t', 0.3), _server('u', 0.9)),
        (1, 1),
        frozenset('t'),
    ),
    _Case(
        'one-hot-shard-that-fits-nowhere',
        _server('s', 0.9, shards=1),
        _shards(1000),
        (_server('t', 0.3), _server('u', 0.3)),
        (0, 0),
        _NO_TARGETS,
    ),
    _Case(
        'cold-rest-moves-off-a-hot-shard',
        _server('s', 0.9, shards=4),
        _shards(1000, 50, 50, 50),
        (_server('t', 0.3, 4), _server('u', 0.3, 4)),
        (3, 3),
        frozenset('tu'),
    ),
    _Case(
        'moved-of-late',
        _server('s', 0.9),
        _shards(*_EVEN, settled=False),
        (_server('t', 0.1),),
        (0, 0),
        _NO_TARGETS,
    ),
    _Case(
        'own-region-first',
        _server('s', 0.7),
        _shards(*_EVEN),
        (_server('t', 0.3), _server('far', 0, zone='south-a')),
        (1, 1),
        frozenset('t'),
    ),
    _Case(
        'region-full',
        _server('s', 1.2),
        _shards(*_EVEN),
        (_server('t', 1), _server('far', 0.1, zone='south-a')),
        (1, 1),
        frozenset(('far',)),
    ),
    _Case(
        'callers-elsewhere',
        _server('s', 0.3),
        _shards(*_EVEN, callers='south-a'),
        (_server('t', 0.3), _server('far', 0.1, zone='south-a')),
        (2, 2),
        frozenset(('far',)),
    ),
    _Case(
        'callers-elsewhere-and-full-there',
        _server('s', 0.3),
        _shards(*_EVEN, callers='south-a'),
        (_server('t', 0.3), _server('far', 0.9, zone='south-a')),
        (0, 0),
        _NO_TARGETS,
    ),
    _Case(
        'callers-in-another-zone-of-the-region',
        _server('s', 0.3),
        _shards(*_EVEN, callers='north-b'),
        (_server('t', 0.1, zone='north-b'), _server('u', 0.1)),
        (2, 2),
        frozenset('t'),
    ),
    _Case(
        'new-idle-server-fills-slowly',
        _server('s', 0),
        _shards(*_IDLE),
        (_server('t', 0, shards=0), _server('u', 0)),
        (0, 1),
        frozenset('t'),
    ),
    _Case(
        'few-shards-on-a-busy-server',
        _server('s', 0.5),
        _shards(*_EVEN),
        (_server('t', 0.5, shards=1), _server('u', 0.5)),
        (0, 0),
        _NO_TARGETS,
    ),
)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case.name)
def test_moves_match_loads(case: _Case) -> None:
    """Check number and targets of moves for many seeds."""
    counts = []
    for seed in range(20):
        targets = plan_moves(
            case.source,
            case.shards,
            case.others,
            _POLICY,
            Random(seed),
        )
        assert case.targets.issuperset(targets.values())
        counts.append(len(targets))
    assert (min(counts), max(counts)) == case.moves


_LOADS = st.floats(min_value=0, max_value=3)


@settings(derandomize=True, deadline=None)
@given(
    source=_LOADS,
    others=st.lists(_LOADS, min_size=1, max_size=8),
    requests=st.lists(st.floats(0, 1000), min_size=1, max_size=20),
    seed=st.integers(0, 9),
)
def test_moves_overload_no_target(
    source: float,
    others: list[float],
    requests: list[float],
    seed: int,
) -> None:
    """Check that moves raise no target above the mean, within a tolerance."""
    summaries = [
        _server(str(number), load) for number, load in enumerate(others)
    ]
    shards = _shards(*requests)
    targets = plan_moves(
        _server('s', source, shards=len(shards)),
        shards,
        summaries,
        _POLICY,
        Random(seed),
    )
    mean = (source + sum(others)) / (len(others) + 1)
    load_per_request = source / (sum(requests) or 1)
    loads = {summary.server: summary.utilisation for summary in summaries}
    for summary in shards:
        target = targets.get(summary.shard)
        if target is not None:
            loads[target] += summary.requests * load_per_request
            assert loads[target] <= max(mean, 0.75 * source) + 0.06


def test_many_dispatchers_do_not_all_choose_one_server() -> None:
    """Check that moves of 50 overloaded servers spread over all targets."""
    others = tuple(_server(f't{number}', 0.2) for number in range(6))
    chosen = Counter(
        target
        for seed in range(50)
        for target in plan_moves(
            _server('s', 0.9),
            _shards(*_EVEN),
            others,
            _POLICY,
            Random(seed),
        ).values()
    )
    assert len(chosen) == len(others)
    assert max(chosen.values()) < 2 * min(chosen.values())


def test_shard_does_not_return_while_it_settles() -> None:
    """Check that recently moved shards do not move back."""
    shards = _shards(*_EVEN)
    source = _server('s', 0.9)
    other = _server('t', 0.1)
    moved = plan_moves(source, shards, (other,), _POLICY, Random(1))
    there = [
        replace(summary, settled=False)
        for summary in shards
        if summary.shard in moved
    ]
    back = plan_moves(
        _server('t', 0.9),
        there,
        (_server('s', 0.1),),
        _POLICY,
        Random(1),
    )
    assert moved
    assert not back


@settings(derandomize=True, deadline=None)
@given(
    noise=st.lists(st.integers(1000, 5000), max_size=600),
    hot=st.dictionaries(st.integers(0, 20), st.integers(50, 90), max_size=6),
    seed=st.integers(0, 9),
)
def test_sketch_finds_every_frequent_key_and_no_rare_one(
    noise: list[int],
    hot: dict[int, int],
    seed: int,
) -> None:
    """Check that counts err by at most 1/64 of all requests."""
    stream = noise + list(Counter(hot).elements())
    Random(seed).shuffle(stream)
    sketch = KeySketch()
    for key_hash in stream:
        sketch.record(key_hash)
    true_counts = Counter(stream)
    least = len(stream) / 64
    for key_hash, count in true_counts.items():
        if count > least:
            assert count <= sketch.count_of(key_hash) <= count + least
    for key_hash in sketch.list_frequent(50):
        assert true_counts[key_hash] >= 50
    assert len(sketch.counted) <= 64
