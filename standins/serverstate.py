"""Decide what a backend server does, in virtual time: fence, slots, faults."""

from dataclasses import dataclass, field
from enum import Enum, unique

from trefoilsaddle.core.events import GrantedShard, ServerStamp
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    NodeId,
    Seconds,
    ServerId,
    ShardId,
)

# In seconds.
_SERVICE_TIME = 0.005


@unique
class NotRun(Enum):
    """Name the reasons for which a server runs nothing."""

    fenced = 'fenced'
    shed = 'shed'
    draining = 'draining'
    expired = 'expired'


@dataclass(frozen=True, slots=True)
class ServerTraits:
    """Say what a server is; fixed for its whole run."""

    server: ServerId
    checks_grants: bool = True
    slots: int = 3
    # Differs after each restart.
    instance: str = 'first'
    # Time that a request takes on a warm server.
    service_time: Seconds = Seconds(_SERVICE_TIME)
    # For this long after its start a server is cold.
    cold_period: Seconds = Seconds(0)
    cold_factor: float = 4


@dataclass(frozen=True, slots=True)
class ServerSwitches:
    """Turn the server's faults on and off."""

    draining: bool = False
    shedding: bool = False
    # A frozen server goes on, when it wakes, as if nothing had happened.
    frozen: bool = False
    # Added to the time of every request.
    delay: Seconds = Seconds(0)
    # Number of coming requests that run but are answered short.
    short_answers: int = 0
    # Load told by the health endpoint; None tells the truth.
    told_load: float | None = None


@dataclass(frozen=True, slots=True)
class GrantCall:
    """Ask a server to take and to give up shards."""

    dispatcher: NodeId
    term: Epoch
    sequence: int
    duration: Seconds
    whole: bool
    granted: tuple[GrantedShard, ...]
    revoked: tuple[ShardId, ...]
    # Stamp of an earlier answer; the grants lapse `duration` after it.
    stamp: ServerStamp | None = None


@dataclass(frozen=True, slots=True)
class GrantResult:
    """Answer a grant call."""

    accepted: bool
    term: Epoch
    draining: bool
    stamp: ServerStamp


@dataclass(frozen=True, slots=True)
class RunCall:
    """Ask a server to run one request."""

    service: str
    member: str
    key: str
    shard: ShardId
    term: Epoch
    epoch: Epoch
    dispatcher: NodeId
    attempt: str
    path: str
    # Time left in which an answer is of use.
    remaining: Seconds


@dataclass(slots=True)
class Execution:
    """Record one request that a server has begun to run."""

    server: ServerId
    call: RunCall
    started: Seconds
    # Time at which the run will be complete.
    due: Seconds
    ended: Seconds | None = None
    # The caller left or the deadline passed before the end.
    cancelled: bool = False


@dataclass(slots=True)
class _Fence:
    term: Epoch = FIRST_EPOCH
    dispatcher: NodeId | None = None
    sequence: int = -1
    epochs: dict[ShardId, Epoch] = field(default_factory=dict)
    lapses: Seconds = Seconds(0)


class ServerState:
    """Decide for one backend server; the caller brings the time."""

    def __init__(self, traits: ServerTraits, started: Seconds) -> None:
        """Start a server that holds no grant."""
        self.traits = traits
        self.switches = ServerSwitches()
        self.executions: list[Execution] = []
        self._started = started
        self._running: list[Execution] = []
        self._fence = _Fence()

    def take_grant(self, now: Seconds, call: GrantCall) -> GrantResult:
        """Take a grant call unless a greater term fences it."""
        if self._is_fenced(call):
            return self._answer_grant(now, accepted=False)
        if call.term > self._fence.term:
            self._fence = _Fence(term=call.term, dispatcher=call.dispatcher)
        self._fence.sequence = call.sequence
        self._change_grants(now, call)
        return self._answer_grant(now, accepted=True)

    def begin(self, now: Seconds, call: RunCall) -> Execution | NotRun:
        """Begin to run a request, or say why it is not run."""
        refusal = self._refuse(now, call)
        if refusal is not None:
            return refusal
        due = Seconds(now + self._service_time(now))
        execution = Execution(self.traits.server, call, now, due)
        self.executions.append(execution)
        self._running.append(execution)
        return execution

    def finish(self, now: Seconds, execution: Execution) -> None:
        """Free the slot of an execution."""
        if execution in self._running:
            self._running.remove(execution)
            execution.ended = now

    def owns(self, now: Seconds, shard: ShardId) -> bool:
        """Tell whether an unlapsed grant covers a shard."""
        return now < self._fence.lapses and shard in self._fence.epochs

    def holds_running(self, call: GrantCall) -> bool:
        """Tell whether work still runs on a shard that a call takes away.

        The server gives its word on a revoked shard only after that work.
        """
        return any(
            execution.call.shard not in self._fence.epochs
            for execution in self._running
            if call.whole or execution.call.shard in call.revoked
        )

    @property
    def load(self) -> float:
        """Return the load that the health endpoint tells."""
        if self.switches.told_load is not None:
            return self.switches.told_load
        return len(self._running) / self.traits.slots

    def _is_fenced(self, call: GrantCall) -> bool:
        fence = self._fence
        if call.term != fence.term:
            return call.term < fence.term
        # A late call of the same dispatcher must not undo a newer one.
        late = call.sequence < fence.sequence
        return late or call.dispatcher != fence.dispatcher

    def _change_grants(self, now: Seconds, call: GrantCall) -> None:
        if call.whole or now >= self._fence.lapses:
            self._fence.epochs.clear()
        for shard in call.revoked:
            self._fence.epochs.pop(shard, None)
        stamp = call.stamp
        if stamp is None or stamp.instance != self.traits.instance:
            return
        for granted in call.granted:
            self._fence.epochs[granted.shard] = granted.epoch
        # Counted from the stamp: a call that lay in the socket of a frozen
        # server has lapsed when the server wakes and reads it.
        self._fence.lapses = Seconds(stamp.clock + call.duration)

    def _answer_grant(self, now: Seconds, *, accepted: bool) -> GrantResult:
        return GrantResult(
            accepted,
            self._fence.term,
            self.switches.draining,
            ServerStamp(self.traits.instance, now),
        )

    def _refuse(self, now: Seconds, call: RunCall) -> NotRun | None:
        if call.remaining <= 0:
            return NotRun.expired
        if self.traits.checks_grants and not self._holds_grant(now, call):
            return NotRun.fenced
        if self.switches.draining:
            return NotRun.draining
        if self.switches.shedding or len(self._running) >= self.traits.slots:
            return NotRun.shed
        return None

    def _holds_grant(self, now: Seconds, call: RunCall) -> bool:
        return (
            now < self._fence.lapses
            and call.term == self._fence.term
            and self._fence.epochs.get(call.shard) == call.epoch
        )

    def _service_time(self, now: Seconds) -> float:
        cold = now - self._started < self.traits.cold_period
        factor = self.traits.cold_factor if cold else 1
        return self.traits.service_time * factor + self.switches.delay
