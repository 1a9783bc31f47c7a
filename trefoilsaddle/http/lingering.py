"""Deliver the last answer of a connection before the connection is closed.

Bytes that arrive at a closed socket are answered with a reset, and the kernel
then drops what it has not delivered. So the connection is only closed for
writing at first, and what arrives is discarded until the caller has closed it
too. A caller may read slowly: while the kernel still holds bytes of the answer,
the connection stays open for as long as the caller wants them.
"""

from contextlib import suppress
from dataclasses import dataclass

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http import sockets

# Time for which a caller that has the whole answer may close the connection.
_MIN_TIME = Seconds(1)
# The same after a refusal: many callers read it only once they have sent the
# whole body.
_REFUSED_MIN_TIME = Seconds(3)
# Limit on the time for which an answer stays undelivered.
_MAX_TIME = Seconds(10)
_CHECK_INTERVAL = Seconds(0.05)


@dataclass(slots=True)
class Lingering:
    """Hold a connection whose last answer has been written."""

    stream: trio.SocketStream
    # Least time, and limit on it while bytes are undelivered, by the loop's
    # clock.
    least: float
    limit: float
    # Bytes that arrived behind the last answer.
    discarded: int = 0
    # Bytes that were not delivered when the connection was closed; None if the
    # system does not tell.
    undelivered: int | None = 0

    async def wait_until_closed(self) -> None:
        """Discard what arrives until the caller has closed or is given up."""
        with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
            await self.stream.send_eof()
            until = self.least
            while await self._discard_until(until):
                self.undelivered = sockets.count_undelivered(self.stream)
                now = trio.current_time()
                if self.undelivered == 0 or now >= self.limit:
                    return
                until = now + _CHECK_INTERVAL
        self.undelivered = 0

    async def _discard_until(self, until: float) -> bool:
        """Discard what arrives; return False once the caller has closed."""
        with trio.move_on_at(until):
            received = await sockets.discard(self.stream)
            while received:
                self.discarded += received
                received = await sockets.discard(self.stream)
            return False
        return True


def build_lingering(
    stream: trio.SocketStream, wanted_until: float | None
) -> Lingering:
    """Hold a connection until its answer is delivered or not wanted.

    Without a time until which it is wanted the answer is a refusal, whose
    caller may still be sending its request.
    """
    now = trio.current_time()
    if wanted_until is None:
        least = now + _REFUSED_MIN_TIME
        return Lingering(stream, least, least)
    limit = min(wanted_until, now + _MAX_TIME)
    return Lingering(stream, now + _MIN_TIME, limit)
