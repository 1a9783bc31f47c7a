"""Define the controller's state, which exists on every gateway."""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import (
    NodeId,
    Offset,
    RegionName,
    Seconds,
    ServiceName,
)
from trefoilsaddle.gateway.loads import KeyRates, ServerLoads
from trefoilsaddle.gateway.partitions import Partition, Partitions
from trefoilsaddle.gateway.relays import RegionLinks
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.suspicion import Suspicions
from trefoilsaddle.gateway.table import (
    NO_POSITION,
    GatewayAddress,
    OwnershipTable,
    TablePosition,
)


@dataclass(slots=True)
class PendingAppend:
    """Hold an append that the store has not answered yet."""

    table: OwnershipTable
    expected: Offset
    # End of the wait for unknown holders that the table states.
    unknown_until: Seconds | None = None


@dataclass(slots=True)
class KeyedControl:
    """Hold the controller's state of one key-divided service."""

    service: ServiceName
    partitions: Partitions = field(default_factory=Partitions)
    rates: KeyRates = field(default_factory=KeyRates)
    pending: PendingAppend | None = None
    sequence: int = 0
    # Earliest time of the next append after a failed one.
    append_after: Seconds = Seconds(0)
    balance_at: Seconds = Seconds(0)
    # Longest grant duration (hold) that the last accepted table allows.
    hold: Seconds = Seconds(0)
    # Longest hold that this controller has granted.
    granted_hold: Seconds = Seconds(0)
    # Longest hold that the table of the previous controller allowed.
    inherited_hold: Seconds = Seconds(0)
    # Position of the last accepted table.
    position: TablePosition = NO_POSITION
    # Earlier controllers that may still renew grants.
    predecessors: tuple[GatewayAddress, ...] = ()
    # True while the store lacks a table that is true of this controller: it came
    # back from a copy, or its table is still incomplete or resigned.
    table_due: bool = False
    # Time until which servers may hold keys by tables that are lost; None if
    # every holder is known.
    unknown_until: Seconds | None = None
    # Time until which unconfirmed holders, named by the table of the previous
    # controller, may hold keys; None if this controller renews their grants.
    lapsing_until: Seconds | None = None
    # True if this gateway was the controller before the store came back, so that
    # only it knows the holders.
    restored: bool = False
    # True once a table is being stored which says that this controller has
    # resigned as its process stops; no order is sent from then on.
    resigned: bool = False
    # Time until which grants may be renewed before a table is stored in the
    # present era; None once one is.
    renewal_end: Seconds | None = None


@dataclass(frozen=True, slots=True)
class DueOrder:
    """Hold an order that is due, and the time up to which it may wait."""

    deadline: Seconds
    keyed: KeyedControl
    partition: Partition


@dataclass(slots=True)
class OrderQueue:
    """Count the orders of one kind in flight, and hold those that wait."""

    in_flight: int = 0
    # The most urgent order is the last.
    waiting: list[DueOrder] = field(default_factory=list)

    def record_ended(self) -> None:
        """Record that an order has ended in any way."""
        self.in_flight = max(self.in_flight - 1, 0)


@dataclass(slots=True)
class ReviewMonitor:
    """Track how late reviews run and when to log unserved keys."""

    next_line: Seconds = Seconds(0)
    # Time of the last review that the timer started.
    reviewed_at: Seconds | None = None
    # Greatest delay of a review since the last log line.
    max_delay: Seconds = Seconds(0)

    def record_review(self, now: Seconds, interval: Seconds) -> None:
        """Record how late a review runs."""
        if self.reviewed_at is not None:
            late = now - self.reviewed_at - interval
            self.max_delay = Seconds(max(self.max_delay, late))
        self.reviewed_at = now


@dataclass(slots=True)
class ControlState:
    """Hold the state of this gateway as a possible controller."""

    generation: int = 0
    joining: bool = False
    # True while the store's group has elected this gateway.
    elected: bool = False
    # True once this gateway has read the newest tables and acts as the
    # controller.
    leading: bool = False
    # Incremented whenever this gateway becomes the controller, and when the store
    # came back from a copy meanwhile.
    term: int = 0
    # Earliest time of the next read of all tables, while not leading.
    read_after: Seconds = Seconds(0)
    # Time at which the last call that confirmed the election was sent.
    confirmed_at: Seconds = Seconds(0)
    # Since when the newest tables in the store are those of an earlier era.
    outdated_since: Seconds | None = None
    # Expected position of the store's next record.
    end: Offset | None = None
    keyed: dict[ServiceName, KeyedControl] = field(default_factory=dict)
    loads: dict[ServiceName, ServerLoads] = field(default_factory=dict)
    # A release is answered once the work on its keys has ended: grants must not
    # wait for that, so that releases are counted separately.
    grants: OrderQueue = field(default_factory=OrderQueue)
    releases: OrderQueue = field(default_factory=OrderQueue)
    # Last known entry of each server that owns keys.
    addresses: dict[ServerIncarnation, Server] = field(default_factory=dict)
    suspicions: Suspicions = field(default_factory=Suspicions)
    # Since when this gateway is the controller, and when it next announces
    # itself to gateways that are not connected.
    leading_since: Seconds = Seconds(0)
    announce_at: Seconds = Seconds(0)
    # Time of the last report from each gateway.
    reporters: dict[NodeId, Seconds] = field(default_factory=dict)
    # Links to gateways of other regions.
    regions: dict[RegionName, RegionLinks] = field(default_factory=dict)
    monitor: ReviewMonitor = field(default_factory=ReviewMonitor)
