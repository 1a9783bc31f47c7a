"""Define the state of a gateway on which its reducer works."""

from dataclasses import dataclass, field
from random import Random

from trefoilsaddle.core.units import (
    NO_ERA,
    CallId,
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ServiceName,
    StoreEra,
    Version,
)
from trefoilsaddle.gateway.admission import Standing
from trefoilsaddle.gateway.budget import ServiceBudget
from trefoilsaddle.gateway.clocks import ClockBound
from trefoilsaddle.gateway.coldservers import ColdServers
from trefoilsaddle.gateway.configuration import Configuration, Route
from trefoilsaddle.gateway.control import ControlState
from trefoilsaddle.gateway.events import RequestHead, Topic
from trefoilsaddle.gateway.healthprobes import HealthProbes
from trefoilsaddle.gateway.keys import Key
from trefoilsaddle.gateway.limits import RateLimits
from trefoilsaddle.gateway.options import GatewayOptions
from trefoilsaddle.gateway.peermessages import ServerLoad
from trefoilsaddle.gateway.pools import Pools
from trefoilsaddle.gateway.servers import (
    Server,
    ServerIncarnation,
    ServerRegistry,
    ServerTag,
)
from trefoilsaddle.gateway.serviceshares import ServiceShares
from trefoilsaddle.gateway.table import (
    NO_POSITION,
    GatewayAddress,
    OwnerMap,
    StoredTable,
    TablePosition,
)
from trefoilsaddle.gateway.workestimates import WorkEstimates
from trefoilsaddle.gateway.zones import NO_DRAINED_ZONES, DrainedZones
from trefoilsaddle.results import ResultCode


@dataclass(slots=True)
class TopicState:
    """Hold the reading position in a topic of the store."""

    # None until the newest record of each key has been read.
    next_offset: Offset | None = None
    reading: bool = False
    # Time at which the last read that was answered was sent.
    read_at: Seconds | None = None
    # Time at which it was answered.
    answered_at: Seconds | None = None
    unreachable: bool = False


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """Identify an attempt that the server answered with a failure."""

    attempt: int
    status: int


@dataclass(slots=True)
class OpenCall:
    """Hold a request that has no final answer yet."""

    call: CallId
    head: RequestHead
    route: Route
    service: ServiceName
    arrived: Seconds
    # Deadline for the final answer.
    expires: Seconds
    attempts: int = 0
    # Servers to which the request was sent.
    tried: tuple[ServerIncarnation, ...] = ()
    # Server that is processing the request now.
    server: Server | None = None
    sent_at: Seconds = Seconds(0)
    # True if the server had a free slot when the request was sent.
    uncontended: bool = False
    # True once a server may have begun to run the request.
    may_have_run: bool = False
    # Why the attempt that may have run returned no answer.
    unknown_code: ResultCode | None = None
    # Last complete answer of a server if it reported a failure.
    failed: FailedAnswer | None = None
    standing: Standing = Standing()
    # Time at which the request began to wait for an owner of its key.
    parked_at: Seconds = Seconds(0)

    @property
    def idempotent(self) -> bool:
        """Return whether the request may run more than once."""
        return self.route.idempotent


@dataclass(slots=True)
class ServiceOwners:
    """Hold the owners of a service's keys, as last known."""

    owners: OwnerMap
    position: TablePosition
    # Rises with each change.
    revision: int = 0


