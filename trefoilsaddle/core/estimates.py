"""Estimate service times and loads from a dispatcher's measurements."""

from dataclasses import dataclass
from math import exp

from trefoilsaddle.core.units import Seconds

# Service time in seconds that is assumed before the first measurement.
_FIRST_MEAN = 0.01
# Weight of a new measurement once there are enough of them.
_GAIN = 0.1
# Longer measurements are capped at this many times the mean.
_MAX_FACTOR = 4
# Time constant of a rank's average load, in seconds.
_LOAD_PERIOD = 1.0


@dataclass(slots=True)
class ServiceEstimate:
    """Average the service times of one rank at one server, in seconds."""

    mean: float = _FIRST_MEAN
    deviation: float = _FIRST_MEAN / 2
    samples: int = 0

    def observe(self, duration: Seconds) -> None:
        """Add the service time of one request to the averages."""
        self.samples += 1
        gain = max(_GAIN, 1 / self.samples)
        # One request delayed by a freeze must not distort the estimate.
        error = min(duration, self.mean * _MAX_FACTOR) - self.mean
        self.mean += gain * error
        self.deviation += gain * (abs(error) - self.deviation)


@dataclass(slots=True)
class LoadEstimate:
    """Average the server time that a rank uses, in slots."""

    slots: float = 0
    updated: Seconds = Seconds(0)

    def add(self, work: float, now: Seconds) -> None:
        """Add the expected service time of one request that was sent."""
        self.slots = self.read(now) + work / _LOAD_PERIOD
        self.updated = now

    def read(self, now: Seconds) -> float:
        """Return the current average of slots used."""
        passed = max(now - self.updated, 0)
        return self.slots * exp(-passed / _LOAD_PERIOD)
