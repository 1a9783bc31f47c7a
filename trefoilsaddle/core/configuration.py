"""Define the configuration in force as plain data classes.

The models in `trefoilsaddle.documents` validate the YAML of the base file and
the overlays and build these classes.  Versions only increase.
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
    """Hold the latency target, value and guaranteed share of one rank."""

    name: str
    # Target for the 99th percentile of the latency.
    target: Seconds
    # Value of one request served, relative to the other ranks.
    worth: float
    # Fraction of the slots guaranteed to the rank while it has requests.
    share: float


@dataclass(frozen=True, slots=True)
class ServicePolicy:
    """Describe one service of the base file."""

    name: ServiceName
    shard_count: int
    # Longest deadline that a caller may request.
    longest_deadline: Seconds
    # Most waiting requests per server, over all ranks.
    queue_limit: int
    largest_body: int
    # How long an isolated zone keeps serving; None means without limit.
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
    # False is the safe assumption if this is not known of a server.
    checks_grants: bool
    leaving: bool


@dataclass(frozen=True, slots=True)
class LimitPolicy:
    """Hold the limits of the base file that apply to every service."""

    # Retries by the entry processes, as a fraction of the calls.
    retry_budget: float
    # How long a server's grants last without renewal.
    grant_duration: Seconds
    # How long a dispatcher's lease lasts from the log read that renewed it.
    lease_duration: Seconds
    # Greatest relative difference in rate between two monotonic clocks.
    clock_drift: float
    # Greatest difference between the wall clocks of two processes.
    clock_skew: Seconds
    # How long outcomes of idempotency keys are kept.
    idempotency_window: Seconds
    # Most outcomes that a dispatcher keeps per server.
    idempotency_limit: int
    # Greatest fraction by which a server's utilisation may exceed the mean.
    imbalance: float
    # Fraction of a server's requests from which a key counts as hot.
    hot_fraction: float


@dataclass(frozen=True, slots=True)
class SitePolicy:
    """Describe one site as declared in its overlay."""

    name: SiteName
    region: RegionName
    zones: tuple[ZoneName, ...]
    servers: tuple[ServerPolicy, ...]
    # Zones that an operator has declared lost.
    lost_zones: tuple[ZoneName, ...]


@dataclass(frozen=True, slots=True)
class Configuration:
    """Combine the base file and all overlays in force."""

    version: Version
    ranks: tuple[RankPolicy, ...]
    services: dict[ServiceName, ServicePolicy]
    members: tuple[MemberName, ...]
    limits: LimitPolicy
    sites: dict[SiteName, SitePolicy] = field(default_factory=dict)
