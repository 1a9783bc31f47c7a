"""Simulate entry processes and a dispatcher in a scene, in virtual time."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from unittest.mock import patch

from measure.idleness import RefusedRequest, match_idle_time
from measure.processes import (
    FAR_ENTRY,
    NEAR_ENTRY,
    build_fleet,
    build_measured_request,
    grant_authority,
    server_name,
)
from measure.scenes import (
    DEADLINES,
    FAR_CALLERS,
    FAR_DELAY,
    NEAR_DELAY,
    Deployment,
    FaultKind,
    Scene,
)
from measure.servers import FakeServer
from measure.streams import Stream, list_streams
from measure.tally import EndedCall
from trefoilsaddle.core import acceptance, sending
from trefoilsaddle.core.calls import Answer, Call, Reply
from trefoilsaddle.core.disciplines import Discipline
from trefoilsaddle.core.effects import (
    AnswerCaller,
    CancelAttempt,
    CancelTimer,
    Effect,
    RunAttempt,
    SendMessage,
    SetTimer,
)
from trefoilsaddle.core.events import (
    AttemptEnded,
    AttemptVerdict,
    CallArrived,
    Event,
    MessageReceived,
    Occurrence,
    TimerExpired,
    TimerKey,
)
from trefoilsaddle.core.messages import ForwardAnswer
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.reducer import reduce
from trefoilsaddle.core.units import (
    AttemptId,
    CallId,
    Moment,
    NodeId,
    Seconds,
)
from trefoilsaddle.results import Outcome

_WALL = 1_000_000
# Fraction of the pressure reports that are lost in the lossy scene.
_LOST_REPORTS = 0.9
_DRAIN = 6.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Event for the next call of a stream."""

    stream: Stream


@dataclass(slots=True)
class PendingCall:
    """Call that has not been answered yet."""

    stream: Stream
    arrived: float
    # Service time, drawn on arrival to check later if a refusal was avoidable.
    service_time: float
    far: bool


@dataclass(frozen=True, slots=True)
class Refusal:
    """Refused call, kept until the servers' idle time is known."""

    pending: PendingCall
    answer: Answer
    answered: float


