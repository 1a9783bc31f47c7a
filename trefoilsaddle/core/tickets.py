"""Define the state of requests that a dispatcher has accepted."""

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
    """Identify a forwarded request by its sender and the sender's attempt."""

    node: NodeId
    attempt: AttemptId


@unique
class TicketState(Enum):
    """List the states of an accepted request."""

    waiting = 'waiting'
    # Its shard is changing owner, or the lease has lapsed.
    parked = 'parked'
    running = 'running'
    # Waits for the answer to an earlier request with the same idempotency key.
    joined = 'joined'
    ended = 'ended'


@dataclass(slots=True)
class Ticket:
    """Track one accepted request until it is answered."""

    # Id of the attempt at the server, unique within this process.
    number: AttemptId
    origin: Origin
    server: ServerId
    shard: ShardId
    request: Request = field(repr=False)
    arrived: Seconds
    # Monotonic time by which the request must be answered.
    deadline: Seconds
    state: TicketState = TicketState.waiting
    started: Seconds = Seconds(0)
    sheds: int = 0
    # Tickets that joined this one and get the same answer.
    followers: list[AttemptId] = field(default_factory=list)
    # True if the caller has gone but the request is not cancelled.
    abandoned: bool = False

    def remaining(self, now: Seconds) -> Seconds:
        """Return the time left until the deadline."""
        return Seconds(max(self.deadline - now, 0))
