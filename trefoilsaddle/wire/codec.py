"""Encode and decode the messages between processes."""

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.messages import Message
from trefoilsaddle.wire.schema import schema
from trefoilsaddle.wire.unioncodec import Codec

_MESSAGES: Codec[Message] = Codec(Message, schema.Message)


def encode_message(message: Message) -> bytes:
    """Encode a message."""
    return _MESSAGES.encode(message)


def decode_message(encoded: bytes) -> Message | Failure:
    """Decode a message, or fail with `malformed`."""
    return _MESSAGES.decode(encoded)
