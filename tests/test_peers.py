"""Test connections between processes: authentication and message loss."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from functools import partial

import pytest
import trio
from trio.abc import Stream
from trio.testing import memory_stream_pair

from trefoilsaddle.core.calls import Request
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.messages import (
    Abandon,
    DumpRead,
    DumpReply,
    Forward,
    Message,
    StateReply,
)
from trefoilsaddle.core.units import (
    AttemptId,
    MemberName,
    NodeId,
    Offset,
    Rank,
    Seconds,
    ServerId,
    ServiceName,
)
from trefoilsaddle.results import ResultCode
from trefoilsaddle.wire.codec import encode_message
from trefoilsaddle.wire.framing import FrameStream, pack_frame
from trefoilsaddle.wire.greeting import (
    MAX_GREETING_BYTES,
    Hello,
    Identity,
    greet_as_acceptor,
    greet_as_dialler,
    pack_greeting,
)
from trefoilsaddle.wire.peers import Address, PeerLimits, PeerListener, Peers

_HOST = '127.0.0.1'
_SECRET = b'a secret of sixteen'
_ONE = NodeId('node-1')
_TWO = NodeId('node-2')
# Timeout in seconds that ends a hanging test; it measures nothing.
_TEST_TIMEOUT = 20
_LIMITS = PeerLimits(max_message_bytes=4096, max_queue_bytes=32_768)


@dataclass
class _Listener(PeerListener):
    """Record the messages, losses and failures of one process."""

    addresses: dict[NodeId, Address] = field(default_factory=dict)
    received: list[tuple[NodeId, Message]] = field(default_factory=list)
    lost: list[NodeId] = field(default_factory=list)
    unsent: list[AttemptId] = field(default_factory=list)
    failures: list[ResultCode] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)

    def find_address(self, node: NodeId) -> Address | None:
        """Return the address of a process."""
        return self.addresses.get(node)

    def receive_message(self, sender: NodeId, message: Message) -> None:
        """Record a message."""
        self.received.append((sender, message))
        self._wake()

    def handle_peer_loss(
        self,
        node: NodeId,
        unsent: tuple[AttemptId, ...] = (),
    ) -> None:
        """Record a loss."""
        self.lost.append(node)
        self.unsent.extend(unsent)
        self._wake()

    def count_failure(self, code: ResultCode) -> None:
        """Record a refused connection."""
        self.failures.append(code)
        self._wake()

    async def wait_until(self, holds: Callable[[], object]) -> None:
        """Wait until a condition on the recorded events holds."""
        while not holds():
            await self.changed.wait()

    def _wake(self) -> None:
        self.changed.set()
        self.changed = trio.Event()


@dataclass
class _Process:
    """Hold one listening process."""

    listener: _Listener
    peers: Peers
    address: Address


async def _start(
    nursery: trio.Nursery,
    node: NodeId,
    secret: bytes = _SECRET,
    limits: PeerLimits = _LIMITS,
) -> _Process:
    listener = _Listener()
    peers = Peers(Identity(node, secret), limits, listener, nursery)
    sockets = await trio.open_tcp_listeners(0, host=_HOST)
    nursery.start_soon(trio.serve_listeners, peers.accept_stream, sockets)
    port = sockets[0].socket.getsockname()[1]
    return _Process(listener, peers, Address(_HOST, port))


@dataclass
class _Pair:
    """Hold two processes that know each other's address."""

    nursery: trio.Nursery
    one: _Process
    two: _Process


async def _start_pair(nursery: trio.Nursery, secret: bytes = _SECRET) -> _Pair:
    one = await _start(nursery, _ONE)
    two = await _start(nursery, _TWO, secret)
    one.listener.addresses[_TWO] = two.address
    two.listener.addresses[_ONE] = one.address
    return _Pair(nursery, one, two)


async def _run_with_timeout(
    scene: Callable[[trio.Nursery], Awaitable[None]],
) -> None:
    with trio.fail_after(_TEST_TIMEOUT):
        async with trio.open_nursery() as nursery:
            await scene(nursery)
            nursery.cancel_scope.cancel()


def _forward(number: int, body: bytes = b'') -> Forward:
    request = Request(
        service=ServiceName('catalogue'),
        member=MemberName('north'),
        rank=Rank(0),
        key=b'key',
        method='POST',
        path='/',
        content_type='',
        body=body,
        idempotent=True,
        idempotency_key=None,
        remaining=Seconds(1),
    )
    return Forward(AttemptId(number), ServerId('server-1'), request)


async def _send_both_ways(pair: _Pair) -> None:
    pair.one.peers.send_message(_TWO, Abandon(AttemptId(1)))
    pair.two.peers.send_message(_ONE, Abandon(AttemptId(2)))
    await pair.one.listener.wait_until(lambda: pair.one.listener.received)
    await pair.two.listener.wait_until(lambda: pair.two.listener.received)
    assert pair.one.listener.received == [(_TWO, Abandon(AttemptId(2)))]
    assert pair.two.listener.received == [(_ONE, Abandon(AttemptId(1)))]
    assert not pair.one.listener.lost + pair.two.listener.lost


