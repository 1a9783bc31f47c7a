"""Exchange messages between gateways, their controller and its relays."""

from collections.abc import Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from math import inf
from typing import Any

import trio

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import NodeId, Seconds, Version
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import (
    AnnounceController,
    AnswerClock,
    AskConfiguration,
    DialController,
    DropPeers,
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
    LinkLost,
    LinkOpened,
    NewsReceived,
    PeerLinked,
    PeerLost,
    RelayAssigned,
    ReportReceived,
)
from trefoilsaddle.gateway.peermessages import (
    ClockAnswer,
    ConfigurationCopy,
    ConfigurationRead,
    ControllerAnnouncement,
    News,
    PeerMessage,
    RelayNamed,
    Report,
)
from trefoilsaddle.gateway.table import GatewayAddress
from trefoilsaddle.http import sockets
from trefoilsaddle.traffic import ByteCount
from trefoilsaddle.wire.deflating import Deflater, Inflater
from trefoilsaddle.wire.framing import FrameStream, pack_frame
from trefoilsaddle.wire.gatewaycodec import (
    decode_peer_message,
    encode_peer_message,
)

# Limit on one message: state updates of some thousand servers fit.
_MAX_FRAME_BYTES = 4_194_304
_CONNECT_TIMEOUT = Seconds(0.5)
_REDIAL_INTERVAL = Seconds(0.2)
# Both ends send twice a second; a connection without messages for longer is
# considered dead.
_MAX_SILENCE = Seconds(1.4)
# Limit on messages queued for a gateway that does not read.
_MAX_QUEUED = 64

Feed = Callable[[Event], None]
_Decode = Callable[[bytes], Configuration | Failure]
_Outbox = trio.MemorySendChannel[bytes]


class MessageStream:
    """Send and receive messages on one compressed connection."""

    def __init__(
        self, stream: trio.abc.Stream, traffic: ByteCount | None = None
    ) -> None:
        """Start with an empty compression dictionary."""
        self._traffic = traffic or ByteCount()
        self._frames = FrameStream(stream, _MAX_FRAME_BYTES)
        self._deflater = Deflater()
        self._inflater = Inflater(_MAX_FRAME_BYTES)

    async def send(self, encoded: bytes) -> Failure | None:
        """Send an encoded message (peer_unreachable)."""
        frame = pack_frame(self._deflater.deflate(encoded))
        self._traffic.count_sent(len(frame))
        return await self._frames.send(frame)

    async def receive(self) -> PeerMessage | Failure | None:
        """Receive a message; return None after `_MAX_SILENCE`."""
        with trio.move_on_after(_MAX_SILENCE):
            deflated = await self._frames.receive()
            if isinstance(deflated, Failure):
                return deflated
            self._traffic.received += len(deflated)
            encoded = self._inflater.inflate(deflated)
            if isinstance(encoded, Failure):
                return encoded
            return decode_peer_message(encoded)
        return None


@dataclass(slots=True)
class _PeerConnection:
    outbox: _Outbox
    # Cancelled to close the connection.
    scope: trio.CancelScope
    # None before the first report.
    node: NodeId | None = None


