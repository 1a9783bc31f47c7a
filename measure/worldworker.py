"""Model the processor time that a controller spends on its orders.

One worker takes the orders of a process and their answers in turn.  An order
whose answer was not handled within its time ends without an outcome, as a
cancelled call does, whatever became of it at the server.
"""

from collections.abc import Callable
from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import GrantKeys, ReleaseKeys
from trefoilsaddle.gateway.events import OrderEnded, OrderVerdict

Order = GrantKeys | ReleaseKeys
Reply = Callable[[OrderEnded], None]


@dataclass(slots=True)
class OrderWorker:
    """Hold which orders of a process are open, and when it is idle."""

    # Time for sending an order, and as much for taking its answer.
    turn: Seconds = Seconds(0)
    idle_at: Seconds = Seconds(0)
    # Numbers of the orders that have not ended.
    open: set[int] = field(default_factory=set)
    opened: int = 0
    # Numbers of the orders that found a connection.
    connected: set[int] = field(default_factory=set)
    # Most orders that were open at a time.
    peak: int = 0

    def open_order(self) -> int:
        """Count an order, and return its number."""
        self.opened += 1
        self.open.add(self.opened)
        self.peak = max(self.peak, len(self.open))
        return self.opened

    def close_order(self, number: int) -> bool:
        """Tell whether an order ends now, and not for the second time."""
        closes = number in self.open
        self.open.discard(number)
        return closes

    def take_turn(self, now: Seconds) -> Seconds:
        """Return the time from now at which the next turn ends."""
        self.idle_at = Seconds(max(self.idle_at, now) + self.turn)
        return Seconds(self.idle_at - now)


def build_unknown(order: Order) -> OrderEnded:
    """Return the end of an order that had no answer."""
    if isinstance(order, GrantKeys):
        service = order.server.service
        life = order.server.life
    else:
        service = order.service
        life = order.incarnation
    return OrderEnded(
        service,
        order.keys,
        life,
        order.fence,
        release=isinstance(order, ReleaseKeys),
        verdict=OrderVerdict.unknown,
        handover='',
    )
