"""Define the effects that a gateway asks its shell to perform."""

from dataclasses import dataclass, field
from enum import Enum, unique

from trefoilsaddle.core.units import (
    NO_ERA,
    CallId,
    NodeId,
    Offset,
    Seconds,
    ServiceName,
    StoreEra,
    Version,
)
from trefoilsaddle.gateway.events import TimerKind, Topic
from trefoilsaddle.gateway.keys import Key, KeyRange
from trefoilsaddle.gateway.peermessages import (
    ClockAnswer,
    ControllerAnnouncement,
    News,
    Report,
)
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.table import (
    GatewayAddress,
    OwnershipTable,
)
from trefoilsaddle.results import ResultCode


@unique
class Component(Enum):
    """List the components that write log lines."""

    forwarding = 'forwarding'
    ownership = 'ownership'
    store = 'store'
    peers = 'peers'
    lifecycle = 'lifecycle'


LogValue = str | int | float | bool


@dataclass(frozen=True, slots=True)
class LogField:
    """Hold one named value of a log line."""

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
    """Start a timer, or restart it."""

    kind: TimerKind
    delay: Seconds


@dataclass(frozen=True, slots=True)
class SetCallTimer:
    """Set the deadline timer of a request."""

    call: CallId
    delay: Seconds


@dataclass(frozen=True, slots=True)
class ReadTopic:
    """Read a topic from an offset, or its newest records."""

    topic: Topic
    # None to read the newest record of each key.
    offset: Offset | None
    # Longest time that the store waits for the next record.
    wait: Seconds
    # Era in which the offset was given out.
    era: StoreEra = NO_ERA


@dataclass(frozen=True, slots=True)
class JoinGroup:
    """Join the group that elects the controller, or stay in it."""

    generation: int
    lease: Seconds


@dataclass(frozen=True, slots=True)
class LeaveGroup:
    """Leave the group, so that another member is elected at once."""


@dataclass(frozen=True, slots=True)
class AppendTable:
    """Append a table to the store at the expected position only."""

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
    """Ask a server to release a range of keys."""

    service: ServiceName
    incarnation: ServerIncarnation
    host: str
    port: int
    keys: KeyRange
    fence: int


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send a request to a server as one attempt."""

    call: CallId
    attempt: int
    server: Server
    key: Key | None = field(repr=False)
    # Time left for the server to answer.
    remaining: Seconds
    # True if the request may be sent on a connection that the server may be
    # closing.
    idempotent: bool
    # True to see first whether the server keeps a new connection open.
    settle: bool = False
    # True if an answer to an earlier attempt may still arrive on a connection
    # that is open.
    new_connection: bool = False


@dataclass(frozen=True, slots=True)
class CancelAttempts:
    """Cancel the running attempts of a request."""

    call: CallId


@dataclass(frozen=True, slots=True)
class DeliverAnswer:
    """Deliver the server's answer of an attempt to the caller."""

    call: CallId
    attempt: int


@dataclass(frozen=True, slots=True)
class EndCall:
    """Answer a request with a result of the gateway itself."""

    call: CallId
    code: ResultCode
    # True if the request has not run and never will.
    not_run: bool
    retry_after: Seconds


@dataclass(frozen=True, slots=True)
class DialController:
    """Keep a connection to the controller or its relay; None closes it."""

    address: GatewayAddress | None


@dataclass(frozen=True, slots=True)
class AnswerClock:
    """Tell a connected gateway the time that it has asked for."""

    node: NodeId
    answer: ClockAnswer


@dataclass(frozen=True, slots=True)
class NameRelay:
    """Tell a connected gateway to connect to a relay instead."""

    node: NodeId
    relay: GatewayAddress


@dataclass(frozen=True, slots=True)
class DropPeers:
    """Close the connection of one gateway to this one, or those of all."""

    node: NodeId | None = None


@dataclass(frozen=True, slots=True)
class SendReport:
    """Send a report to the controller."""

    report: Report = field(repr=False)


@dataclass(frozen=True, slots=True)
class SendNews:
    """Send an update to one gateway or to all connected ones."""

    news: News = field(repr=False)
    node: NodeId | None = None
    # Gateways that are connected but not admitted yet.
    excluded: frozenset[NodeId] = frozenset()


@dataclass(frozen=True, slots=True)
class AskConfiguration:
    """Request the configuration from a gateway, or from the controller."""

    known: Version
    node: NodeId | None = None


@dataclass(frozen=True, slots=True)
class SendConfiguration:
    """Send the configuration to a gateway, or to the controller."""

    node: NodeId | None
    encoded: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class AnnounceController:
    """Announce this controller to a gateway that is not connected."""

    address: GatewayAddress
    announcement: ControllerAnnouncement


@dataclass(frozen=True, slots=True)
class ProbeServer:
    """Ask a server for its health."""

    server: Server
    path: str


@dataclass(frozen=True, slots=True)
class SetReady:
    """Set whether the gateway reports itself ready for callers."""

    ready: bool


@dataclass(frozen=True, slots=True)
class ExitProcess:
    """Exit the process once callers have their answers."""

    # Longest wait for answers that are being written.
    patience: Seconds


@dataclass(frozen=True, slots=True)
class CountMetric:
    """Increment a counter."""

    name: str
    label: str = ''


@dataclass(frozen=True, slots=True)
class ObserveTime:
    """Record a duration in a histogram."""

    name: str
    seconds: Seconds


_CallEffect = (
    SetCallTimer | SendAttempt | CancelAttempts | DeliverAnswer | EndCall
)

_StoreEffect = ReadTopic | JoinGroup | LeaveGroup | AppendTable

_PeerEffect = (
    DialController
    | AnswerClock
    | NameRelay
    | DropPeers
    | SendReport
    | SendNews
    | AskConfiguration
    | SendConfiguration
    | AnnounceController
)

Effect = (
    WriteDecision
    | SetTimer
    | _CallEffect
    | _StoreEffect
    | _PeerEffect
    | GrantKeys
    | ReleaseKeys
    | ProbeServer
    | SetReady
    | ExitProcess
    | CountMetric
    | ObserveTime
)

Effects = list[Effect]
