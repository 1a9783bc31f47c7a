"""Inject each fault at each step of a request; check answers against runs."""

from dataclasses import dataclass
from types import MappingProxyType

import pytest

from tests.bench import (
    FIRST,
    OTHER_SERVER,
    SECOND,
    SHARD,
    TERM,
    WALL,
    Bench,
    assign_role,
    build_bench,
    build_request,
)
from tests.faults import (
    Action,
    EndWith,
    Fault,
    Step,
    answers,
    cut_after,
    cut_before,
    delay,
    disconnect_caller,
    duplicate,
    forwards,
    lose,
    lose_dispatcher,
    moment_of,
    move_away,
    refuse_connection,
    run_and_answer_late,
    run_and_freeze,
    runs,
)
from trefoilsaddle.core import acceptance, sending
from trefoilsaddle.core.events import AttemptVerdict
from trefoilsaddle.core.outcomes import adopt_shard
from trefoilsaddle.core.units import CallId
from trefoilsaddle.results import Outcome, ResultCode

_TOKEN = 'token-1'
_DEADLINE = 1.0


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> Bench:
    """Build a bench whose first dispatcher serves a fresh shard."""
    built = build_bench()
    for module in (acceptance, sending):
        monkeypatch.setattr(module, 'check_authority', built.check_authority)
    adopt_shard(built.nodes[FIRST], moment_of(built), SHARD, fresh=True)
    assign_role(built, SECOND, TERM, OTHER_SERVER)
    return built


@dataclass(frozen=True, slots=True)
class Case:
    """Hold the expected results of a request under a fault, and of its retry.

    `code` is None if the request gets no answer.
    """

    step: Step
    action: Action
    # Code of the answer and number of runs, of a request with a token.
    code: ResultCode | None
    ran: int
    # The same after a retry with the same token.
    retry_code: ResultCode
    retry_ran: int
    # Code of the answer to an idempotent request.
    repeat_code: ResultCode | None
    always: bool = False


_OK = ResultCode.ok
_FORGOTTEN = ResultCode.outcome_forgotten
_LOST = ResultCode.answer_lost
_LATE = ResultCode.deadline_passed

