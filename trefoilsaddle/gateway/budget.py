"""Bound repeats to a service so that the fleet stays within its budget.

All gateways share the bound `ratio` x requests + `slack` in any window, and
no call is made to share it: each takes `ratio` of its own requests and an
equal part of the slack.  A gateway that has just started has not seen the
requests that the lost one counted, so it begins with its part of the slack
only.
"""

from collections import deque
from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.options import RetryBudget

# Part of the bound that is used; the rest covers gateways that started anew
# and windows that begin between two requests.
_USED_FRACTION = 0.7


@dataclass(slots=True)
class ServiceBudget:
    """Count the requests and the repeats for a service."""

    rules: RetryBudget
    requests: deque[Seconds] = field(default_factory=deque)
    retries: deque[Seconds] = field(default_factory=deque)

    def count_request(self, now: Seconds) -> None:
        """Count a request for the service."""
        self.requests.append(now)
        _remove_before(self.requests, now - self.rules.window)

    def spend_retry(self, now: Seconds, gateways: int) -> bool:
        """Take one repeat out of the budget, if there is room."""
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
