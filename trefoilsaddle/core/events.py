"""Define the input events of the reducer.

Messages, log reads, timer expiries and callers' requests all arrive as one
of these classes.  A recorded trace is a sequence of `Occurrence`.
"""

from dataclasses import dataclass
from enum import Enum, unique

from trefoilsaddle.core.calls import Call, Reply
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.messages import Message
from trefoilsaddle.core.records import LogEntry
from trefoilsaddle.core.units import (
    AttemptId,
    CallId,
    Epoch,
    Moment,
    NodeId,
    Offset,
    RecordId,
    Seconds,
    ServerId,
    ShardId,
)


@dataclass(frozen=True, slots=True)
class Started:
    """Report that the process has started."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Request a graceful shutdown."""


@unique
class TimerKind(Enum):
    """List the purposes of timers; one handler module owns each kind."""

    log_read = 'log-read'
    relay = 'relay'
    catch_up = 'catch-up'
    append = 'append'
    snapshot = 'snapshot'
    lease = 'lease'
    grant = 'grant'
    claim = 'claim'
    recovery = 'recovery'
    placement = 'placement'
    probe = 'probe'
    probe_timeout = 'probe-timeout'
    suspicion = 'suspicion'
    host_list = 'host-list'
    queue = 'queue'
    attempt = 'attempt'
    call = 'call'
    retry = 'retry'
    stop = 'stop'


@dataclass(frozen=True, slots=True)
class TimerKey:
    """Identify a timer; setting it again replaces the earlier expiry."""

    kind: TimerKind
    # Id of the server, process, call or attempt that the timer belongs to.
    subject: str = ''


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Report that a timer has expired."""

    timer: TimerKey


@dataclass(frozen=True, slots=True)
class LogRead:
    """Deliver log entries in order, with the bounds of the log."""

    entries: tuple[LogEntry, ...]
    # Oldest offset that the log still holds.
    first: Offset
    # Offset after the newest entry at the time of the read.
    tail: Offset
    # Monotonic time at which the read request was sent.
    sent: Seconds


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """Report that a read of the log failed."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class LogAppended:
    """Report that the log has acknowledged an append."""

    record_ids: tuple[RecordId, ...]
    offset: Offset


@dataclass(frozen=True, slots=True)
class LogAppendFailed:
    """Report a failed append, which may still have taken effect."""

    record_ids: tuple[RecordId, ...]
    failure: Failure


@unique
class HostState(Enum):
    """List the states of a host in the platform's host list."""

    live = 'live'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Hold one entry of the platform's host list, which may be stale."""

    # A server id or a node id.
    name: str
    state: HostState


@dataclass(frozen=True, slots=True)
class HostsListed:
    """Deliver the platform's host list."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class HostListFailed:
    """Report that the host list could not be read."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Deliver a message from an authenticated peer."""

    sender: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Report that the connection to a peer was closed or refused."""

    node: NodeId
    # Forwarded attempts of which no byte was sent.
    unsent: tuple[AttemptId, ...] = ()


@unique
class GrantVerdict(Enum):
    """List the results of a grant call to a server."""

    accepted = 'accepted'
    # The server knows a greater term, which its answer contains.
    fenced = 'fenced'
    # No complete answer arrived; the call may have taken effect.
    failed = 'failed'


@dataclass(frozen=True, slots=True)
class ServerStamp:
    """Hold a reading of a server's own monotonic clock."""

    # Differs after each restart of the server.
    instance: str
    clock: Seconds


@dataclass(frozen=True, slots=True)
class GrantAnswered:
    """Deliver a server's answer to the grant call of a given sequence."""

    server: ServerId
    sequence: int
    verdict: GrantVerdict
    # Greatest term the server knows; meaningless if the verdict is `failed`.
    term: Epoch
    # Monotonic time at which the call was sent.
    sent: Seconds
    # The server reports that it is being drained.
    draining: bool
    # Present if the server checks grants and its answer was complete.
    stamp: ServerStamp | None = None


@unique
class AttemptVerdict(Enum):
    """List the ways in which an attempt at a server can end."""

    # A complete answer arrived.
    answered = 'answered'
    # The connection was refused before any byte of the request was sent.
    unsent = 'unsent'
    # The server itself reports that it did not run the request.
    fenced = 'fenced'
    shed = 'shed'
    draining = 'draining'
    expired = 'expired'
    # The request may or may not have run; no answer or a partial one came.
    lost = 'lost'
    cut_short = 'cut-short'


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Report how an attempt at a server ended."""

    server: ServerId
    attempt: AttemptId
    verdict: AttemptVerdict
    # Not None if and only if the verdict is `answered`.
    reply: Reply | None


@dataclass(frozen=True, slots=True)
class CallArrived:
    """Deliver a caller's validated request to an entry host."""

    call: Call


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Report that a caller has closed its connection."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class DumpRequested:
    """Request a dump of the state, which a `WriteDump` delivers."""


Event = (
    Started
    | StopRequested
    | TimerExpired
    | LogRead
    | LogReadFailed
    | LogAppended
    | LogAppendFailed
    | HostsListed
    | HostListFailed
    | MessageReceived
    | PeerLost
    | GrantAnswered
    | AttemptEnded
    | CallArrived
    | CallerLeft
    | DumpRequested
)


@dataclass(frozen=True, slots=True)
class Occurrence:
    """Pair an event with the moment at which the process received it."""

    moment: Moment
    event: Event


@dataclass(frozen=True, slots=True)
class GrantedShard:
    """Hold one shard of a grant and its epoch."""

    shard: ShardId
    epoch: Epoch
