"""Connect gateways with their controller, and pass messages on."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import inf

import trio

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import NodeId, Seconds
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
from trefoilsaddle.wire.deflating import Deflater, Inflater
from trefoilsaddle.wire.framing import FrameStream, pack_frame
from trefoilsaddle.wire.gatewaycodec import (
    decode_peer_message,
    encode_peer_message,
)

# Largest message: the news of some thousand servers.
_MAX_FRAME_BYTES = 4_194_304
_CONNECT_TIMEOUT = Seconds(0.5)
_REDIAL_INTERVAL = Seconds(0.2)
# Both ends write twice a second; a connection that is silent for longer is
# taken as dead.
_MAX_SILENCE = Seconds(1.4)
# Messages that wait for a gateway that does not read.
_MAX_QUEUED = 64

Feed = Callable[[Event], None]
_Outbox = trio.MemorySendChannel[bytes]


class MessageStream:
    """Exchange messages on one connection, compressed one after another."""

    def __init__(self, stream: trio.abc.Stream) -> None:
        """Begin anew with each connection."""
        self._frames = FrameStream(stream, _MAX_FRAME_BYTES)
        self._deflater = Deflater()
        self._inflater = Inflater(_MAX_FRAME_BYTES)

    async def send(self, encoded: bytes) -> Failure | None:
        """Send an encoded message (peer_unreachable)."""
        frame = pack_frame(self._deflater.deflate(encoded))
        return await self._frames.send(frame)

    async def receive(self) -> PeerMessage | Failure | None:
        """Receive a message; None after too long a silence."""
        with trio.move_on_after(_MAX_SILENCE):
            deflated = await self._frames.receive()
            if isinstance(deflated, Failure):
                return deflated
            encoded = self._inflater.inflate(deflated)
            if isinstance(encoded, Failure):
                return encoded
            return decode_peer_message(encoded)
        return None


@dataclass(slots=True)
class ControllerServer:
    """Serve the connections of gateways, while this one is the controller."""

    feed: Feed
    outboxes: dict[NodeId, _Outbox] = field(default_factory=dict)
    # The configuration that was passed on last, and the message that it made.
    _copied: bytes = b''
    _copy: bytes = b''
    # News that was encoded last, as several gateways get the same.
    _news: News | None = None
    _encoded: bytes = b''

    def send(self, effect: SendNews) -> None:
        """Send news to one gateway or to all."""
        message = self._encode(effect.news)
        names = list(self.outboxes) if effect.node is None else [effect.node]
        for name in names:
            self._push(name, message)

    def send_configuration(self, effect: SendConfiguration) -> None:
        """Pass the configuration on to a gateway."""
        if effect.encoded != self._copied:
            # All gateways ask for a new version within a second.
            self._copied = effect.encoded
            deflated = Deflater().deflate(effect.encoded)
            self._copy = encode_peer_message(ConfigurationCopy(deflated))
        self._push(effect.node, self._copy)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Take the reports of one gateway and send it news."""
        sockets.set_options(stream)
        messages = MessageStream(stream)
        outbox, inbox = trio.open_memory_channel[bytes](_MAX_QUEUED)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_write_messages, messages, inbox)
            await self._receive_from_gateway(messages, outbox)
            nursery.cancel_scope.cancel()
        sockets.close(stream)

    def _encode(self, news: News) -> bytes:
        if self._news is not news:
            self._news = news
            self._encoded = encode_peer_message(news)
        return self._encoded

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
        except trio.WouldBlock:
            # It does not read: it will connect again and be told all.
            self.outboxes.pop(node)
            outbox.close()


@dataclass(slots=True)
class ControllerLink:
    """Keep a connection to the controller."""

    feed: Feed
    greeting: Report
    decode_configuration: Callable[[bytes], Configuration | Failure]
    address: GatewayAddress | None = None
    changed: trio.Event = field(default_factory=trio.Event)
    outbox: _Outbox | None = None

    def dial(self, effect: DialController) -> None:
        """Connect to another controller, or to none."""
        self.address = effect.address
        self.outbox = None
        self.changed.set()

    def send(self, effect: SendReport) -> None:
        """Send a report if there is a connection; else it is dropped."""
        self.push(effect.report)

    def ask_configuration(self, effect: AskConfiguration) -> None:
        """Ask the controller for its configuration."""
        self.push(ConfigurationRead(effect.known))

    def push(self, message: PeerMessage) -> None:
        """Write a message if there is a connection."""
        if self.outbox is None:
            return
        try:
            self.outbox.send_nowait(encode_peer_message(message))
        except (trio.WouldBlock, trio.BrokenResourceError):
            # Loads are reported anew in half a second.
            return

    async def run(self) -> None:
        """Connect again whenever the connection or the address is gone."""
        while True:
            changed = self.changed
            if self.address is not None:
                await self._run_until_changed(self.address, changed)
                self.outbox = None
                self.feed(LinkLost())
            if changed.is_set():
                self.changed = trio.Event()
            else:
                await self._pause(changed)

    async def _run_until_changed(
        self,
        address: GatewayAddress,
        changed: trio.Event,
    ) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on, changed, nursery.cancel_scope)
            await self._run_connection(address)
            nursery.cancel_scope.cancel()

    async def _pause(self, changed: trio.Event) -> None:
        pause = _REDIAL_INTERVAL if self.address else inf
        with trio.move_on_after(pause):
            await changed.wait()

    async def _run_connection(self, address: GatewayAddress) -> None:
        stream = await sockets.open_stream(
            address.host, address.port, _CONNECT_TIMEOUT
        )
        if stream is None:
            return
        outbox, inbox = trio.open_memory_channel[bytes](_MAX_QUEUED)
        messages = MessageStream(stream)
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
                self._handle_copy(message)
            elif isinstance(message, News):
                self.feed(NewsReceived(message))
            else:
                return

    def _handle_copy(self, message: ConfigurationCopy) -> None:
        encoded = Inflater(_MAX_FRAME_BYTES).inflate(message.deflated)
        if isinstance(encoded, Failure):
            return
        configuration = self.decode_configuration(encoded)
        if not isinstance(configuration, Failure):
            self.feed(ConfigurationCopied(configuration))


async def announce_table(effect: AnnounceTable) -> None:
    """Tell one gateway of a table, if it can be reached."""
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


async def _write_messages(
    messages: MessageStream,
    inbox: trio.MemoryReceiveChannel[bytes],
) -> None:
    async for encoded in inbox:
        if isinstance(await messages.send(encoded), Failure):
            return


async def _cancel_on(changed: trio.Event, scope: trio.CancelScope) -> None:
    await changed.wait()
    scope.cancel()
