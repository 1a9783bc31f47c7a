"""Define the state of an entry process's calls and routes."""

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
    """Hold the server and dispatcher that a request is sent to."""

    server: ServerId
    dispatcher: NodeId


@dataclass(frozen=True, slots=True)
class ReportedOwner:
    """Hold a shard's owner as reported by a dispatcher.

    Used while the dispatcher's applied offset is not behind the local view.
    """

    server: ServerId
    applied: Offset


@dataclass(frozen=True, slots=True)
class ReportedHolder:
    """Hold a server's dispatcher as reported by another dispatcher."""

    node: NodeId
    applied: Offset


@dataclass(slots=True)
class PendingCall:
    """Track one caller's request until it is answered."""

    call: Call
    shard: ShardId
    # Monotonic time by which the caller must be answered.
    deadline: Seconds
    # Set while the request is at a dispatcher.
    attempt: AttemptId | None = None
    route: Route | None = None
    retries: int = 0
    # True once an attempt has ended with an unknown outcome.
    may_have_run: bool = False


@dataclass(slots=True)
class RoutingState:
    """Hold the calls, attempts and reported routes of an entry process."""

    pending: dict[CallId, PendingCall] = field(default_factory=dict)
    attempts: dict[AttemptId, CallId] = field(default_factory=dict)
    last_attempt: AttemptId = AttemptId(0)
    owners: dict[ShardId, ReportedOwner] = field(default_factory=dict)
    holders: dict[ServerId, ReportedHolder] = field(default_factory=dict)
    # Monotonic time of the last lost connection, by peer.
    lost_at: dict[NodeId, Seconds] = field(default_factory=dict)
    pressure: PressureReports = field(default_factory=PressureReports)
    budget: RetryBudget = field(default_factory=RetryBudget)
