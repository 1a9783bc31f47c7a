"""Estimate service times and loads from a dispatcher's own measurements."""

from dataclasses import dataclass
from math import exp

from trefoilsaddle.core.units import Seconds

# Assumed of a rank until the first of its requests has ended.
_FIRST_MEAN = 0.01
# Weight of the newest measurement.
_GAIN = 0.1
# Largest measurement taken in, in mean times.
_MAX_FACTOR = 4
# Time over which the load of a rank is averaged.
_LOAD_PERIOD = 1.0


@dataclass(slots=True)
class ServiceEstimate:
    """Average the service times of one rank at one server."""

    mean: float = _FIRST_MEAN
    deviation: float = _FIRST_MEAN / 2
    samples: int = 0

    def observe(self, duration: Seconds) -> None:
        """Take in how long one request ran."""
        self.samples += 1
        gain = max(_GAIN, 1 / self.samples)
        # One request that a freeze held up must not spoil the estimate.
        error = min(duration, self.mean * _MAX_FACTOR) - self.mean
        self.mean += gain * error
        self.deviation += gain * (abs(error) - self.deviation)


@dataclass(slots=True)
class LoadEstimate:
    """Average the server time that a rank takes, in slots."""

    slots: float = 0
    updated: Seconds = Seconds(0)

    def add(self, work: float, now: Seconds) -> None:
        """Take in the seconds of one request that has been sent."""
        self.slots = self.read(now) + work / _LOAD_PERIOD
        self.updated = now

    def read(self, now: Seconds) -> float:
        """Return the average number of slots taken of late."""
        passed = max(now - self.updated, 0)
        return self.slots * exp(-passed / _LOAD_PERIOD)
