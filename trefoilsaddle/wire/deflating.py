"""Compress the messages of one connection as one deflate stream.

Messages between gateways repeat the same names, ranges and tags.  Both ends
of a connection keep the last bytes as the dictionary of the next message, so
messages must be read in the order in which they were written.  Each new
connection starts with an empty dictionary.
"""

import zlib

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.results import ResultCode

# Raw deflate with a window of 8 KiB, which holds several messages: 48 KiB of
# memory per connection.
_WINDOW_BITS = -13
_MEMORY_LEVEL = 5
_LEVEL = 6
# A sync flush ends with these bytes, which are not sent (RFC 7692, section
# 7.2.1).
_FLUSH_END = b'\x00\x00\xff\xff'

_MALFORMED = Failure(ResultCode.malformed, 'a message cannot be inflated')
_TOO_LARGE = Failure(ResultCode.malformed, 'an inflated message is too large')


class Deflater:
    """Compress the messages sent on one connection."""

    def __init__(self) -> None:
        """Start with an empty window."""
        self._state = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL
        )

    def deflate(self, message: bytes) -> bytes:
        """Compress the next message."""
        compressed = self._state.compress(message)
        flushed = compressed + self._state.flush(zlib.Z_SYNC_FLUSH)
        return flushed.removesuffix(_FLUSH_END)


class Inflater:
    """Decompress the messages received on one connection."""

    def __init__(self, max_bytes: int) -> None:
        """Refuse messages that inflate to more than `max_bytes`."""
        self._state = zlib.decompressobj(_WINDOW_BITS)
        self._max_bytes = max_bytes

    def inflate(self, deflated: bytes) -> bytes | Failure:
        """Decompress the next message (malformed)."""
        try:
            message = self._state.decompress(
                deflated + _FLUSH_END, self._max_bytes
            )
        except zlib.error:
            return _MALFORMED
        return _TOO_LARGE if self._state.unconsumed_tail else message
