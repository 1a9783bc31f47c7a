"""State of a backend server: fence, slots and faults.

Callers pass the current time, so that tests need no real clock.
"""

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
    """Reason for which a server refuses to run a request."""

    fenced = 'fenced'
    shed = 'shed'
    draining = 'draining'
    expired = 'expired'


@dataclass(frozen=True, slots=True)
class ServerTraits:
    """Properties of a server that stay the same for one incarnation."""

    server: ServerId
    checks_grants: bool = True
    slots: int = 3
    # Unique for each start of the server.
    instance: str = 'first'
    # Duration of a request on a warm server, in seconds.
    service_time: Seconds = Seconds(_SERVICE_TIME)
    # Time after its start during which the server is cold, in seconds.
    cold_period: Seconds = Seconds(0)
    cold_factor: float = 4


@dataclass(frozen=True, slots=True)
class ServerSwitches:
    """Faults of the server that can be switched on."""

    draining: bool = False
    shedding: bool = False
    # A frozen server answers nothing, and later continues where it was.
    frozen: bool = False
    # Added to the duration of every request, in seconds.
    delay: Seconds = Seconds(0)
    # Number of future requests that run but get a truncated answer.
    short_answers: int = 0
    # Load that the health endpoint reports instead of the true one.
    told_load: float | None = None


@dataclass(frozen=True, slots=True)
class GrantCall:
    """Call that grants shards to a server and revokes others."""

    dispatcher: NodeId
    term: Epoch
    sequence: int
    duration: Seconds
    whole: bool
    granted: tuple[GrantedShard, ...]
    revoked: tuple[ShardId, ...]
    # Stamp of an earlier answer; the grants expire `duration` after it.
    stamp: ServerStamp | None = None


@dataclass(frozen=True, slots=True)
class GrantResult:
    """Answer to a grant call."""

    accepted: bool
    term: Epoch
    draining: bool
    stamp: ServerStamp


@dataclass(frozen=True, slots=True)
class RunCall:
    """Request to run, with the tokens that the server checks."""

    service: str
    member: str
    key: str
    shard: ShardId
    term: Epoch
    epoch: Epoch
    dispatcher: NodeId
    attempt: str
    path: str
    # Time left until the caller's deadline, in seconds.
    remaining: Seconds


@dataclass(slots=True)
class Execution:
    """Request that a server has started to run."""

    server: ServerId
    call: RunCall
    started: Seconds
    # Time at which the request completes.
    due: Seconds
    ended: Seconds | None = None
    # The caller disconnected or the deadline passed before completion.
    cancelled: bool = False


@dataclass(slots=True)
class _Fence:
    term: Epoch = FIRST_EPOCH
    dispatcher: NodeId | None = None
    sequence: int = -1
    epochs: dict[ShardId, Epoch] = field(default_factory=dict)
    expires_at: Seconds = Seconds(0)


class ServerState:
    """Grants, running requests and fault switches of one server."""

    def __init__(self, traits: ServerTraits, started: Seconds) -> None:
        """Start a server without grants."""
        self.traits = traits
        self.switches = ServerSwitches()
        self.executions: list[Execution] = []
        self._started = started
        self._running: list[Execution] = []
        self._fence = _Fence()

    def handle_grant(self, now: Seconds, call: GrantCall) -> GrantResult:
        """Apply a grant call, unless it is fenced by a greater term."""
        if self._is_fenced(call):
            return self._answer_grant(now, accepted=False)
        if call.term > self._fence.term:
            self._fence = _Fence(term=call.term, dispatcher=call.dispatcher)
        self._fence.sequence = call.sequence
        self._update_grants(now, call)
        return self._answer_grant(now, accepted=True)

    def begin(self, now: Seconds, call: RunCall) -> Execution | NotRun:
        """Start to run a request, or return why it is refused."""
        refusal = self._refuse(now, call)
        if refusal is not None:
            return refusal
        due = Seconds(now + self._service_time(now))
        execution = Execution(self.traits.server, call, now, due)
        self.executions.append(execution)
        self._running.append(execution)
        return execution

    def finish(self, now: Seconds, execution: Execution) -> None:
        """Free the slot of an execution and record its end."""
        if execution in self._running:
            self._running.remove(execution)
            execution.ended = now

    def owns(self, now: Seconds, shard: ShardId) -> bool:
        """Return whether an unexpired grant covers a shard."""
        return now < self._fence.expires_at and shard in self._fence.epochs

    def has_running_work(self, call: GrantCall) -> bool:
        """Return whether requests still run on shards that a call revokes.

        The server acknowledges a revocation only after these have ended.
        """
        return any(
            execution.call.shard not in self._fence.epochs
            for execution in self._running
            if call.whole or execution.call.shard in call.revoked
        )

    @property
    def load(self) -> float:
        """Return the load that the health endpoint reports."""
        if self.switches.told_load is not None:
            return self.switches.told_load
        return len(self._running) / self.traits.slots

    def _is_fenced(self, call: GrantCall) -> bool:
        fence = self._fence
        if call.term != fence.term:
            return call.term < fence.term
        # A delayed call of the same dispatcher must not undo a newer one.
        late = call.sequence < fence.sequence
        return late or call.dispatcher != fence.dispatcher

    def _update_grants(self, now: Seconds, call: GrantCall) -> None:
        if call.whole or now >= self._fence.expires_at:
            self._fence.epochs.clear()
        for shard in call.revoked:
            self._fence.epochs.pop(shard, None)
        stamp = call.stamp
        if stamp is None or stamp.instance != self.traits.instance:
            return
        for granted in call.granted:
            self._fence.epochs[granted.shard] = granted.epoch
        # Counted from the stamp, so that a call which waited in the socket of
        # a frozen server has expired when the server resumes and reads it.
        self._fence.expires_at = Seconds(stamp.clock + call.duration)

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
            now < self._fence.expires_at
            and call.term == self._fence.term
            and self._fence.epochs.get(call.shard) == call.epoch
        )

    def _service_time(self, now: Seconds) -> float:
        cold = now - self._started < self.traits.cold_period
        factor = self.traits.cold_factor if cold else 1
        return self.traits.service_time * factor + self.switches.delay
