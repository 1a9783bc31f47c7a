"""Test which requests are admitted when there is too little room."""

from dataclasses import replace

import pytest

from measure.overload import SCENES, Tally, run_scene
from trefoilsaddle.core.units import Seconds, ServerId
from trefoilsaddle.gateway.admission import (
    Capacity,
    Demand,
    DemandShare,
    RateShare,
    ServerRoom,
    Standing,
    answers_in_time,
    find_admitted_depth,
)
from trefoilsaddle.gateway.loadreports import HeardLoad
from trefoilsaddle.gateway.pools import Pools
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.statements import LoadReport

_NOW = Seconds(100)
_DEMAND = Demand(goal=Seconds(0.8), left=Seconds(1.2))
# Kinds that share their service with others, or have it alone.
_URGENT = replace(_DEMAND, standing=Standing(precedes=True))
_LEAST_URGENT = replace(_DEMAND, standing=Standing(yields=True))
_LEAST_URGENT_AGAIN = replace(
    _DEMAND, standing=Standing(yields=True, returned=True)
)
_ALONE = _DEMAND
_ALONE_AGAIN = replace(_DEMAND, standing=Standing(returned=True))
_LIFE = ServerIncarnation(ServerId('dispatcher-0'), 1)
_REPORT = LoadReport(running=6, waiting=4, slots=6, slowness=3)


# Guards against requests that wait at a server until their timeout.
@pytest.mark.parametrize(
    ('goal', 'left', 'mean', 'depth'),
    [
        (0.8, 1.2, 0.4, 1.5),
        (2, 1.5, 0.5, 2.5),
        (2, 0.6, 0.3, 1.5),
        (5, 8, 0.3, 3),
        (1, 1, 0, 3),
    ],
)
def test_depth_keeps_answers_within_the_goal(
    goal: float, left: float, mean: float, depth: float
) -> None:
    """Derive the depth from what is shorter, the goal or the time left."""
    demand = Demand(Seconds(goal), Seconds(left))
    room = ServerRoom(0, 6, Seconds(mean), Seconds(mean))
    assert find_admitted_depth(demand, room) == pytest.approx(depth)


# Guards against requests that wait in vain, and against a server that gets no request
# for good since it was slow when it was measured.
@pytest.mark.parametrize(
    ('busy', 'left', 'in_time'),
    [(0, 0.4, True), (5, 0.1, True), (11, 0.7, True), (11, 0.5, False)],
)
def test_request_that_cannot_end_in_time_does_not_wait(
    busy: float, left: float, *, in_time: bool
) -> None:
    """Compare the wait and the work with the time that is left."""
    room = ServerRoom(busy, 6, Seconds(0.3), Seconds(0.3))
    demand = replace(_DEMAND, left=Seconds(left))
    assert answers_in_time(demand, room) == in_time


# Requests saved up, the request, and whether it is admitted.
_PARTS = (
    (1, _URGENT, True),
    (0.9, _URGENT, False),
    (1, _LEAST_URGENT_AGAIN, False),
    (1.5, _LEAST_URGENT_AGAIN, True),
    (1.5, _LEAST_URGENT, False),
    (2, _LEAST_URGENT, True),
    (1, _ALONE_AGAIN, True),
    (1, _ALONE, False),
)


# Guards against a kind that is served less than a less urgent one, and against
# callers who come back and are refused for good while others have a further try.
@pytest.mark.parametrize(('saved', 'demand', 'admitted'), _PARTS)
def test_least_urgent_kind_leaves_some_of_the_part(
    saved: float, demand: Demand, *, admitted: bool
) -> None:
    """Admit by urgency, and among the least urgent those who come back."""
    share = RateShare(saved, _NOW)
    assert share.admit(demand, 0, _NOW) == admitted
    assert (share.find_wait(demand, 2) == 0) == admitted


def test_part_is_filled_at_its_rate_and_bounded() -> None:
    """Save up some requests, and no more."""
    share = RateShare(0, _NOW)
    assert not share.admit(_DEMAND, 4, Seconds(_NOW + 0.2))
    assert share.admit(_DEMAND, 4, Seconds(_NOW + 0.5))
    share.admit(_DEMAND, 4, Seconds(_NOW + 60))
    assert share.saved == 2


@pytest.mark.parametrize(
    ('busy', 'scarce', 'rate'),
    [(0, False, 58), (12, False, 46), (15, True, 43), (70, True, 0)],
)
def test_rate_follows_the_room_that_is_left(
    busy: float, rate: float, *, scarce: bool
) -> None:
    """Give out what the slots complete, and the room over a second."""
    room = ServerRoom(busy, 6, Seconds(0.15), Seconds(0.15))
    capacity = Capacity().add(room, 3)
    assert capacity.is_scarce() == scarce
    assert capacity.find_rate() == pytest.approx(rate)


@pytest.mark.parametrize(
    ('own', 'fleet', 'part'),
    [(0, 0, 0.1), (2, 10, 0.2), (9, 10, 0.3), (0, 10, 0.05)],
)
def test_part_follows_the_demand_within_bounds(
    own: float, fleet: float, part: float
) -> None:
    """Divide by the requests that arrive here, as callers are uneven."""
    share = DemandShare()
    for _ in range(200):
        share.add(own, fleet)
    assert share.find(10) == pytest.approx(part)


# Guards against choices by a load that is older than the sum of the reports.
@pytest.mark.parametrize(
    ('age', 'sum_age', 'busy'),
    [(0, 0.1, 10), (0.2, 0.1, 10), (0.29, 0, 5), (0.31, 0.2, 5)],
)
def test_reported_load_is_used_while_it_is_newest(
    age: float, sum_age: float, busy: float
) -> None:
    """Use it by its age, with the own requests since then."""
    pools = Pools(Seconds(0.15))
    pool = pools.find(_LIFE)
    pool.start_request(_NOW)
    pool.start_request(_NOW)
    pool.record_load(_REPORT, _NOW)
    pool.end_request(_NOW)
    now = Seconds(_NOW + age)
    pools.updated_at = now
    pool.apply_load(4, Seconds(0.15), Seconds(now - sum_age))
    assert pools.estimate_busy(pool, now, 60) == busy


@pytest.mark.parametrize(('age', 'slowness'), [(0, 3), (0.39, 3), (0.41, 1)])
def test_slowness_lasts_as_long_as_its_cause(
    age: float, slowness: float
) -> None:
    """Forget it when the neighbours of the machine have changed."""
    heard = HeardLoad(_REPORT, _NOW, 0)
    assert heard.find_slowness(Seconds(_NOW + age)) == slowness


def _run(name: str) -> dict[str, Tally]:
    return run_scene(SCENES[name], seed=1)


# The load of a burst of the least urgent kind at 2.7 times its usual rate: full
# servers reset connections, and the outcome of such a request is unknown.
def test_burst_does_not_fill_servers_that_reset() -> None:
    """Refuse what there is no room for, and serve the urgent kind first."""
    tallies = _run('burst of the least urgent kind')
    least, urgent = tallies['dispatch'], tallies['commission']
    assert least.fraction(least.failed) < 0.08
    assert urgent.fraction(urgent.failed) < 0.05
    assert urgent.fraction(urgent.in_goal) > least.fraction(least.in_goal)


# Guards against refusals while there is room: the part of a gateway with more
# callers than others was too small.
def test_nothing_is_refused_while_there_is_room() -> None:
    """Refuse next to nothing at the usual load."""
    for tally in _run('no burst').values():
        assert tally.fraction(tally.refusals) < 0.01
