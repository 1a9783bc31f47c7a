"""Define the messages that entry processes and dispatchers exchange.

`trefoilsaddle.wire.codec` encodes and decodes them as Cap'n Proto.
"""

from dataclasses import dataclass, field
from enum import Enum, unique

from trefoilsaddle.core.calls import Answer, Pressure, Request
from trefoilsaddle.core.records import LogEntry, MovedShard
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    AttemptId,
    Epoch,
    MemberName,
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ShardId,
    ZoneName,
)


@dataclass(frozen=True, slots=True)
class Forward:
    """Request a dispatcher to run a request on the owner of its key."""

    attempt: AttemptId
    server: ServerId
    request: Request


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Answer one forwarded request."""

    attempt: AttemptId
    answer: Answer
    # Server that owns the shard according to the answering dispatcher.
    owner: ServerId | None
    # Dispatcher of that server according to the answering dispatcher.
    holder: NodeId | None
    # Last log offset that the answering dispatcher has applied.
    applied: Offset
    pressure: Pressure | None


@dataclass(frozen=True, slots=True)
class Abandon:
    """Notify a dispatcher that an attempt's caller no longer waits."""

    attempt: AttemptId


@unique
class Health(Enum):
    """List the liveness states of a process."""

    alive = 'alive'
    suspect = 'suspect'
    dead = 'dead'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class Rumour:
    """Carry a membership update on one process.

    The update with the greater incarnation takes precedence.
    """

    node: NodeId
    zone: ZoneName
    host: str
    port: int
    dispatches: bool
    health: Health
    incarnation: int


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Report the load of one server, measured by its dispatcher."""

    server: ServerId
    dispatcher: NodeId
    # Average of (busy slots + waiting requests) / slot count.
    utilisation: float
    # Requests per second.
    rate: float
    # Number of the report, per dispatcher; receivers drop older reports.
    sequence: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe a process; carries some membership updates and loads."""

    sequence: int
    # Process that requested this indirect probe, if it is one.
    relay_for: NodeId | None
    rumours: tuple[Rumour, ...]
    loads: tuple[ServerLoad, ...]


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer a probe, to its sender or to the requester of the probe."""

    sequence: int
    subject: NodeId
    rumours: tuple[Rumour, ...]
    loads: tuple[ServerLoad, ...]


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Request an indirect probe of another process."""

    sequence: int
    target: NodeId


@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """Request a claim-set member's promise not to act under a lower term.

    The promise also covers not claiming the server for the duration.
    """

    server: ServerId
    term: Epoch
    sequence: int
    duration: Seconds


# Sequences of unsolicited promises.  With `RELEASE`, a former dispatcher
# promises to send nothing more to the server.  With `FINAL_PROMISE`, a
# leaving claim-set member promises to follow no other dispatcher.
RELEASE = 0
FINAL_PROMISE = -1


@dataclass(frozen=True, slots=True)
class Promise:
    """Grant or refuse a promise not to claim a server."""

    server: ServerId
    # Greatest term that the sender knows of.
    term: Epoch
    sequence: int
    granted: bool
    # Moves off the server that the sender has acknowledged, so that the
    # next dispatcher knows them while the log is unavailable.
    moves: tuple[MovedShard, ...] = ()
    # Greatest term that the sender has followed or claimed without the log.
    unlogged_term: Epoch = FIRST_EPOCH


@dataclass(frozen=True, slots=True)
class ShareMove:
    """Share a move with a claim-set member while the log is unavailable."""

    server: ServerId
    term: Epoch
    sequence: int
    shards: tuple[MovedShard, ...]


@dataclass(frozen=True, slots=True)
class ShareMoveAck:
    """Acknowledge that the move of a `ShareMove` has been recorded."""

    server: ServerId
    term: Epoch
    sequence: int


@dataclass(frozen=True, slots=True)
class ProvisionalMove:
    """Announce to a zone's dispatchers a move in force without the log."""

    server: ServerId
    term: Epoch
    shards: tuple[MovedShard, ...]


@dataclass(frozen=True, slots=True)
class ProvisionalClaim:
    """Announce to a zone which dispatcher took a server over in an outage."""

    server: ServerId
    term: Epoch
    dispatcher: NodeId


@dataclass(frozen=True, slots=True)
class KeptOutcome:
    """Carry the recorded outcome of one idempotency key."""

    member: MemberName
    created: Seconds
    token: str = field(repr=False)
    # Hash of the request, which detects a token reused for another request.
    fingerprint: int
    # Hash of the shard key, which decides the shard if the key is split off.
    key_hash: int
    # None while the outcome is unknown.
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class MemberFloor:
    """Carry one member's floor.

    Outcomes of the member's keys created before it may have been evicted to
    save memory.
    """

    member: MemberName
    floor: Seconds


@dataclass(frozen=True, slots=True)
class Handover:
    """Hand the outcomes of a moved shard over to its next dispatcher."""

    shard: ShardId
    # Epoch (and below, term) under which the sender last served the shard.
    epoch: Epoch
    # Absent keys created before this time of day have an unknown outcome.
    floor: Seconds
    outcomes: tuple[KeptOutcome, ...]
    member_floors: tuple[MemberFloor, ...] = ()
    term: Epoch = FIRST_EPOCH


@dataclass(frozen=True, slots=True)
class RelayRead:
    """Request a peer to read the log on the sender's behalf."""

    sequence: int
    start: Offset


@dataclass(frozen=True, slots=True)
class RelayEntries:
    """Relay log entries of a read that began after it was requested."""

    sequence: int
    entries: tuple[LogEntry, ...]
    # Oldest offset that the log still holds.
    first: Offset
    # Offset after the newest entry at the time of the read.
    tail: Offset


@dataclass(frozen=True, slots=True)
class RelayFailed:
    """Report that the log could not be read for a peer."""

    sequence: int


@dataclass(frozen=True, slots=True)
class StateRead:
    """Request a peer's whole view, if it is newer than an offset."""

    sequence: int
    applied: Offset


@dataclass(frozen=True, slots=True)
class StateReply:
    """Carry a peer's whole view after an offset, serialised as text."""

    sequence: int
    applied: Offset
    text: str


@dataclass(frozen=True, slots=True)
class DumpRead:
    """Request a dump of a process's state."""

    sequence: int


@dataclass(frozen=True, slots=True)
class DumpReply:
    """Carry a dump of a process's state as JSON text."""

    sequence: int
    text: str


Message = (
    Forward
    | ForwardAnswer
    | Abandon
    | Ping
    | Ack
    | PingRequest
    | PromiseRequest
    | Promise
    | ShareMove
    | ShareMoveAck
    | ProvisionalMove
    | ProvisionalClaim
    | Handover
    | RelayRead
    | RelayEntries
    | RelayFailed
    | StateRead
    | StateReply
    | DumpRead
    | DumpReply
)
