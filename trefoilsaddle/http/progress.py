"""Record when an exchange reached each of its steps, and what was read."""

from dataclasses import dataclass, field

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http.messages import HttpAnswer


@dataclass(slots=True)
class Progress:
    """Hold the times of the steps since the start, None if not reached."""

    started_at: float = field(default_factory=trio.current_time)
    # When a connection was available, new or pooled.
    connected: Seconds | None = None
    # When the last byte of the request was handed to the operating system.
    written: Seconds | None = None
    # Head of the answer, without a body; the answer itself may be cut short.
    head: HttpAnswer | None = None

    def record_connected(self) -> None:
        """Record that a connection is available."""
        self.connected = self.read()

    def record_written(self) -> None:
        """Record that the whole request was written."""
        self.written = self.read()

    def read(self) -> Seconds:
        """Return the time elapsed since the start."""
        return Seconds(trio.current_time() - self.started_at)
