"""Hold how far an exchange came, and when."""

from dataclasses import dataclass, field

import trio

from trefoilsaddle.core.units import Seconds


@dataclass(slots=True)
class Progress:
    """Hold the times of an exchange since its start; None for not reached."""

    started_at: float = field(default_factory=trio.current_time)
    # A connection is there, new or kept.
    connected: Seconds | None = None
    # The last byte of the request was taken by the network.
    written: Seconds | None = None

    def record_connected(self) -> None:
        """Note that a connection is there."""
        self.connected = self.read()

    def record_written(self) -> None:
        """Note that the whole request was written."""
        self.written = self.read()

    def read(self) -> Seconds:
        """Return the time since the start."""
        return Seconds(trio.current_time() - self.started_at)
