"""Refuse at the entry process what a server is known to be too late for."""

from dataclasses import dataclass, field
from random import Random

from trefoilsaddle.core.answers import refuse
from trefoilsaddle.core.calls import Answer, Pressure, Request
from trefoilsaddle.core.units import Rank, Seconds, ServerId
from trefoilsaddle.results import ResultCode

# Fraction of hopeless requests forwarded anyway, to bring fresh reports.
_PROBE_FRACTION = 0.02
# Waits shorter than this are never a reason to refuse at the edge.
_MIN_WAIT = 0.005


@dataclass(frozen=True, slots=True)
class PressureReport:
    """Pair a dispatcher's report with the time of its arrival."""

    pressure: Pressure
    received: Seconds


@dataclass(slots=True)
class PressureReports:
    """Hold the newest report of each server."""

    reports: dict[ServerId, PressureReport] = field(default_factory=dict)

    def record(self, pressure: Pressure, now: Seconds) -> None:
        """Keep a report that came with an answer."""
        self.reports[pressure.server] = PressureReport(pressure, now)

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
        if report is None:
            return Seconds(0)
        return _time_left(report.pressure.waits, rank, now - report.received)

    def is_crowding(self, server: ServerId, request: Request) -> bool:
        """Say whether a request's member is the one with most waiting."""
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
        """Return how long the rank's queue will still be too full."""
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
    """Return by how much a wait misses the deadline; zero forwards it."""
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
    """Return a refusal for what the server is known to be too late for.

    Members take turns there, so that only the one that crowds its rank waits
    as long as was told.
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
