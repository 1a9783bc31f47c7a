"""Authenticate the two ends of a connection with a shared secret.

Each end sends a hello with a fresh nonce, and then an HMAC with the secret
over both nonces, both names and its own role.  The role prevents a reflection
attack, in which an end is sent its own proof back.  The messages that follow
are neither signed nor encrypted: the network between the entry hosts belongs
to the operators.
"""

from dataclasses import dataclass, field
from enum import Enum, unique
from hmac import compare_digest, digest
from secrets import token_bytes

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import NodeId
from trefoilsaddle.results import ResultCode
from trefoilsaddle.wire.framing import FrameStream, pack_frame
from trefoilsaddle.wire.schema import schema
from trefoilsaddle.wire.unioncodec import Codec

PROTOCOL = 1
# Limit on a frame from a peer that is not authenticated yet.
MAX_GREETING_BYTES = 1024
_NONCE_BYTES = 16
_HASH = 'sha256'
# Distinguishes ('ab', 'c') from ('a', 'bc').
_SEPARATOR = b'\0'


@dataclass(frozen=True, slots=True)
class Identity:
    """Hold the name and secret with which a process authenticates itself."""

    node: NodeId
    secret: bytes = field(repr=False)
    # False for a command that peers cannot dial.
    listens: bool = True


@dataclass(frozen=True, slots=True)
class Hello:
    """Introduce one end of a connection."""

    protocol: int
    node: NodeId
    nonce: bytes
    listens: bool


@dataclass(frozen=True, slots=True)
class Proof:
    """Prove knowledge of the shared secret."""

    digest: bytes


Greeting = Hello | Proof


@unique
class _Role(Enum):
    dialler = b'dialler'
    acceptor = b'acceptor'


_GREETINGS: Codec[Greeting] = Codec(Greeting, schema.Greeting)
_UNAUTHENTIC = Failure(
    ResultCode.peer_unauthentic,
    'the peer did not prove the shared secret',
)


async def greet_as_dialler(
    frames: FrameStream,
    identity: Identity,
) -> Hello | Failure:
    """Authenticate a connection that this process has dialled."""
    own = _make_hello(identity)
    failure = await frames.send(pack_greeting(own))
    if failure is not None:
        return failure
    peer = await _receive_hello(frames)
    if isinstance(peer, Failure):
        return peer
    proof = _compute_proof(identity, _Role.acceptor, own, peer)
    if not await _receive_proof(frames, proof):
        return _UNAUTHENTIC
    proof = _compute_proof(identity, _Role.dialler, own, peer)
    failure = await frames.send(pack_greeting(Proof(proof)))
    return failure or peer


async def greet_as_acceptor(
    frames: FrameStream,
    identity: Identity,
) -> Hello | Failure:
    """Authenticate a connection that a peer has dialled."""
    peer = await _receive_hello(frames)
    if isinstance(peer, Failure):
        return peer
    own = _make_hello(identity)
    proof = Proof(_compute_proof(identity, _Role.acceptor, peer, own))
    failure = await frames.send(pack_greeting(own) + pack_greeting(proof))
    if failure is not None:
        return failure
    expected = _compute_proof(identity, _Role.dialler, peer, own)
    if await _receive_proof(frames, expected):
        return peer
    return _UNAUTHENTIC


def _make_hello(identity: Identity) -> Hello:
    nonce = token_bytes(_NONCE_BYTES)
    return Hello(PROTOCOL, identity.node, nonce, identity.listens)


def _compute_proof(
    identity: Identity,
    role: _Role,
    dialler: Hello,
    acceptor: Hello,
) -> bytes:
    parts = (
        role.value,
        dialler.nonce,
        acceptor.nonce,
        dialler.node.encode(),
        acceptor.node.encode(),
    )
    return digest(identity.secret, _SEPARATOR.join(parts), _HASH)


def pack_greeting(greeting: Greeting) -> bytes:
    """Encode a greeting as a frame."""
    return pack_frame(_GREETINGS.encode(greeting))


async def _receive_hello(frames: FrameStream) -> Hello | Failure:
    payload = await frames.receive()
    if isinstance(payload, Failure):
        return _UNAUTHENTIC
    greeting = _GREETINGS.decode(payload)
    if not isinstance(greeting, Hello) or greeting.protocol != PROTOCOL:
        return _UNAUTHENTIC
    if len(greeting.nonce) != _NONCE_BYTES:
        return _UNAUTHENTIC
    return greeting


async def _receive_proof(frames: FrameStream, expected: bytes) -> bool:
    payload = await frames.receive()
    if isinstance(payload, Failure):
        return False
    greeting = _GREETINGS.decode(payload)
    if not isinstance(greeting, Proof):
        return False
    return compare_digest(greeting.digest, expected)
