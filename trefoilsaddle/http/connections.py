"""Limit the open connections of callers, and choose which give way."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum, unique
from typing import Protocol

import trio

from trefoilsaddle.core.units import Seconds

# Descriptors of the settings that are meant for files.
_FILES = 200
# Part of the other descriptors that callers may use.  Each of their requests
# may need a connection to a server, and peers and the store need some as well.
_CALLERS_PART = 0.5
_DELIVERY_CHECK_INTERVAL = Seconds(0.05)


@unique
class Activity(IntEnum):
    """List what a connection may be doing; the least gives way first."""

    # No request, or none that is complete.
    waiting = 0
    # The last answer is written, but may not have been read yet.
    ending = 1
    serving = 2


@dataclass(frozen=True, slots=True, order=True)
class Standing:
    """Describe a connection, ordered by what gives way first."""

    activity: Activity
    # Time since which it has had no complete request.
    since: float


class Displaceable(Protocol):
    """Connection that can give way to another."""

    def find_standing(self) -> Standing:
        """Return what the connection is doing, and since when."""

    def displace(self) -> None:
        """Close the connection in favour of others."""

    def is_delivered(self) -> bool:
        """Return whether the caller has received all that was written."""


def count_caller_connections(descriptors: int) -> int:
    """Return the limit on callers' connections."""
    return max(int((descriptors - _FILES) * _CALLERS_PART), 1)


@dataclass(slots=True)
class OpenConnections:
    """Hold the open connections of callers, and limit their number."""

    limit: int
    opened: dict[Displaceable, None] = field(default_factory=dict)

    def add(self, connection: Displaceable) -> bool:
        """Add a connection; return False if none gives way to it."""
        if len(self.opened) >= self.limit:
            victim = find_victim(self.opened)
            if victim is None:
                return False
            self.opened.pop(victim)
            victim.displace()
        self.opened[connection] = None
        return True

    def remove(self, connection: Displaceable) -> None:
        """Remove a connection that has ended."""
        self.opened.pop(connection, None)

    async def wait_until_delivered(self) -> None:
        """Wait until no connection holds undelivered bytes."""
        while not all(connection.is_delivered() for connection in self.opened):
            await trio.sleep(_DELIVERY_CHECK_INTERVAL)


def find_victim(opened: Iterable[Displaceable]) -> Displaceable | None:
    """Return the connection that gives way, or None if all serve requests."""
    standings = [(one.find_standing(), one) for one in opened]
    if not standings:
        return None
    first, victim = min(standings, key=lambda pair: pair[0])
    return None if first.activity is Activity.serving else victim