_CASES = MappingProxyType(
    {
        'nothing': Case(runs, lambda *_: False, _OK, 1, _OK, 1, _OK),
        'forward lost': Case(forwards, lose, _LATE, 0, _OK, 1, _LATE),
        'forward delayed': Case(forwards, delay, _LATE, 1, _OK, 1, _LATE),
        'forward duplicated': Case(forwards, duplicate, _OK, 1, _OK, 1, _OK),
        'connection refused': Case(
            forwards, refuse_connection, _OK, 1, _OK, 1, _OK
        ),
        'cut before arrival': Case(
            forwards, cut_before, ResultCode.dispatcher_lost, 0, _OK, 1, _OK
        ),
        'cut after arrival': Case(
            forwards, cut_after, ResultCode.dispatcher_lost, 1, _OK, 1, _OK
        ),
        'answer lost': Case(answers, lose, _LATE, 1, _OK, 1, _LATE),
        'answer delayed': Case(answers, delay, _LATE, 1, _OK, 1, _LATE),
        'answer duplicated': Case(answers, duplicate, _OK, 1, _OK, 1, _OK),
        'answer cut': Case(
            answers, cut_before, ResultCode.dispatcher_lost, 1, _OK, 1, _OK
        ),
        'server frozen before': Case(runs, lose, _LATE, 0, _LOST, 0, _LATE),
        'server frozen after': Case(
            runs, run_and_freeze, _LATE, 1, _LOST, 1, _LATE
        ),
        'server late': Case(
            runs, run_and_answer_late, _LATE, 1, _LOST, 1, _LATE
        ),
        'server lost': Case(
            runs,
            EndWith(AttemptVerdict.lost, ran=True),
            ResultCode.server_lost,
            1,
            _LOST,
            1,
            _OK,
        ),
        'answer short': Case(
            runs,
            EndWith(AttemptVerdict.cut_short, ran=True),
            ResultCode.answer_cut_short,
            1,
            _LOST,
            1,
            _OK,
        ),
        'server unreachable': Case(
            runs, EndWith(AttemptVerdict.unsent, ran=False), _OK, 1, _OK, 1, _OK
        ),
        'server unreachable for long': Case(
            runs,
            EndWith(AttemptVerdict.unsent, ran=False),
            ResultCode.server_unreachable,
            0,
            ResultCode.deadline_unreachable,
            0,
            ResultCode.server_unreachable,
            always=True,
        ),
        'fenced': Case(
            runs, EndWith(AttemptVerdict.fenced, ran=False), _OK, 1, _OK, 1, _OK
        ),
        'draining': Case(
            runs,
            EndWith(AttemptVerdict.draining, ran=False),
            _OK,
            1,
            _OK,
            1,
            _OK,
        ),
        'shed': Case(
            runs, EndWith(AttemptVerdict.shed, ran=False), _OK, 1, _OK, 1, _OK
        ),
        'expired': Case(
            runs,
            EndWith(AttemptVerdict.expired, ran=False),
            ResultCode.deadline_unreachable,
            0,
            _OK,
            1,
            ResultCode.deadline_unreachable,
        ),
        'dispatcher lost before': Case(
            forwards,
            lose_dispatcher,
            ResultCode.dispatcher_lost,
            0,
            _FORGOTTEN,
            0,
            _OK,
        ),
        'dispatcher lost after': Case(
            runs,
            lose_dispatcher,
            ResultCode.dispatcher_lost,
            0,
            _FORGOTTEN,
            0,
            _OK,
        ),
        'dispatcher lost with the answer': Case(
            answers,
            lose_dispatcher,
            ResultCode.dispatcher_lost,
            1,
            _FORGOTTEN,
            1,
            _OK,
        ),
        'moved before arrival': Case(forwards, move_away, _OK, 1, _OK, 1, _OK),
        'moved while running': Case(
            runs, move_away, _OK, 1, _FORGOTTEN, 1, _OK
        ),
        'moved after the answer': Case(answers, move_away, _OK, 1, _OK, 1, _OK),
        'caller gone early': Case(
            forwards, disconnect_caller, None, 1, _OK, 1, None
        ),
    }
)


@pytest.mark.parametrize('name', _CASES)
def test_fault_of_unrepeatable_request(bench: Bench, name: str) -> None:
    """Check that it runs at most once and that it and its retry are answered."""
    case = _CASES[name]
    bench.hook = Fault(case.step, case.action, case.always)
    _make_call(bench, 1, _TOKEN, case.code)
    assert bench.count_runs(_TOKEN) == case.ran
    _make_call(bench, 2, _TOKEN, case.retry_code)
    assert bench.count_runs(_TOKEN) == case.retry_ran


@pytest.mark.parametrize('name', _CASES)
def test_fault_of_idempotent_request(bench: Bench, name: str) -> None:
    """Check that it is repeated within its deadline where that can help."""
    case = _CASES[name]
    bench.hook = Fault(case.step, case.action, case.always)
    _make_call(bench, 1, '', case.repeat_code)


def _make_call(
    bench: Bench,
    number: int,
    token: str,
    code: ResultCode | None,
) -> None:
    """Make a call and check its answer against the server's runs."""
    request = build_request(token, created=WALL, remaining=_DEADLINE)
    call_id = CallId(number)
    start = bench.now
    bench.call(number, request)
    bench.run()
    if code is None:
        assert call_id not in bench.answers
        return
    answer = bench.last_answer(call_id)
    assert answer.code is code
    assert bench.answered_at[call_id] <= start + _DEADLINE
    if answer.outcome is Outcome.not_run:
        assert all(run.call_id != call_id for run in bench.ran)
