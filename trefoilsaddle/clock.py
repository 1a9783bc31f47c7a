"""Read the clocks of a process."""

from abc import ABC, abstractmethod
from time import CLOCK_BOOTTIME, clock_gettime, time

from trefoilsaddle.core.units import Moment, Seconds


class Clock(ABC):
    """Give the present moment."""

    @abstractmethod
    def read_monotonic(self) -> Seconds:
        """Return the time that is never set back."""

    @abstractmethod
    def read_moment(self) -> Moment:
        """Return the time on both clocks."""


class SystemClock(Clock):
    """Read the clocks of the machine.

    The boot-time clock goes on while the machine is suspended, which the
    ordinary monotonic clock does not: a lease has to lapse in that time.
    """

    def read_monotonic(self) -> Seconds:
        """Return the seconds since the machine was booted."""
        return Seconds(clock_gettime(CLOCK_BOOTTIME))

    def read_moment(self) -> Moment:
        """Return the time since boot and the time of day."""
        return Moment(self.read_monotonic(), Seconds(time()))
