"""Split a byte stream into frames: four bytes of length, then the payload."""

from typing import Final

from trio import BrokenResourceError, ClosedResourceError
from trio.abc import Stream

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.results import ResultCode

_LENGTH_BYTES = 4
_BYTE_ORDER: Final = 'little'
_CHUNK_BYTES = 65_536

TOO_LARGE = Failure(ResultCode.malformed, 'a frame is too large')
STREAM_ENDED = Failure(ResultCode.peer_unreachable, 'the connection ended')
CUT_SHORT = Failure(ResultCode.malformed, 'the connection ended in a frame')


def pack_frame(payload: bytes) -> bytes:
    """Put the length in front of a payload."""
    return len(payload).to_bytes(_LENGTH_BYTES, _BYTE_ORDER) + payload


class FrameSplitter:
    """Buffer received bytes and return whole frames."""

    def __init__(self, max_payload: int) -> None:
        """Refuse frames with a payload of more than `max_payload` bytes."""
        self.max_payload = max_payload
        self._buffer = bytearray()
        self._start = 0

    def push(self, received: bytes | bytearray) -> None:
        """Add bytes received from the stream."""
        rest = self._buffer[self._start :]
        self._start = 0
        self._buffer = rest + received

    def pop(self) -> bytes | Failure | None:
        """Return the next payload, or None if it is not complete.

        Fails with `malformed` when a length is above the limit; nothing
        more can be read from such a stream.
        """
        body = self._start + _LENGTH_BYTES
        if len(self._buffer) < body:
            return None
        length = int.from_bytes(self._buffer[self._start : body], _BYTE_ORDER)
        if length > self.max_payload:
            return TOO_LARGE
        end = body + length
        if len(self._buffer) < end:
            return None
        self._start = end
        return bytes(self._buffer[body:end])

    def has_partial_frame(self) -> bool:
        """Return whether the buffer holds the start of a frame."""
        return len(self._buffer) > self._start


class FrameStream:
    """Receive and send frames on a stream."""

    def __init__(self, stream: Stream, max_payload: int) -> None:
        """Refuse received payloads of more than `max_payload` bytes."""
        self._stream = stream
        self._splitter = FrameSplitter(max_payload)

    def allow_payload(self, max_payload: int) -> None:
        """Set the payload limit of the frames that follow."""
        self._splitter.max_payload = max_payload

    async def receive(self) -> bytes | Failure:
        """Receive the next payload.

        Fails with `peer_unreachable` at the end of the stream and with
        `malformed` on a frame that is too large or cut short.
        """
        payload = self._splitter.pop()
        while payload is None:
            failure = await self._fill_splitter()
            payload = failure or self._splitter.pop()
        return payload

    async def send(self, frames: bytes) -> Failure | None:
        """Send packed frames in one piece."""
        try:
            await self._stream.send_all(frames)
        except (BrokenResourceError, ClosedResourceError):
            return STREAM_ENDED
        return None

    async def _fill_splitter(self) -> Failure | None:
        try:
            received = await self._stream.receive_some(_CHUNK_BYTES)
        except (BrokenResourceError, ClosedResourceError):
            return STREAM_ENDED
        self._splitter.push(received)
        if received:
            return None
        return CUT_SHORT if self._splitter.has_partial_frame() else STREAM_ENDED
