"""Admit requests by what a refusal or a delay costs their callers.

The decisions are for services whose servers report their load.  They answer a
demand above the capacity, which all gateways see at once: the loads that they
know are some tenths of a second old, and if each filled the room that it sees,
all of them together would send several times as much.

- A request is sent only to a server that is expected to answer within the
  latency goal, the timeout and the time that its caller has left.
- The gateways share the rate at which a service's servers complete requests and
  the room that is left at them.  Each one takes its part, so that servers which
  reset connections when they are full are never filled.
- Of a gateway's part, the least urgent kind leaves some for the more urgent ones
  of the same service, and its callers who come for the first time leave some for
  those who come back, as these have no further try.
"""

from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds

# Requests per slot at a server: its slots have to stay in use between two
# updates, and servers reset connections from five per slot.
_MIN_DEPTH = 1.5
_MAX_DEPTH = 3
# A request's own time at a server that is still within the goal, as a multiple of
# what is expected: half as long again for two thirds of them.
_OWN_TIME_FACTOR = 1.5
_MIN_TIME = Seconds(0.001)
# Time over which the room that is left is given out; the loads are up to half as
# old, and a shorter time would overshoot.
_ROOM_TIME = Seconds(1)
# Requests that a gateway may save up, as a time of its rate and at least.
_MAX_SAVED_TIME = Seconds(0.3)
_MIN_SAVED = 2
# Part of a request that the least urgent kind has to leave over: for more urgent
# kinds, and if its caller has a further try.
_RANK_RESERVE = 0.5
_FIRST_TRY_RESERVE = 0.5
# Utilisation below which requests need no part of a limited rate.
_FREE_UTILISATION = 0.7


@dataclass(frozen=True, slots=True)
class Standing:
    """Rank a request among those of its service."""

    # True if a more urgent, or a less urgent, kind of request uses the service.
    yields: bool = False
    precedes: bool = False
    # True if its caller was refused before and has no further try.
    returned: bool = False


@dataclass(frozen=True, slots=True)
class Demand:
    """Describe a request to be admitted."""

    goal: Seconds
    # Time until its caller or its route's timeout ends it.
    left: Seconds
    standing: Standing = Standing()

    def find_limit(self) -> Seconds:
        """Return the time in which an answer is wanted."""
        return Seconds(min(self.goal, self.left))


@dataclass(frozen=True, slots=True)
class ServerRoom:
    """Describe a server as the gateway sees it."""

    busy: float
    slots: int
    # Mean time of the requests at the server.
    mean_time: Seconds
    # Expected time of the request itself once it has a slot.
    own_time: Seconds


def find_admitted_depth(demand: Demand, room: ServerRoom) -> float:
    """Return how many requests a slot may hold, including waiting ones."""
    mean = max(room.mean_time, _MIN_TIME)
    own = room.own_time * _OWN_TIME_FACTOR
    depth = (demand.find_limit() - own) / mean + 1
    return min(max(depth, _MIN_DEPTH), _MAX_DEPTH)


def answers_in_time(demand: Demand, room: ServerRoom) -> bool:
    """Return whether a server is expected to answer before the request ends.

    A free slot is used whatever is expected: a server that was measured while
    it was slow would get no request that shows that it is not any more.
    """
    if room.busy + 1 <= room.slots:
        return True
    waiting = (room.busy + 1 - room.slots) / room.slots
    return room.mean_time * waiting + room.own_time <= demand.left


@dataclass(frozen=True, slots=True)
class Capacity:
    """Sum up the servers that may run a kind of request."""

    # Requests at the servers, and requests that they may hold.
    busy: float = 0
    room: float = 0
    # Requests per second that their slots complete.
    rate: float = 0

    def add(self, server: ServerRoom, depth: float) -> 'Capacity':
        """Return the sum with one more server."""
        mean = max(server.mean_time, _MIN_TIME)
        return Capacity(
            self.busy + server.busy,
            self.room + depth * server.slots,
            self.rate + server.slots / mean,
        )

    def is_scarce(self) -> bool:
        """Return whether the gateways have to share what is left."""
        return self.busy > self.room * _FREE_UTILISATION

    def find_rate(self) -> float:
        """Return the requests per second that all gateways may send."""
        return max(self.rate + (self.room - self.busy) / _ROOM_TIME, 0)


@dataclass(slots=True)
class RateShare:
    """Hold a gateway's part of what the servers of a service may be sent."""

    saved: float = _MIN_SAVED
    saved_at: Seconds = Seconds(0)

    def admit(self, demand: Demand, rate: float, now: Seconds) -> bool:
        """Take a request from the part if there is enough; `rate` fills it."""
        most = max(rate * _MAX_SAVED_TIME, _MIN_SAVED)
        earned = rate * max(now - self.saved_at, 0)
        self.saved = min(self.saved + earned, most)
        self.saved_at = now
        return self.saved >= 1 + _find_reserve(demand)

    def spend(self) -> None:
        """Record that a request is sent."""
        self.saved = max(self.saved - 1, 0)

    def find_wait(self, demand: Demand, rate: float) -> float:
        """Return the time until such a request would be admitted."""
        lack = 1 + _find_reserve(demand) - self.saved
        return max(lack, 0) / rate if rate else _ROOM_TIME


def _find_reserve(demand: Demand) -> float:
    standing = demand.standing
    if standing.precedes:
        return 0
    reserve = _RANK_RESERVE if standing.yields else 0
    return reserve if standing.returned else reserve + _FIRST_TRY_RESERVE


@dataclass(slots=True)
class DemandShare:
    """Estimate this gateway's part of the requests to a service."""

    own: float = 0
    fleet: float = 0

    def add(self, own: float, fleet: float) -> None:
        """Add the requests at the servers, by the newest reports."""
        self.own += (own - self.own) * _SHARE_GAIN
        self.fleet += (fleet - self.fleet) * _SHARE_GAIN

    def find(self, gateways: int) -> float:
        """Return the part, within bounds around an equal one."""
        equal = 1 / max(gateways, 1)
        part = self.own / self.fleet if self.fleet else equal
        return min(max(part, equal * _MIN_SHARE), equal * _MAX_SHARE)


# Weight of a new figure: some seconds at five updates a second, so that the part
# follows the callers and not what was admitted.
_SHARE_GAIN = 0.05
# Bounds of a gateway's part, as multiples of an equal one.
_MIN_SHARE = 0.5
_MAX_SHARE = 3
