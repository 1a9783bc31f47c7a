"""Read the clocks of a process."""

from abc import ABC, abstractmethod
from time import CLOCK_BOOTTIME, clock_gettime, time

from trefoilsaddle.core.units import Moment, Seconds


class Clock(ABC):
    """Provide the current time."""

    @abstractmethod
    def read_monotonic(self) -> Seconds:
        """Return the time of a clock that never goes back."""

    @abstractmethod
    def read_moment(self) -> Moment:
        """Return the monotonic time and the time of day."""


class SystemClock(Clock):
    """Read the clocks of the operating system.

    The boot-time clock advances while the machine is suspended, unlike the
    ordinary monotonic clock; a lease has to expire in that time, too.
    """

    def read_monotonic(self) -> Seconds:
        """Return the seconds since boot, including time suspended."""
        return Seconds(clock_gettime(CLOCK_BOOTTIME))

    def read_moment(self) -> Moment:
        """Return the time since boot and the time of day."""
        return Moment(self.read_monotonic(), Seconds(time()))