@dataclass(slots=True)
class ControllerServer:
    """Serve the connections of gateways to the controller or a relay."""

    feed: Feed
    decode_configuration: _Decode
    traffic: ByteCount = field(default_factory=ByteCount)
    peers: dict[NodeId, _PeerConnection] = field(default_factory=dict)
    # The last configuration sent and its encoded message.
    _last_configuration: bytes = b''
    _configuration_message: bytes = b''
    # The last state update and its encoding, as several gateways get the same.
    _last_news: News | None = None
    _news_message: bytes = b''

    def send(self, effect: SendNews) -> None:
        """Send a state update to one gateway or to all."""
        if effect.node is None and not self.peers:
            return
        message = self._encode(effect.news)
        names = list(self.peers) if effect.node is None else [effect.node]
        for name in names:
            if name not in effect.excluded:
                self._push(name, message)

    def send_configuration(self, node: NodeId, encoded: bytes) -> None:
        """Send the configuration to a gateway."""
        if encoded != self._last_configuration:
            # Encoded once, as all gateways request a new version within a
            # second.
            self._last_configuration = encoded
            self._configuration_message = encode_peer_message(
                _build_copy(encoded)
            )
        self._push(node, self._configuration_message)

    def request_configuration(self, node: NodeId, known: Version) -> None:
        """Request the configuration of a gateway."""
        self._push(node, encode_peer_message(ConfigurationRead(known)))

    def answer_clock(self, effect: AnswerClock) -> None:
        """Tell a gateway the time."""
        self._push(effect.node, encode_peer_message(effect.answer))

    def name_relay(self, effect: NameRelay) -> None:
        """Tell a gateway to connect to a relay."""
        self._push(effect.node, encode_peer_message(RelayNamed(effect.relay)))

    def drop_peers(self, effect: DropPeers) -> None:
        """Close the connection of one gateway, or those of all."""
        names = list(self.peers) if effect.node is None else [effect.node]
        for name in names:
            self._drop(name)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Receive the messages of one gateway and send it those queued."""
        sockets.set_options(stream)
        messages = MessageStream(stream, self.traffic)
        outbox, inbox = trio.open_memory_channel[bytes](_MAX_QUEUED)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_write_messages, messages, inbox)
            connection = _PeerConnection(outbox, nursery.cancel_scope)
            await self._receive_from_gateway(messages, connection)
            nursery.cancel_scope.cancel()
        sockets.close(stream)

    def _encode(self, news: News) -> bytes:
        if self._last_news is not news:
            self._last_news = news
            self._news_message = encode_peer_message(news)
        return self._news_message

    async def _receive_from_gateway(
        self,
        messages: MessageStream,
        connection: _PeerConnection,
    ) -> None:
        with ExitStack() as stack:
            message = await messages.receive()
            while message is not None and not isinstance(message, Failure):
                if connection.node is not None:
                    self._handle_message(message, connection.node)
                elif isinstance(message, Report):
                    self._handle_first(message, connection)
                    stack.callback(self._handle_end, connection)
                elif isinstance(message, ControllerAnnouncement):
                    self.feed(ControllerAnnounced(message))
                message = await messages.receive()

    def _handle_first(
        self, report: Report, connection: _PeerConnection
    ) -> None:
        name = report.gateway.node
        connection.node = name
        self.peers[name] = connection
        self.feed(PeerLinked(name, report))
        self.feed(ReportReceived(report))

    def _handle_end(self, connection: _PeerConnection) -> None:
        node = connection.node
        if node is not None and self.peers.get(node) is connection:
            self.peers.pop(node)
            self.feed(PeerLost(node))

    def _handle_message(self, message: PeerMessage, node: NodeId) -> None:
        if isinstance(message, Report):
            # A relay passes on the reports of others as well.
            self.feed(ReportReceived(message))
        elif isinstance(message, ConfigurationRead):
            self.feed(ConfigurationWanted(node))
        elif isinstance(message, ConfigurationCopy):
            _feed_copy(message, self.decode_configuration, self.feed)

    def _push(self, node: NodeId, message: bytes) -> None:
        connection = self.peers.get(node)
        if connection is None:
            return
        try:
            connection.outbox.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError):
            # The gateway does not read, or its connection has ended; it gets a
            # full update when it connects again.
            self._drop(node)

    def _drop(self, node: NodeId) -> None:
        connection = self.peers.get(node)
        if connection is not None:
            connection.scope.cancel()


@dataclass(slots=True)
class ControllerLink:
    """Maintain the connection to the controller or its relay."""

    feed: Feed
    decode_configuration: _Decode
    traffic: ByteCount = field(default_factory=ByteCount)
    address: GatewayAddress | None = None
    address_changed: trio.Event = field(default_factory=trio.Event)
    outbox: _Outbox | None = None

    def dial(self, effect: DialController) -> None:
        """Change the controller's address, or disconnect."""
        self.address = effect.address
        self.outbox = None
        self.address_changed.set()

    def send(self, effect: SendReport) -> None:
        """Send a report, or drop it without a connection."""
        self.push(effect.report)

    def push(self, message: PeerMessage) -> None:
        """Queue a message, or drop it without a connection."""
        if self.outbox is None:
            return
        try:
            self.outbox.send_nowait(encode_peer_message(message))
        except (trio.WouldBlock, trio.BrokenResourceError):
            # The next report follows within half a second.
            return

    async def run(self) -> None:
        """Connect, and again whenever the connection or address changes."""
        while True:
            address_changed = self.address_changed
            if self.address is not None:
                await self._run_until_changed(self.address, address_changed)
                self.outbox = None
                if not address_changed.is_set():
                    self.feed(LinkLost())
            if address_changed.is_set():
                self.address_changed = trio.Event()
            else:
                await self._pause(address_changed)

    async def _run_until_changed(
        self,
        address: GatewayAddress,
        address_changed: trio.Event,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                _cancel_on, address_changed, nursery.cancel_scope
            )
            await self._run_connection(address)
            nursery.cancel_scope.cancel()

    async def _pause(self, address_changed: trio.Event) -> None:
        pause = _REDIAL_INTERVAL if self.address else inf
        with trio.move_on_after(pause):
            await address_changed.wait()

    async def _run_connection(self, address: GatewayAddress) -> None:
        stream = await sockets.open_stream(
            address.host, address.port, _CONNECT_TIMEOUT
        )
        if stream is None:
            return
        outbox, inbox = trio.open_memory_channel[bytes](_MAX_QUEUED)
        messages = MessageStream(stream, self.traffic)
        self.outbox = outbox
        self.feed(LinkOpened())
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(_write_messages, messages, inbox)
            await self._receive_from_controller(messages, outbox)
            nursery.cancel_scope.cancel()

    async def _receive_from_controller(
        self, messages: MessageStream, outbox: _Outbox
    ) -> None:
        message = await messages.receive()
        # A message may change the address; what is behind it is of no use.
        while message is not None and self.outbox is outbox:
            if not self._handle_message(message):
                return
            message = await messages.receive()

    def _handle_message(self, message: PeerMessage | Failure) -> bool:
        """Handle a message; return whether it may come from this end."""
        match message:
            case ConfigurationCopy():
                _feed_copy(message, self.decode_configuration, self.feed)
            case ConfigurationRead():
                self.feed(ConfigurationWanted(None))
            case News():
                self.feed(NewsReceived(message))
            case ClockAnswer():
                self.feed(ClockAnswered(message))
            case RelayNamed():
                self.feed(RelayAssigned(message.relay))
            case _:
                return False
        return True