@dataclass(slots=True)
class LinkState:
    """Hold the connection to the controller and what it last sent."""

    # Address of the controller, and of the relay through which this gateway is
    # connected to it, if any.
    address: GatewayAddress | None = None
    relay: GatewayAddress | None = None
    # Relay whose connection was lost, until another one is named.
    lost_relay: NodeId = NodeId('')
    # Newest position at which a controller has announced itself, and that
    # controller until the relay names it, with the time of the announcement.
    announced: TablePosition = NO_POSITION
    awaited: GatewayAddress | None = None
    awaited_since: Seconds = Seconds(0)
    # Time at which the present address was dialed.
    dialed_at: Seconds | None = None
    # Time at which the controller had the state that it last sent, by the
    # earliest that the clocks allow; None without a connection.
    news_at: Seconds | None = None
    # True once a controller has told its state to this incarnation, or this
    # gateway was the controller itself.
    was_told: bool = False
    # Time at which the other end of the connection built its last update.
    told_at: Seconds | None = None
    clock: ClockBound = field(default_factory=ClockBound)
    # Time of the next log line about a late update.
    late_line_at: Seconds = Seconds(0)
    # Time of the first update since the connection was made.
    linked_at: Seconds | None = None
    # Controller whose list of members is used, by its run, and since when.
    counted_by: int | None = None
    counted_since: Seconds | None = None
    # Term that the controller stated in its last update; zero before the first.
    term: int = 0
    # Time at which the controller had read the servers' entries it sent.
    servers_read_at: Seconds | None = None
    # Time at which the controller had read the configuration.
    configuration_read_at: Seconds | None = None
    # True once the controller has sent its full state on this connection.
    complete: bool = False
    # Since when a newer configuration is known to exist.
    wanted_since: Seconds | None = None
    # Time of the last request for a newer configuration.
    asked_at: Seconds = Seconds(0)
    gateways: int = 1
    # Addresses of the gateways that controllers have listed.
    known: dict[NodeId, GatewayAddress] = field(default_factory=dict)
    # Gateways that the controller counts, in order.
    members: tuple[NodeId, ...] = ()
    # Newest loads and deferred removals that the controller has told, for the
    # gateways that this one relays them to.
    loads: dict[ServerTag, ServerLoad] = field(default_factory=dict)
    deferred: frozenset[ServerId] = frozenset()
    # Speeds of the gateways that report to this controller.
    speeds: dict[NodeId, float] = field(default_factory=dict)
    # Gateways that the controller wants to remain members of the group.
    standbys: tuple[NodeId, ...] = ()
    # Time at which a controller was last heard of, and how long after it this
    # gateway waits for faster gateways to be elected first.
    controller_seen_at: Seconds = Seconds(0)
    election_delay: Seconds = Seconds(0)


@dataclass(slots=True)
class Connected:
    """Hold the gateways that are connected to this one, and what they know."""

    nodes: set[NodeId] = field(default_factory=set)
    # Those that are told nothing: the relay of their region is about to be
    # chosen, or they have been told to connect to it.
    untold: set[NodeId] = field(default_factory=set)
    # Those that wait for the full state, and when the next group gets it.
    awaiting_update: list[NodeId] = field(default_factory=list)
    full_update_at: Seconds = Seconds(0)
    # State that was last sent to all of them.
    servers: dict[ServerId, Server] = field(default_factory=dict)
    gateways: frozenset[NodeId] = frozenset()
    owners: dict[ServiceName, int] = field(default_factory=dict)
    loads: dict[ServerTag, ServerLoad] = field(default_factory=dict)
    standbys: tuple[NodeId, ...] = ()
    configuration: Version = Version(0)
    drained: DrainedZones = NO_DRAINED_ZONES
    # When the next update is due even without a change, and its earliest time,
    # so that changes are batched.
    update_due_at: Seconds = Seconds(0)
    update_not_before: Seconds = Seconds(0)

    def remove(self, node: NodeId) -> None:
        """Forget a gateway whose connection ends."""
        self.nodes.discard(node)
        self.untold.discard(node)
        self.awaiting_update = [
            other for other in self.awaiting_update if other != node
        ]

    def clear(self) -> None:
        """Forget the gateways: their connections are closed."""
        self.nodes.clear()
        self.untold.clear()
        self.awaiting_update.clear()
        self.forget_state()

    def begin_anew(self) -> None:
        """Send the full state to all: it is a controller's from now on."""
        self.awaiting_update = sorted(self.nodes)
        self.forget_state()

    def forget_state(self) -> None:
        """Send everything again with the next update."""
        self.servers.clear()
        self.owners.clear()
        self.loads.clear()
        self.gateways = frozenset()
        self.standbys = ()


