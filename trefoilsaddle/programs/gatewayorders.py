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
from trefoilsaddle.programs.containment import Containment
from trefoilsaddle.programs.unknownresults import (
    build_ungranted,
    build_unreleased,
)

_Order = TypeVar('_Order')


@dataclass(slots=True)
class OrderRunner:
    """Run each call to a server in a task of its own."""

    orders: Orders
    metrics: GatewayMetrics
    feed: Callable[[Event], None]
    nursery: trio.Nursery
    containment: Containment

    def grant(self, effect: GrantKeys) -> None:
        """Start a grant call."""
        self._start(self.orders.grant, effect, build_ungranted)

    def release(self, effect: ReleaseKeys) -> None:
        """Start a release call."""
        self._start(self.orders.release, effect, build_unreleased)

    def _start(
        self,
        call: Callable[[_Order], Awaitable[OrderEnded]],
        effect: _Order,
        build_unknown: Callable[[_Order], OrderEnded],
    ) -> None:
        # The reducer decided on the call in the current step of the loop.
        decided_at = trio.current_time()
        self.nursery.start_soon(
            self._run, call, effect, build_unknown, decided_at
        )

    async def _run(
        self,
        call: Callable[[_Order], Awaitable[OrderEnded]],
        effect: _Order,
        build_unknown: Callable[[_Order], OrderEnded],
        decided_at: float,
    ) -> None:
        waited = Seconds(trio.current_time() - decided_at)
        ended = await self.containment.call(call, effect, build_unknown)
        times = ended.times.count_from(waited)
        self.metrics.observe_order(times)
        self.feed(replace(ended, times=times))
