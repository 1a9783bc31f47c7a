"""Tell how late the event loop runs its timers."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import Part, WriteDecision
from trefoilsaddle.gateway.events import TimerKind
from trefoilsaddle.gateway.journal import note
from trefoilsaddle.gatewaymetrics import GatewayMetrics

# Lateness that is worth a line: a round of the controller's review is missed,
# and nearly half of the time for a grant's call has passed.
_REPORTED_LAG = Seconds(0.1)
# Pause between two lines; an operator reads no faster.
_LINE_INTERVAL = Seconds(1)
_DIGITS = 3


@dataclass(slots=True)
class LoopLag:
    """Count late timers, and write about them at most once a second."""

    metrics: GatewayMetrics
    write: Callable[[WriteDecision], None]
    # Reads the processor time that this process has used, in seconds.
    read_processor: Callable[[], float] = time.process_time
    _late: int = 0
    _latest: Seconds = Seconds(0)
    _kind: TimerKind | None = None
    _next_line: float = 0
    # Time and processor time of the last look.
    _last_sample: tuple[float, float] = field(default=(0, 0))

    def record_timer(self, kind: TimerKind, due: float, now: float) -> None:
        """Take a timer that was due at a time and runs now."""
        late = Seconds(now - due)
        self.metrics.observe_lag(late)
        if late >= _REPORTED_LAG:
            self._late += 1
            if late >= self._latest:
                self._latest = late
                self._kind = kind
        if now >= self._next_line:
            self._report(now)

    def _report(self, now: float) -> None:
        self._next_line = now + _LINE_INTERVAL
        sampled, used = self._last_sample
        self._last_sample = (now, self.read_processor())
        if self._kind is None:
            return
        busy = (self._last_sample[1] - used) / max(
            now - sampled, _LINE_INTERVAL
        )
        line = note(
            Part.lifecycle,
            'event loop is late',
            late=round(self._latest, _DIGITS),
            timer=self._kind.value,
            timers=self._late,
            processor_share=round(busy, _DIGITS),
        )
        self._late = 0
        self._latest = Seconds(0)
        self._kind = None
        self.write(line)
