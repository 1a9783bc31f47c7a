"""Guard the moment at which a request leaves for a backend server."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from httpcore import LocalProtocolError

from trefoilsaddle.core.units import Seconds

Clock = Callable[[], Seconds]

_HEAD_FAILED = 'http11.send_request_headers.failed'
# Steps of httpcore directly after which bytes go to the socket.
_SENDING_STEPS = frozenset(
    (
        'http11.send_request_headers.started',
        'http11.send_request_body.started',
    )
)


class SendTooLateError(Exception):
    """Stop httpcore before it sends; its hook can do so only by raising."""


@dataclass(slots=True)
class SendGuard:
    """Refuse to send after a time and note whether bytes may have left."""

    read_clock: Clock
    # Monotonic time after which nothing is sent any more.
    send_before: Seconds
    begun: bool = False

    async def trace(self, step: str, details: dict[str, Any]) -> None:
        """Check the clock before each step that sends.

        No other task runs between this check and the call to the socket. A
        process that is frozen in between the head and the body of a request
        finds out here, for example after `kill -STOP` and `kill -CONT`.
        """
        if step == _HEAD_FAILED:
            self._note_failure(details['exception'])
        if step not in _SENDING_STEPS:
            return
        if self.read_clock() >= self.send_before:
            raise SendTooLateError
        self.begun = True

    def _note_failure(self, failure: BaseException) -> None:
        if isinstance(failure, LocalProtocolError):
            # The request cannot be written at all, so that no byte left.
            self.begun = False
