"""Refuse requests at the entry process by the waits reported for a server."""

from dataclasses import dataclass, field
from random import Random

from trefoilsaddle.core.answers import refuse
from trefoilsaddle.core.calls import Answer, Pressure, Request
from trefoilsaddle.core.units import Rank, Seconds, ServerId
from trefoilsaddle.results import ResultCode

# Fraction of requests forwarded although they would miss their deadline, so
# that their answers bring new reports.
_PROBE_FRACTION = 0.02
# Shorter waits, in seconds, are never refused at the entry process.
_MIN_WAIT = 0.005


@dataclass(frozen=True, slots=True)
class PressureReport:
    """Pair a dispatcher's pressure report with its arrival time."""

    pressure: Pressure
    received: Seconds


@dataclass(slots=True)
class PressureReports:
    """Hold the newest pressure report on each server."""

    reports: dict[ServerId, PressureReport] = field(default_factory=dict)

    def record(self, pressure: Pressure, now: Seconds) -> None:
        """Store a report that arrived with an answer."""
        self.reports[pressure.server] = PressureReport(pressure, now)

    def estimate_wait(
        self,
        server: ServerId,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Return the reported wait minus the time passed since the report.

        The wait of a queue without new requests decreases by one second per
        second, so a report causes refusals for no longer than its wait.
        """
        report = self.reports.get(server)
        if report is None:
            return Seconds(0)
        return _time_left(report.pressure.waits, rank, now - report.received)

    def is_crowding(self, server: ServerId, request: Request) -> bool:
        """Return whether a request's member has the most requests waiting."""
        report = self.reports.get(server)
        if report is None or request.rank >= len(report.pressure.crowding):
            return False
        return report.pressure.crowding[request.rank] == request.member

    def estimate_hold(
        self,
        server: ServerId,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Return how long the rank's queue is expected to stay full."""
        report = self.reports.get(server)
        if report is None:
            return Seconds(0)
        return _time_left(report.pressure.holds, rank, now - report.received)


def _time_left(
    times: tuple[Seconds, ...],
    rank: Rank,
    passed: float,
) -> Seconds:
    if rank >= len(times):
        return Seconds(0)
    return Seconds(max(times[rank] - passed, 0))


def excess_wait(
    wait: Seconds,
    remaining: Seconds,
    random: Random,
) -> Seconds:
    """Return by how much a wait exceeds the remaining time, or zero.

    Zero, which forwards the request, is also returned for short waits and for
    a random sample.
    """
    if wait < _MIN_WAIT or wait <= remaining:
        return Seconds(0)
    if random.random() < _PROBE_FRACTION:
        return Seconds(0)
    return Seconds(wait - remaining)


def check_pressure(
    reports: PressureReports,
    server: ServerId,
    request: Request,
    now: Seconds,
    random: Random,
) -> Answer | None:
    """Return a refusal if a request would be late or meet a full queue.

    Members take turns in the server's queue, so the reported wait holds only
    for the member with the most requests waiting.
    """
    if not reports.is_crowding(server, request):
        return None
    wait = reports.estimate_wait(server, request.rank, now)
    excess = excess_wait(wait, request.remaining, random)
    if excess > 0:
        return refuse(ResultCode.deadline_unreachable, excess)
    hold = reports.estimate_hold(server, request.rank, now)
    if excess_wait(hold, Seconds(0), random) > 0:
        return refuse(ResultCode.queue_full, hold)
    return None
