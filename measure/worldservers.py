"""Simulated servers of the platform: held keys, slots and queues."""

from collections import deque
from dataclasses import dataclass, field, replace

from trefoilsaddle.core.units import CallId, Seconds
from trefoilsaddle.gateway.events import OrderVerdict
from trefoilsaddle.gateway.keys import Key, KeyRange, cut_range
from trefoilsaddle.gateway.options import MAX_HOLD
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.statements import LoadReport, ServerStatement

# A server's clock may be slow, so it holds keys longer by up to this factor.
_SLOW_CLOCK_FACTOR = 1.02


@dataclass(frozen=True, slots=True)
class Holding:
    """Granted key range with its fencing token and expiry."""

    keys: KeyRange
    fence: int
    until: Seconds


@dataclass(frozen=True, slots=True)
class Work:
    """Request at a server."""

    call: CallId
    attempt: int
    sender: str
    key: Key | None
    duration: Seconds


@dataclass(frozen=True, slots=True)
class Arrival:
    """Request that reached a server."""

    at: Seconds
    sender: str


class OwnerError(AssertionError):
    """Raised when two servers hold the same keys, or a fence does not rise."""


@dataclass(slots=True)
class WorldServer:
    """One incarnation of a server."""

    entry: Server
    # Divides the duration of requests.
    speed: float = 1
    queue_limit: int = 12
    up: bool = True
    # True while no gateway can reach it.
    cut: bool = False
    holdings: list[Holding] = field(default_factory=list)
    # Ranges and fencing tokens of all grants so far.
    fences: list[Holding] = field(default_factory=list)
    running: dict[CallId, Work] = field(default_factory=dict)
    waiting: deque[Work] = field(default_factory=deque)
    # What its answers state about it.
    statement: ServerStatement = ServerStatement(unlimited=True)
    # True if its answers report its load.
    reports_load: bool = False
    # True if it resets the connections of requests that it has no room for.
    resets: bool = False
    arrivals: list[Arrival] = field(default_factory=list)
    # Time at which each gateway first got an answer that names a limit.
    told: dict[str, Seconds] = field(default_factory=dict)

    def record_arrival(self, sender: str, now: Seconds) -> None:
        """Record that a request of a gateway has arrived."""
        self.arrivals.append(Arrival(now, sender))

    def build_statement(self) -> ServerStatement:
        """Return what its next answer states."""
        if not self.reports_load:
            return self.statement
        load = LoadReport(
            len(self.running), len(self.waiting), self.entry.slots
        )
        return replace(self.statement, load=load)

    def record_answer(self, sender: str, now: Seconds) -> None:
        """Record that a gateway gets an answer."""
        if self.statement.limit is not None:
            self.told.setdefault(sender, now)

    def holds(self, key: Key, now: Seconds) -> bool:
        """Return whether an unexpired grant covers a key."""
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
        """Apply a grant, whose hold time counts from its arrival."""
        if hold > MAX_HOLD:
            return OrderVerdict.rejected
        if any(
            seen.fence > fence and seen.keys.overlaps(keys)
            for seen in self.fences
        ):
            return OrderVerdict.fenced
        until = Seconds(arrived + hold * _SLOW_CLOCK_FACTOR)
        self._remove_keys(keys)
        self.holdings.append(Holding(keys, fence, until))
        self.fences.append(Holding(keys, fence, until))
        return OrderVerdict.done

    def release(self, keys: KeyRange) -> None:
        """Release a range of keys."""
        self._remove_keys(keys)

    def find_holdings(self, keys: KeyRange, now: Seconds) -> list[Holding]:
        """Return the unexpired grants that overlap a range."""
        return [
            holding
            for holding in self.holdings
            if holding.keys.overlaps(keys) and now < holding.until
        ]

    def _remove_keys(self, keys: KeyRange) -> None:
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
    receiver: WorldServer,
    keys: KeyRange,
    fence: int,
    now: Seconds,
) -> None:
    """Raise OwnerError if another live server holds the keys or the fence."""
    service = receiver.entry.service
    others = [
        server
        for server in servers
        if server is not receiver
        and server.up
        and server.entry.service == service
    ]
    for other in others:
        _check_other(other, keys, fence, now)


def _check_other(
    other: WorldServer,
    keys: KeyRange,
    fence: int,
    now: Seconds,
) -> None:
    if other.find_holdings(keys, now):
        name = other.entry.life.server
        raise OwnerError(f'{name} still holds {keys} at {now:.3f}')
    for seen in other.fences:
        if seen.keys.overlaps(keys) and seen.fence >= fence:
            raise OwnerError(f'fence {fence} is not above {seen.fence}')
