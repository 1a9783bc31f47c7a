"""Manage the connections to the other processes of the system.

A process sends on the connections that it has dialled and receives on those
that its peers have dialled; see docs/design/peers.md for why.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from trio import (
    Nursery,
    SocketStream,
    aclose_forcefully,
    move_on_after,
    open_nursery,
    open_tcp_stream,
)

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.messages import Message
from trefoilsaddle.core.units import AttemptId, NodeId, Seconds
from trefoilsaddle.results import ResultCode
from trefoilsaddle.wire.framing import FrameStream
from trefoilsaddle.wire.greeting import (
    MAX_GREETING_BYTES,
    Hello,
    Identity,
    greet_as_acceptor,
    greet_as_dialler,
)
from trefoilsaddle.wire.links import Link, pack_message
from trefoilsaddle.wire.sockets import prepare_stream

_TIMED_OUT = Failure(ResultCode.peer_unauthentic, 'the greeting timed out')


@dataclass(frozen=True, slots=True)
class Address:
    """Hold the IP address and port at which a process listens."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """Limit the memory and time that peers can take up."""

    # Limit on one message; twice the limit on a request body.
    max_message_bytes: int = 33_554_432
    # Limit on the messages queued for one peer.
    max_queue_bytes: int = 67_108_864
    greeting_timeout: Seconds = Seconds(2)
    dial_timeout: Seconds = Seconds(1)
    flush_timeout: Seconds = Seconds(2)
    # Limit on connections that have not proved the secret yet.
    max_greetings: int = 128


class PeerListener(ABC):
    """Handle the messages and losses of peers."""

    @abstractmethod
    def find_address(self, node: NodeId) -> Address | None:
        """Return the address of a process, if it is known."""

    @abstractmethod
    def receive_message(self, sender: NodeId, message: Message) -> None:
        """Handle a message of an authenticated peer."""

    @abstractmethod
    def handle_peer_loss(
        self,
        node: NodeId,
        unsent: tuple[AttemptId, ...] = (),
    ) -> None:
        """Handle the possible loss of messages to or from a peer.

        No byte of the unsent attempts has been sent.
        """

    @abstractmethod
    def count_failure(self, code: ResultCode) -> None:
        """Count a connection that was refused."""


class Peers:
    """Send messages to peers and receive messages from them."""

    def __init__(
        self,
        identity: Identity,
        limits: PeerLimits,
        listener: PeerListener,
        nursery: Nursery,
    ) -> None:
        """Run the connections in a nursery."""
        self._identity = identity
        self._limits = limits
        self._listener = listener
        self._nursery = nursery
        self._outgoing: dict[NodeId, Link] = {}
        self._incoming: dict[NodeId, Link] = {}
        self._pending_greetings = 0

    def send_message(self, node: NodeId, message: Message) -> None:
        """Queue a message for a peer; dial it if there is no connection."""
        queued = pack_message(message)
        if len(queued.frame) > self._limits.max_message_bytes:
            # The peer would close the connection because of its size.
            self._listener.count_failure(ResultCode.memory_bound)
            return
        link = self._outgoing.get(node) or self._dial_peer(node)
        if not link.enqueue(queued):
            self._remove_link(self._outgoing, link)

    async def accept_stream(self, stream: SocketStream) -> None:
        """Authenticate and serve an incoming connection."""
        if self._pending_greetings >= self._limits.max_greetings:
            self._listener.count_failure(ResultCode.peer_unauthentic)
            await aclose_forcefully(stream)
            return
        prepare_stream(stream)
        frames = FrameStream(stream, MAX_GREETING_BYTES)
        async with stream:
            peer = await self._greet_peer(frames)
            if isinstance(peer, Failure):
                self._listener.count_failure(peer.code)
                return
            await self._serve_peer(peer, frames)

    async def flush(self) -> None:
        """Wait, up to a timeout, until all queued messages have been sent."""
        with move_on_after(self._limits.flush_timeout):
            async with open_nursery() as nursery:
                for link in self._outgoing.values():
                    nursery.start_soon(link.flush)

    async def _greet_peer(self, frames: FrameStream) -> Hello | Failure:
        peer: Hello | Failure = _TIMED_OUT
        self._pending_greetings += 1
        with move_on_after(self._limits.greeting_timeout):
            peer = await greet_as_acceptor(frames, self._identity)
        self._pending_greetings -= 1
        return peer

    async def _serve_peer(self, peer: Hello, frames: FrameStream) -> None:
        link = Link(peer.node, self._limits.max_queue_bytes)
        previous = self._incoming.get(peer.node)
        if previous is not None:
            previous.scope.cancel()
            self._listener.handle_peer_loss(peer.node)
        self._incoming[peer.node] = link
        if not peer.listens:
            self._outgoing[peer.node] = link
        await self._run_link(link, frames)
        self._remove_link(self._outgoing, link)
        self._remove_link(self._incoming, link)

    def _dial_peer(self, node: NodeId) -> Link:
        link = Link(node, self._limits.max_queue_bytes)
        self._outgoing[node] = link
        self._nursery.start_soon(self._run_outgoing, link)
        return link

    async def _run_outgoing(self, link: Link) -> None:
        address = self._listener.find_address(link.node)
        stream = None if address is None else await self._connect(address)
        if stream is not None:
            async with stream:
                await self._greet_and_run(link, stream)
        self._remove_link(self._outgoing, link)

    async def _connect(self, address: Address) -> SocketStream | None:
        with move_on_after(self._limits.dial_timeout):
            try:
                return await open_tcp_stream(address.host, address.port)
            except (OSError, ValueError):
                # A membership update may name a host that does not resolve.
                return None
        return None

    async def _greet_and_run(self, link: Link, stream: SocketStream) -> None:
        prepare_stream(stream)
        frames = FrameStream(stream, MAX_GREETING_BYTES)
        peer: Hello | Failure | None = None
        with move_on_after(self._limits.greeting_timeout):
            peer = await greet_as_dialler(frames, self._identity)
        # Another process may listen at the known address by now.
        if isinstance(peer, Hello) and peer.node == link.node:
            await self._run_link(link, frames)
        else:
            self._listener.count_failure(ResultCode.peer_unauthentic)

    async def _run_link(self, link: Link, frames: FrameStream) -> None:
        frames.allow_payload(self._limits.max_message_bytes)
        with link.scope:
            await link.run(frames, self._listener.receive_message)

    def _remove_link(self, links: dict[NodeId, Link], link: Link) -> None:
        if links.get(link.node) is link:
            links.pop(link.node)
            self._listener.handle_peer_loss(link.node, link.list_unsent())
