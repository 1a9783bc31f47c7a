"""Define requests and answers as they pass between the processes.

Bodies and keys are secret: their representation shows neither.
"""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import (
    CallId,
    MemberName,
    Rank,
    Seconds,
    ServerId,
    ServiceName,
)
from trefoilsaddle.results import Outcome, ResultCode


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """Identify a caller's request over all its retries."""

    # Time of day at which the caller made the key.
    created: Seconds
    token: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class Request:
    """Hold what a caller asks for."""

    service: ServiceName
    member: MemberName
    rank: Rank
    key: bytes = field(repr=False)
    # Passed on to the backend server as the caller sent them.
    method: str
    path: str = field(repr=False)
    content_type: str
    body: bytes = field(repr=False)
    idempotent: bool
    # Present on every request that is not idempotent.
    idempotency_key: IdempotencyKey | None
    # Time left when the request was handed to the current process.
    remaining: Seconds


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold the whole answer of a backend server."""

    status: int
    content_type: str
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold what a caller is told."""

    outcome: Outcome
    code: ResultCode
    # Present exactly when the outcome is `answered`.
    reply: Reply | None = None
    # Honest time until a retry may succeed; zero if none is known.
    retry_after: Seconds = Seconds(0)


@dataclass(frozen=True, slots=True)
class Call:
    """Pair a caller's request with its id at the entry host."""

    call_id: CallId
    request: Request


@dataclass(frozen=True, slots=True)
class Pressure:
    """Tell how long a request of each rank would wait at a server."""

    server: ServerId
    # Estimated wait by rank, the most urgent first.
    waits: tuple[Seconds, ...]
    # How long each rank's queue will stay too full for more.
    holds: tuple[Seconds, ...] = ()
    # Member with most waiting, by rank; only its requests are refused early.
    crowding: tuple[MemberName, ...] = ()
