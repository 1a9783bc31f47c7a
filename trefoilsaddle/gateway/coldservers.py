"""Save up the requests that a gateway may send to cold servers."""

from dataclasses import dataclass, field
from math import inf

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.servers import ServerIncarnation

# Requests that may be saved up for one server.
MAX_SAVED = 1


@dataclass(slots=True)
class _Bucket:
    saved: float
    saved_at: Seconds


@dataclass(slots=True)
class ColdServers:
    """Hold a token bucket for each server that was cold lately.

    A bucket starts empty: the requests of the time before the server was known
    to be cold count as well.
    """

    buckets: dict[ServerIncarnation, _Bucket] = field(default_factory=dict)

    def find_wait(
        self, incarnation: ServerIncarnation, rate: float, now: Seconds
    ) -> float:
        """Return the time until a request may be sent at a rate per second."""
        bucket = self.buckets.get(incarnation)
        if bucket is None:
            bucket = _Bucket(0, now)
            self.buckets[incarnation] = bucket
        earned = rate * (now - bucket.saved_at)
        bucket.saved = min(bucket.saved + earned, MAX_SAVED)
        bucket.saved_at = now
        if bucket.saved >= 1:
            return 0
        return (1 - bucket.saved) / rate if rate else inf

    def spend(self, incarnation: ServerIncarnation) -> None:
        """Record that a request is sent."""
        bucket = self.buckets.get(incarnation)
        if bucket is not None:
            bucket.saved -= 1

    def remove_gone(self, known: set[ServerIncarnation]) -> None:
        """Remove the buckets of servers that are gone."""
        for incarnation in set(self.buckets).difference(known):
            self.buckets.pop(incarnation)
