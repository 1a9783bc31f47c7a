"""Check the age of keys that a shard's new dispatcher accepts as never run."""

import pytest

from tests.bench import (
    EPOCH,
    FIRST,
    SERVER,
    SHARD,
    SKEW,
    TERM,
    WALL,
    Bench,
    build_bench,
    build_request,
)
from tests.faults import moment_of
from trefoilsaddle.core import acceptance, sending, settling
from trefoilsaddle.core.dutystate import Duty
from trefoilsaddle.core.events import TimerExpired, TimerKey, TimerKind
from trefoilsaddle.core.outcomes import adopt_shard
from trefoilsaddle.results import ResultCode

# A floor is this much later than the time of the first authority.
_FLOOR_MARGIN = 2 * SKEW


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> Bench:
    """Build a bench whose first dispatcher has just taken a server over."""
    built = build_bench()
    for module in (acceptance, sending, settling):
        monkeypatch.setattr(module, 'check_authority', built.check_authority)
    duty = Duty(SERVER, TERM, (), (), None, moment_of(built).monotonic)
    duty.shards[SHARD] = EPOCH
    node = built.nodes[FIRST]
    node.duties.held[SERVER] = duty
    adopt_shard(node, moment_of(built), SHARD, fresh=False)
    return built


@pytest.mark.parametrize(
    ('pause', 'age', 'code'),
    [
        (_FLOOR_MARGIN + 1, 0, ResultCode.ok),
        (_FLOOR_MARGIN + 1, 0.9, ResultCode.ok),
        (_FLOOR_MARGIN + 1, 1.1, ResultCode.outcome_forgotten),
        (0.1, 0, ResultCode.outcome_forgotten),
    ],
)
def test_doubt_ends_without_a_request(
    bench: Bench,
    pause: float,
    age: float,
    code: ResultCode,
) -> None:
    """Check that the floor is set at the take-over, not the first request."""
    grant = TimerKey(TimerKind.grant, SERVER)
    bench.feed(FIRST, TimerExpired(grant))
    bench.run(pause)
    request = build_request('token-1', created=WALL + bench.now - age)
    call_id = bench.call(1, request)
    bench.run()
    assert bench.last_answer(call_id).code is code
