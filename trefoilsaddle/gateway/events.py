"""Define the events that a gateway's reducer handles."""

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
)
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.keys import Key, KeyRange
from trefoilsaddle.gateway.peermessages import (
    ClockAnswer,
    ControllerAnnouncement,
    News,
    Report,
)
from trefoilsaddle.gateway.servers import ServerChange, ServerIncarnation
from trefoilsaddle.gateway.statements import ServerStatement
from trefoilsaddle.gateway.table import GatewayAddress, StoredTable
from trefoilsaddle.gateway.zones import ZoneDrain


@unique
class Topic(Enum):
    """List the topics of the store that a gateway reads."""

    configuration = 'configuration'
    servers = 'servers'
    ownership = 'ownership'


@unique
class TimerKind(Enum):
    """List the kinds of periodic work."""

    read_configuration = 'read-configuration'
    read_servers = 'read-servers'
    read_ownership = 'read-ownership'
    join_group = 'join-group'
    report = 'report'
    review = 'review'


@dataclass(frozen=True, slots=True)
class Started:
    """Report that the process has started."""


@dataclass(frozen=True, slots=True)
class StopRequested:
    """Report a request for a graceful shutdown."""

    # Earliest time at which it may have been sent; None if it has just been.
    sent_after: Seconds | None = None


@dataclass(frozen=True, slots=True)
class DumpRequested:
    """Report a request for a dump of the state."""


@dataclass(frozen=True, slots=True)
class TimerExpired:
    """Report that a timer has expired."""

    kind: TimerKind


@unique
class ReadVerdict(Enum):
    """List the results of a read of the store."""

    records = 'records'
    # The store has no record at the offset: the record has expired, or the
    # offset is from an earlier era.
    expired = 'expired'
    unavailable = 'unavailable'


TopicEntry = Configuration | ServerChange | StoredTable | ZoneDrain


@dataclass(frozen=True, slots=True)
class TopicRead:
    """Report the result of a read of a topic."""

    topic: Topic
    verdict: ReadVerdict
    # True if the entries are the complete contents of the topic.
    whole: bool
    # Offset at which the next read continues.
    next_offset: Offset
    entries: tuple[TopicEntry, ...] = field(repr=False)
    # Time at which the read was sent.
    asked_at: Seconds
    # Era of the store that answered.
    era: StoreEra = NO_ERA


@dataclass(frozen=True, slots=True)
class JoinEnded:
    """Report the store's answer to a heartbeat of a group member."""

    answered: bool
    generation: int
    # True if the store has elected this member as the controller.
    leads: bool
    asked_at: Seconds
    # Era of the store that answered.
    era: StoreEra = NO_ERA


@unique
class AppendVerdict(Enum):
    """List the results of an append to the store."""

    stored = 'stored'
    # Another record already has this position.
    conflict = 'conflict'
    # The store did not append anything.
    refused = 'refused'
    # The append may have happened, or may still happen.
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class AppendEnded:
    """Report the result of an append of an ownership table."""

    service: ServiceName
    sequence: int
    verdict: AppendVerdict
    # Era of the store that answered.
    era: StoreEra = NO_ERA


@unique
class OrderVerdict(Enum):
    """List the results of an order, i.e. a grant or a release."""

    done = 'done'
    # The server has seen a higher fencing token.
    fenced = 'fenced'
    # The server refused the order.
    rejected = 'rejected'
    # The server may have executed the order, or may still do so.
    unknown = 'unknown'


@dataclass(frozen=True, slots=True)
class OrderTimes:
    """Hold the times of an order's steps since its decision.

    A step that was not reached has None.
    """

    # The order's task first ran.
    started: Seconds | None = None
    # A connection to the server was available.
    connected: Seconds | None = None
    # The order was written to the network.
    written: Seconds | None = None
    # The answer arrived, or the order timed out.
    ended: Seconds | None = None

    def count_from(self, waited: Seconds) -> 'OrderTimes':
        """Return the times shifted by an earlier wait."""
        return OrderTimes(
            **{step: Seconds(time + waited) for step, time in self.list_steps()}
        )

    def list_steps(self) -> list[tuple[str, Seconds]]:
        """Return the steps that were reached and their times."""
        steps = {
            'started': self.started,
            'connected': self.connected,
            'written': self.written,
            'ended': self.ended,
        }
        return [
            (step, time) for step, time in steps.items() if time is not None
        ]


