"""Check graceful shutdown and the content of dumps."""

import json
from collections.abc import Callable
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
from trefoilsaddle.core import acceptance, sending
from trefoilsaddle.core.dumps import write_dump
from trefoilsaddle.core.effects import (
    CountMetric,
    Effect,
    ExitProcess,
    RunAttempt,
    SendMessage,
    WriteDump,
    WriteLogLine,
)
from trefoilsaddle.core.events import (
    AttemptVerdict,
    DumpRequested,
    MessageReceived,
    Started,
    StopRequested,
)
from trefoilsaddle.core.messages import DumpRead, DumpReply
from trefoilsaddle.core.outcomes import adopt_shard
from trefoilsaddle.core.units import CallId, Moment, NodeId, Seconds
from trefoilsaddle.results import Outcome, ResultCode

# One value for each kind of secret in a request.
_KEY = 'very-secret-key'
_BODY = 'very-secret-body'
_PATH = '/very-secret-path'
_TOKEN = 'very-secret-token'
_SECRETS = (_KEY, _BODY, _PATH, _TOKEN)
_LONG = Seconds(60)


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> Bench:
    """Build a bench whose first dispatcher serves a fresh shard."""
    built = build_bench()
    for module in (acceptance, sending):
        monkeypatch.setattr(module, 'check_authority', built.check_authority)
    moment = Moment(Seconds(0), Seconds(WALL))
    for node in built.nodes:
        built.feed(node, Started())
    adopt_shard(built.nodes[FIRST], moment, SHARD, fresh=True)
    return built


def _count_exits(bench: Bench, node: NodeId) -> int:
    return bench.effects.count((node, ExitProcess()))


def _hold_attempts(bench: Bench, node: NodeId, effect: Effect) -> bool:
    """Run attempts for longer than the bench's service time."""
    if not isinstance(effect, RunAttempt):
        return False
    bench.record_run(node, effect)
    bench.end(node, effect, AttemptVerdict.answered, delay=0.8)
    return True


def _never_end(bench: Bench, node: NodeId, effect: Effect) -> bool:
    """Suppress attempts, so that they never end."""
    return isinstance(effect, RunAttempt)


@pytest.mark.parametrize('stopped', [ENTRY, FIRST])
def test_stop_ends_what_is_in_flight(bench: Bench, stopped: NodeId) -> None:
    """Check that a stop waits for accepted requests before the exit."""
    bench.hook = _hold_attempts
    call_id = bench.call(1, build_request('token-1', remaining=5))
    bench.run(0.1)
    bench.feed(stopped, StopRequested())
    bench.run(0.6)
    assert not _count_exits(bench, stopped)
    bench.run(5)
    assert bench.last_answer(call_id).outcome is Outcome.answered
    assert _count_exits(bench, stopped) >= 1


@pytest.mark.parametrize('stopped', [ENTRY, FIRST])
def test_idle_process_stops_soon(bench: Bench, stopped: NodeId) -> None:
    """Check that an idle process exits after a short wait for late requests."""
    bench.feed(stopped, StopRequested())
    bench.run(0.4)
    assert not _count_exits(bench, stopped)
    bench.run(1)
    assert _count_exits(bench, stopped) >= 1


def test_second_request_to_stop_changes_nothing(bench: Bench) -> None:
    """Check that a second stop request has no effect on the timers."""
    bench.feed(FIRST, StopRequested())
    before = len(bench.effects)
    bench.feed(FIRST, StopRequested())
    assert len(bench.effects) == before


def test_stuck_process_stops_at_the_limit(bench: Bench) -> None:
    """Check the exit at the stop timeout with requests still in flight."""
    bench.hook = _never_end
    request = build_request(remaining=_LONG)
    bench.call(1, request)
    bench.run(0.1)
    bench.feed(FIRST, StopRequested())
    limit = bench.nodes[FIRST].options.stop_timeout
    bench.run(limit - 1)
    assert not _count_exits(bench, FIRST)
    bench.run(2)
    assert _count_exits(bench, FIRST)


def test_load_does_not_hold_up_a_stop(bench: Bench) -> None:
    """Check that new requests are refused if no process can take the role."""
    bench.feed(FIRST, StopRequested())
    for number in range(1, 31):
        bench.call(number, build_request(f'token-{number}'))
        bench.run(0.1)
    assert _count_exits(bench, FIRST)
    answers = [bench.last_answer(CallId(later)) for later in range(5, 8)]
    assert {answer.outcome for answer in answers} == {Outcome.not_run}
    assert {answer.code for answer in answers} == {ResultCode.stopping}


def _call_with_secrets(bench: Bench) -> None:
    """Make calls with secrets, so that processes hold them in their state."""
    bench.hook = _hold_attempts
    for number, token in enumerate((_TOKEN, ''), start=1):
        request = build_request(token, body=_BODY.encode(), remaining=5)
        request = replace(request, key=_KEY.encode(), path=_PATH)
        bench.call(number, request)
    bench.run(0.1)


def _dump(bench: Bench, node: NodeId) -> str:
    moment = Moment(Seconds(bench.now), Seconds(WALL))
    return write_dump(bench.nodes[node], moment)


def _repr_node(bench: Bench, node: NodeId) -> str:
    return repr(bench.nodes[node])


def _repr_outputs(bench: Bench, node: NodeId) -> str:
    outputs = (WriteLogLine, CountMetric, WriteDump)
    shown = [
        effect for _, effect in bench.effects if isinstance(effect, outputs)
    ]
    return repr(shown)


def _repr_effects(bench: Bench, node: NodeId) -> str:
    return repr(bench.effects)


@pytest.mark.parametrize('settled', [False, True])
@pytest.mark.parametrize('node', [ENTRY, FIRST])
@pytest.mark.parametrize(
    'look',
    [_dump, _repr_node, _repr_outputs, _repr_effects],
)
def test_secrets_are_not_shown(
    bench: Bench,
    look: Callable[[Bench, NodeId], str],
    node: NodeId,
    settled: bool,
) -> None:
    """Check dumps, states and log lines for keys, bodies, paths and tokens."""
    _call_with_secrets(bench)
    if settled:
        bench.run(5)
    shown = look(bench, node)
    assert [secret for secret in _SECRETS if secret in shown] == []


def test_dump_shows_current_state(bench: Bench) -> None:
    """Check version, roles and request counts in dumps."""
    _call_with_secrets(bench)
    dump = json.loads(_dump(bench, FIRST))
    assert dump['version'] == 1
    assert dump['node'] == FIRST
    assert dump['servers'][0]['dispatcher'] == FIRST
    queue = dump['queues'][0]
    assert queue['running'] + sum(queue['waiting']) == 2
    assert json.loads(_dump(bench, ENTRY))['pending_calls'] == 2


def test_dump_is_given_on_request(bench: Bench) -> None:
    """Check that a peer's request and a signal produce the same dump."""
    command = NodeId('command-1')
    bench.feed(FIRST, MessageReceived(command, DumpRead(4)))
    bench.feed(FIRST, DumpRequested())
    text = _dump(bench, FIRST)
    reply = SendMessage(command, DumpReply(4, text))
    assert (FIRST, reply) in bench.effects
    assert (FIRST, WriteDump(text)) in bench.effects
