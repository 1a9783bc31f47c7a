"""Keep to the request rates that servers name.

A server's limit is on the requests of all gateways together.  No call is made
to share it: a few gateways, on which all agree, each get an equal part of the
rate, and the others send that server nothing; see `sharing`.  A part is saved
up for little more than one request, so that the gateways that share a limit
cannot send many at once.

A limit holds until an answer to a later request names none, or until nothing
was heard of it for a time.
"""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import Rank, Seconds
from trefoilsaddle.gateway.peermessages import ServerLimit
from trefoilsaddle.gateway.servers import ServerIncarnation

# Requests that a gateway may save up, and those that it keeps for the most
# urgent rank.
_MAX_SAVED = 1.5
_RESERVED = 0.5
# Lowest rate that is used.  Only an answer can tell that a limit has ended.
_MIN_RATE = 0.2
# Time after which a limit that was not heard of again is forgotten.
_MEMORY = Seconds(15)
# Time for which others are told that a limit has ended: long enough to reach
# them by a controller that has just taken over.
_TELLING_TIME = Seconds(10)
# What an answer has stated goes before what others tell for this time, which
# reports and updates may take.
_RELAY_TIME = Seconds(1.5)
# Rate by which another gateway is told that a limit has ended.
ENDED = -1


@dataclass(slots=True)
class RateLimit:
    """Hold the limit of one server, and what this gateway may send."""

    # Time since which the limit is known here.
    since: Seconds
    # Requests per second of all gateways; None once the limit has ended.
    rate: float | None = None
    # Time at which it was last heard of, and at which an answer to this
    # gateway last stated it.
    heard_at: Seconds = Seconds(0)
    stated_at: Seconds | None = None
    # Requests that may be sent, as of a time.
    saved: float = 0
    saved_at: Seconds = Seconds(0)


@dataclass(slots=True)
class RateLimits:
    """Hold the limits that servers have named."""

    by_incarnation: dict[ServerIncarnation, RateLimit] = field(
        default_factory=dict
    )

    def state(
        self, incarnation: ServerIncarnation, rate: float, now: Seconds
    ) -> bool:
        """Record a limit that an answer named; return whether it changed."""
        limit = self._open(incarnation, now)
        changed = limit.rate != rate
        limit.rate = rate
        limit.heard_at = now
        limit.stated_at = now
        return changed

    def end(
        self, incarnation: ServerIncarnation, sent_at: Seconds, now: Seconds
    ) -> bool:
        """Record an answer without a limit; return whether one has ended.

        The answer to a request that was sent before the limit was known may be
        older than the limit.
        """
        limit = self._find(incarnation, now)
        if limit is None or limit.rate is None or sent_at <= limit.since:
            return False
        limit.rate = None
        limit.heard_at = now
        limit.stated_at = now
        return True

    def hear(
        self, incarnation: ServerIncarnation, rate: float, now: Seconds
    ) -> None:
        """Record what another gateway tells of a limit."""
        ended = rate < 0
        limit = self._find(incarnation, now)
        if limit is None and ended:
            return
        stated_at = None if limit is None else limit.stated_at
        if stated_at is not None and now - stated_at < _RELAY_TIME:
            return
        limit = limit if ended and limit else self._open(incarnation, now)
        limit.rate = None if ended else rate
        limit.heard_at = now

    def find_rate(
        self, incarnation: ServerIncarnation, now: Seconds
    ) -> float | None:
        """Return the limit of a server in requests per second, if any."""
        if not self.by_incarnation:
            return None
        limit = self._find(incarnation, now)
        if limit is None or limit.rate is None:
            return None
        return max(limit.rate, _MIN_RATE)

    def find_wait(
        self,
        incarnation: ServerIncarnation,
        share: float,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Return the time until a request of a rank may be sent.

        `share` is this gateway's part of the rate.
        """
        rate = self.find_rate(incarnation, now)
        if rate is None:
            return Seconds(0)
        limit = self.by_incarnation[incarnation]
        earned = rate * share * (now - limit.saved_at)
        limit.saved = min(limit.saved + earned, _MAX_SAVED)
        limit.saved_at = now
        lack = 1 - limit.saved
        if rank:
            lack += _RESERVED
        if lack <= 0:
            return Seconds(0)
        return Seconds(lack / rate / share if share else 1 / rate)

    def spend(self, incarnation: ServerIncarnation) -> None:
        """Record that a request is sent."""
        limit = self.by_incarnation.get(incarnation)
        if limit is not None:
            limit.saved -= 1

    def list_heard(
        self, now: Seconds, stated_since: Seconds | None = None
    ) -> tuple[ServerLimit, ...]:
        """Return the limits, and those that have ended lately.

        With a time, only those are returned that an answer to this gateway has
        stated: limits since then, and ends even if they were told before.
        """
        return tuple(
            ServerLimit(
                incarnation.tag, ENDED if limit.rate is None else limit.rate
            )
            for incarnation, limit in self.by_incarnation.items()
            if not _is_forgotten(limit, now)
            and _is_news(limit, stated_since, now)
        )

    def remove_gone(self, known: set[ServerIncarnation]) -> None:
        """Remove the limits of servers that are gone."""
        for incarnation in set(self.by_incarnation).difference(known):
            self.by_incarnation.pop(incarnation)

    def _find(
        self, incarnation: ServerIncarnation, now: Seconds
    ) -> RateLimit | None:
        limit = self.by_incarnation.get(incarnation)
        if limit is None or _is_forgotten(limit, now):
            return None
        return limit

    def _open(self, incarnation: ServerIncarnation, now: Seconds) -> RateLimit:
        limit = self._find(incarnation, now)
        if limit is None or limit.rate is None:
            limit = RateLimit(since=now, saved_at=now)
            self.by_incarnation[incarnation] = limit
        return limit


def _is_forgotten(limit: RateLimit, now: Seconds) -> bool:
    memory = _TELLING_TIME if limit.rate is None else _MEMORY
    return now - limit.heard_at > memory


def _is_news(
    limit: RateLimit, stated_since: Seconds | None, now: Seconds
) -> bool:
    if stated_since is None:
        return True
    if limit.rate is None:
        stated_since = Seconds(now - _TELLING_TIME)
    return limit.stated_at is not None and limit.stated_at >= stated_since
