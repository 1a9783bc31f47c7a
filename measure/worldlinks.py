"""Simulate the links between regions: one rate and one queue for each.

Everything that crosses from one region to another waits in one queue, first
in, first out.  Links within a region have a delay only.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, unique
from math import ceil, inf

from trefoilsaddle.core.units import RegionName, Seconds

LOCAL_DELAY = Seconds(0.004)
REGION_DELAY = Seconds(0.02)
_PACKET_BYTES = 1_400
_PACKET_OVERHEAD_BYTES = 70

Action = Callable[[], None]
_After = Callable[[float, Action], None]
_Clock = Callable[[], Seconds]


@unique
class Purpose(Enum):
    """List the purposes of what crosses a link."""

    updates = 'updates'
    copies = 'copies'
    store = 'store'
    orders = 'orders'
    requests = 'requests'
    announcements = 'announcements'
    reports = 'reports'
    background = 'background'


@dataclass(frozen=True, slots=True)
class Route:
    """Pair the regions that a link connects."""

    source: RegionName
    target: RegionName

    @property
    def is_local(self) -> bool:
        """Return whether both ends are in the same region."""
        return self.source == self.target

    def reverse(self) -> 'Route':
        """Return the route of the answer."""
        return Route(self.target, self.source)


@dataclass(frozen=True, slots=True)
class Parcel:
    """Describe what crosses a link."""

    purpose: Purpose
    # Counts the bytes; called only for a link between regions.
    measure: Callable[[], int]


@dataclass(slots=True)
class RegionLink:
    """Queue of one link between two regions."""

    # Bytes per second.
    rate: float = inf
    delay: Seconds = REGION_DELAY
    idle_at: Seconds = Seconds(0)
    max_wait: Seconds = Seconds(0)
    sent: Counter[Purpose] = field(default_factory=Counter)

    def queue(self, now: Seconds, purpose: Purpose, size: int) -> Seconds:
        """Queue a number of bytes and return the time until they arrive."""
        waited = Seconds(max(self.idle_at - now, 0))
        self.max_wait = max(self.max_wait, waited)
        self.sent[purpose] += size
        self.idle_at = Seconds(now + waited + size / self.rate)
        return Seconds(self.idle_at - now + self.delay)


@dataclass(slots=True)
class RegionLinks:
    """Deliver what crosses within a region or between two regions."""

    after: _After
    clock: _Clock
    # Bytes per second of each link that is not yet in use.
    rate: float = inf
    by_route: dict[Route, RegionLink] = field(default_factory=dict)

    def find(self, route: Route) -> RegionLink:
        """Return the link between two regions."""
        return self.by_route.setdefault(route, RegionLink(self.rate))

    def carry(self, route: Route, parcel: Parcel, act: Action) -> None:
        """Schedule the delivery of a parcel."""
        if route.is_local:
            self.after(LOCAL_DELAY, act)
        else:
            self._carry_far(route, parcel, act)

    def carry_back(self, route: Route, parcel: Parcel, act: Action) -> None:
        """Deliver an answer, at once where one delay covers both ways."""
        if route.is_local:
            act()
        else:
            self._carry_far(route, parcel, act)

    def _carry_far(self, route: Route, parcel: Parcel, act: Action) -> None:
        link = self.find(route)
        size = add_overhead(parcel.measure())
        self.after(link.queue(self.clock(), parcel.purpose, size), act)


def add_overhead(size: int) -> int:
    """Return the bytes on the network of a message."""
    packets = max(ceil(size / _PACKET_BYTES), 1)
    return size + packets * _PACKET_OVERHEAD_BYTES


def build_parcel(purpose: Purpose, size: int) -> Parcel:
    """Build a parcel of a known size."""
    return Parcel(purpose, lambda: size)
