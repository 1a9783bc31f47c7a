"""Hold the messages between gateways and their controller."""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import (
    Offset,
    Seconds,
    ServiceName,
    Version,
)
from trefoilsaddle.gateway.keys import Key
from trefoilsaddle.gateway.servers import Server, ServerTag
from trefoilsaddle.gateway.table import (
    GatewayAddress,
    OwnerEntry,
    OwnershipTable,
)


@dataclass(frozen=True, slots=True)
class KeyCount:
    """Count the requests for a key within a report's time."""

    key: Key
    requests: int


@dataclass(frozen=True, slots=True)
class KeyCounts:
    """Hold the counted keys of a service."""

    service: ServiceName
    counts: tuple[KeyCount, ...]


@dataclass(frozen=True, slots=True)
class ServerUse:
    """Sum up what a gateway saw of a server within a report's time."""

    tag: ServerTag
    # Mean number of requests that were at the server.
    busy: float
    succeeded: int
    failed: int
    # Times of requests that found a free slot, and how many they were.
    sampled: Seconds
    samples: int


@dataclass(frozen=True, slots=True)
class Report:
    """Tell the controller of the requests since the last report."""

    gateway: GatewayAddress
    elapsed: Seconds
    uses: tuple[ServerUse, ...]
    keys: tuple[KeyCounts, ...]
    # Cores of the gateway, each counted by its own speed.
    speed: float = 1


@dataclass(frozen=True, slots=True)
class ServerLoad:
    """Tell gateways how busy a server is, over all of them."""

    tag: ServerTag
    busy: float
    # Mean time of a request that does not wait.
    service_time: Seconds


@dataclass(frozen=True, slots=True)
class OwnerNews:
    """Tell gateways who serves the keys of a service."""

    service: ServiceName
    # Position of the table in the store.
    offset: Offset
    entries: tuple[OwnerEntry, ...]


@dataclass(frozen=True, slots=True)
class News:
    """Tell gateways what the controller knows.

    Owners, servers and gateways are left out when they have not changed.
    """

    run: int
    # Number of gateways that report.
    reporting: int
    gateways: tuple[GatewayAddress, ...]
    configuration: Version
    # Age of the controller's last look at the configuration.
    configuration_age: Seconds
    # Age of its last look at the servers' entries.
    servers_age: Seconds
    # True if the servers listed are all that there are.
    servers_whole: bool
    servers: tuple[Server, ...]
    removed: tuple[str, ...]
    owners: tuple[OwnerNews, ...]
    loads: tuple[ServerLoad, ...]
    # Servers whose entries are gone and may have lapsed with the store: a
    # gateway that knows them keeps them, no other takes them up.
    doubted: tuple[str, ...] = ()
    # Gateways that stay members of the group; none if they are as told.
    standbys: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ConfigurationRead:
    """Ask the controller for the configuration that it knows."""

    known: Version


@dataclass(frozen=True, slots=True)
class ConfigurationCopy:
    """Pass on a configuration, as its operator wrote it."""

    deflated: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class TableAnnouncement:
    """Tell a gateway that may not reach the store of a new controller."""

    offset: Offset
    table: OwnershipTable


PeerMessage = (
    Report | News | ConfigurationRead | ConfigurationCopy | TableAnnouncement
)
