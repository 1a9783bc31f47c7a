"""Bound the size of answers, and close connections with surplus bytes.

A server may send more bytes than it announced. On a kept connection, these
would be taken for the answer to the next request.
"""

from collections.abc import Iterable
from typing import Any

from httpcore import (
    SOCKET_OPTION,
    AsyncNetworkBackend,
    AsyncNetworkStream,
    RemoteProtocolError,
    Response,
    TrioBackend,
)

# Largest answer that is read, in bytes on the wire. Answer bodies that are
# passed on to callers have the same limit.
MAX_ANSWER = 16_777_216
# Most bytes that may arrive before the headers of an answer are complete:
# httpcore accepts 100 KB of headers, and one read returns up to 64 KB.
_MAX_HEAD = 196_608

_HEAD_END = b'\r\n\r\n'
_READABLE = 'is_readable'


class CountingStream(AsyncNetworkStream):
    """Stream that counts and bounds the bytes received for each request."""

    def __init__(self, stream: AsyncNetworkStream) -> None:
        """Wrap a connected stream, on which nothing was received yet."""
        self._stream = stream
        self._head = b''
        self._received = 0
        self._limit = _MAX_HEAD
        self._unusable = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Receive some bytes (RemoteProtocolError above the limit)."""
        chunk = await self._stream.read(max_bytes, timeout)
        if self._received + len(chunk) > self._limit:
            raise RemoteProtocolError('the answer is too large')
        if _HEAD_END not in self._head:
            self._head += chunk
        self._received += len(chunk)
        return chunk

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes; the first write after an answer resets the count."""
        if self._received:
            self._head = b''
            self._received = 0
            self._limit = _MAX_HEAD
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    def get_extra_info(self, name: str) -> Any:
        """Return socket details; an unusable connection reads as readable.

        httpcore closes an idle connection that has become readable.
        """
        if name == _READABLE and self._unusable:
            return True
        return self._stream.get_extra_info(name)

    def begin_body(self) -> None:
        """Raise the limit from the headers to a complete answer."""
        self._limit = MAX_ANSWER

    def end_answer(self, body_length: int | None) -> None:
        """Mark the connection unusable unless the answer ended exactly.

        The length is None for a chunked answer, whose end is not known here,
        so its connection is not used again.
        """
        head_length = self._head.find(_HEAD_END) + len(_HEAD_END)
        if body_length is None or self._received != head_length + body_length:
            self._unusable = True


class CountingBackend(AsyncNetworkBackend):
    """Network backend for httpcore whose streams are CountingStreams."""

    def __init__(self) -> None:
        """Use the trio backend for the connections."""
        self._backend = TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[SOCKET_OPTION] | None = None,
    ) -> AsyncNetworkStream:
        """Connect to a server and wrap the stream."""
        stream = await self._backend.connect_tcp(
            host,
            port,
            timeout,
            local_address,
            socket_options,
        )
        return CountingStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Sleep, as the interface of httpcore requires."""
        await self._backend.sleep(seconds)


async def read_body(response: Response, stream: CountingStream) -> bytes:
    """Read the body of an answer (RemoteProtocolError above the limit)."""
    stream.begin_body()
    return b''.join([chunk async for chunk in response.aiter_stream()])
