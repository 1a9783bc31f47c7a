"""Simulate the connections between gateways.

A gateway connects to at most one other, and any gateway may be connected to by
others.  A connection to another region takes a round trip on its link.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from measure.worldlinks import (
    LOCAL_DELAY,
    Parcel,
    Purpose,
    RegionLinks,
    Route,
    build_parcel,
)
from measure.worldprocess import Process
from measure.worldsizes import HANDSHAKE_BYTES, Connection
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.effects import DialController
from trefoilsaddle.gateway.events import (
    Event,
    LinkLost,
    LinkOpened,
    PeerLost,
)
from trefoilsaddle.gateway.table import GatewayAddress

_REDIAL_INTERVAL = Seconds(0.2)
_CONNECT_TIMEOUT = Seconds(0.5)
# A connection without messages for longer is closed.
_MAX_SILENCE = Seconds(1.4)
_HANDSHAKE = build_parcel(Purpose.reports, HANDSHAKE_BYTES)


class Surroundings(Protocol):
    """What the connections need of the simulation."""

    now: Seconds
    # Delay of reports at a busy controller.
    report_lag: Seconds
    processes: dict[NodeId, Process]
    links: RegionLinks

    def after(self, delay: float, act: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""

    def feed(self, process: Process, event: Event) -> None:
        """Reduce an event at a live gateway."""


@dataclass(slots=True)
class Dials:
    """Connect gateways to each other."""

    world: Surroundings

    def dial(self, process: Process, effect: DialController) -> None:
        """Connect a gateway to another one, or close its connection."""
        self._unlink(process)
        process.dialed = effect.address
        if effect.address is not None:
            self._connect(process, effect.address)

    def close_all(self, node: NodeId) -> None:
        """Close the connections of the gateways that are linked to one."""
        source = self.world.processes[node]
        for other in self.world.processes.values():
            if other.linked == node:
                self.close(source, other)

    def close(self, source: Process, other: Process) -> None:
        """Close the connection of a gateway that is linked to another one."""
        end = partial(self._end, other, other.connection)
        self.carry(source, other, _HANDSHAKE, end)

    def lose_link(self, process: Process) -> None:
        """End a gateway's connection, and connect again."""
        self._unlink(process)
        dials = process.dials
        self.world.feed(process, LinkLost())
        if process.dials == dials:
            self._redial(process, process.dialed)

    def carry(
        self,
        source: Process,
        target: Process,
        parcel: Parcel,
        act: Callable[[], None],
    ) -> None:
        """Carry a parcel from one gateway to another."""
        route = Route(source.region, target.region)
        self.world.links.carry(route, parcel, act)

    def _end(self, target: Process, connection: Connection) -> None:
        if target.connection is connection:
            self.lose_link(target)

    def _unlink(self, process: Process) -> None:
        """End a connection; the other end notices it."""
        node = process.linked
        process.linked = None
        process.connection = Connection()
        process.dials += 1
        if node is None or not process.alive:
            return
        peer = self.world.processes[node]
        lost = partial(self.world.feed, peer, PeerLost(process.node))
        self.carry(process, peer, _HANDSHAKE, lost)

    def _watch(self, process: Process, connection: Connection) -> None:
        """Close a connection that has been silent for too long."""
        if process.connection is not connection or not process.alive:
            return
        left = connection.heard_at + _MAX_SILENCE - self.world.now
        if left > 0:
            again = partial(self._watch, process, connection)
            self.world.after(left, again)
        else:
            self.lose_link(process)

    def _connect(
        self, process: Process, address: GatewayAddress | None
    ) -> None:
        peer = None if address is None else self._find_node(address)
        if peer is None or peer.region == process.region:
            link = partial(self._link, process, address)
            self.world.after(LOCAL_DELAY, link)
        elif process.dialed == address and process.alive:
            self._open(process, peer, address)

    def _open(
        self, process: Process, peer: Process, address: GatewayAddress | None
    ) -> None:
        """Open a connection to another region: a round trip, then a report."""
        process.dials += 1
        attempt = process.dials
        greet = partial(self._greet, process, peer, attempt)
        accept = partial(self.carry, peer, process, _HANDSHAKE, greet)
        self.carry(process, peer, _HANDSHAKE, accept)
        expire = partial(self._expire_dial, process, address, attempt)
        self.world.after(_CONNECT_TIMEOUT, expire)

    def _expire_dial(
        self, process: Process, address: GatewayAddress | None, attempt: int
    ) -> None:
        if process.dials == attempt and process.linked is None:
            # An answer that arrives later is not for an open attempt.
            process.dials += 1
            self._redial(process, address)

    def _greet(self, process: Process, peer: Process, attempt: int) -> None:
        if process.dials != attempt or not process.alive:
            return
        process.dials += 1
        if peer.alive:
            self._link(process, process.dialed)
            self._watch(process, process.connection)

    def _redial(self, process: Process, address: GatewayAddress | None) -> None:
        peer = None if address is None else self._find_node(address)
        far = peer is not None and peer.region != process.region
        retry = self._connect if far else self._link
        self.world.after(_REDIAL_INTERVAL, partial(retry, process, address))

    def _link(self, process: Process, address: GatewayAddress | None) -> None:
        if address is None or process.dialed != address or not process.alive:
            return
        peer = find_peer(self.world, process, address)
        if peer is None:
            self._redial(process, address)
            return
        process.linked = address.node
        process.connection = Connection(heard_at=self.world.now)
        self.world.feed(process, LinkOpened())

    def _find_node(self, address: GatewayAddress) -> Process | None:
        return self.world.processes.get(address.node)


def find_peer(
    world: Surroundings, process: Process, address: GatewayAddress
) -> Process | None:
    """Return the live gateway at an address, if it can be reached."""
    peer = world.processes.get(address.node)
    if peer is None or not peer.alive:
        return None
    if process.peers_cut or peer.peers_cut:
        return None
    return peer