@dataclass(frozen=True, slots=True)
class OrderEnded:
    """Report the result of an order to a server."""

    service: ServiceName
    keys: KeyRange
    incarnation: ServerIncarnation
    fence: int
    release: bool
    verdict: OrderVerdict
    # Handover reference that the last holder returned for the next one; empty
    # if there is none.
    handover: str
    times: OrderTimes = OrderTimes()
    # What the head of the answer states; None if no whole head arrived.
    statement: ServerStatement | None = None


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Hold the fields of a request that routing depends on."""

    request_id: str
    host: str
    path: str = field(repr=False)
    key: Key | None = field(repr=False)
    # Time for which the caller still waits for the answer.
    remaining: Seconds
    body_bytes: int


@dataclass(frozen=True, slots=True)
class RequestArrived:
    """Report a request that was received completely."""

    call: CallId
    head: RequestHead


@dataclass(frozen=True, slots=True)
class CallerLeft:
    """Report that a caller has closed its connection."""

    call: CallId


@unique
class AttemptVerdict(Enum):
    """List the results of an attempt at a server."""

    # The server answered completely, with success or failure.
    answered = 'answered'
    # The server stated that it did not run the request.
    shed = 'shed'
    # The server does not own the key, or is another server than expected.
    misdirected = 'misdirected'
    # No byte of the request was sent, as no connection could be opened.
    unsent = 'unsent'
    # No byte of the request was sent, as the server closed a new connection.
    refused = 'refused'
    # The request may have run; no complete answer arrived.
    lost = 'lost'
    # The request may have run; its answer exceeded the size limit and was
    # discarded.
    too_large = 'too-large'


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """Report the result of an attempt at a server."""

    call: CallId
    attempt: int
    verdict: AttemptVerdict
    # Status of the server's answer; zero if there is none.
    status: int
    # What the head of the answer states; None if no whole head arrived.
    statement: ServerStatement | None = None


@dataclass(frozen=True, slots=True)
class CallExpired:
    """Report that the deadline of a request has passed."""

    call: CallId


@dataclass(frozen=True, slots=True)
class ReportReceived:
    """Report that the controller received a report of a gateway."""

    report: Report


@dataclass(frozen=True, slots=True)
class NewsReceived:
    """Report that a message of the controller was received."""

    news: News


@dataclass(frozen=True, slots=True)
class PeerLinked:
    """Report that another gateway has connected to this one."""

    node: NodeId
    # Its first report; None if it is not known.
    report: Report | None = None


@dataclass(frozen=True, slots=True)
class PeerLost:
    """Report that the connection of another gateway to this one has ended."""

    node: NodeId


@dataclass(frozen=True, slots=True)
class LinkOpened:
    """Report that the connection to the controller or a relay was made."""


@dataclass(frozen=True, slots=True)
class ClockAnswered:
    """Report the time that this gateway has asked its peer for."""

    answer: ClockAnswer


@dataclass(frozen=True, slots=True)
class RelayAssigned:
    """Report that the peer wants this gateway to connect to a relay."""

    relay: GatewayAddress


@dataclass(frozen=True, slots=True)
class ConfigurationWanted:
    """Report that a gateway, or the controller, requested the configuration."""

    node: NodeId | None


@dataclass(frozen=True, slots=True)
class ConfigurationCopied:
    """Report a configuration received from another gateway."""

    configuration: Configuration


@dataclass(frozen=True, slots=True)
class ControllerAnnounced:
    """Report that a new controller has announced itself."""

    announcement: ControllerAnnouncement


@dataclass(frozen=True, slots=True)
class LinkLost:
    """Report that the connection to the controller was lost."""


@dataclass(frozen=True, slots=True)
class ServerProbed:
    """Report what a server's health response states."""

    incarnation: ServerIncarnation
    # Time for which the server stays cold; zero if it states none.
    warm_up_left: Seconds


_ServerEvent = OrderEnded | ServerProbed

_ProcessEvent = Started | StopRequested | DumpRequested | TimerExpired

_StoreEvent = TopicRead | JoinEnded | AppendEnded

_CallEvent = RequestArrived | CallerLeft | AttemptEnded | CallExpired

_PeerEvent = (
    ReportReceived
    | NewsReceived
    | PeerLinked
    | PeerLost
    | LinkOpened
    | LinkLost
    | ClockAnswered
    | RelayAssigned
    | ConfigurationWanted
    | ConfigurationCopied
    | ControllerAnnounced
)

Event = _ProcessEvent | _StoreEvent | _CallEvent | _PeerEvent | _ServerEvent
