"""Limit retries to a service so that the fleet stays within its budget.

In any window, all gateways together may make `ratio` x requests + `slack`
retries.  No call is made to share this limit: each gateway earns `ratio` of its
own requests, and an equal share of the slack for the time in which the
controller counts it.

What a gateway earns lapses after a part of the window.  A gateway that starts
has earned nothing and cannot know what its predecessor spent; as that had not
saved up more either, both together stay within the limit.
"""

from collections import deque
from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.options import RetryBudget

# Part of the window after which an unused right to retry lapses.
_SAVED_FRACTION = 0.4
# Fraction of the limit that is earned.  A window holds what is earned in it and
# what was saved before it, so that this times `1 + _SAVED_FRACTION` is below 1.
_USED_FRACTION = 0.7


@dataclass(frozen=True, slots=True)
class SlackShare:
    """Describe a gateway's share of the slack."""

    # Number of gateways that share it.
    gateways: int
    # Time for which the controller has counted this gateway without a break.
    counted_for: Seconds


@dataclass(slots=True)
class ServiceBudget:
    """Count the requests and the retries of a service."""

    rules: RetryBudget
    requests: deque[Seconds] = field(default_factory=deque)
    retries: deque[Seconds] = field(default_factory=deque)

    def count_request(self, now: Seconds) -> None:
        """Count a new request to the service."""
        self.requests.append(now)
        _remove_before(self.requests, now - self._saving_time())

    def spend_retry(self, now: Seconds, share: SlackShare) -> bool:
        """Spend one retry of the budget; return whether it had one left."""
        saving_time = self._saving_time()
        _remove_before(self.requests, now - saving_time)
        _remove_before(self.retries, now - saving_time)
        counted = min(share.counted_for, saving_time) / self.rules.window
        earned = self.rules.ratio * len(self.requests)
        earned += self.rules.slack * counted / max(share.gateways, 1)
        if len(self.retries) + 1 > earned * _USED_FRACTION:
            return False
        self.retries.append(now)
        return True

    def _saving_time(self) -> Seconds:
        return Seconds(self.rules.window * _SAVED_FRACTION)


def _remove_before(moments: deque[Seconds], since: float) -> None:
    while moments and moments[0] < since:
        moments.popleft()
