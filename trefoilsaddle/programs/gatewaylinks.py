"""Exchange messages between gateways and their controller."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

import trio

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import NodeId, Seconds, Version
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import (
    AnnounceTable,
    AskConfiguration,
    DialController,
    SendConfiguration,
    SendNews,
    SendReport,
)
from trefoilsaddle.gateway.events import (
    ConfigurationCopied,
    ConfigurationWanted,
    Event,
    LinkLost,
    NewsReceived,
    PeerLinked,
    ReportReceived,
    TableAnnounced,
)
from trefoilsaddle.gateway.peermessages import (
    ConfigurationCopy,
    ConfigurationRead,
    News,
    PeerMessage,
    Report,
    TableAnnouncement,
)
from trefoilsaddle.gateway.table import GatewayAddress, StoredTable
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
class ControllerServer:
    """Serve the connections of gateways to the controller."""

    feed: Feed
    decode_configuration: _Decode
    traffic: ByteCount = field(default_factory=ByteCount)
    outboxes: dict[NodeId, _Outbox] = field(default_factory=dict)
    # The last configuration sent and its encoded message.
    _last_configuration: bytes = b''
    _configuration_message: bytes = b''
    # The last state update and its encoding, as several gateways get the same.
    _last_news: News | None = None
    _news_message: bytes = b''

    def send(self, effect: SendNews) -> None:
        """Send a state update to one gateway or to all."""
        message = self._encode(effect.news)
        names = list(self.outboxes) if effect.node is None else [effect.node]
        for name in names:
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

    async def serve(self, stream: trio.SocketStream) -> None:
        """Receive the messages of one gateway and send it those queued."""
        sockets.set_options(stream)
        messages = MessageStream(stream, self.traffic)
        outbox, inbox = trio.open_memory_channel[bytes](_MAX_QUEUED)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_write_messages, messages, inbox)
            await self._receive_from_gateway(messages, outbox)
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
        outbox: _Outbox,
    ) -> None:
        node: NodeId | None = None
        message = await messages.receive()
        while message is not None and not isinstance(message, Failure):
            if isinstance(message, Report):
                node = self._handle_report(message, node, outbox)
            else:
                self._handle_other(message, node)
            message = await messages.receive()
        if node is not None and self.outboxes.get(node) is outbox:
            self.outboxes.pop(node)

    def _handle_other(self, message: PeerMessage, node: NodeId | None) -> None:
        if isinstance(message, TableAnnouncement):
            stored = StoredTable(message.offset, message.table)
            self.feed(TableAnnounced(stored))
        elif isinstance(message, ConfigurationRead) and node is not None:
            self.feed(ConfigurationWanted(node))
        elif isinstance(message, ConfigurationCopy):
            _feed_copy(message, self.decode_configuration, self.feed)

    def _handle_report(
        self,
        report: Report,
        node: NodeId | None,
        outbox: _Outbox,
    ) -> NodeId:
        name = report.gateway.node
        if node is None:
            self.outboxes[name] = outbox
            self.feed(PeerLinked(name))
        self.feed(ReportReceived(report))
        return name

    def _push(self, node: NodeId, message: bytes) -> None:
        outbox = self.outboxes.get(node)
        if outbox is None:
            return
        try:
            outbox.send_nowait(message)
        except (trio.WouldBlock, trio.BrokenResourceError):
            # The gateway does not read, or its connection has ended; it gets a full update when it connects
            # again.
            self.outboxes.pop(node)
            outbox.close()


@dataclass(slots=True)
class ControllerLink:
    """Maintain the connection to the controller."""

    feed: Feed
    greeting: Report
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
        self.push(self.greeting)
        async with stream, trio.open_nursery() as nursery:
            nursery.start_soon(_write_messages, messages, inbox)
            await self._receive_from_controller(messages)
            nursery.cancel_scope.cancel()

    async def _receive_from_controller(self, messages: MessageStream) -> None:
        while True:
            message = await messages.receive()
            if isinstance(message, ConfigurationCopy):
                _feed_copy(message, self.decode_configuration, self.feed)
            elif isinstance(message, ConfigurationRead):
                self.feed(ConfigurationWanted(None))
            elif isinstance(message, News):
                self.feed(NewsReceived(message))
            else:
                return


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


async def announce_table(effect: AnnounceTable) -> None:
    """Send a stored table to one gateway, if it can be reached."""
    address = effect.address
    stream = await sockets.open_stream(
        address.host, address.port, _CONNECT_TIMEOUT
    )
    if stream is None:
        return
    stored = effect.stored
    message = TableAnnouncement(stored.offset, stored.table)
    encoded = encode_peer_message(message)
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
