"""Read the bodies of callers' requests, within limits."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any

from trio import current_time, move_on_after

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.programs.headers import CallerHeader
from trefoilsaddle.results import ResultCode

# Types of the arguments of an application in the ASGI specification.
Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_REQUEST = 'http.request'
# Limit that fits into a message between processes.
MAX_BODY_BYTES = 16_777_216
# Limits on reading the rest of a refused body.
_MAX_DISCARDED_BYTES = 1_048_576
_DISCARD_TIMEOUT = Seconds(2)

_TOO_LARGE = Failure(ResultCode.body_too_large, 'above the limit')
_TOO_SLOW = Failure(
    ResultCode.deadline_unreachable, 'the body arrived too late'
)


@dataclass(frozen=True, slots=True)
class Body:
    """Hold a whole body and the time left at its arrival."""

    whole: bytes = field(repr=False)
    remaining: Seconds


class Upload:
    """Read one body up to a limit in bytes."""

    def __init__(self, receive: Receive, limit: int) -> None:
        """Read from an ASGI connection."""
        self._receive = receive
        self._limit = min(limit, MAX_BODY_BYTES)
        self._chunks: list[bytes] = []
        self._size = 0

    async def read(
        self,
        scope: Scope,
        remaining: Seconds,
    ) -> Body | Failure | None:
        """Read a whole body; return None if the caller disconnects.

        Fails with `body_too_large`, and with `deadline_unreachable` if the
        body does not arrive within the remaining time.
        """
        if _read_length(scope) > self._limit:
            return _TOO_LARGE
        due = current_time() + remaining
        whole: bytes | Failure | None = _TOO_SLOW
        with move_on_after(remaining):
            whole = await self._read_chunks()
        if isinstance(whole, bytes):
            return Body(whole, Seconds(due - current_time()))
        return whole

    async def _read_chunks(self) -> bytes | Failure | None:
        more = True
        while more:
            message = await self._receive()
            if message['type'] != _REQUEST:
                return None
            chunk = message.get('body', b'')
            self._size += len(chunk)
            if self._size > self._limit:
                return _TOO_LARGE
            self._chunks.append(chunk)
            more = message.get('more_body', False)
        return b''.join(self._chunks)


async def discard_body(receive: Receive) -> None:
    """Read and discard the rest of a body, up to limits."""
    size = 0
    more = True
    with move_on_after(_DISCARD_TIMEOUT):
        while more and size < _MAX_DISCARDED_BYTES:
            message = await receive()
            size += len(message.get('body', b''))
            more = message.get('more_body', False)


def _read_length(scope: Scope) -> int:
    for name, text in scope['headers']:
        if name == CallerHeader.content_length:
            # The HTTP library refuses a length that is not a number.
            return int(text)
    return 0
