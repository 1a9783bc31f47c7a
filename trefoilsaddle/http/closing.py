"""Decide which answer is the last one of a connection.

The decision is made once, as the answer is about to be written, and ends the
reading in the same step: no request is read behind the last answer. While a
further request has arrived, or has begun to arrive, an answer is not the last:
a service that closes its connections answers all that is sent ahead meanwhile,
up to a limit, so that a caller which never pauses does not hold it.
"""

from dataclasses import dataclass, field

import trio

from trefoilsaddle.http import sockets
from trefoilsaddle.http.pipeline import CallerService, Pipeline
from trefoilsaddle.http.requests import ReceivedRequest, RequestReader

# Limit on the requests that a connection reads once the service closes its
# connections.
_MAX_LATE_REQUESTS = 16


@dataclass(slots=True)
class ConnectionClosing:
    """Hold whether a connection reads on, and whether it is closed."""

    service: CallerService
    reader: RequestReader
    pipeline: Pipeline
    # True once the last answer was chosen.
    decided: bool = False
    # The requests are read in it.
    reading: trio.CancelScope = field(default_factory=trio.CancelScope)
    # Requests read since the service closes its connections.
    late: int = 0

    def count_request(self) -> None:
        """Count a request that was read."""
        if self.service.is_closing():
            self.late += 1

    def may_read(self) -> bool:
        """Return whether another request may be read now."""
        return self.late < _MAX_LATE_REQUESTS and not self.pipeline.is_full()

    def decide(self, received: ReceivedRequest) -> bool:
        """Decide whether the answer to the first request is the last one."""
        self.decided = self.decided or self._is_last(received)
        if self.decided:
            self.reading.cancel()
        return self.decided

    def _is_last(self, received: ReceivedRequest) -> bool:
        if received.is_last:
            return True
        if not self.service.is_closing() or self.pipeline.has_others():
            return False
        if self.late >= _MAX_LATE_REQUESTS:
            return True
        # Bytes that the reader has not been given yet count as well.
        return not self.reader.has_more() and sockets.is_idle(
            self.reader.stream
        )
