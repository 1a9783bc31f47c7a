"""Test that the replay of a recorded trace gives the same effects."""

import json
from base64 import b64encode
from dataclasses import dataclass, field, is_dataclass, replace
from functools import partial
from io import StringIO
from typing import Any, get_args

import pytest
from hypothesis import given, settings, strategies

from measure import process as fleet_process
from measure.fleet import Fleet
from measure.process import Process
from tests.samples import build_samples
from tests.sites import make_options, publish_sites
from trefoilsaddle.core.calls import Call, IdempotencyKey, Reply, Request
from trefoilsaddle.core.effects import (
    AnswerCaller,
    Effect,
    Effects,
    RunAttempt,
    SendGrant,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import (
    AttemptEnded,
    AttemptVerdict,
    CallArrived,
    Event,
    GrantAnswered,
    GrantVerdict,
    Occurrence,
    ServerStamp,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.options import Options
from trefoilsaddle.core.reducer import reduce
from trefoilsaddle.core.units import (
    CallId,
    MemberName,
    NodeId,
    Rank,
    Seconds,
    ServiceName,
)
from trefoilsaddle.results import Outcome
from trefoilsaddle.tracejson import decode_data, encode_data
from trefoilsaddle.traces import LineRecorder, ReplayStep, replay_trace
from trefoilsaddle.tracesecrets import AliasRedactor, NoRedactor, Redactor

_KEY = b'very-secret-key'
_BODY = b'very-secret-body'
_TOKEN = 'very-secret-token'
_PATH = '/very-secret-path'
_SECRETS = (_KEY, _BODY, _TOKEN.encode(), _PATH.encode())
_BLANK = 'blank'
_CALLS = 20
_DISPATCHERS = 4
_REDACTORS = (NoRedactor(), AliasRedactor(b'hash key'))


@dataclass
class _RecordedProcess:
    """Hold the trace of one process and its original effects."""

    output: StringIO
    recorder: LineRecorder
    live: list[tuple[Effect, ...]] = field(default_factory=list)

    def list_lines(self) -> list[str]:
        """Return the lines of the trace."""
        return self.output.getvalue().splitlines()


@dataclass
class _Scene:
    """Run a small fleet, record each process, and simulate its servers."""

    redactor: Redactor
    fleet: Fleet = field(default_factory=partial(Fleet, seed=1))
    recorded_processes: dict[NodeId, _RecordedProcess] = field(
        default_factory=dict
    )
    answers: list[AnswerCaller] = field(default_factory=list)

    def reduce(self, node: Node, occurrence: Occurrence) -> Effects:
        """Record an event, then reduce it."""
        recorded = self._find_recorded(node.options)
        recorded.recorder.record(node, occurrence)
        effects = reduce(node, occurrence)
        recorded.live.append(tuple(effects))
        return effects

    def perform(self, process: Process, effect: Effect) -> None:
        """Perform the effects that the fleet does not perform itself."""
        match effect:
            case SendGrant():
                stamp = ServerStamp('instance', process.clock)
                event: Event = GrantAnswered(
                    server=effect.server,
                    sequence=effect.sequence,
                    verdict=GrantVerdict.accepted,
                    term=effect.term,
                    sent=process.clock,
                    draining=False,
                    stamp=stamp,
                )
                self._answer(process, event)
            case RunAttempt():
                ended = AttemptEnded(
                    effect.server,
                    effect.attempt,
                    AttemptVerdict.answered,
                    Reply(200, 'a/b', _BODY),
                )
                self._answer(process, ended)
            case AnswerCaller():
                self.answers.append(effect)

    def play(self) -> None:
        """Publish a configuration, start the fleet and make calls."""
        self.fleet.perform_other = self.perform
        publish_sites(self.fleet)
        for index in range(_DISPATCHERS + 1):
            options = make_options(index, _DISPATCHERS)
            dispatches = index < _DISPATCHERS
            self.fleet.start(replace(options, dispatches=dispatches))
        # Longer than idempotency keys from before the start are refused.
        self.fleet.run(20)
        entry = self.fleet.processes[NodeId('node-4')]
        start = self.fleet.schedule.now
        for number in range(_CALLS):
            call = Call(CallId(number), _build_request(number, start))
            self.fleet.deliver(entry, CallArrived(call))
            self.fleet.run(0.5)
        self.fleet.run(5)

    def _answer(self, process: Process, event: Event) -> None:
        deliver = partial(self.fleet.deliver, process, event)
        self.fleet.schedule.add(0.01, deliver)

    def _find_recorded(self, options: Options) -> _RecordedProcess:
        if options.node not in self.recorded_processes:
            output = StringIO()
            recorder = LineRecorder(output, options, self.redactor)
            self.recorded_processes[options.node] = _RecordedProcess(
                output, recorder
            )
        return self.recorded_processes[options.node]


def _build_request(number: int, now: float) -> Request:
    idempotent = number % 2 == 0
    # Each token is used twice.
    pair = number // 4
    token = f'{_TOKEN}-{pair}'
    return Request(
        service=ServiceName('catalogue'),
        member=MemberName('kushiro'),
        rank=Rank(0),
        key=b'%s-%d' % (_KEY, pair),
        method='POST',
        path=_PATH,
        content_type='a/b',
        body=_BODY,
        idempotent=idempotent,
        idempotency_key=None
        if idempotent
        else IdempotencyKey(Seconds(now), token),
        remaining=Seconds(3),
    )


@pytest.fixture(params=_REDACTORS, ids=['clear', 'hidden'])
def scene(
    request: pytest.FixtureRequest,
    monkeypatch: pytest.MonkeyPatch,
) -> _Scene:
    """Run the scenario once with each redactor."""
    played = _Scene(request.param)
    monkeypatch.setattr(fleet_process, 'reduce', played.reduce)
    played.play()
    return played


def test_scene_answers_calls(scene: _Scene) -> None:
    """Check that the traces contain answered calls."""
    outcomes = [effect.answer.outcome for effect in scene.answers]
    assert len(outcomes) == _CALLS
    assert outcomes.count(Outcome.answered) >= _CALLS / 2


def test_replay_gives_the_same_effects(scene: _Scene) -> None:
    """Replay the original effects, apart from redacted secrets."""
    for recorded in scene.recorded_processes.values():
        steps = list(replay_trace(recorded.list_lines()))
        replayed = [_read_effects(step) for step in steps]
        assert replayed == [_blank(effects) for effects in recorded.live]


def test_secrets_are_hidden(scene: _Scene) -> None:
    """Contain secrets only in a trace in clear text."""
    lines = '\n'.join(
        line
        for recorded in scene.recorded_processes.values()
        for line in recorded.list_lines()
    )
    shown = [
        secret
        for secret in _SECRETS
        if secret.decode() in lines or _encode_part(secret) in lines
    ]
    assert bool(shown) is isinstance(scene.redactor, NoRedactor)


def _encode_part(secret: bytes) -> str:
    """Return the base64 text that a written secret starts with."""
    return b64encode(secret[:9]).decode()


def _read_effects(step: ReplayStep | Failure) -> Any:
    assert isinstance(step, ReplayStep)
    return _blank(step.effects)


def _blank(part: Any) -> Any:
    """Blank the fields that a redactor may change."""
    written = encode_data(part)
    return _blank_data(written)


def _blank_data(written: Any) -> Any:
    if isinstance(written, list):
        return [_blank_data(part) for part in written]
    if not isinstance(written, dict):
        return written
    hidden = {'key', 'path', 'body', 'token', 'fingerprint', 'key_hash'}
    return {
        name: _BLANK if name in hidden else _blank_data(part)
        for name, part in written.items()
    }


@pytest.mark.parametrize(
    'kind',
    get_args(Event),
    ids=lambda kind: kind.__name__,
)
@settings(max_examples=20)
@given(samples=strategies.data())
def test_event_survives(kind: Any, samples: strategies.DataObject) -> None:
    """Read back every kind of event from its JSON."""
    event = samples.draw(build_samples(kind))
    written = json.loads(json.dumps(encode_data(event)))
    assert is_dataclass(event)
    assert decode_data(Event, written) == event


_OPTIONS_LINE = json.dumps(encode_data(make_options(0, 1)))
_BROKEN_LINES = (
    '',
    '{',
    '[]',
    '7',
    '{"class": "Occurrence"}',
    '{"class": "Nothing", "moment": null, "event": null}',
    '{"class": "Occurrence", "moment": {"class": "Moment", "monotonic": 1, '
    '"wall": 1}, "event": {"class": "Nothing"}}',
    '{"class": "Occurrence", "moment": {"class": "Moment", "monotonic": "x", '
    '"wall": 1}, "event": {"class": "Started"}}',
)


@pytest.mark.parametrize('line', _BROKEN_LINES)
@pytest.mark.parametrize('first', [True, False])
def test_broken_line_ends_a_replay(line: str, first: bool) -> None:
    """End with a failure at a malformed line, without raising."""
    lines = [line] if first else [_OPTIONS_LINE, line]
    steps = list(replay_trace(lines))
    assert len(steps) == 1
    assert isinstance(steps[0], Failure)


def test_trace_is_bounded(scene: _Scene) -> None:
    """Stop recording at the size limit, since hosts have no disks."""
    lines = scene.recorded_processes[NodeId('node-0')].list_lines()
    options = make_options(0, 2)
    output = StringIO()
    recorder = LineRecorder(output, options, NoRedactor(), max_bytes=5000)
    node = scene.fleet.processes[options.node].node
    for line in lines[1:100]:
        recorder.record(node, decode_data(Occurrence, json.loads(line)))
    assert 5000 <= len(output.getvalue()) < 5000 + max(map(len, lines)) + 100
