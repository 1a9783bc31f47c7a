"""Simulate the messages between gateways.

What crosses between regions has its real size on the region's link.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from typing import Any

from measure.worldcopies import address_copy
from measure.worlddials import Dials, Surroundings, find_peer
from measure.worldlinks import (
    Parcel,
    Purpose,
    Route,
    build_parcel,
)
from measure.worldprocess import Process
from measure.worldsizes import (
    WANTED_BYTES,
    Connection,
    Encoder,
    measure_copy,
    measure_message,
)
from trefoilsaddle.gateway.effects import (
    AnnounceTable,
    AskConfiguration,
    DialController,
    Effect,
    SendConfiguration,
    SendNews,
    SendReport,
)
from trefoilsaddle.gateway.events import (
    ConfigurationCopied,
    ConfigurationWanted,
    Event,
    NewsReceived,
    ReportReceived,
    TableAnnounced,
)
from trefoilsaddle.gateway.peermessages import (
    PeerMessage,
    TableAnnouncement,
)
from trefoilsaddle.wire.deflating import Deflater

# Events that cost a gateway processor time when the message arrives.
MESSAGE_EVENTS = (
    ConfigurationCopied,
    ConfigurationWanted,
    NewsReceived,
    ReportReceived,
    TableAnnounced,
)


@dataclass(slots=True)
class Peers:
    """Connect gateways and deliver their messages."""

    world: Surroundings
    dials: Dials
    encoder: Encoder = field(default_factory=Encoder)

    def list_actions(self) -> dict[type, Callable[[Process, Any], None]]:
        """Return what performs each kind of effect."""
        return {
            DialController: self.dials.dial,
            SendReport: self.send_report,
            SendNews: self.send_news,
            AnnounceTable: self.announce,
            AskConfiguration: self.send_copy,
            SendConfiguration: self.send_copy,
        }

    def send_report(self, process: Process, effect: SendReport) -> None:
        """Send a report on the gateway's connection."""
        if process.linked is None:
            return
        peer = self.world.processes[process.linked]
        if not peer.alive or process.peers_cut or peer.peers_cut:
            self.dials.lose_link(process)
            return
        deflater = process.connection.upward
        parcel = self._pack(Purpose.reports, effect.report, deflater)
        event = ReportReceived(effect.report)
        receive = partial(self.world.feed, peer, event)
        if self.world.report_lag:
            lag = self.world.report_lag
            receive = partial(self.world.after, lag, receive)
        self._send(process, peer, parcel, receive)

    def send_news(self, process: Process, effect: SendNews) -> None:
        """Send an update to one or all gateways linked to the sender."""
        for other in self.world.processes.values():
            wanted = effect.node in {None, other.node}
            cut = process.peers_cut or other.peers_cut
            if wanted and other.linked == process.node and not cut:
                deflater = other.connection.downward
                parcel = self._pack(Purpose.updates, effect.news, deflater)
                event = NewsReceived(effect.news)
                receive = self._receive(process, other, event)
                self._send(process, other, parcel, receive)

    def announce(self, process: Process, effect: AnnounceTable) -> None:
        """Send a table on a connection of its own."""
        peer = find_peer(self.world, process, effect.address)
        if peer is None:
            return
        stored = effect.stored
        message = TableAnnouncement(stored.offset, stored.table)
        parcel = self._pack(Purpose.announcements, message, Deflater())
        receive = partial(self.world.feed, peer, TableAnnounced(stored))
        self._send(process, peer, parcel, receive)

    def send_copy(self, process: Process, effect: Effect) -> None:
        """Send a request for a configuration, or a copy of it."""
        addressed = address_copy(process.gateway, effect, process.linked)
        if addressed is None:
            return
        node, event = addressed
        peer = self.world.processes.get(node)
        if peer is None or process.peers_cut or peer.peers_cut:
            return
        size = WANTED_BYTES
        if isinstance(event, ConfigurationCopied):
            size = measure_copy(event.configuration.encoded)
        parcel = build_parcel(Purpose.copies, size)
        if peer.linked == process.node:
            receive = self._receive(process, peer, event)
        else:
            receive = partial(self.world.feed, peer, event)
        self._send(process, peer, parcel, receive)

    def _receive(
        self, source: Process, target: Process, event: Event
    ) -> partial[None]:
        """Return what delivers an event on the target's open connection."""
        connection = target.connection
        return partial(self._hear, source, target, connection, event)

    def _hear(
        self,
        source: Process,
        target: Process,
        connection: Connection,
        event: Event,
    ) -> None:
        if self.dials.is_current(source, target, connection):
            connection.heard_at = self.world.now
            self.world.feed(target, event)

    def _pack(
        self, purpose: Purpose, message: PeerMessage, deflater: Deflater
    ) -> Parcel:
        """Describe a message; it is encoded if it leaves its region."""
        return Parcel(
            purpose,
            lambda: measure_message(self.encoder.encode(message), deflater),
        )

    def _send(
        self,
        source: Process,
        target: Process,
        parcel: Parcel,
        receive: Callable[[], None],
    ) -> None:
        """Send a message after the turn of its sender."""
        delay = source.inbox.take_turn(self.world.now)
        carry = partial(self._carry, source, target, parcel, receive)
        if delay:
            self.world.after(delay, carry)
        else:
            carry()

    def _carry(
        self,
        source: Process,
        target: Process,
        parcel: Parcel,
        act: Callable[[], None],
    ) -> None:
        route = Route(source.region, target.region)
        self.world.links.carry(route, parcel, act)
