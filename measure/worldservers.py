"""Model the platform's servers: held keys, slots, queues, in virtual time."""

from collections import deque
from dataclasses import dataclass, field

from trefoilsaddle.core.units import CallId, Seconds
from trefoilsaddle.gateway.events import OrderVerdict
from trefoilsaddle.gateway.keys import Key, KeyRange, cut_range
from trefoilsaddle.gateway.options import MAX_HOLD
from trefoilsaddle.gateway.servers import Server

# A server's clock may run this much slow.
_SLOWNESS = 1.02


@dataclass(frozen=True, slots=True)
class Holding:
    """Hold one granted range."""

    keys: KeyRange
    fence: int
    until: Seconds


@dataclass(frozen=True, slots=True)
class Work:
    """Hold one request at a server."""

    call: CallId
    attempt: int
    sender: str
    key: Key | None
    duration: Seconds


class OwnerError(AssertionError):
    """Report that two servers hold the same keys, or a fence went back."""


@dataclass(slots=True)
class WorldServer:
    """Hold one run of a server."""

    entry: Server
    # Time of a request is divided by this.
    speed: float = 1
    queue_limit: int = 12
    up: bool = True
    # True while no gateway reaches it.
    cut: bool = False
    holdings: list[Holding] = field(default_factory=list)
    # Highest fencing token seen of each range.
    fences: list[Holding] = field(default_factory=list)
    running: dict[CallId, Work] = field(default_factory=dict)
    waiting: deque[Work] = field(default_factory=deque)

    def holds(self, key: Key, now: Seconds) -> bool:
        """Tell whether the server may serve a key."""
        return any(
            holding.keys.contains(key) and now < holding.until
            for holding in self.holdings
        )

    def grant(
        self,
        keys: KeyRange,
        fence: int,
        hold: Seconds,
        arrived: Seconds,
    ) -> OrderVerdict:
        """Take a grant; its time counts from its arrival."""
        if hold > MAX_HOLD:
            return OrderVerdict.rejected
        if any(
            seen.fence > fence and seen.keys.overlaps(keys)
            for seen in self.fences
        ):
            return OrderVerdict.fenced
        until = Seconds(arrived + hold * _SLOWNESS)
        self._cut_out(keys)
        self.holdings.append(Holding(keys, fence, until))
        self.fences.append(Holding(keys, fence, until))
        return OrderVerdict.done

    def release(self, keys: KeyRange) -> None:
        """Give keys back."""
        self._cut_out(keys)

    def overlapping(self, keys: KeyRange, now: Seconds) -> list[Holding]:
        """Return what the server holds of a range."""
        return [
            holding
            for holding in self.holdings
            if holding.keys.overlaps(keys) and now < holding.until
        ]

    def _cut_out(self, keys: KeyRange) -> None:
        kept = []
        for holding in self.holdings:
            if not holding.keys.overlaps(keys):
                kept.append(holding)
                continue
            kept.extend(
                Holding(rest, holding.fence, holding.until)
                for rest in cut_range(holding.keys, keys)
                if rest.first <= rest.last
            )
        self.holdings = kept


def check_grant(
    servers: list[WorldServer],
    taker: WorldServer,
    keys: KeyRange,
    fence: int,
    now: Seconds,
) -> None:
    """Raise if another server that is up holds the keys, or had the fence."""
    service = taker.entry.service
    others = [
        server
        for server in servers
        if server is not taker and server.up and server.entry.service == service
    ]
    for other in others:
        _check_other(other, keys, fence, now)


def _check_other(
    other: WorldServer,
    keys: KeyRange,
    fence: int,
    now: Seconds,
) -> None:
    if other.overlapping(keys, now):
        name = other.entry.life.server
        raise OwnerError(f'{name} still holds {keys} at {now:.3f}')
    for seen in other.fences:
        if seen.keys.overlaps(keys) and seen.fence >= fence:
            raise OwnerError(f'fence {fence} is not above {seen.fence}')
