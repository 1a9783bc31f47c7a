"""Hold the requests that a dispatcher has accepted and not answered."""

from dataclasses import dataclass, field
from enum import Enum, unique

from trefoilsaddle.core.calls import Request
from trefoilsaddle.core.units import (
    AttemptId,
    NodeId,
    Seconds,
    ServerId,
    ShardId,
)


@dataclass(frozen=True, slots=True)
class Origin:
    """Identify a forwarded request by its sender and the sender's id."""

    node: NodeId
    attempt: AttemptId


@unique
class TicketState(Enum):
    """Name the stages of an accepted request."""

    waiting = 'waiting'
    # Its shard is changing owner, or the lease has lapsed.
    parked = 'parked'
    running = 'running'
    # Waits for the answer of an earlier request with its idempotency key.
    joined = 'joined'
    ended = 'ended'


@dataclass(slots=True)
class Ticket:
    """Hold one accepted request until it is answered."""

    # Id of the attempt at the server, unique within this process.
    number: AttemptId
    origin: Origin
    server: ServerId
    shard: ShardId
    request: Request = field(repr=False)
    arrived: Seconds
    # Monotonic time by which the request is answered.
    deadline: Seconds
    state: TicketState = TicketState.waiting
    started: Seconds = Seconds(0)
    sheds: int = 0
    # Tickets that joined this one; they get the same answer.
    followers: list[AttemptId] = field(default_factory=list)
    # True once the caller has gone while others still wait.
    abandoned: bool = False

    def remaining(self, now: Seconds) -> Seconds:
        """Return the time left until the deadline."""
        return Seconds(max(self.deadline - now, 0))