async def _keep_order(pair: _Pair) -> None:
    sent = [_forward(number) for number in range(100)]
    for message in sent[:50]:
        pair.one.peers.send_message(_TWO, message)
    await pair.one.peers.flush()
    for message in sent[50:]:
        pair.one.peers.send_message(_TWO, message)
    received = pair.two.listener.received
    await pair.two.listener.wait_until(lambda: len(received) == len(sent))
    assert [message for _, message in received] == sent


async def _lose_unknown_address(pair: _Pair) -> None:
    stranger = NodeId('node-3')
    pair.one.peers.send_message(stranger, _forward(4))
    await pair.one.listener.wait_until(lambda: pair.one.listener.lost)
    assert pair.one.listener.lost == [stranger]
    assert pair.one.listener.unsent == [AttemptId(4)]


async def _lose_refused(pair: _Pair) -> None:
    sockets = await trio.open_tcp_listeners(0, host=_HOST)
    port = sockets[0].socket.getsockname()[1]
    await sockets[0].aclose()
    pair.one.listener.addresses[_TWO] = Address(_HOST, port)
    pair.one.peers.send_message(_TWO, _forward(4))
    pair.one.peers.send_message(_TWO, Abandon(AttemptId(3)))
    await pair.one.listener.wait_until(lambda: pair.one.listener.lost)
    assert pair.one.listener.unsent == [AttemptId(4)]


async def _lose_other_node(pair: _Pair) -> None:
    other = NodeId('node-9')
    pair.one.listener.addresses[other] = pair.two.address
    pair.one.peers.send_message(other, _forward(4))
    await pair.one.listener.wait_until(lambda: pair.one.listener.lost)
    assert pair.one.listener.unsent == [AttemptId(4)]
    assert not pair.two.listener.received


async def _dial_again(pair: _Pair) -> None:
    await _lose_refused(pair)
    pair.one.listener.addresses[_TWO] = pair.two.address
    pair.one.peers.send_message(_TWO, _forward(5))
    await pair.two.listener.wait_until(lambda: pair.two.listener.received)
    assert pair.two.listener.received == [(_ONE, _forward(5))]


async def _close_on_full_queue(pair: _Pair) -> None:
    for number in range(50):
        pair.one.peers.send_message(_TWO, _forward(number, b'x' * 1000))
    await pair.one.listener.wait_until(lambda: pair.one.listener.lost)
    # Messages queued before the connection was made have not been sent.
    assert pair.one.listener.unsent[0] == AttemptId(0)
    assert len(pair.one.listener.unsent) == len(set(pair.one.listener.unsent))


async def _close_on_large_message(pair: _Pair) -> None:
    large = StateReply(1, Offset(1), 'x' * 5000)
    stream = await trio.open_tcp_stream(_HOST, pair.two.address.port)
    async with stream:
        frames = FrameStream(stream, MAX_GREETING_BYTES)
        await greet_as_dialler(frames, Identity(_ONE, _SECRET))
        await frames.send(pack_frame(encode_message(large)))
        await pair.two.listener.wait_until(lambda: pair.two.listener.lost)
    assert not pair.two.listener.received


async def _send_no_large_message(pair: _Pair) -> None:
    large = StateReply(1, Offset(1), 'x' * 5000)
    pair.one.peers.send_message(_TWO, large)
    assert pair.one.listener.failures == [ResultCode.memory_bound]
    await _send_both_ways(pair)


async def _answer_command(pair: _Pair) -> None:
    command = replace(
        Identity(NodeId('command-1'), _SECRET),
        listens=False,
    )
    stream = await trio.open_tcp_stream(_HOST, pair.two.address.port)
    async with stream:
        frames = FrameStream(stream, MAX_GREETING_BYTES)
        peer = await greet_as_dialler(frames, command)
        assert isinstance(peer, Hello)
        await frames.send(pack_frame(encode_message(DumpRead(1))))
        await pair.two.listener.wait_until(lambda: pair.two.listener.received)
        pair.two.peers.send_message(command.node, DumpReply(1, '{}'))
        payload = await frames.receive()
        assert isinstance(payload, bytes)


_PAIR_CASES = (
    _send_both_ways,
    _keep_order,
    _lose_unknown_address,
    _lose_refused,
    _lose_other_node,
    _dial_again,
    _close_on_full_queue,
    _close_on_large_message,
    _send_no_large_message,
    _answer_command,
)


@pytest.mark.parametrize('play', _PAIR_CASES)
def test_peer_pair(play: Callable[[_Pair], Awaitable[None]]) -> None:
    """Run a scenario between two processes."""
    trio.run(_run_with_timeout, partial(_play_pair, play))


async def _play_pair(
    play: Callable[[_Pair], Awaitable[None]],
    nursery: trio.Nursery,
) -> None:
    await play(await _start_pair(nursery))


async def _send_nothing(stream: trio.SocketStream) -> None:
    await stream.send_eof()


