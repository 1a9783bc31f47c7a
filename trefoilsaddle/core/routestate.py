"""Hold the callers' requests that an entry process has in flight."""

from dataclasses import dataclass, field

from trefoilsaddle.core.calls import Call
from trefoilsaddle.core.pressure import PressureReports
from trefoilsaddle.core.retries import RetryBudget
from trefoilsaddle.core.units import (
    AttemptId,
    CallId,
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ShardId,
)


@dataclass(frozen=True, slots=True)
class Route:
    """Say where a request goes."""

    server: ServerId
    dispatcher: NodeId


@dataclass(frozen=True, slots=True)
class ReportedOwner:
    """Hold a shard's owner as a dispatcher told it, newer than the view."""

    server: ServerId
    applied: Offset


@dataclass(frozen=True, slots=True)
class ReportedHolder:
    """Hold a server's dispatcher as another one told it."""

    node: NodeId
    applied: Offset


@dataclass(slots=True)
class PendingCall:
    """Hold one caller's request until it is answered."""

    call: Call
    shard: ShardId
    # Monotonic time by which the caller is answered.
    deadline: Seconds
    # Set while the request is with a dispatcher.
    attempt: AttemptId | None = None
    route: Route | None = None
    retries: int = 0
    # True once an attempt has ended without a certain outcome.
    may_have_run: bool = False


@dataclass(slots=True)
class RoutingState:
    """Hold the calls, attempts and learnt routes of an entry process."""

    pending: dict[CallId, PendingCall] = field(default_factory=dict)
    attempts: dict[AttemptId, CallId] = field(default_factory=dict)
    last_attempt: AttemptId = AttemptId(0)
    owners: dict[ShardId, ReportedOwner] = field(default_factory=dict)
    holders: dict[ServerId, ReportedHolder] = field(default_factory=dict)
    # Monotonic times at which the connection to a process was lost.
    lost_at: dict[NodeId, Seconds] = field(default_factory=dict)
    pressure: PressureReports = field(default_factory=PressureReports)
    budget: RetryBudget = field(default_factory=RetryBudget)