@dataclass(slots=True)
class Gateway:
    """Hold the whole state of one gateway."""

    options: GatewayOptions
    random: Random
    pools: Pools
    control: ControlState
    configuration: Configuration | None = None
    registry: ServerRegistry = field(default_factory=ServerRegistry)
    limits: RateLimits = field(default_factory=RateLimits)
    cold_servers: ColdServers = field(default_factory=ColdServers)
    probes: HealthProbes = field(default_factory=HealthProbes)
    drained: DrainedZones = NO_DRAINED_ZONES
    topics: dict[Topic, TopicState] = field(
        default_factory=lambda: {topic: TopicState() for topic in Topic},
    )
    tables: dict[ServiceName, StoredTable] = field(default_factory=dict)
    owners: dict[ServiceName, ServiceOwners] = field(default_factory=dict)
    # Newest era of the store that was seen in an answer.
    era: StoreEra = NO_ERA
    # Time at which that era was first seen.
    era_seen_at: Seconds = Seconds(0)
    # Newest era in which no keys can have been granted before it was seen here;
    # known only to gateways that have started with the whole system.
    initial_era: StoreEra = NO_ERA
    started_at: Seconds = Seconds(0)
    # Time by which no grant of a lost table is in force, as stated by tables of
    # that era.
    unknown_ends: dict[ServiceName, Seconds] = field(default_factory=dict)
    # True until parked requests have been tried with the new owners.
    owners_changed: bool = False
    link: LinkState = field(default_factory=LinkState)
    connected: Connected = field(default_factory=Connected)
    calls: dict[CallId, OpenCall] = field(default_factory=dict)
    parked: dict[CallId, OpenCall] = field(default_factory=dict)
    budgets: dict[ServiceName, ServiceBudget] = field(default_factory=dict)
    # This gateway's part of what may be sent to the servers of services that report
    # their load.
    shares: ServiceShares = field(default_factory=ServiceShares)
    # Times of the requests to them, by route and server.
    work: WorkEstimates = field(default_factory=WorkEstimates)
    # Longest time that callers of a route have had left.
    longest_left: dict[str, Seconds] = field(default_factory=dict)
    # State of the smooth weighted round robin of each route with several
    # services.
    turns: dict[str, dict[ServiceName, float]] = field(default_factory=dict)
    key_counts: dict[ServiceName, dict[Key, int]] = field(default_factory=dict)
    reported_at: Seconds = Seconds(0)
    # Servers that this gateway has read to be leaving or gone, and when; it tells
    # the controller, which may be unable to read the store.
    departed: dict[ServerTag, Seconds] = field(default_factory=dict)
    # Departures of servers that are handled here; see `ServerRegistry`.
    departures_handled: int = 0
    ready: bool = False
    # Time from which a stop is known, and the earliest at which its signal may
    # have been sent.
    stopping_since: Seconds | None = None
    stop_sent_after: Seconds | None = None
    # True once the process only writes answers and exits.
    stopped: bool = False

    @property
    def version(self) -> Version:
        """Return the version in force, zero before the first one."""
        if self.configuration is None:
            return Version(0)
        return self.configuration.version

    def own_address(self) -> GatewayAddress:
        """Return the address at which peers reach this gateway."""
        options = self.options
        return GatewayAddress(
            options.node, options.run, options.host, options.port
        )

    def replace_owners(
        self, service: ServiceName, owners: OwnerMap, position: TablePosition
    ) -> None:
        """Replace the owners of a service's keys."""
        known = self.owners.get(service)
        revision = 0 if known is None else known.revision
        self.owners[service] = ServiceOwners(owners, position, revision + 1)
        self.owners_changed = True

    def is_relay(self) -> bool:
        """Return whether other gateways get the controller's state from here."""
        return bool(self.connected.nodes) and not self.control.leading

    def is_outdated(self, era: StoreEra) -> bool:
        """Return whether an answer or a table is of an earlier era."""
        return NO_ERA < era < self.era

    def count_gateways(self) -> int:
        """Return the number of gateways that share limits."""
        return max(self.link.gateways, 1)

    def find_budget(self, service: ServiceName) -> ServiceBudget:
        """Return the retry budget of a service, created on first use."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = ServiceBudget(self.options.retry_budget)
            self.budgets[service] = budget
        return budget

    def find_server(self, name: ServerId) -> Server | None:
        """Return the registered entry of a server."""
        return self.registry.servers.get(name)


def build_gateway(options: GatewayOptions) -> Gateway:
    """Build the initial state of a gateway."""
    return Gateway(
        options=options,
        random=Random(options.seed),
        pools=Pools(options.server_defaults.service_time),
        control=ControlState(),
    )
