"""Drive entry processes and a dispatcher through a scene in virtual time."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from unittest.mock import patch

from measure.idleness import Refused, match_idle_time
from measure.processes import (
    FAR_ENTRY,
    NEAR_ENTRY,
    answer_authority,
    build_fleet,
    build_measured_request,
    server_name,
)
from measure.scenes import (
    DEADLINES,
    FAR_CALLERS,
    FAR_DELAY,
    NEAR_DELAY,
    Deployment,
    Scene,
    Trouble,
)
from measure.servers import FakeServer
from measure.streams import Stream, list_streams
from measure.tally import Ended
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
# Part of the reports on pressure that get lost in the lossy scene.
_LOST_REPORTS = 0.9
_DRAIN = 6.0


@dataclass(frozen=True, slots=True)
class Arrival:
    """Let the next call of a stream arrive."""

    stream: Stream


@dataclass(slots=True)
class PendingCall:
    """Remember a call that has not been answered."""

    stream: Stream
    arrived: float
    # Drawn apart, to judge a refusal by.
    needs: float
    far: bool


@dataclass(frozen=True, slots=True)
class Refusal:
    """Keep a refused call until the idle time is known."""

    pending: PendingCall
    answer: Answer
    answered: float


@dataclass(slots=True)
class Simulation:
    """Hold one scene under one discipline."""

    deployment: Deployment
    scene: Scene
    discipline: Discipline
    seed: int
    # For what the network does; the streams have their own.
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
    needs: dict[bytes, float] = field(default_factory=dict)
    ended: list[Ended] = field(default_factory=list)
    # Forwards between the regions whose request was then refused.
    crossed_in_vain: int = 0

    def run(self) -> None:
        """Run the scene until everything is answered."""
        self.nodes = build_fleet(self.deployment, self.discipline)
        for service in self.deployment.services:
            self.servers[server_name(service)] = FakeServer(
                self.scene,
                Random(self.seed),
            )
        for stream in list_streams(self.deployment, self.scene, self.seed):
            self._plan_arrival(stream, stream.begin)
        with _authority_by_view():
            self._work_off()
        self._judge_refusals()

    def _work_off(self) -> None:
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
        needs = stream.draw_time()
        pending = PendingCall(stream, self.now, needs, far)
        self.pending[call_id] = pending
        request = build_measured_request(
            stream.service.name,
            stream.rank,
            stream.member,
            f'token-{call_id}',
            _WALL + self.now,
        )
        self.needs[request.key] = needs
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
        """End a request at its server; a cancelled one has ended before."""
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
            self.crossed_in_vain += far and refused
            if _loses_report(self.scene, self.random):
                message = _drop_report(message)
        event = MessageReceived(node_id, message)
        self._schedule(self.now + delay, effect.node, event)

    def _start_attempt(self, node_id: NodeId, effect: RunAttempt) -> None:
        needs = self.needs[effect.request.key]
        ending = self.servers[effect.server].start(self.now, needs)
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
            self._note_ended(pending, answer, self.now, wrongly=False)

    def _judge_refusals(self) -> None:
        for name, server in self.servers.items():
            refusals = [
                refusal
                for refusal in self.refusals
                if server_name(refusal.pending.stream.service) == name
            ]
            fits = match_idle_time(
                server.idle,
                [_limit_refusal(refusal) for refusal in refusals],
            )
            for refusal, wrongly in zip(refusals, fits, strict=True):
                self._note_ended(
                    refusal.pending,
                    refusal.answer,
                    refusal.answered,
                    wrongly=wrongly,
                )

    def _note_ended(
        self,
        pending: PendingCall,
        answer: Answer,
        answered: float,
        *,
        wrongly: bool,
    ) -> None:
        stream = pending.stream
        self.ended.append(
            Ended(
                service=stream.service.name,
                rank=stream.rank,
                arrived=pending.arrived,
                answered=answered,
                outcome=answer.outcome,
                flooding=stream.flooding,
                wrongly=wrongly,
            ),
        )


def _limit_refusal(refusal: Refusal) -> Refused:
    """Say in which time the request could still have been run."""
    pending = refusal.pending
    delay = FAR_DELAY if pending.far else NEAR_DELAY
    deadline = pending.arrived + DEADLINES[pending.stream.rank]
    return Refused(pending.arrived + delay, deadline - delay, pending.needs)


def _loses_report(scene: Scene, random: Random) -> bool:
    if scene.trouble is not Trouble.lossy:
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
def _authority_by_view() -> Iterator[None]:
    """Let the view alone decide; the measured dispatcher keeps its roles."""
    with ExitStack() as stack:
        for module in (acceptance, sending):
            replaced = patch.object(
                module,
                'check_authority',
                answer_authority,
            )
            stack.enter_context(replaced)
        yield
