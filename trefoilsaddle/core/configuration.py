"""Hold the configuration in force, as plain data inside the core.

The border models in `trefoilsaddle.documents` validate the YAML of the base
file and the overlays and build these classes.  Versions only grow.
"""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import (
    MemberName,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
    SiteName,
    Version,
    ZoneName,
)


@dataclass(frozen=True, slots=True)
class RankPolicy:
    """Give the target, the worth and the guaranteed share of one rank."""

    name: str
    # Wanted latency for 99 of 100 requests.
    target: Seconds
    # Worth of one request served, relative to the other ranks.
    worth: float
    # Least fraction of the slots that the rank gets while it has work.
    share: float


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Describe one service of the base file."""

    name: ServiceName
    shard_count: int
    # Longest deadline a caller may ask for.
    longest_deadline: Seconds
    # Most requests that wait for one server, over all ranks.
    queue_limit: int
    largest_body: int
    # How long a zone that is cut off keeps serving; None means forever.
    isolation_hold: Seconds | None


@dataclass(frozen=True, slots=True)
class ServerPolicy:
    """Describe one backend server of an overlay."""

    server_id: ServerId
    service: ServiceName
    zone: ZoneName
    host: str
    port: int
    slots: int
    connections: int
    # False is the safe reading of a server nothing is known of.
    checks_grants: bool
    leaving: bool


@dataclass(frozen=True, slots=True)
class LimitPolicy:
    """Hold the limits of the base file that hold for every service."""

    # Fraction of requests that may be retried by the system.
    retry_budget: float
    # How long a server's grants last without renewal.
    grant_duration: Seconds
    # How long a dispatcher's lease lasts from the read that renewed it.
    lease_duration: Seconds
    # Greatest relative error between two monotonic clocks.
    clock_drift: float
    # Greatest difference between two processes' times of day.
    clock_skew: Seconds
    # How long outcomes of idempotency keys are kept.
    idempotency_window: Seconds
    # Most outcomes kept per server.
    idempotency_limit: int
    # Greatest fraction by which a server's load may exceed the mean.
    imbalance: float
    # Fraction of one server's requests that makes a key hot.
    hot_fraction: float


@dataclass(frozen=True, slots=True)
class SitePolicy:
    """Describe one site as its overlay states it."""

    name: SiteName
    region: RegionName
    zones: tuple[ZoneName, ...]
    servers: tuple[ServerPolicy, ...]
    # Zones that an operator has declared lost.
    lost_zones: tuple[ZoneName, ...]


@dataclass(frozen=True, slots=True)
class Configuration:
    """Join the base file and every overlay that are in force."""

    version: Version
    ranks: tuple[RankPolicy, ...]
    services: dict[ServiceName, ServicePolicy]
    members: tuple[MemberName, ...]
    limits: LimitPolicy
    sites: dict[SiteName, SitePolicy] = field(default_factory=dict)
