"""Define the messages between the system's own processes.

`trefoilsaddle.wire.codec` writes and reads them as Cap'n Proto.
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
    """Ask a dispatcher to run a request on the server that owns its key."""

    attempt: AttemptId
    server: ServerId
    request: Request


@dataclass(frozen=True, slots=True)
class ForwardAnswer:
    """Answer one forwarded request."""

    attempt: AttemptId
    answer: Answer
    # Server that owns the shard, as far as the dispatcher knows.
    owner: ServerId | None
    # Dispatcher of that server, as far as the dispatcher knows.
    holder: NodeId | None
    # Last log offset applied by the dispatcher.
    applied: Offset
    pressure: Pressure | None


@dataclass(frozen=True, slots=True)
class Abandon:
    """Tell a dispatcher that no one waits for an attempt any more."""

    attempt: AttemptId


@unique
class Health(Enum):
    """Grade how a process is thought to fare."""

    alive = 'alive'
    suspect = 'suspect'
    dead = 'dead'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class Rumour:
    """Tell what is known of one process; a greater incarnation wins."""

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
    # Busy slots and waiting requests, averaged, over the slot count.
    utilisation: float
    # Requests per second.
    rate: float
    # Counts the reports of one dispatcher, so that an old one is dropped.
    sequence: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Probe a process and pass some rumours and loads on."""

    sequence: int
    # Process that asked for an indirect probe, if any.
    relay_for: NodeId | None
    rumours: tuple[Rumour, ...]
    loads: tuple[ServerLoad, ...]


@dataclass(frozen=True, slots=True)
class Ack:
    """Answer a probe, directly or for the process that asked for it."""

    sequence: int
    subject: NodeId
    rumours: tuple[Rumour, ...]
    loads: tuple[ServerLoad, ...]


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Ask a process to probe another one in the sender's place."""

    sequence: int
    target: NodeId


@dataclass(frozen=True, slots=True)
class PromiseRequest:
    """Ask a claim-set member not to act under a lower term.

    It also asks the member not to claim the server for the duration.
    """

    server: ServerId
    term: Epoch
    sequence: int
    duration: Seconds


# Sequences of promises that nobody has asked for: a former dispatcher sends
# nothing more, or a claim-set member leaves and will follow nobody any more.
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
    # next dispatcher learns of them while the log is away.
    moves: tuple[MovedShard, ...] = ()
    # Greatest term without the log that the sender has followed or taken.
    unlogged_term: Epoch = FIRST_EPOCH


@dataclass(frozen=True, slots=True)
class ShareMove:
    """Tell a claim-set member of a move made while the log is away."""

    server: ServerId
    term: Epoch
    sequence: int
    shards: tuple[MovedShard, ...]


@dataclass(frozen=True, slots=True)
class ShareMoveAck:
    """Acknowledge that a move made during an outage is remembered."""

    server: ServerId
    term: Epoch
    sequence: int


@dataclass(frozen=True, slots=True)
class ProvisionalMove:
    """Tell the dispatchers of a zone of a move that is in force."""

    server: ServerId
    term: Epoch
    shards: tuple[MovedShard, ...]


@dataclass(frozen=True, slots=True)
class ProvisionalClaim:
    """Tell a zone who serves a server since the log went away."""

    server: ServerId
    term: Epoch
    dispatcher: NodeId


@dataclass(frozen=True, slots=True)
class KeptOutcome:
    """Hand over what is known of one idempotency key."""

    member: MemberName
    created: Seconds
    token: str = field(repr=False)
    # Hash of key and body, so that a reused token is noticed.
    fingerprint: int
    # Hash of the key, so that the outcome stays with it in a split shard.
    key_hash: int
    # None while the outcome is unknown.
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class MemberFloor:
    """Tell which keys of one member have been forgotten to save memory."""

    member: MemberName
    floor: Seconds


@dataclass(frozen=True, slots=True)
class Handover:
    """Hand the outcomes of a moved shard to its next dispatcher."""

    shard: ShardId
    # Epoch and term under which the sender served the shard until it left.
    epoch: Epoch
    # Absent keys made before this time of day have an unknown outcome.
    floor: Seconds
    outcomes: tuple[KeptOutcome, ...]
    member_floors: tuple[MemberFloor, ...] = ()
    term: Epoch = FIRST_EPOCH


@dataclass(frozen=True, slots=True)
class RelayRead:
    """Ask a peer to read the log on the sender's behalf."""

    sequence: int
    start: Offset


@dataclass(frozen=True, slots=True)
class RelayEntries:
    """Pass log entries on; the read began after it was asked for."""

    sequence: int
    entries: tuple[LogEntry, ...]
    # Oldest offset that the log still holds.
    first: Offset
    # Offset after the newest entry at the time of the read.
    tail: Offset


@dataclass(frozen=True, slots=True)
class RelayFailed:
    """Tell that the log could not be read for a peer."""

    sequence: int


@dataclass(frozen=True, slots=True)
class StateRead:
    """Ask a peer for its whole view, if newer than an offset."""

    sequence: int
    applied: Offset


@dataclass(frozen=True, slots=True)
class StateReply:
    """Carry a peer's whole view after an offset, as written text."""

    sequence: int
    applied: Offset
    text: str


@dataclass(frozen=True, slots=True)
class DumpRead:
    """Ask a process for a dump of its state."""

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