async def _send_garbage(stream: trio.SocketStream) -> None:
    await stream.send_all(b'GET / HTTP/1.1\r\nHost: here\r\n\r\n')


async def _send_huge_length(stream: trio.SocketStream) -> None:
    await stream.send_all(b'\xff\xff\xff\x7f')


async def _send_message_unproved(stream: trio.SocketStream) -> None:
    await stream.send_all(pack_frame(b'\0' * 64))


async def _send_wrong_secret(stream: trio.SocketStream) -> None:
    frames = FrameStream(stream, MAX_GREETING_BYTES)
    identity = Identity(_ONE, _OTHER_SECRET)
    assert isinstance(await greet_as_dialler(frames, identity), Failure)


_STRANGERS = (
    _send_nothing,
    _send_garbage,
    _send_huge_length,
    _send_message_unproved,
    _send_wrong_secret,
)


@pytest.mark.parametrize('behave', _STRANGERS)
def test_stranger_harms_no_one(
    behave: Callable[[trio.SocketStream], Awaitable[None]],
) -> None:
    """Close and count an unauthenticated connection; serve the others."""
    trio.run(_run_with_timeout, partial(_play_stranger, behave))


async def _play_stranger(
    behave: Callable[[trio.SocketStream], Awaitable[None]],
    nursery: trio.Nursery,
) -> None:
    pair = await _start_pair(nursery)
    listener = pair.two.listener
    port = pair.two.address.port
    async with await trio.open_tcp_stream(_HOST, port) as stream:
        await behave(stream)
        await listener.wait_until(lambda: listener.failures)
    assert listener.failures == [ResultCode.peer_unauthentic]
    assert not listener.received
    assert not listener.lost
    await _send_both_ways(pair)


def test_silent_strangers_are_bounded() -> None:
    """Close new connections while too many are unauthenticated."""
    trio.run(_run_with_timeout, _play_silence)


async def _play_silence(nursery: trio.Nursery) -> None:
    limits = replace(_LIMITS, max_greetings=2)
    process = await _start(nursery, _TWO, limits=limits)
    listener = process.listener
    for _ in range(3):
        nursery.start_soon(_stay_silent, process.address.port)
    await listener.wait_until(lambda: listener.failures)
    assert listener.failures == [ResultCode.peer_unauthentic]


async def _stay_silent(port: int) -> None:
    async with await trio.open_tcp_stream(_HOST, port):
        await trio.sleep_forever()


@dataclass
class _GreetingEnds:
    """Hold the results of the two ends of a greeting."""

    dialler: Hello | Failure | None = None
    acceptor: Hello | Failure | None = None

    async def dial(self, stream: Stream, secret: bytes) -> None:
        """Greet as the dialler and close."""
        frames = FrameStream(stream, MAX_GREETING_BYTES)
        self.dialler = await greet_as_dialler(frames, Identity(_ONE, secret))
        await stream.aclose()

    async def accept(self, stream: Stream, secret: bytes) -> None:
        """Greet as the acceptor and close."""
        frames = FrameStream(stream, MAX_GREETING_BYTES)
        self.acceptor = await greet_as_acceptor(frames, Identity(_TWO, secret))
        await stream.aclose()


_OTHER_SECRET = b'another secret, as long'


@pytest.mark.parametrize(
    ('dialler', 'acceptor', 'proved'),
    [
        (_SECRET, _SECRET, True),
        (_SECRET, _OTHER_SECRET, False),
        (_OTHER_SECRET, _SECRET, False),
    ],
)
def test_greeting(dialler: bytes, acceptor: bytes, proved: bool) -> None:
    """Authenticate both ends or neither, depending on the secret."""
    ends = _GreetingEnds()
    trio.run(
        _run_with_timeout, partial(_play_greeting, ends, dialler, acceptor)
    )
    assert isinstance(ends.dialler, Hello) is proved
    assert isinstance(ends.acceptor, Hello) is proved


async def _play_greeting(
    ends: _GreetingEnds,
    dialler: bytes,
    acceptor: bytes,
    outer: trio.Nursery,
) -> None:
    near, far = memory_stream_pair()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(ends.dial, near, dialler)
        nursery.start_soon(ends.accept, far, acceptor)


def test_proof_cannot_be_reflected() -> None:
    """Refuse an end that reflects the messages it receives."""
    ends = _GreetingEnds()
    trio.run(_run_with_timeout, partial(_play_reflection, ends))
    assert isinstance(ends.acceptor, Failure)


async def _play_reflection(ends: _GreetingEnds, nursery: trio.Nursery) -> None:
    near, far = memory_stream_pair()
    nursery.start_soon(_reflect, far)
    hello = Hello(1, _ONE, bytes(16), listens=True)
    await far.send_all(pack_greeting(hello))
    await ends.accept(near, _SECRET)


async def _reflect(stream: Stream) -> None:
    """Reflect all frames except the other end's hello."""
    frames = FrameStream(stream, MAX_GREETING_BYTES)
    await frames.receive()
    proof = await frames.receive()
    assert isinstance(proof, bytes)
    await frames.send(pack_frame(proof))
