"""Define the options of a gateway.

The platform's adapter builds them from the settings file. The defaults are the
design's constants; each comment gives the source of the figure.
"""

from dataclasses import dataclass

from trefoilsaddle.core.units import NodeId, RegionName, Seconds, ZoneName


@dataclass(frozen=True, slots=True)
class RetryBudget:
    """Limit the retries of requests to a service.

    Every attempt after the first of a request is a retry. The limit holds for
    all gateways together, over any window.
    """

    ratio: float
    slack: float
    window: Seconds


@dataclass(frozen=True, slots=True)
class ColdServerBound:
    """Limit the requests that a cold server gets in any second.

    All gateways together may send `factor` times the rate that it tolerates,
    and `slack` requests more.
    """

    factor: float = 1
    slack: float = 0


@dataclass(frozen=True, slots=True)
class ServerDefaults:
    """Define what is assumed of servers before any measurement."""

    # Mean time of one request at an average server.
    service_time: Seconds = Seconds(0.15)


# A lost controller is replaced within its lease and an urgent interval, and
# grants have to outlast that. Keys have to be served again within 3 s of the
# loss of their server (required by the users): a process that has ended has
# closed its connections, so that calls to it fail at once, and only the hold
# measured by a slow clock counts.
DEFAULT_HOLD = Seconds(2)
# Time limit for connecting to a server before an order's own time limit starts.
# A round trip between regions takes 40 ms; the rest covers delays of this
# machine.
CONNECT_TIMEOUT = Seconds(0.25)
# Longest hold that servers accept on the users' sites; each site configures its
# own limit.
MAX_HOLD = Seconds(10)


@dataclass(frozen=True, slots=True)
class GatewayOptions:
    """Identify a gateway and set the pace of its periodic work."""

    node: NodeId
    # Random number of this incarnation.
    run: int
    zone: ZoneName
    region: RegionName
    # Region of each availability zone.
    regions: dict[ZoneName, RegionName]
    # Address on which other gateways connect.
    host: str
    port: int
    seed: int
    retry_budget: RetryBudget
    # Time from SIGTERM until the process has to have exited.
    stop_timeout: Seconds
    # Interval at which a server writes its entry; the entry lapses after three
    # missed writes.
    heartbeat: Seconds
    # True if the whole system starts for the first time with this process.
    first_start: bool = False
    cold_servers: ColdServerBound = ColdServerBound()
    # Cores available to this process, each scaled by its own speed.
    speed: float = 2
    # Bandwidth of this machine's link in Mbit/s.
    link_rate: float = 1000
    server_defaults: ServerDefaults = ServerDefaults()
    hold: Seconds = DEFAULT_HOLD
    max_hold: Seconds = MAX_HOLD
    # A quarter of the hold: three calls may fail before a grant lapses.
    renewal_interval: Seconds = Seconds(0.5)
    # Processing time of an order on this machine; the default is for 0.4 cores.
    order_time: Seconds = Seconds(0.007)
    # A round trip between regions takes 40 ms; the rest is for a busy server.
    grant_timeout: Seconds = Seconds(0.25)
    # A server answers a release once the work on its keys has ended.
    release_timeout: Seconds = Seconds(2.5)
    # The store accepts no shorter time to live for group members than 1 s.
    controller_lease: Seconds = Seconds(1)
    controller_interval: Seconds = Seconds(0.33)
    member_lease: Seconds = Seconds(2)
    member_interval: Seconds = Seconds(0.8)
    # Join interval of a member that is not connected to a controller.
    urgent_interval: Seconds = Seconds(0.25)
    # Longest time for which a controller renews grants without the store.
    outage_tolerance: Seconds = Seconds(12)
    # A hot range has to be found within one or two seconds; a request takes
    # 0.16 s.
    report_interval: Seconds = Seconds(0.2)
    # Interval between reads of the servers' entries; servers that drain have to
    # be known within 2.5 s (`drain`).
    servers_interval: Seconds = Seconds(0.6)
    # Longest wait of a read for the next configuration, which has to be in
    # force within 2.5 s even after a connection was cut silently.
    configuration_wait: Seconds = Seconds(1)
    # Two report intervals, so that the effect of one move is measured before
    # the next is chosen.
    balance_interval: Seconds = Seconds(0.4)
    # Upper bound of what the review adds to the time in which lost keys are
    # served again.
    review_interval: Seconds = Seconds(0.1)
    # The platform's rate limits allow one retry per machine at this interval.
    retry_interval: Seconds = Seconds(0.3)
