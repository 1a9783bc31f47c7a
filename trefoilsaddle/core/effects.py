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
    """Append records as one entry, once; ends in `LogAppended` or failure."""

    records: tuple[Record, ...]


@dataclass(frozen=True, slots=True)
class ListHosts:
    """Read the platform's host list."""


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message to a peer; delivery is not certain."""

    node: NodeId
    message: Message


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Start a timer, or start it again."""

    timer: TimerKey
    delay: Seconds


@dataclass(frozen=True, slots=True)
class CancelTimer:
    """Stop a timer, if it runs."""

    timer: TimerKey


@dataclass(frozen=True, slots=True)
class SendGrant:
    """Renew a server's grants, and add and take away some.

    A server that checks grants refuses a lower term, or an equal term of
    another dispatcher.  `whole` replaces everything it held before.
    Grants lapse at the stamp's clock plus the duration, however late the
    call arrives, so that a server that was frozen finds them lapsed.  The
    call grants nothing unless its stamp is of the server's present instance;
    terms and revocations take effect all the same.  A call with a lower
    sequence than one seen before of the same term is fenced: a late grant
    must not undo a revocation.
    """

    server: ServerId
    sequence: int
    term: Epoch
    duration: Seconds
    whole: bool
    granted: tuple[GrantedShard, ...]
    revoked: tuple[ShardId, ...]
    # The server's newest stamp that the dispatcher has received.
    stamp: ServerStamp | None = None


@dataclass(frozen=True, slots=True)
class RunAttempt:
    """Send a request to a server, once; ends in `AttemptEnded`."""

    server: ServerId
    attempt: AttemptId
    term: Epoch
    shard: ShardId
    epoch: Epoch
    request: Request
    # The performer checks the monotonic clock directly before it sends
    # and ends the attempt as unsent after this time.
    send_before: Seconds


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Close the connection of an attempt; its late answer is dropped."""

    server: ServerId
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class AnswerCaller:
    """Answer a caller."""

    call_id: CallId
    answer: Answer


@unique
class Component(Enum):
    """Name the parts that log lines and metrics are prefixed with."""

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
    """Write one short sentence to the process's own log."""

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
    """Deliver a dump of the state as JSON text."""

    text: str


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """End the process: everything in flight has been answered."""


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
