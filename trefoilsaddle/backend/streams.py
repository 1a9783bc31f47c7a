"""Keep answers of backend servers apart on connections that are kept.

A server may send more than it announced. What follows an answer on the same
connection would pass as the answer to the next request.
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

# Largest answer that is read, in bytes as they come; the body that is passed
# on is bounded to the same figure.
LARGEST_ANSWER = 16_777_216
# Bytes that may come before the head of an answer is whole: httpcore takes
# heads of 100 KB, and one read brings 64 KB.
_LARGEST_HEAD = 196_608

_HEAD_END = b'\r\n\r\n'
_READABLE = 'is_readable'


class CountingStream(AsyncNetworkStream):
    """Count the bytes received for one request and its answer."""

    def __init__(self, stream: AsyncNetworkStream) -> None:
        """Wrap a connected stream."""
        self._stream = stream
        self._head = b''
        self._received = 0
        self._bound = _LARGEST_HEAD
        self._spoilt = False

    async def read(self, max_bytes: int, timeout: float | None = None) -> bytes:
        """Receive some bytes (RemoteProtocolError above a bound)."""
        chunk = await self._stream.read(max_bytes, timeout)
        if self._received + len(chunk) > self._bound:
            raise RemoteProtocolError('the answer is too large')
        if _HEAD_END not in self._head:
            self._head += chunk
        self._received += len(chunk)
        return chunk

    async def write(self, buffer: bytes, timeout: float | None = None) -> None:
        """Send bytes."""
        if self._received:
            self._head = b''
            self._received = 0
            self._bound = _LARGEST_HEAD
        await self._stream.write(buffer, timeout)

    async def aclose(self) -> None:
        """Close the stream."""
        await self._stream.aclose()

    def get_extra_info(self, name: str) -> Any:
        """Tell about the socket; httpcore drops an idle one to be read."""
        if name == _READABLE and self._spoilt:
            return True
        return self._stream.get_extra_info(name)

    def begin_body(self) -> None:
        """Let a whole answer follow its head."""
        self._bound = LARGEST_ANSWER

    def end_answer(self, body_length: int | None) -> None:
        """Let the connection be kept only if nothing followed the answer.

        The length is None for an answer in chunks: its end is not known here.
        """
        head_length = self._head.find(_HEAD_END) + len(_HEAD_END)
        if body_length is None or self._received != head_length + body_length:
            self._spoilt = True


class CountingBackend(AsyncNetworkBackend):
    """Connect streams that count."""

    def __init__(self) -> None:
        """Connect on trio."""
        self._backend = TrioBackend()

    async def connect_tcp(
        self,
        host: str,
        port: int,
        timeout: float | None = None,
        local_address: str | None = None,
        socket_options: Iterable[SOCKET_OPTION] | None = None,
    ) -> AsyncNetworkStream:
        """Connect to a server."""
        stream = await self._backend.connect_tcp(
            host,
            port,
            timeout,
            local_address,
            socket_options,
        )
        return CountingStream(stream)

    async def sleep(self, seconds: float) -> None:
        """Wait."""
        await self._backend.sleep(seconds)


async def read_body(response: Response, stream: CountingStream) -> bytes:
    """Read the body of an answer (RemoteProtocolError above a bound)."""
    stream.begin_body()
    return b''.join([chunk async for chunk in response.aiter_stream()])
