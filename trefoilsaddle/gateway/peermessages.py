"""Define the messages between gateways and the controller."""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import (
    NO_ERA,
    NO_OFFSET,
    NodeId,
    Offset,
    RegionName,
    Seconds,
    ServiceName,
    StoreEra,
    Version,
)
from trefoilsaddle.gateway.clocks import NO_STAMP
from trefoilsaddle.gateway.keys import Key
from trefoilsaddle.gateway.servers import Server, ServerTag
from trefoilsaddle.gateway.table import (
    GatewayAddress,
    OwnerEntry,
    TablePosition,
)
from trefoilsaddle.gateway.zones import DrainedZones


@dataclass(frozen=True, slots=True)
class KeyCount:
    """Count the requests for a key during a report interval."""

    key: Key
    requests: int


@dataclass(frozen=True, slots=True)
class KeyCounts:
    """Hold the request counts of a service's keys."""

    service: ServiceName
    counts: tuple[KeyCount, ...]


@dataclass(frozen=True, slots=True)
class ServerUse:
    """Summarize a gateway's requests to a server during a report interval."""

    tag: ServerTag
    # Mean number of this gateway's requests at the server.
    busy: float
    succeeded: int
    failed: int
    # Total time and number of the requests that found a free slot.
    sampled: Seconds
    samples: int


@dataclass(frozen=True, slots=True)
class ServerLimit:
    """Tell the limit on the requests to a server."""

    tag: ServerTag
    # Requests per second of all gateways; negative if the limit has ended.
    rate: float


@dataclass(frozen=True, slots=True)
class Greeting:
    """Describe a gateway that has just connected."""

    region: RegionName = RegionName('')
    # Bandwidth of the machine's link in Mbit/s.
    link_rate: float = 0
    # Number of gateways that are connected to it as their relay.
    followers: int = 0
    # Relay whose connection was lost just before; empty if none was.
    lost_relay: NodeId = NodeId('')


@dataclass(frozen=True, slots=True)
class Report:
    """Report a gateway's requests since its last report to the controller."""

    gateway: GatewayAddress
    elapsed: Seconds
    uses: tuple[ServerUse, ...]
    keys: tuple[KeyCounts, ...]
    # Cores of the gateway, each scaled by its own speed.
    speed: float = 1
    # Servers that the gateway has lately read to be leaving or gone.
    departed: tuple[ServerTag, ...] = ()
    # Incarnation and term of the controller whose update the gateway has
    # received; zero while a call of an own earlier term is in flight.
    controller_run: int = 0
    controller_term: int = 0
    # Version in force; zero if not stated.
    configuration: Version = Version(0)
    # Limits that servers have named, or ended, since the last report.
    limits: tuple[ServerLimit, ...] = ()
    # Servers that have said in an answer that they leave.
    leaving: tuple[ServerTag, ...] = ()
    # Time by the gateway's clock, if it asks for that of the receiver.
    asked_at: Seconds = NO_STAMP
    # What the receiver chooses relays by; stated in the first report on a
    # connection.
    greeting: Greeting | None = None


# Not frozen, as each update creates hundreds.
@dataclass(slots=True)
class ServerLoad:
    """Describe a server's load, summed over all gateways."""

    tag: ServerTag
    busy: float
    # Mean time of a request without waiting.
    service_time: Seconds


@dataclass(frozen=True, slots=True)
class OwnerNews:
    """List the owners of a service's keys."""

    service: ServiceName
    # Position of the ownership table in the store.
    offset: Offset
    entries: tuple[OwnerEntry, ...]
    # Era of the store in which the table was written.
    era: StoreEra = NO_ERA

    @property
    def position(self) -> TablePosition:
        """Return the position among the tables of all eras."""
        return TablePosition(self.era, self.offset)


@dataclass(frozen=True, slots=True)
class News:
    """Update the gateways with the controller's state.

    Owners, servers and gateways are left out when they have not changed.
    """

    run: int
    # Number of gateways that report to the controller.
    reporting: int
    gateways: tuple[GatewayAddress, ...]
    configuration: Version
    # Age of the controller's last read of the configuration.
    configuration_age: Seconds
    # Age of its last read of the servers' entries.
    servers_age: Seconds
    # True if the listed servers are all that are registered.
    servers_whole: bool
    servers: tuple[Server, ...]
    removed: tuple[str, ...]
    owners: tuple[OwnerNews, ...]
    loads: tuple[ServerLoad, ...]
    # Servers whose entries are gone but may only have lapsed while the store
    # was unreachable: a gateway that knows them keeps them, other gateways do
    # not add them.
    doubted: tuple[str, ...] = ()
    # Gateways that should remain group members; empty if unchanged.
    standbys: tuple[str, ...] = ()
    # Counts the terms of this incarnation as the controller, from one.
    term: int = 0
    # All limits that servers have named, and those that have ended lately.
    limits: tuple[ServerLimit, ...] = ()
    # Time by the sender's clock at which the update was built.
    stamp: Seconds = NO_STAMP
    # The controller whose state this is, and the age of that state; the sender
    # may be a relay.
    controller: GatewayAddress | None = None
    controller_age: Seconds = Seconds(0)
    # Where reading goes on after the record of the configuration, and the era
    # in which that offset was given out.
    configuration_end: Offset = NO_OFFSET
    era: StoreEra = NO_ERA
    # Availability zones that operators drain; gateways of earlier versions do not
    # tell them.
    drained: DrainedZones | None = None


@dataclass(frozen=True, slots=True)
class ClockAnswer:
    """Answer a report that asks for the time."""

    # Time by the clock of the gateway that asked, as it has stated.
    asked_at: Seconds
    # Time by the clock of the one that answers.
    stamp: Seconds


@dataclass(frozen=True, slots=True)
class RelayNamed:
    """Tell a gateway to connect to a relay instead of the controller."""

    relay: GatewayAddress


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """Request a newer configuration from the other end of the connection."""

    known: Version


@dataclass(frozen=True, slots=True)
class ConfigurationCopy:
    """Carry a configuration as its operator wrote it."""

    deflated: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class ServiceWait:
    """State how long servers may still hold a service's keys by lost tables."""

    service: ServiceName
    left: Seconds


@dataclass(frozen=True, slots=True)
class ControllerAnnouncement:
    """Announce a new controller to a gateway that may not reach the store."""

    controller: GatewayAddress
    # Position of its newest table.
    offset: Offset
    era: StoreEra
    # Services whose holders are not all known.
    waits: tuple[ServiceWait, ...] = ()
    # True if all of its tables are provisional.
    provisional: bool = False

    @property
    def position(self) -> TablePosition:
        """Return the position among the tables of all eras."""
        return TablePosition(self.era, self.offset)


PeerMessage = (
    Report
    | News
    | ConfigurationRead
    | ConfigurationCopy
    | ControllerAnnouncement
    | ClockAnswer
    | RelayNamed
)
