"""Define the effects that the reducer asks its process to perform."""

from dataclasses import dataclass
from enum import Enum, unique

from trefoilsaddle.core.calls import Answer, Request
from trefoilsaddle.core.events import GrantedShard, ServerStamp, TimerKey
from trefoilsaddle.core.messages import Message
from trefoilsaddle.core.records import Record
from trefoilsaddle.core.units import (
    AttemptId,
    CallId,
    Epoch,
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ShardId,
)


@dataclass(frozen=True, slots=True)
class ReadLog:
    """Read the log from an offset; ends in `LogRead` or `LogReadFailed`."""

    start: Offset


@dataclass(frozen=True, slots=True)
class AppendRecords:
    """Append records as one log entry, without retrying.

    Ends in `LogAppended` or `LogAppendFailed`.
    """

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class ListHosts:
    """Read the platform's host list."""


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer; delivery is not guaranteed."""

    node: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Start a timer, or restart it if it is running."""

    timer: TimerKey
    delay: Seconds


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Stop a timer if it is running."""

    timer: TimerKey


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Renew a server's grants, and add and revoke some.

    A server that checks grants refuses a lower term, and an equal term of
    another dispatcher.  With `whole`, the call replaces all earlier grants.
    Grants lapse at the stamp's clock plus the duration, however late the
    call arrives, so that they have lapsed when a frozen server resumes.  The
    call grants nothing unless its stamp is of the server's current instance;
    terms and revocations take effect in any case.  The server fences a call
    whose sequence is lower than one already seen in the same term: a late
    grant must not undo a revocation.
    """

    server: ServerId
    sequence: int
    term: Epoch
    duration: Seconds
    whole: bool
    granted: tuple[GrantedShard, ...]
    revoked: tuple[ShardId, ...]
    # Newest stamp that the dispatcher has received from the server.
    stamp: ServerStamp | None = None


@dataclass(frozen=True, slots=True)
class RunAttempt:
    """Send a request to a server once, ending in `AttemptEnded`."""

    server: ServerId
    attempt: AttemptId
    term: Epoch
    shard: ShardId
    epoch: Epoch
    request: Request
    # Monotonic time.  The performer checks the clock directly before it
    # sends and ends the attempt as unsent if this time has passed.
    send_before: Seconds


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt and drop any late answer."""

    server: ServerId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Send a caller the answer to its call."""

    call_id: CallId
    answer: Answer


@unique
class Component(Enum):
    """List the components whose names prefix log lines and metrics."""

    log_client = 'log'
    ownership = 'ownership'
    membership = 'membership'
    placement = 'placement'
    service = 'service'
    routing = 'routing'
    configuration = 'configuration'
    lifecycle = 'lifecycle'


@dataclass(frozen=True, slots=True)
class WriteLogLine:
    """Write one short sentence to the process's log."""

    component: Component
    sentence: str


@dataclass(frozen=True, slots=True)
class CountMetric:
    """Add to a counter."""

    component: Component
    name: str
    amount: int = 1


@dataclass(frozen=True, slots=True)
class WriteDump:
    """Output a dump of the state as JSON text."""

    text: str


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """End the process after a graceful shutdown."""


Effect = (
    ReadLog
    | AppendRecords
    | ListHosts
    | SendMessage
    | SetTimer
    | CancelTimer
    | SendGrant
    | RunAttempt
    | CancelAttempt
    | AnswerCaller
    | WriteLogLine
    | CountMetric
    | WriteDump
    | ExitProcess
)
Effects = list[Effect]
