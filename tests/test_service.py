"""Check that requests are answered, also after a freeze, without leaks."""

from dataclasses import replace

import pytest

from tests.bench import (
    ENTRY,
    FIRST,
    SHARD,
    WALL,
    Bench,
    build_bench,
    build_request,
)
from tests.faults import Fault, answers, lose, runs
from trefoilsaddle.core import acceptance, sending
from trefoilsaddle.core.effects import Component, CountMetric
from trefoilsaddle.core.outcomes import adopt_shard
from trefoilsaddle.core.units import Moment, Seconds
from trefoilsaddle.results import Outcome


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> Bench:
    """Build a bench whose first dispatcher serves a fresh shard."""
    built = build_bench()
    for module in (acceptance, sending):
        monkeypatch.setattr(module, 'check_authority', built.check_authority)
    moment = Moment(Seconds(0), Seconds(WALL))
    adopt_shard(built.nodes[FIRST], moment, SHARD, fresh=True)
    return built


@pytest.mark.parametrize('token', ['', 'token-1'])
def test_request_is_answered(bench: Bench, token: str) -> None:
    """Check that a request gets the server's reply and is counted once."""
    call_id = bench.call(1, build_request(token))
    bench.run()
    answer = bench.last_answer(call_id)
    assert answer.outcome is Outcome.answered
    assert answer.reply is not None
    assert answer.reply.body == b'body'
    assert len(bench.ran) == 1
    counted = CountMetric(Component.routing, 'rank-0.answered.ok')
    assert bench.effects.count((ENTRY, counted)) == 1


def test_resumed_server_gets_requests(bench: Bench) -> None:
    """Check that a server gets requests again soon after a long freeze.

    Entry processes must not go on refusing because of old pressure reports.
    """
    bench.hook = Fault(runs, lose, always=True)
    for number in range(600):
        bench.schedule_call(number / 20, build_request(remaining=0.4))
    bench.run(30)
    bench.hook = None
    arrived = [
        bench.schedule_call(later / 20, build_request(remaining=0.4))
        for later in range(80)
    ]
    bench.run(10)
    late = arrived[40:]
    outcomes = {bench.last_answer(call_id).outcome for call_id in late}
    assert outcomes == {Outcome.answered}


def test_no_secret_is_shown(bench: Bench) -> None:
    """Check that the repr of states and effects shows no secret."""
    bench.hook = Fault(answers, lose)
    for number in range(6):
        request = build_request(f'hidden-{number}', body=b'hidden')
        hidden = replace(request, key=b'hidden', path='/hidden')
        bench.call(number, hidden)
        bench.run(0.004)
    shown = [repr(node) for node in bench.nodes.values()]
    shown.extend(repr(effect) for _, effect in bench.effects)
    assert 'checkout' in ''.join(shown)
    assert 'hidden' not in ''.join(shown)