@dataclass(frozen=True, slots=True)
class ConfigurationExchange:
    """Request and send configurations, as the controller or as a gateway."""

    server: ControllerServer
    link: ControllerLink

    def request(self, effect: AskConfiguration) -> None:
        """Request the configuration of a gateway or the controller."""
        if effect.node is None:
            self.link.push(ConfigurationRead(effect.known))
        else:
            self.server.request_configuration(effect.node, effect.known)

    def send(self, effect: SendConfiguration) -> None:
        """Send the configuration to a gateway or the controller."""
        if effect.node is None:
            self.link.push(_build_copy(effect.encoded))
        else:
            self.server.send_configuration(effect.node, effect.encoded)


def list_peer_actions(
    server: ControllerServer, link: ControllerLink
) -> dict[type, Callable[[Any], None]]:
    """Return how the effects on connections to gateways are performed."""
    copies = ConfigurationExchange(server, link)
    return {
        DialController: link.dial,
        SendReport: link.send,
        SendNews: server.send,
        AnswerClock: server.answer_clock,
        NameRelay: server.name_relay,
        DropPeers: server.drop_peers,
        SendConfiguration: copies.send,
        AskConfiguration: copies.request,
    }


async def announce_controller(effect: AnnounceController) -> None:
    """Announce a new controller to one gateway, if it can be reached."""
    address = effect.address
    stream = await sockets.open_stream(
        address.host, address.port, _CONNECT_TIMEOUT
    )
    if stream is None:
        return
    encoded = encode_peer_message(effect.announcement)
    async with stream:
        with trio.move_on_after(_CONNECT_TIMEOUT):
            await MessageStream(stream).send(encoded)


def _build_copy(encoded: bytes) -> ConfigurationCopy:
    return ConfigurationCopy(Deflater().deflate(encoded))


def _feed_copy(
    message: ConfigurationCopy,
    decode: _Decode,
    feed: Feed,
) -> None:
    encoded = Inflater(_MAX_FRAME_BYTES).inflate(message.deflated)
    if isinstance(encoded, Failure):
        return
    configuration = decode(encoded)
    if not isinstance(configuration, Failure):
        feed(ConfigurationCopied(configuration))


async def _write_messages(
    messages: MessageStream,
    inbox: trio.MemoryReceiveChannel[bytes],
) -> None:
    async for encoded in inbox:
        if isinstance(await messages.send(encoded), Failure):
            return


async def _cancel_on(
    address_changed: trio.Event, scope: trio.CancelScope
) -> None:
    await address_changed.wait()
    scope.cancel()
