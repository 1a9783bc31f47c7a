"""Keep connections to the other processes of the system.

A process sends on the connection that it has dialled itself and receives on
those that its peers have dialled; see docs/design/peers.md for why.
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
    """Give the IP number and port at which a process listens."""

    host: str
    port: int


@dataclass(frozen=True, slots=True)
class PeerLimits:
    """Bound what peers can cost this process."""

    # Bytes of the largest message; twice the largest body of a request.
    max_message_bytes: int = 33_554_432
    # Bytes that wait for one peer.
    max_queue_bytes: int = 67_108_864
    greeting_timeout: Seconds = Seconds(2)
    dial_timeout: Seconds = Seconds(1)
    flush_timeout: Seconds = Seconds(2)
    # Connections that have not proved the secret yet.
    max_greetings: int = 128


class PeerListener(ABC):
    """Take what arrives from peers."""

    @abstractmethod
    def find_address(self, node: NodeId) -> Address | None:
        """Return where a process listens, if that is known."""

    @abstractmethod
    def receive_message(self, sender: NodeId, message: Message) -> None:
        """Take a message of an authenticated peer."""

    @abstractmethod
    def handle_peer_loss(
        self,
        node: NodeId,
        unsent: tuple[AttemptId, ...] = (),
    ) -> None:
        """Learn that messages to or from a peer may have been lost.

        Of the unsent attempts, no byte has left this process.
        """

    @abstractmethod
    def count_failure(self, code: ResultCode) -> None:
        """Count a connection that was refused."""


class Peers:
    """Send messages to peers and receive theirs."""

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
        self._greetings = 0

    def send_message(self, node: NodeId, message: Message) -> None:
        """Queue a message for a peer; dial the peer if need be."""
        queued = pack_message(message)
        if len(queued.frame) > self._limits.max_message_bytes:
            # The peer would close the connection over it.
            self._listener.count_failure(ResultCode.memory_bound)
            return
        link = self._outgoing.get(node) or self._dial_peer(node)
        if not link.enqueue(queued):
            self._remove_link(self._outgoing, link)

    async def accept_stream(self, stream: SocketStream) -> None:
        """Serve a connection that someone has dialled."""
        if self._greetings >= self._limits.max_greetings:
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
        """Wait a short while until all queued messages have been sent."""
        with move_on_after(self._limits.flush_timeout):
            async with open_nursery() as nursery:
                for link in self._outgoing.values():
                    nursery.start_soon(link.flush)

    async def _greet_peer(self, frames: FrameStream) -> Hello | Failure:
        peer: Hello | Failure = _TIMED_OUT
        self._greetings += 1
        with move_on_after(self._limits.greeting_timeout):
            peer = await greet_as_acceptor(frames, self._identity)
        self._greetings -= 1
        return peer

    async def _serve_peer(self, peer: Hello, frames: FrameStream) -> None:
        link = Link(peer.node, self._limits.max_queue_bytes)
        former = self._incoming.get(peer.node)
        if former is not None:
            former.scope.cancel()
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
                # A rumour may name a host that no address can be made of.
                return None
        return None

    async def _greet_and_run(self, link: Link, stream: SocketStream) -> None:
        prepare_stream(stream)
        frames = FrameStream(stream, MAX_GREETING_BYTES)
        peer: Hello | Failure | None = None
        with move_on_after(self._limits.greeting_timeout):
            peer = await greet_as_dialler(frames, self._identity)
        # Someone else may listen there since the address was learnt.
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
