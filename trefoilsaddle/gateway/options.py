"""Hold the one options class of a gateway.

The adapter of a platform builds it from the settings file; the defaults are
the constants of the design, each with the source of its figure.
"""

from dataclasses import dataclass

from trefoilsaddle.core.units import NodeId, RegionName, Seconds, ZoneName


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Bound the sends beyond the first of each request to a service.

    The bound holds for all gateways together, over any window.
    """

    ratio: float
    slack: float
    window: Seconds


@dataclass(frozen=True, slots=True)
class ServerDefaults:
    """Say what is expected of servers before anything was measured."""

    # Mean time of one request at a server of ordinary speed.
    service_time: Seconds = Seconds(0.15)


# A lost controller is replaced within its lease and an urgent interval; grants
# outlast that, and keys are to be served again within 3 s of the loss of their
# server (the users' aim): a process that has ended has closed its connections,
# so that calls to it find none, and only the hold by a slow clock counts.
DEFAULT_HOLD = Seconds(2)
# Longest time until the connection of an order is made, before its own time
# begins.  A round trip between regions is 40 ms; the rest is for this machine.
CONNECT_TIMEOUT = Seconds(0.25)
# What servers accept at most on the users' sites; each site states its own.
MAX_HOLD = Seconds(10)


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Tell a gateway who it is and how its loops are paced."""

    node: NodeId
    # Drawn at each start.
    run: int
    zone: ZoneName
    region: RegionName
    # Region of each availability zone.
    regions: dict[ZoneName, RegionName]
    # Address for messages of other gateways.
    host: str
    port: int
    seed: int
    retry_budget: RetryBudget
    # Longest time from SIGTERM until the process has to be gone.
    stop_timeout: Seconds
    # Between two writes of a server's entry; three missed ones and it lapses.
    heartbeat: Seconds
    # Cores that this process may use, each counted by its own speed.
    speed: float = 2
    # Of this machine's own link, in Mbit a second.
    link_rate: float = 1000
    server_defaults: ServerDefaults = ServerDefaults()
    hold: Seconds = DEFAULT_HOLD
    max_hold: Seconds = MAX_HOLD
    # A quarter of the hold: three calls may fail before a grant lapses.
    renewal_interval: Seconds = Seconds(0.5)
    # Time that an order takes up of the machine; by default that of 0.4 cores.
    order_time: Seconds = Seconds(0.007)
    # A round trip between regions is 40 ms; the rest is for a busy server.
    grant_timeout: Seconds = Seconds(0.25)
    # A release answers when the work on its keys has ended.
    release_timeout: Seconds = Seconds(2.5)
    # Shortest time to live that the store takes for group members is 1 s.
    controller_lease: Seconds = Seconds(1)
    controller_interval: Seconds = Seconds(0.33)
    member_lease: Seconds = Seconds(2)
    member_interval: Seconds = Seconds(0.8)
    # Of a member that does not hear of a controller.
    urgent_interval: Seconds = Seconds(0.25)
    # Longest time that a controller renews grants without the store.
    outage_tolerance: Seconds = Seconds(12)
    # A hot range is to be found within a second or two; a request takes 0.16 s.
    report_interval: Seconds = Seconds(0.2)
    # Between two reads of the servers' entries; leaving servers have to be
    # known within `drain`, 2.5 s.
    servers_interval: Seconds = Seconds(0.6)
    # Longest wait of a read for the next configuration; it has to be in
    # force within 2.5 s also after a connection fell silent.
    configuration_wait: Seconds = Seconds(1)
    # Two reports: the effect of one move is seen before the next is chosen.
    balance_interval: Seconds = Seconds(0.4)
    # Adds at most this to the time at which lost keys are served again.
    review_interval: Seconds = Seconds(0.1)
    # The platform's limits on calls bear one a machine at this pace.
    retry_interval: Seconds = Seconds(0.3)
