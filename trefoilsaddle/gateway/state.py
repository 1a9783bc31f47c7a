"""Join the state of a gateway, as its reducer sees it."""

from dataclasses import dataclass, field
from random import Random

from trefoilsaddle.core.units import (
    CallId,
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ServiceName,
    Version,
)
from trefoilsaddle.gateway.budget import ServiceBudget
from trefoilsaddle.gateway.configuration import Configuration, Route
from trefoilsaddle.gateway.control import ControlState
from trefoilsaddle.gateway.events import RequestHead, Topic
from trefoilsaddle.gateway.keys import Key
from trefoilsaddle.gateway.options import GatewayOptions
from trefoilsaddle.gateway.pools import Pools
from trefoilsaddle.gateway.servers import Server, ServerRegistry
from trefoilsaddle.gateway.table import GatewayAddress, OwnerMap, StoredTable
from trefoilsaddle.results import ResultCode


@dataclass(slots=True)
class TopicState:
    """Hold how far a topic was read."""

    # None until all newest records were read.
    next_offset: Offset | None = None
    reading: bool = False
    # Time at which the last answered read was sent.
    read_at: Seconds | None = None
    away: bool = False


@dataclass(frozen=True, slots=True)
class FailedAnswer:
    """Name the attempt that a server answered with a failure."""

    attempt: int
    status: int


@dataclass(slots=True)
class OpenCall:
    """Hold a request until it has its final answer."""

    call: CallId
    head: RequestHead
    route: Route
    service: ServiceName
    arrived: Seconds
    # Time of the final answer at the latest.
    expires: Seconds
    attempts: int = 0
    # Server at which the request is now.
    server: Server | None = None
    sent_at: Seconds = Seconds(0)
    # True if the server had a free slot when the request was sent.
    uncontended: bool = False
    # True once a server may have run it.
    may_have_run: bool = False
    # Why the attempt that may have run gave no answer.
    unknown_code: ResultCode | None = None
    # Last whole answer of a server that is a failure.
    failed: FailedAnswer | None = None
    parked: bool = False

    @property
    def idempotent(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.route.idempotent


@dataclass(slots=True)
class ServiceOwners:
    """Hold who serves the keys of a service, as far as is known."""

    owners: OwnerMap
    offset: Offset


@dataclass(slots=True)
class LinkState:
    """Hold what is known of the controller."""

    address: GatewayAddress | None = None
    news_at: Seconds | None = None
    # Age of the controller's entries of servers when its news came.
    servers_read_at: Seconds | None = None
    # The same for the configuration.
    configuration_read_at: Seconds | None = None
    # True once the controller has told everything on this connection.
    complete: bool = False
    # Since when a newer configuration is known to be in force.
    wanted_since: Seconds | None = None
    # When the controller was last asked for it.
    asked_at: Seconds = Seconds(0)
    gateways: int = 1
    # Where the gateways are that a controller has told of.
    known: dict[NodeId, GatewayAddress] = field(default_factory=dict)
    # Gateways that have connected to this one and wait to be told everything,
    # and when the next of them are.
    awaiting_update: list[NodeId] = field(default_factory=list)
    full_update_at: Seconds = Seconds(0)
    # Speeds of the gateways that report to this one.
    speeds: dict[NodeId, float] = field(default_factory=dict)
    # Gateways that the controller wants to stay members of the group.
    standbys: tuple[NodeId, ...] = ()
    # Time at which a controller was last heard of, and for how long this
    # gateway leaves the part to faster ones then.
    controller_seen_at: Seconds = Seconds(0)
    election_delay: Seconds = Seconds(0)


@dataclass(slots=True)
class Gateway:
    """Hold the whole state of one gateway."""

    options: GatewayOptions
    random: Random
    pools: Pools
    control: ControlState
    configuration: Configuration | None = None
    registry: ServerRegistry = field(default_factory=ServerRegistry)
    topics: dict[Topic, TopicState] = field(
        default_factory=lambda: {topic: TopicState() for topic in Topic},
    )
    tables: dict[ServiceName, StoredTable] = field(default_factory=dict)
    owners: dict[ServiceName, ServiceOwners] = field(default_factory=dict)
    # True until parked requests were looked at again.
    owners_changed: bool = False
    link: LinkState = field(default_factory=LinkState)
    calls: dict[CallId, OpenCall] = field(default_factory=dict)
    parked: dict[CallId, OpenCall] = field(default_factory=dict)
    budgets: dict[ServiceName, ServiceBudget] = field(default_factory=dict)
    # Smooth weighted round robin of routes with several services.
    turns: dict[str, dict[ServiceName, float]] = field(default_factory=dict)
    key_counts: dict[ServiceName, dict[Key, int]] = field(default_factory=dict)
    reported_at: Seconds = Seconds(0)
    ready: bool = False
    stopping_since: Seconds | None = None

    @property
    def version(self) -> Version:
        """Return the version in force, zero before the first."""
        if self.configuration is None:
            return Version(0)
        return self.configuration.version

    def own_address(self) -> GatewayAddress:
        """Return where peers reach this gateway."""
        options = self.options
        return GatewayAddress(
            options.node, options.run, options.host, options.port
        )

    def count_gateways(self) -> int:
        """Return how many gateways share limits with this one."""
        return max(self.link.gateways, 1)

    def find_budget(self, service: ServiceName) -> ServiceBudget:
        """Return the budget of a service, a new one at need."""
        budget = self.budgets.get(service)
        if budget is None:
            budget = ServiceBudget(self.options.retry_budget)
            self.budgets[service] = budget
        return budget

    def find_server(self, name: ServerId) -> Server | None:
        """Return the entry of a server."""
        return self.registry.servers.get(name)


def build_gateway(options: GatewayOptions) -> Gateway:
    """Build the state of a gateway that has not started yet."""
    return Gateway(
        options=options,
        random=Random(options.seed),
        pools=Pools(options.server_defaults.service_time),
        control=ControlState(),
    )
