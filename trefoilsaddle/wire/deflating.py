"""Compress the messages of one connection, each by what went before it.

Messages between gateways repeat themselves: the same names, ranges and tags,
again and again.  Both ends of a connection keep the last bytes as the
dictionary of the next message, so messages are read in the order in which
they were written, and a new connection begins anew.
"""

import zlib

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.results import ResultCode

# Raw deflate with a window of 8 KiB, several messages: 48 KiB of memory for
# a connection.
_WINDOW_BITS = -13
_MEMORY_LEVEL = 5
_LEVEL = 6
# A sync flush ends with these bytes, which are not sent (RFC 7692, 7.2.1).
_FLUSH_END = b'\x00\x00\xff\xff'

_MALFORMED = Failure(ResultCode.malformed, 'a message cannot be inflated')
_TOO_LARGE = Failure(ResultCode.malformed, 'an inflated message is too large')


class Deflater:
    """Compress the messages that one end writes."""

    def __init__(self) -> None:
        """Begin with an empty window."""
        self._state = zlib.compressobj(
            _LEVEL, zlib.DEFLATED, _WINDOW_BITS, _MEMORY_LEVEL
        )

    def deflate(self, message: bytes) -> bytes:
        """Compress the next message."""
        begun = self._state.compress(message)
        whole = begun + self._state.flush(zlib.Z_SYNC_FLUSH)
        return whole.removesuffix(_FLUSH_END)


class Inflater:
    """Restore the messages that the other end writes."""

    def __init__(self, max_bytes: int) -> None:
        """Refuse messages of more bytes than the largest."""
        self._state = zlib.decompressobj(_WINDOW_BITS)
        self._max_bytes = max_bytes

    def inflate(self, deflated: bytes) -> bytes | Failure:
        """Restore the next message (malformed)."""
        try:
            message = self._state.decompress(
                deflated + _FLUSH_END, self._max_bytes
            )
        except zlib.error:
            return _MALFORMED
        return _TOO_LARGE if self._state.unconsumed_tail else message
