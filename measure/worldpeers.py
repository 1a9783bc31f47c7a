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
from trefoilsaddle.core.units import NodeId
from trefoilsaddle.gateway.effects import (
    AnnounceController,
    AnswerClock,
    AskConfiguration,
    DialController,
    DropPeers,
    Effect,
    NameRelay,
    SendConfiguration,
    SendNews,
    SendReport,
)
from trefoilsaddle.gateway.events import (
    ClockAnswered,
    ConfigurationCopied,
    ConfigurationWanted,
    ControllerAnnounced,
    Event,
    NewsReceived,
    PeerLinked,
    RelayAssigned,
    ReportReceived,
)
from trefoilsaddle.gateway.peermessages import (
    PeerMessage,
    RelayNamed,
)
from trefoilsaddle.wire.deflating import Deflater

# Events that cost a gateway processor time when the message arrives.
MESSAGE_EVENTS = (
    ConfigurationCopied,
    ConfigurationWanted,
    NewsReceived,
    ReportReceived,
    ControllerAnnounced,
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
            AnswerClock: self.answer_clock,
            NameRelay: self.name_relay,
            DropPeers: self.drop_peers,
            AnnounceController: self.announce,
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
        connection = process.connection
        parcel = self._pack(Purpose.reports, effect.report, connection.upward)
        event = ReportReceived(effect.report)
        receive = partial(self.world.feed, peer, event)
        if not connection.greeted:
            connection.greeted = True
            linked = PeerLinked(process.node, effect.report)
            receive = partial(self._greet, peer, linked, event)
        elif self.world.report_lag:
            lag = self.world.report_lag
            receive = partial(self.world.after, lag, receive)
        self._send(process, peer, parcel, receive)

    def send_news(self, process: Process, effect: SendNews) -> None:
        """Send an update to one or all gateways linked to the sender."""
        for other in self.world.processes.values():
            wanted = effect.node in {None, other.node}
            wanted = wanted and other.node not in effect.excluded
            cut = process.peers_cut or other.peers_cut
            if wanted and other.linked == process.node and not cut:
                deflater = other.connection.downward
                parcel = self._pack(Purpose.updates, effect.news, deflater)
                event = NewsReceived(effect.news)
                receive = self._receive(other, event)
                self._send(process, other, parcel, receive)

    def answer_clock(self, process: Process, effect: AnswerClock) -> None:
        """Tell a linked gateway the time."""
        event = ClockAnswered(effect.answer)
        self._send_down(process, effect.node, effect.answer, event)

    def name_relay(self, process: Process, effect: NameRelay) -> None:
        """Tell a linked gateway to connect to a relay."""
        event = RelayAssigned(effect.relay)
        message = RelayNamed(effect.relay)
        self._send_down(process, effect.node, message, event)

    def drop_peers(self, process: Process, effect: DropPeers) -> None:
        """Close the connection of one gateway, or those of all."""
        for other in self.world.processes.values():
            wanted = effect.node in {None, other.node}
            if wanted and other.linked == process.node:
                self.dials.close(process, other)

    def announce(self, process: Process, effect: AnnounceController) -> None:
        """Announce a controller on a connection of its own."""
        peer = find_peer(self.world, process, effect.address)
        if peer is None:
            return
        message = effect.announcement
        parcel = self._pack(Purpose.announcements, message, Deflater())
        event = ControllerAnnounced(message)
        receive = partial(self.world.feed, peer, event)
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
            receive = self._receive(peer, event)
        else:
            receive = partial(self.world.feed, peer, event)
        self._send(process, peer, parcel, receive)

    def _greet(
        self, peer: Process, linked: PeerLinked, event: ReportReceived
    ) -> None:
        self.world.feed(peer, linked)
        self.world.feed(peer, event)

    def _send_down(
        self, process: Process, node: NodeId, message: PeerMessage, event: Event
    ) -> None:
        """Send a message to a gateway that is linked to the sender."""
        other = self.world.processes[node]
        cut = process.peers_cut or other.peers_cut
        if other.linked != process.node or cut:
            return
        deflater = other.connection.downward
        parcel = self._pack(Purpose.updates, message, deflater)
        receive = self._receive(other, event)
        self._send(process, other, parcel, receive)

    def _receive(self, target: Process, event: Event) -> partial[None]:
        """Return what delivers an event on the target's open connection."""
        return partial(self._hear, target, target.connection, event)

    def _hear(
        self, target: Process, connection: Connection, event: Event
    ) -> None:
        if target.connection is connection:
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
        carry = partial(self.dials.carry, source, target, parcel, receive)
        if delay:
            self.world.after(delay, carry)
        else:
            carry()
