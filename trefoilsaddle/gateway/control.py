"""Hold the state of the controller's part, also while it is not held."""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import (
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ServiceName,
)
from trefoilsaddle.gateway.loads import KeyRates, ServerLoads
from trefoilsaddle.gateway.partitions import Partitions
from trefoilsaddle.gateway.peermessages import ServerLoad
from trefoilsaddle.gateway.servers import Server, ServerIncarnation, ServerTag
from trefoilsaddle.gateway.suspicion import Suspicions
from trefoilsaddle.gateway.table import GatewayAddress, OwnershipTable


@dataclass(slots=True)
class PendingAppend:
    """Hold the append that is on its way."""

    table: OwnershipTable
    expected: Offset


@dataclass(slots=True)
class KeyedControl:
    """Hold the ownership of one key-divided service."""

    service: ServiceName
    partitions: Partitions = field(default_factory=Partitions)
    rates: KeyRates = field(default_factory=KeyRates)
    pending: PendingAppend | None = None
    sequence: int = 0
    # Earliest time of the next append after one that failed.
    append_after: Seconds = Seconds(0)
    balance_at: Seconds = Seconds(0)
    # Longest hold that the last accepted table allows.
    hold: Seconds = Seconds(0)
    # Longest hold that this controller has asked for.
    granted_hold: Seconds = Seconds(0)
    # Longest hold that the table allowed which was taken over.
    inherited_hold: Seconds = Seconds(0)
    # Position of the last accepted table.
    offset: Offset = Offset(-1)
    # Controllers before this one that may still renew grants.
    predecessors: tuple[GatewayAddress, ...] = ()


@dataclass(slots=True)
class ReviewMonitor:
    """Hold when the controller's state is written next."""

    next_line: Seconds = Seconds(0)
    # When the last review was made by its timer.
    reviewed_at: Seconds | None = None
    # How late the latest review since the last line was.
    max_delay: Seconds = Seconds(0)

    def record_review(self, now: Seconds, interval: Seconds) -> None:
        """Note how late a review is."""
        if self.reviewed_at is not None:
            late = now - self.reviewed_at - interval
            self.max_delay = Seconds(max(self.max_delay, late))
        self.reviewed_at = now


@dataclass(slots=True)
class ControlState:
    """Hold whether the store gives this gateway the controller's part."""

    generation: int = 0
    joining: bool = False
    # True while the store's group gives the part to this gateway.
    elected: bool = False
    # True once the newest tables were read for the part.
    leading: bool = False
    # Earliest time of the next read of all tables, while not leading.
    read_after: Seconds = Seconds(0)
    # Time of the sending of the last call that confirmed the part.
    confirmed_at: Seconds = Seconds(0)
    # Position that the store's next record is expected to have.
    end: Offset | None = None
    keyed: dict[ServiceName, KeyedControl] = field(default_factory=dict)
    loads: dict[ServiceName, ServerLoads] = field(default_factory=dict)
    # Last known entry of each server that holds keys.
    addresses: dict[ServerIncarnation, Server] = field(default_factory=dict)
    suspicions: Suspicions = field(default_factory=Suspicions)
    # Since when this gateway is the controller, and when it next tells
    # gateways that have not connected.
    leading_since: Seconds = Seconds(0)
    announce_at: Seconds = Seconds(0)
    # Time of the last report of each gateway.
    reporters: dict[NodeId, Seconds] = field(default_factory=dict)
    # What was told to gateways last, and when it is told again at the latest.
    sent_servers: dict[ServerId, Server] = field(default_factory=dict)
    sent_gateways: set[NodeId] = field(default_factory=set)
    sent_revisions: dict[ServiceName, int] = field(default_factory=dict)
    sent_loads: dict[ServerTag, ServerLoad] = field(default_factory=dict)
    update_due_at: Seconds = Seconds(0)
    # Earliest time of the next news.
    update_not_before: Seconds = Seconds(0)
    monitor: ReviewMonitor = field(default_factory=ReviewMonitor)