@dataclass(slots=True)
class Simulation:
    """Simulation of one scene under one discipline."""

    deployment: Deployment
    scene: Scene
    discipline: Discipline
    seed: int
    # Random generator of the network; the streams have their own.
    random: Random
    now: float = 0
    counter: int = 0
    queue: list[tuple[float, int, NodeId, Event | Arrival]] = field(
        default_factory=list,
    )
    timers: dict[tuple[NodeId, TimerKey], int] = field(default_factory=dict)
    nodes: dict[NodeId, Node] = field(default_factory=dict)
    servers: dict[str, FakeServer] = field(default_factory=dict)
    attempts: set[AttemptId] = field(default_factory=set)
    pending: dict[CallId, PendingCall] = field(default_factory=dict)
    refusals: list[Refusal] = field(default_factory=list)
    service_times: dict[bytes, float] = field(default_factory=dict)
    ended: list[EndedCall] = field(default_factory=list)
    # Number of forwards between the regions whose request was then refused.
    wasted_forwards: int = 0

    def run(self) -> None:
        """Run the scene and the time to answer the last calls."""
        self.nodes = build_fleet(self.deployment, self.discipline)
        for service in self.deployment.services:
            self.servers[server_name(service)] = FakeServer(
                self.scene,
                Random(self.seed),
            )
        for stream in list_streams(self.deployment, self.scene, self.seed):
            self._plan_arrival(stream, stream.begin)
        with _replace_authority():
            self._process_events()
        self._evaluate_refusals()

    def _process_events(self) -> None:
        last = self.scene.last + _DRAIN
        while self.queue and self.queue[0][0] < last:
            due, number, node_id, event = heappop(self.queue)
            self.now = due
            if isinstance(event, Arrival):
                self._arrive(event.stream)
            elif self._is_current(number, node_id, event):
                self._feed(node_id, event)

    def _plan_arrival(self, stream: Stream, start: float) -> None:
        due = start + stream.random.expovariate(stream.rate)
        if due < stream.end:
            self._schedule(due, NEAR_ENTRY, Arrival(stream))

    def _arrive(self, stream: Stream) -> None:
        self._plan_arrival(stream, self.now)
        self.counter += 1
        call_id = CallId(self.counter)
        far = stream.random.random() < FAR_CALLERS
        service_time = stream.draw_time()
        pending = PendingCall(stream, self.now, service_time, far)
        self.pending[call_id] = pending
        request = build_measured_request(
            stream.service.name,
            stream.rank,
            stream.member,
            f'token-{call_id}',
            _WALL + self.now,
        )
        self.service_times[request.key] = service_time
        entry = FAR_ENTRY if far else NEAR_ENTRY
        self._feed(entry, CallArrived(Call(call_id, request)))

    def _schedule(
        self,
        due: float,
        node_id: NodeId,
        event: Event | Arrival,
    ) -> int:
        self.counter += 1
        heappush(self.queue, (due, self.counter, node_id, event))
        return self.counter

    def _is_current(self, number: int, node_id: NodeId, event: Event) -> bool:
        if isinstance(event, TimerExpired):
            return self.timers.get((node_id, event.timer)) == number
        if isinstance(event, AttemptEnded):
            return self._end_attempt(event)
        return True

    def _end_attempt(self, event: AttemptEnded) -> bool:
        """End a request at its server, unless it was cancelled before."""
        if event.attempt not in self.attempts:
            return False
        self.attempts.remove(event.attempt)
        if event.verdict is AttemptVerdict.answered:
            self.servers[event.server].stop(self.now)
        return True

    def _feed(self, node_id: NodeId, event: Event) -> None:
        moment = Moment(Seconds(self.now), Seconds(_WALL + self.now))
        effects = reduce(self.nodes[node_id], Occurrence(moment, event))
        for effect in effects:
            self._perform(node_id, effect)

    def _perform(self, node_id: NodeId, effect: Effect) -> None:
        match effect:
            case SendMessage():
                self._send(node_id, effect)
            case SetTimer(timer, delay):
                due = self.now + delay
                number = self._schedule(due, node_id, TimerExpired(timer))
                self.timers[node_id, timer] = number
            case CancelTimer(timer):
                self.timers.pop((node_id, timer), None)
            case RunAttempt():
                self._start_attempt(node_id, effect)
            case CancelAttempt():
                if effect.attempt in self.attempts:
                    self.attempts.remove(effect.attempt)
                    self.servers[effect.server].stop(self.now)
            case AnswerCaller(call_id, answer):
                self._answer(call_id, answer)

    def _send(self, node_id: NodeId, effect: SendMessage) -> None:
        far = FAR_ENTRY in {node_id, effect.node}
        delay = FAR_DELAY if far else NEAR_DELAY
        message = effect.message
        if isinstance(message, ForwardAnswer):
            refused = message.answer.outcome is Outcome.not_run
            self.wasted_forwards += far and refused
            if _loses_report(self.scene, self.random):
                message = _drop_report(message)
        event = MessageReceived(node_id, message)
        self._schedule(self.now + delay, effect.node, event)

    def _start_attempt(self, node_id: NodeId, effect: RunAttempt) -> None:
        service_time = self.service_times[effect.request.key]
        ending = self.servers[effect.server].start(self.now, service_time)
        self.attempts.add(effect.attempt)
        reply = None
        if ending.verdict is AttemptVerdict.answered:
            reply = Reply(200, 'text/plain', b'')
        event = AttemptEnded(
            effect.server,
            effect.attempt,
            ending.verdict,
            reply,
        )
        self._schedule(ending.time, node_id, event)

    def _answer(self, call_id: CallId, answer: Answer) -> None:
        pending = self.pending.pop(call_id)
        if answer.outcome is Outcome.not_run:
            self.refusals.append(Refusal(pending, answer, self.now))
        else:
            self._record_ended(pending, answer, self.now, avoidable=False)

    def _evaluate_refusals(self) -> None:
        for name, server in self.servers.items():
            refusals = [
                refusal
                for refusal in self.refusals
                if server_name(refusal.pending.stream.service) == name
            ]
            fits = match_idle_time(
                server.idle,
                [_build_refused(refusal) for refusal in refusals],
            )
            for refusal, avoidable in zip(refusals, fits, strict=True):
                self._record_ended(
                    refusal.pending,
                    refusal.answer,
                    refusal.answered,
                    avoidable=avoidable,
                )

    def _record_ended(
        self,
        pending: PendingCall,
        answer: Answer,
        answered: float,
        *,
        avoidable: bool,
    ) -> None:
        stream = pending.stream
        self.ended.append(
            EndedCall(
                service=stream.service.name,
                rank=stream.rank,
                arrived=pending.arrived,
                answered=answered,
                outcome=answer.outcome,
                flooding=stream.flooding,
                avoidable=avoidable,
            ),
        )


def _build_refused(refusal: Refusal) -> RefusedRequest:
    """Return the time span in which a server could have run the request."""
    pending = refusal.pending
    delay = FAR_DELAY if pending.far else NEAR_DELAY
    deadline = pending.arrived + DEADLINES[pending.stream.rank]
    return RefusedRequest(
        pending.arrived + delay, deadline - delay, pending.service_time
    )


def _loses_report(scene: Scene, random: Random) -> bool:
    if scene.fault is not FaultKind.lossy:
        return False
    return random.random() < _LOST_REPORTS


def _drop_report(message: ForwardAnswer) -> ForwardAnswer:
    return ForwardAnswer(
        attempt=message.attempt,
        answer=message.answer,
        owner=message.owner,
        holder=message.holder,
        applied=message.applied,
        pressure=None,
    )


@contextmanager
def _replace_authority() -> Iterator[None]:
    """Replace the authority check, as the dispatcher keeps its roles."""
    with ExitStack() as stack:
        for module in (acceptance, sending):
            replaced = patch.object(
                module,
                'check_authority',
                grant_authority,
            )
            stack.enter_context(replaced)
        yield
