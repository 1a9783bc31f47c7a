"""Measure and log how late the event loop runs its timers."""

import time
from collections.abc import Callable
from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import Component, WriteDecision
from trefoilsaddle.gateway.events import TimerKind
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gatewaymetrics import GatewayMetrics

# Lateness from which a line is logged: a round of the controller's checks is
# missed, and nearly half of the timeout of a grant call has passed.
_REPORTED_LAG = Seconds(0.1)
# Minimum interval between two lines; an operator reads no faster.
_LINE_INTERVAL = Seconds(1)
_DIGITS = 3


@dataclass(slots=True)
class LoopLag:
    """Count late timers and log them at most once a second."""

    metrics: GatewayMetrics
    write: Callable[[WriteDecision], None]
    # Returns the processor time used by this process, in seconds.
    read_processor: Callable[[], float] = time.process_time
    _late_count: int = 0
    _max_lateness: Seconds = Seconds(0)
    _latest_kind: TimerKind | None = None
    _next_line: float = 0
    # Time and processor time at the last report.
    _last_sample: tuple[float, float] = field(default=(0, 0))

    def record_timer(self, kind: TimerKind, due: float, now: float) -> None:
        """Record how late a timer runs; log a line if one is due."""
        late = Seconds(now - due)
        self.metrics.observe_lag(late)
        if late >= _REPORTED_LAG:
            self._late_count += 1
            if late >= self._max_lateness:
                self._max_lateness = late
                self._latest_kind = kind
        if now >= self._next_line:
            self._report(now)

    def _report(self, now: float) -> None:
        self._next_line = now + _LINE_INTERVAL
        sampled, used = self._last_sample
        self._last_sample = (now, self.read_processor())
        if self._latest_kind is None:
            return
        busy = (self._last_sample[1] - used) / max(
            now - sampled, _LINE_INTERVAL
        )
        line = log_event(
            Component.lifecycle,
            'event loop is late',
            late=round(self._max_lateness, _DIGITS),
            timer=self._latest_kind.value,
            timers=self._late_count,
            processor_share=round(busy, _DIGITS),
        )
        self._late_count = 0
        self._max_lateness = Seconds(0)
        self._latest_kind = None
        self.write(line)
