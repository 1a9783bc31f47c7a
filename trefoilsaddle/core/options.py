"""Define the start-up options of a process.

`trefoilsaddle.settings` validates a process's YAML settings and builds the
options.  Values that operators may change at run time are in the published
configuration instead, see `trefoilsaddle.core.configuration`.
"""

from dataclasses import dataclass

from trefoilsaddle.core.units import (
    NodeId,
    RegionName,
    Seconds,
    SiteName,
    ZoneName,
)


@dataclass(frozen=True, slots=True)
class Peer:
    """Describe a seed process that can send the list of all others."""

    node: NodeId
    zone: ZoneName
    host: str
    port: int
    dispatches: bool


@dataclass(frozen=True, slots=True)
class Options:
    """Hold a process's identity, address, seed peers and loop intervals."""

    node: NodeId
    zone: ZoneName
    region: RegionName
    site: SiteName
    # Address at which peers reach the process.
    host: str
    port: int
    # True for a dispatcher, false for an entry process.
    dispatches: bool
    peers: tuple[Peer, ...]
    seed: int
    # Longest time between two reads of the log.
    log_interval: Seconds = Seconds(0.2)
    # Shortest time that the log keeps a record.
    log_retention: Seconds = Seconds(3600)
    host_list_interval: Seconds = Seconds(1)
    # Time between two renewals of a server's grants.
    grant_interval: Seconds = Seconds(0.4)
    probe_interval: Seconds = Seconds(0.25)
    probe_timeout: Seconds = Seconds(0.15)
    suspicion_timeout: Seconds = Seconds(0.6)
    # A timer later than this shows that the process was paused.
    pause_tolerance: Seconds = Seconds(0.2)
    placement_interval: Seconds = Seconds(5)
    # Longest wait for requests in flight during a graceful shutdown.
    stop_timeout: Seconds = Seconds(20)
