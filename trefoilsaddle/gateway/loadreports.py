"""Use the load that servers report in their answers.

A report is exact when it is sent and tells nothing about the requests that
follow it.  It replaces the sum of the gateways' reports while it is newer than
that; the requests of this gateway since then are added to it.
"""

from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.statements import LoadReport

# Age up to which a report is used.  A gateway's share of the requests to one
# server is small, so that others send several in a longer time.
_MAX_AGE = Seconds(0.3)
# The sum of the gateways' reports is that old when it arrives: half a report
# interval, and the time until the next update.
_SUM_DELAY = Seconds(0.25)
# Neighbours on a server's machine slow it down for this time.
_SLOW_TIME = Seconds(0.4)


@dataclass(frozen=True, slots=True)
class HeardLoad:
    """Hold a server's last report, and when it arrived."""

    report: LoadReport
    at: Seconds
    # Requests of this gateway at the server then.
    own: int

    def is_newer(self, sum_arrived_at: Seconds, now: Seconds) -> bool:
        """Return whether the report is newer than the sum that was told."""
        if now - self.at > _MAX_AGE:
            return False
        return self.at > sum_arrived_at - _SUM_DELAY

    def count_others(self) -> int:
        """Return the requests of other gateways at the server."""
        total = self.report.running + self.report.waiting
        return max(total - self.own, 0)

    def find_slowness(self, now: Seconds) -> float:
        """Return by what factor work takes longer at the server now."""
        if now - self.at > _SLOW_TIME:
            return 1
        return max(self.report.slowness, 1)
