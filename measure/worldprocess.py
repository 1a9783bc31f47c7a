"""Hold one incarnation of a simulated gateway."""

from dataclasses import dataclass, field

from measure.worldsizes import Connection
from measure.worldworker import OrderWorker, Worker
from trefoilsaddle.core.units import NodeId, RegionName, ServerId
from trefoilsaddle.gateway.events import TimerKind
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import GatewayAddress


@dataclass(slots=True)
class Process:
    """One incarnation of a gateway, with its faults and links."""

    gateway: Gateway
    alive: bool = True
    # True while the store, or the other gateways, are unreachable from it.
    store_cut: bool = False
    peers_cut: bool = False
    # True while the store refuses its calls, and states its era in doing so.
    turned_away: bool = False
    # Servers that its grants and releases do not reach.
    unreachable: set[ServerId] = field(default_factory=set)
    timers: dict[TimerKind, int] = field(default_factory=dict)
    dialed: GatewayAddress | None = None
    # Counts the attempts to connect to another region.
    dials: int = 0
    # Gateway that it is connected to.
    linked: NodeId | None = None
    connection: Connection = field(default_factory=Connection)
    worker: OrderWorker = field(default_factory=OrderWorker)
    # Processes the messages of other gateways.
    inbox: Worker = field(default_factory=Worker)

    @property
    def node(self) -> NodeId:
        """Return the gateway's name."""
        return self.gateway.options.node

    @property
    def region(self) -> RegionName:
        """Return the gateway's region."""
        return self.gateway.options.region
