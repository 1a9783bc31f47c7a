"""Run the controller's grant and release calls and measure their times."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from typing import TypeVar

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import GrantKeys, ReleaseKeys
from trefoilsaddle.gateway.events import Event, OrderEnded
from trefoilsaddle.gatewaymetrics import GatewayMetrics
from trefoilsaddle.ports import Orders

_Order = TypeVar('_Order')


@dataclass(slots=True)
class OrderRunner:
    """Run each call to a server in a task of its own."""

    orders: Orders
    metrics: GatewayMetrics
    feed: Callable[[Event], None]
    nursery: trio.Nursery

    def grant(self, effect: GrantKeys) -> None:
        """Start a grant call."""
        self._start(self.orders.grant, effect)

    def release(self, effect: ReleaseKeys) -> None:
        """Start a release call."""
        self._start(self.orders.release, effect)

    def _start(
        self,
        call: Callable[[_Order], Awaitable[OrderEnded]],
        effect: _Order,
    ) -> None:
        # The reducer decided on the call in the current step of the loop.
        decided_at = trio.current_time()
        self.nursery.start_soon(self._run, call, effect, decided_at)

    async def _run(
        self,
        call: Callable[[_Order], Awaitable[OrderEnded]],
        effect: _Order,
        decided_at: float,
    ) -> None:
        waited = Seconds(trio.current_time() - decided_at)
        ended = await call(effect)
        times = ended.times.count_from(waited)
        self.metrics.observe_order(times)
        self.feed(replace(ended, times=times))
