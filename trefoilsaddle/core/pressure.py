"""Refuse at the entry process what a server is known to be too late for."""

from dataclasses import dataclass, field
from random import Random

from trefoilsaddle.core.calls import Pressure
from trefoilsaddle.core.units import Rank, Seconds, ServerId

# Fraction of hopeless requests forwarded anyway, to bring fresh reports.
_PROBE_FRACTION = 0.02
# Waits shorter than this are never a reason to refuse at the edge.
_SHORTEST_WAIT = 0.005


@dataclass(frozen=True, slots=True)
class PressureReport:
    """Pair a dispatcher's report with the time of its arrival."""

    waits: tuple[Seconds, ...]
    received: Seconds


@dataclass(slots=True)
class EdgePressure:
    """Hold the newest report of each server."""

    reports: dict[ServerId, PressureReport] = field(default_factory=dict)

    def learn(self, pressure: Pressure, now: Seconds) -> None:
        """Keep a report that came with an answer."""
        self.reports[pressure.server] = PressureReport(pressure.waits, now)

    def estimate_wait(
        self,
        server: ServerId,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Return the wait reported, less the time that has passed since.

        A queue that nothing is added to shortens by a second a second, so
        that a report refuses nothing for longer than the wait it told of.
        """
        report = self.reports.get(server)
        if report is None or rank >= len(report.waits):
            return Seconds(0)
        passed = now - report.received
        return Seconds(max(report.waits[rank] - passed, 0))


def excess_wait(
    wait: Seconds,
    remaining: Seconds,
    random: Random,
) -> Seconds:
    """Return by how much a wait misses the deadline; zero forwards it."""
    if wait < _SHORTEST_WAIT or wait <= remaining:
        return Seconds(0)
    if random.random() < _PROBE_FRACTION:
        return Seconds(0)
    return Seconds(wait - remaining)
