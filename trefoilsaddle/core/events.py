"""Define the events that the reducer takes.

Time, received messages, log reads, timer expiries and callers' requests all
arrive as one of these; a recorded trace is a sequence of `Occurrence`.
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
    """Begin the run of a process."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Ask for a graceful shutdown."""


@unique
class TimerKind(Enum):
    """Name what a timer is for; one handler module owns each kind."""

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
    """Identify a timer; setting it again replaces the former expiry."""

    kind: TimerKind
    # Server, process, call or attempt that the timer is for.
    subject: str = ''


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Tell that a timer has run out."""

    timer: TimerKey


@dataclass(frozen=True, slots=True)
class LogRead:
    """Deliver log entries, in order, and the bounds of the log."""

    entries: tuple[LogEntry, ...]
    # Oldest offset that the log still holds.
    first: Offset
    # Offset after the newest entry at the time of the read.
    tail: Offset
    # Monotonic time at which the read was sent.
    sent: Seconds


@dataclass(frozen=True, slots=True)
class LogReadFailed:
    """Tell that a read of the log got no answer."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class LogAppended:
    """Tell that the log has acknowledged an append."""

    record_ids: tuple[RecordId, ...]
    offset: Offset


@dataclass(frozen=True, slots=True)
class LogAppendFailed:
    """Tell that an append may or may not have taken effect."""

    record_ids: tuple[RecordId, ...]
    failure: Failure


@unique
class HostState(Enum):
    """Name the states of the platform's host list."""

    live = 'live'
    leaving = 'leaving'


@dataclass(frozen=True, slots=True)
class ListedHost:
    """Hold one line of the platform's host list; it lags."""

    # A server id or a node id.
    name: str
    state: HostState


@dataclass(frozen=True, slots=True)
class HostsListed:
    """Deliver the platform's host list."""

    hosts: tuple[ListedHost, ...]


@dataclass(frozen=True, slots=True)
class HostListFailed:
    """Tell that the host list could not be read."""

    failure: Failure


@dataclass(frozen=True, slots=True)
class MessageReceived:
    """Deliver a message from an authenticated peer."""

    sender: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Tell that the connection to a peer was closed or refused."""

    node: NodeId
    # Forwarded attempts of which no byte has left this process.
    unsent: tuple[AttemptId, ...] = ()


@unique
class GrantVerdict(Enum):
    """Name a server's answers to a grant call."""

    accepted = 'accepted'
    # The server holds a greater term; the answer names it.
    fenced = 'fenced'
    # No whole answer arrived; the call may have taken effect.
    failed = 'failed'


@dataclass(frozen=True, slots=True)
class ServerStamp:
    """Hold a reading of a server's own monotonic clock."""

    # Differs after each restart of the server.
    instance: str
    clock: Seconds


@dataclass(frozen=True, slots=True)
class GrantAnswered:
    """Deliver a server's answer to the grant call with a sequence."""

    server: ServerId
    sequence: int
    verdict: GrantVerdict
    # Greatest term the server knows; meaningful unless `failed`.
    term: Epoch
    # Monotonic time at which the call was sent.
    sent: Seconds
    # The server says that it is being drained.
    draining: bool
    # Present if the server checks grants and the answer is whole.
    stamp: ServerStamp | None = None


@unique
class AttemptVerdict(Enum):
    """Name how an attempt at a server ended."""

    # A whole answer arrived.
    answered = 'answered'
    # The connection was refused before a byte of the request left.
    unsent = 'unsent'
    # The server itself says that it did not run the request.
    fenced = 'fenced'
    shed = 'shed'
    draining = 'draining'
    expired = 'expired'
    # Nothing certain is known.
    lost = 'lost'
    cut_short = 'cut-short'


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Deliver how an attempt at a server ended."""

    server: ServerId
    attempt: AttemptId
    verdict: AttemptVerdict
    # Present exactly when the verdict is `answered`.
    reply: Reply | None


@dataclass(frozen=True, slots=True)
class CallArrived:
    """Deliver a validated request of a caller, at an entry host."""

    call: Call


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Tell that a caller has closed its connection."""

    call_id: CallId


@dataclass(frozen=True, slots=True)
class DumpRequested:
    """Ask for a dump of the state; answered by a `WriteDump`."""


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
    """Pair an event with the moment at which the process saw it."""

    moment: Moment
    event: Event


@dataclass(frozen=True, slots=True)
class GrantedShard:
    """Name one shard of a grant and its epoch."""

    shard: ShardId
    epoch: Epoch
