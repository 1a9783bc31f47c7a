"""Limit retries to a service so that the fleet stays within its budget.

In any window, all gateways together may make `ratio` x requests + `slack`
retries. No call is made to share this limit: each gateway uses `ratio` of its
own requests and an equal share of the slack. A gateway that has just started
has not seen the requests that its predecessor counted, so it begins with its
share of the slack only.
"""

from collections import deque
from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.options import RetryBudget

# Fraction of the limit that is used; the rest covers restarted gateways and
# windows that begin between two requests.
_USED_FRACTION = 0.7


@dataclass(slots=True)
class ServiceBudget:
    """Count the requests and the retries of a service."""

    rules: RetryBudget
    requests: deque[Seconds] = field(default_factory=deque)
    retries: deque[Seconds] = field(default_factory=deque)

    def count_request(self, now: Seconds) -> None:
        """Count a new request to the service."""
        self.requests.append(now)
        _remove_before(self.requests, now - self.rules.window)

    def spend_retry(self, now: Seconds, gateways: int) -> bool:
        """Spend one retry of the budget; return whether it had one left."""
        since = now - self.rules.window
        _remove_before(self.requests, since)
        _remove_before(self.retries, since)
        earned = self.rules.ratio * len(self.requests)
        shared = self.rules.slack / max(gateways, 1)
        if len(self.retries) + 1 > (earned + shared) * _USED_FRACTION:
            return False
        self.retries.append(now)
        return True


def _remove_before(moments: deque[Seconds], since: float) -> None:
    while moments and moments[0] < since:
        moments.popleft()
