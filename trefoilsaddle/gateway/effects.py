"""Hold everything that a gateway can ask its shell to do."""

from dataclasses import dataclass, field
from enum import Enum, unique

from trefoilsaddle.core.units import (
    CallId,
    NodeId,
    Offset,
    Seconds,
    ServiceName,
    Version,
)
from trefoilsaddle.gateway.events import TimerKind, Topic
from trefoilsaddle.gateway.keys import Key, KeyRange
from trefoilsaddle.gateway.peermessages import News, Report
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.table import (
    GatewayAddress,
    OwnershipTable,
    StoredTable,
)
from trefoilsaddle.results import ResultCode


@unique
class Component(Enum):
    """Name the parts that write log lines."""

    forwarding = 'forwarding'
    ownership = 'ownership'
    store = 'store'
    peers = 'peers'
    lifecycle = 'lifecycle'


LogValue = str | int | float | bool


@dataclass(frozen=True, slots=True)
class LogField:
    """Hold one named input or result of a decision."""

    name: str
    text: LogValue


@dataclass(frozen=True, slots=True)
class WriteDecision:
    """Write one structured log line about a decision."""

    component: Component
    event_name: str
    fields: tuple[LogField, ...] = ()
    request_id: str = ''


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Start a timer, or start it again."""

    kind: TimerKind
    delay: Seconds


@dataclass(frozen=True, slots=True)
class SetCallTimer:
    """Bound the time of a request."""

    call: CallId
    delay: Seconds


@dataclass(frozen=True, slots=True)
class ReadTopic:
    """Read records of the store from an offset, or all newest ones."""

    topic: Topic
    # None for the newest record of each key.
    offset: Offset | None
    # Longest wait of the store for the next record.
    wait: Seconds


@dataclass(frozen=True, slots=True)
class JoinGroup:
    """Stay a member of the group that the controller is chosen from."""

    generation: int
    lease: Seconds


@dataclass(frozen=True, slots=True)
class LeaveGroup:
    """Leave the group, so that another member is chosen at once."""


@dataclass(frozen=True, slots=True)
class AppendTable:
    """Store a table if the store's next position is the expected one."""

    expected: Offset
    table: OwnershipTable = field(repr=False)


@dataclass(frozen=True, slots=True)
class GrantKeys:
    """Grant a range of keys to a server, or renew the grant."""

    server: Server
    keys: KeyRange
    fence: int
    hold: Seconds
    handover: str


@dataclass(frozen=True, slots=True)
class ReleaseKeys:
    """Take a range of keys back from a server."""

    service: ServiceName
    incarnation: ServerIncarnation
    host: str
    port: int
    keys: KeyRange
    fence: int


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to a server."""

    call: CallId
    attempt: int
    server: Server
    key: Key | None = field(repr=False)
    # Time that the server has for the answer.
    remaining: Seconds
    # True if a connection that the server may just close is no risk.
    idempotent: bool


@dataclass(frozen=True, slots=True)
class CancelAttempts:
    """Break off what still runs for a request."""

    call: CallId


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Pass on the server's answer of an attempt."""

    call: CallId
    attempt: int


@dataclass(frozen=True, slots=True)
class EndCall:
    """Answer a request without a server's answer."""

    call: CallId
    code: ResultCode
    # True if the request has not run and never will.
    not_run: bool
    retry_after: Seconds


@dataclass(frozen=True, slots=True)
class DialController:
    """Keep a connection to a controller; None ends it."""

    address: GatewayAddress | None


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to the controller."""

    report: Report = field(repr=False)


@dataclass(frozen=True, slots=True)
class SendNews:
    """Send news to one gateway or to all that are connected."""

    news: News = field(repr=False)
    node: NodeId | None = None


@dataclass(frozen=True, slots=True)
class AskConfiguration:
    """Ask the controller for its configuration."""

    known: Version


@dataclass(frozen=True, slots=True)
class SendConfiguration:
    """Pass the configuration on to a gateway."""

    node: NodeId
    encoded: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class AnnounceTable:
    """Tell one gateway of the newest table, on a connection of its own."""

    address: GatewayAddress
    stored: StoredTable = field(repr=False)


@dataclass(frozen=True, slots=True)
class SetReady:
    """Tell whether the gateway takes callers."""

    ready: bool


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """End the process: nothing is in flight."""


@dataclass(frozen=True, slots=True)
class CountMetric:
    """Add to a counter."""

    name: str
    label: str = ''


@dataclass(frozen=True, slots=True)
class ObserveTime:
    """Add a duration to a histogram."""

    name: str
    seconds: Seconds


_CallEffect = (
    SetCallTimer | SendAttempt | CancelAttempts | DeliverAnswer | EndCall
)

_StoreEffect = ReadTopic | JoinGroup | LeaveGroup | AppendTable

_PeerEffect = (
    DialController
    | SendReport
    | SendNews
    | AskConfiguration
    | SendConfiguration
    | AnnounceTable
)

Effect = (
    WriteDecision
    | SetTimer
    | _CallEffect
    | _StoreEffect
    | _PeerEffect
    | GrantKeys
    | ReleaseKeys
    | SetReady
    | ExitProcess
    | CountMetric
    | ObserveTime
)

Effects = list[Effect]
