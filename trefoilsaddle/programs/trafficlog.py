"""Log and export the bytes that a gateway exchanges, by purpose."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import Component, WriteDecision
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gatewaymetrics import GatewayMetrics
from trefoilsaddle.traffic import ByteCount

# Interval between two looks at the counts.
_INTERVAL = Seconds(1)
# Bytes in one interval, of which a line is logged at once: a tenth of what a
# link of 10 Mbit/s carries in it.
_BURST = 131_072
# Intervals after which a line is logged in any case.
_MAX_QUIET_INTERVALS = 10


@dataclass(slots=True)
class TrafficLog:
    """Log the bytes since the last line, at once after a burst."""

    counts: Mapping[str, ByteCount]
    metrics: GatewayMetrics
    write: Callable[[WriteDecision], None]
    _logged: dict[str, ByteCount] = field(default_factory=dict)
    _quiet_intervals: int = 0

    async def run(self) -> None:
        """Look at the counts until cancelled."""
        while True:
            await trio.sleep(_INTERVAL)
            self.review()

    def review(self) -> None:
        """Update the metrics, and log a line if one is due."""
        for purpose, count in self.counts.items():
            self.metrics.show_state(f'{purpose}_bytes_sent', count.sent)
            self.metrics.show_state(f'{purpose}_bytes_received', count.received)
        self._quiet_intervals += 1
        since = {
            name: counted.subtract(self._logged.get(name, ByteCount()))
            for name, counted in self.counts.items()
        }
        total = sum(part.sent + part.received for part in since.values())
        if total < _BURST and self._quiet_intervals < _MAX_QUIET_INTERVALS:
            return
        self._log(since)

    def _log(self, since: Mapping[str, ByteCount]) -> None:
        figures: dict[str, int] = {'seconds': self._quiet_intervals}
        for purpose, count in since.items():
            figures[f'{purpose}_out'] = count.sent
            figures[f'{purpose}_in'] = count.received
            figures[f'{purpose}_messages'] = count.messages
        self.write(log_event(Component.lifecycle, 'bytes exchanged', **figures))
        self._quiet_intervals = 0
        self._logged = {
            name: counted.copy() for name, counted in self.counts.items()
        }
