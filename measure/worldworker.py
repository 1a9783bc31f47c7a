"""Simulate the processor time that a controller spends on its orders.

One worker handles the orders of a process and their answers sequentially.  An
order whose answer is not handled within its timeout ends with an unknown
outcome, like a cancelled call, even if the server has carried it out.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import GrantKeys, ReleaseKeys
from trefoilsaddle.gateway.events import OrderEnded, OrderVerdict

Order = GrantKeys | ReleaseKeys
Reply = Callable[[OrderEnded], None]


@dataclass(slots=True)
class Worker:
    """Process units of work sequentially."""

    # Processor time of one unit.
    turn: Seconds = Seconds(0)
    idle_at: Seconds = Seconds(0)

    def take_turn(self, now: Seconds) -> Seconds:
        """Reserve a turn and return the time until its end."""
        self.idle_at = Seconds(max(self.idle_at, now) + self.turn)
        return Seconds(self.idle_at - now)

    def find_wait(self, now: Seconds) -> Seconds:
        """Return the time until the end of the turns that are reserved."""
        return Seconds(max(self.idle_at - now, 0))


@dataclass(slots=True)
class OrderWorker(Worker):
    """Open orders of a process; a turn sends one or handles its answer."""

    # Numbers of the orders that have not ended.
    open: set[int] = field(default_factory=set)
    opened: int = 0
    # Numbers of the orders that were sent on a connection.
    connected: set[int] = field(default_factory=set)
    # Largest number of orders that were open at the same time.
    peak: int = 0

    def open_order(self) -> int:
        """Open an order and return its number."""
        self.opened += 1
        self.open.add(self.opened)
        self.peak = max(self.peak, len(self.open))
        return self.opened

    def close_order(self, number: int) -> bool:
        """Close an order; return whether it was still open."""
        closes = number in self.open
        self.open.discard(number)
        return closes


def build_unanswered(order: Order) -> OrderEnded:
    """Build the event for an order that got no answer."""
    if isinstance(order, GrantKeys):
        service = order.server.service
        incarnation = order.server.life
    else:
        service = order.service
        incarnation = order.incarnation
    return OrderEnded(
        service,
        order.keys,
        incarnation,
        order.fence,
        release=isinstance(order, ReleaseKeys),
        verdict=OrderVerdict.unknown,
        handover='',
    )
