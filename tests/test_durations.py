"""Check that waits cover holders that still apply longer durations."""

from collections.abc import Callable
from dataclasses import dataclass
from unittest.mock import patch

import pytest

from measure.ownershipbench import Bench, open_bench
from measure.ownershipscene import Scene
from tests.test_ownershipguards import cut_zone, join, move_all, split
from trefoilsaddle.core import leases, recovery
from trefoilsaddle.core.durations import (
    MAX_DURATIONS,
    Durations,
    ServiceDurations,
    add_durations,
    find_longest,
)
from trefoilsaddle.core.units import (
    FOREVER,
    Epoch,
    Offset,
    Seconds,
    ServiceName,
)

_SERVICE = ServiceName('filings')


def _build(since: int, lease: float, hold: float = FOREVER) -> Durations:
    service = ServiceDurations(Seconds(lease * 2), Seconds(hold))
    return Durations(Offset(since), Seconds(lease), 0.01, {_SERVICE: service})


_HISTORY = (_build(0, 9), _build(10, 2), _build(20, 4, hold=60))


@pytest.mark.parametrize(
    ('term', 'lease', 'hold'),
    [
        (-1, 9, FOREVER),
        (9, 9, FOREVER),
        (10, 4, FOREVER),
        (19, 4, FOREVER),
        (20, 4, 60),
        (25, 4, 60),
    ],
)
def test_longest_since_a_term(term: int, lease: float, hold: float) -> None:
    """Include every base file that a holder of the term may have read last."""
    longest = find_longest(_HISTORY, Epoch(Offset(term), 0))
    assert longest is not None
    assert longest.lease == lease
    assert longest.services[_SERVICE].longest_deadline == lease * 2
    assert longest.services[_SERVICE].isolation_hold == hold


def test_history_is_bounded_and_loses_no_duration() -> None:
    """Merge the oldest base files, keeping the longest of each duration."""
    history: tuple[Durations, ...] = ()
    for since in range(3 * MAX_DURATIONS):
        history = add_durations(history, _build(since, 99 - since))
    assert len(history) == MAX_DURATIONS
    longest = find_longest(history, Epoch(Offset(0), 0))
    assert longest is not None
    assert longest.lease == Seconds(99)


def test_same_durations_are_added_once() -> None:
    """Keep the offset since which unchanged durations have been in force."""
    history = add_durations((_build(3, 2),), _build(9, 2))
    assert [each.since for each in history] == [3]


def _shorten_lease(bench: Bench) -> None:
    """Shorten the lease while a holder is cut off, and move its shards."""
    split(bench, alone=1)
    bench.fleet.log.append((bench.scene.shorten(lease=1.5),))
    bench.run(8)
    move_all(bench, *bench.scene.server_ids[:2])
    bench.run(3)


def _limit_hold(bench: Bench) -> None:
    """Limit the hold while a zone with an unlimited one is cut off."""
    bench.fleet.schedule.add(1, lambda: _publish_hold(bench))
    cut_zone(bench)


def _publish_hold(bench: Bench) -> None:
    bench.fleet.log.append((bench.scene.shorten(lease=1.5, hold=2),))


@dataclass(frozen=True, slots=True)
class _Case:
    name: str
    scene: Scene
    course: Callable[[Bench], None]


_CASES = (
    _Case(
        'lease',
        Scene(seed=5, checks_grants=False, lease=30),
        _shorten_lease,
    ),
    _Case(
        'hold',
        Scene(seed=5, zones=2, servers=1, hold=None),
        _limit_hold,
    ),
)


def _find_newest(
    history: tuple[Durations, ...],
    term: Epoch,
) -> Durations | None:
    return history[-1] if history else None


def _run_case(case: _Case) -> list[str]:
    with open_bench(case.scene) as bench:
        bench.run(4)
        case.course(bench)
        join(bench)
        bench.run(1)
        return bench.violations


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case.name)
def test_shorter_durations_make_no_second_owner(case: _Case) -> None:
    """Detect two owners only if durations of former base files are ignored."""
    assert not _run_case(case)
    with (
        patch.object(leases, 'find_longest', _find_newest),
        patch.object(recovery, 'find_longest', _find_newest),
    ):
        assert _run_case(case)
