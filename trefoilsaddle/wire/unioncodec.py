"""Encode and decode one union of data classes, or one data class.

Decoding is strict: an unknown, invalid or too large message is a `Failure`.
"""

from typing import Any, Generic, TypeVar

from capnp import KjException

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.results import ResultCode
from trefoilsaddle.wire.conversion import InvalidMessageError
from trefoilsaddle.wire.converters import NO_CLASSES, build_converter

_BYTES_PER_WORD = 8
# A reader may visit each word of a message twice.  More visits are refused,
# since pointers to the same words could amplify a small message.
_VISITS_PER_WORD = 2
_NESTING_LIMIT = 16
# Limit on an unpacked message: 8 MiB.
_MAX_UNPACKED_WORDS = 1_048_576

_MALFORMED = Failure(ResultCode.malformed, 'the frame holds no known message')

# Exceptions raised on damaged bytes and on numbers or texts out of range.
_DECODE_ERRORS = (
    KjException,
    InvalidMessageError,
    RuntimeError,
    LookupError,
    ValueError,
)

_Union = TypeVar('_Union')


class Codec(Generic[_Union]):
    """Encode and decode one union of data classes."""

    def __init__(
        self,
        hint: Any,
        struct: Any,
        *,
        packed: bool = False,
        columnar: frozenset[type] = NO_CLASSES,
    ) -> None:
        """Pair a union of data classes with its struct in the schema.

        `packed` selects the packed encoding, which omits zero bytes;
        `columnar` names the classes whose lists are written by column.
        """
        self._converter = build_converter(hint, columnar)
        self._struct = struct
        self._packed = packed

    def encode(self, message: _Union) -> bytes:
        """Encode a message."""
        builder = self._struct.new_message()
        self._converter.write(builder, message)
        encoded: bytes
        if self._packed:
            encoded = builder.to_bytes_packed()
        else:
            encoded = builder.to_bytes()
        return encoded

    def decode(self, encoded: bytes) -> _Union | Failure:
        """Decode a message, or fail with `malformed`."""
        try:
            return self._read(encoded)
        except _DECODE_ERRORS:
            return _MALFORMED

    def _read(self, encoded: bytes) -> _Union:
        message: _Union
        if self._packed:
            packed = self._struct.from_bytes_packed(
                encoded,
                traversal_limit_in_words=_MAX_UNPACKED_WORDS,
                nesting_limit=_NESTING_LIMIT,
            )
            message = self._converter.read(packed)
            return message
        words = len(encoded) // _BYTES_PER_WORD + 1
        with self._struct.from_bytes(
            encoded,
            traversal_limit_in_words=words * _VISITS_PER_WORD,
            nesting_limit=_NESTING_LIMIT,
        ) as reader:
            message = self._converter.read(reader)
        return message
