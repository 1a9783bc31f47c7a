"""Request a dump of the state of a process."""

from uuid import uuid4

from trio import SocketStream, move_on_after, open_tcp_stream

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.messages import DumpRead, DumpReply
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.results import ResultCode
from trefoilsaddle.wire.codec import decode_message, encode_message
from trefoilsaddle.wire.framing import FrameStream, pack_frame
from trefoilsaddle.wire.greeting import (
    MAX_GREETING_BYTES,
    Identity,
    greet_as_dialler,
)
from trefoilsaddle.wire.peers import Address

_TIMEOUT = Seconds(5)
_MAX_DUMP_BYTES = 33_554_432


def build_command_identity(secret: bytes) -> Identity:
    """Build an identity for a command, distinct from every process."""
    return Identity(NodeId(f'command-{uuid4().hex}'), secret, listens=False)


async def read_dump(identity: Identity, address: Address) -> str | Failure:
    """Return the dump of a process as JSON text (peer_unreachable)."""
    with move_on_after(_TIMEOUT):
        try:
            stream = await open_tcp_stream(address.host, address.port)
        except (OSError, ValueError):
            return _fail(address, 'no connection')
        async with stream:
            return await _request_dump(identity, address, stream)
    return _fail(address, 'no answer in time')


async def _request_dump(
    identity: Identity,
    address: Address,
    stream: SocketStream,
) -> str | Failure:
    frames = FrameStream(stream, MAX_GREETING_BYTES)
    peer = await greet_as_dialler(frames, identity)
    if isinstance(peer, Failure):
        return _fail(address, 'the secrets differ')
    frames.allow_payload(_MAX_DUMP_BYTES)
    await frames.send(pack_frame(encode_message(DumpRead(1))))
    payload = await frames.receive()
    if isinstance(payload, Failure):
        return _fail(address, payload.reason)
    message = decode_message(payload)
    if isinstance(message, DumpReply):
        return message.text
    return _fail(address, 'the answer is not a dump')


def _fail(address: Address, reason: str) -> Failure:
    sentence = f'{address.host}:{address.port}: {reason}'
    return Failure(ResultCode.peer_unreachable, sentence)
