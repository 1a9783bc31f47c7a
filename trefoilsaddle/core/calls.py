"""Define the requests and answers that processes exchange.

Keys, paths, bodies and tokens are secret, so `repr` omits them.
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
    """Identify a caller's request across all its retries."""

    # Time of day at which the caller created the key.
    created: Seconds
    token: str = field(repr=False)


@dataclass(frozen=True, slots=True)
class Request:
    """Hold a caller's request and its routing properties."""

    service: ServiceName
    member: MemberName
    rank: Rank
    key: bytes = field(repr=False)
    # The following four are sent to the backend server unchanged.
    method: str
    path: str = field(repr=False)
    content_type: str
    body: bytes = field(repr=False)
    idempotent: bool
    # Required if the request is not idempotent.
    idempotency_key: IdempotencyKey | None
    # Time left until the deadline when the current process received it.
    remaining: Seconds


@dataclass(frozen=True, slots=True)
class Reply:
    """Hold a backend server's complete answer."""

    status: int
    content_type: str
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class Answer:
    """Hold the outcome of a request as sent to its caller."""

    outcome: Outcome
    code: ResultCode
    # Not None if and only if the outcome is `answered`.
    reply: Reply | None = None
    # Estimated time until a retry may succeed; zero if unknown.
    retry_after: Seconds = Seconds(0)


@dataclass(frozen=True, slots=True)
class Call:
    """Pair a caller's request with its id at the entry process."""

    call_id: CallId
    request: Request


@dataclass(frozen=True, slots=True)
class Pressure:
    """Report the estimated waits at a server, by rank."""

    server: ServerId
    # Estimated wait by rank, the most urgent first.
    waits: tuple[Seconds, ...]
    # Time for which each rank's queue will stay full.
    holds: tuple[Seconds, ...] = ()
    # Member with the most waiting requests, by rank.  Entry processes refuse
    # only this member's requests early.
    crowding: tuple[MemberName, ...] = ()
