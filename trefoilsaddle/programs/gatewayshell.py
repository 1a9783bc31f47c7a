"""Feed events to a gateway's reducer and perform its effects."""

from collections import deque
from collections.abc import Awaitable, Callable
from functools import partial
from math import inf
from typing import Any

import trio

from trefoilsaddle.clock import SystemClock
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.decisionlog import DecisionLog
from trefoilsaddle.gateway.effects import (
    AnnounceController,
    AppendTable,
    CancelAttempts,
    CountMetric,
    DeliverAnswer,
    Effect,
    EndCall,
    ExitProcess,
    GrantKeys,
    JoinGroup,
    LeaveGroup,
    ObserveTime,
    ProbeServer,
    ReadTopic,
    ReleaseKeys,
    SendAttempt,
    SetCallTimer,
    SetReady,
    SetTimer,
    WriteDecision,
)
from trefoilsaddle.gateway.events import (
    Event,
    TimerExpired,
    TimerKind,
)
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gatewaymetrics import GatewayMetrics
from trefoilsaddle.http.connections import (
    OpenConnections,
    count_caller_connections,
)
from trefoilsaddle.http.requestbodies import (
    build_body_budget,
    find_answer_room,
)
from trefoilsaddle.platform.dialect import PlatformDialect
from trefoilsaddle.platform.orders import PlatformOrders
from trefoilsaddle.platform.probes import PlatformProbes
from trefoilsaddle.platform.settings import GatewaySettings
from trefoilsaddle.platform.store import PlatformStore
from trefoilsaddle.programs.containment import Containment
from trefoilsaddle.programs.gatewaycalls import GatewayCalls
from trefoilsaddle.programs.gatewaylinks import (
    ControllerLink,
    ControllerServer,
    announce_controller,
    list_peer_actions,
)
from trefoilsaddle.programs.gatewayorders import OrderRunner
from trefoilsaddle.programs.looplag import LoopLag
from trefoilsaddle.programs.sweeping import sweep_pools
from trefoilsaddle.programs.trafficlog import TrafficLog

_Perform = Callable[[Any], None]


class GatewayShell:
    """Hold the reducer's state and the performers of its effects."""

    def __init__(
        self,
        gateway: Gateway,
        settings: GatewaySettings,
        log: DecisionLog,
        nursery: trio.Nursery,
    ) -> None:
        """Start tasks in a nursery that lives as long as the process."""
        options = settings.options
        self.gateway = gateway
        self.exited = trio.Event()
        self.ready = False
        self.metrics = GatewayMetrics()
        self._log = log
        self._nursery = nursery
        self._clock = SystemClock()
        # Time of the last event that was handled.
        self.active_at = self._clock.read_monotonic()
        self._events: deque[Event] = deque()
        self._reducing = False
        self._lag = LoopLag(self.metrics, self.write)
        self._timers: dict[TimerKind, float] = {}
        self._timer_set = trio.Event()
        self._store = PlatformStore(
            settings.store.host,
            settings.store.port,
            f'{options.node}-{options.run}',
            self._clock,
            settings.partitions,
        )
        orders = PlatformOrders(
            options.grant_timeout,
            options.release_timeout,
        )
        self._list_order_pools = orders.list_pools
        self._probes = PlatformProbes()
        self.containment = Containment(self.write)
        self._orders = OrderRunner(
            orders, self.metrics, self.feed, nursery, self.containment
        )
        self.calls = GatewayCalls(
            gateway,
            PlatformDialect(),
            self.feed,
            nursery,
            self.containment,
            self.metrics.count,
        )
        # Limit what callers can make the process hold.
        self.bodies = build_body_budget(settings.memory)
        self.callers = OpenConnections(
            count_caller_connections(settings.descriptors)
        )
        answers = self.calls.servers.budget
        answers.max_total = min(
            answers.max_total, find_answer_room(settings.memory)
        )
        decode_configuration = self._store.decode_configuration
        self.controller = ControllerServer(self.feed, decode_configuration)
        self._link = ControllerLink(self.feed, decode_configuration)
        counts = {
            'store': self._store.traffic,
            'orders': orders.traffic,
            'probes': self._probes.traffic,
            'servers': self.calls.servers.budget.traffic,
            'controller': self._link.traffic,
            'gateways': self.controller.traffic,
        }
        self._traffic_log = TrafficLog(counts, self.metrics, self.write)
        self._actions = self._list_actions()

    async def run(self) -> None:
        """Run the timers, the controller link and the sweeping of pools."""
        keep_running = self.containment.keep_running
        self._nursery.start_soon(keep_running, 'link', self._link.run)
        for list_pools in (
            self.calls.servers.pools.values,
            self._list_order_pools,
            self._store.list_pools,
            self._probes.list_pools,
        ):
            sweep = partial(sweep_pools, list_pools)
            self._nursery.start_soon(keep_running, 'sweep', sweep)
        self._nursery.start_soon(keep_running, 'traffic', self._traffic_log.run)
        while True:
            self._timer_set = trio.Event()
            due = min(self._timers.values(), default=inf)
            with trio.move_on_at(due):
                await self._timer_set.wait()
            self._expire_timers()

    def feed(self, event: Event) -> None:
        """Queue an event, reduce all queued ones and perform their effects."""
        self._events.append(event)
        if self._reducing:
            return
        self._reducing = True
        while self._events:
            self._handle_event(self._events.popleft())
        self._reducing = False
        self.active_at = self._clock.read_monotonic()

    def write(self, decision: WriteDecision) -> None:
        """Write a log line."""
        self._log.write(decision, self._clock.read_moment().wall)

    def _handle_event(self, event: Event) -> None:
        now = self._clock.read_monotonic()
        self.active_at = now
        try:
            for effect in reduce(self.gateway, now, event):
                self._actions[type(effect)](effect)
        except Exception as error:
            self.containment.log_error(type(event).__name__, error)

    def _list_actions(self) -> dict[type[Effect], _Perform]:
        calls = self.calls
        return {
            **list_peer_actions(self.controller, self._link),
            AnnounceController: partial(
                self._nursery.start_soon,
                self.containment.run,
                'announcement',
                announce_controller,
            ),
            WriteDecision: self.write,
            SetTimer: self._set_timer,
            SetCallTimer: calls.set_timer,
            SendAttempt: calls.send_attempt,
            CancelAttempts: calls.cancel_attempts,
            DeliverAnswer: calls.deliver_answer,
            EndCall: calls.end_call,
            ReadTopic: self._start(self._store.read),
            AppendTable: self._start(self._store.append),
            JoinGroup: self._start(self._store.join),
            LeaveGroup: self._leave,
            GrantKeys: self._orders.grant,
            ReleaseKeys: self._orders.release,
            ProbeServer: self._start(self._probes.probe),
            SetReady: self._set_ready,
            ExitProcess: self._exit,
            CountMetric: self._count,
            ObserveTime: self._observe,
        }

    def _start(
        self,
        exchange: Callable[[Any], Awaitable[Event]],
    ) -> _Perform:
        run = partial(self._run_exchange, exchange)
        return partial(self._nursery.start_soon, run)

    async def _run_exchange(
        self,
        exchange: Callable[[Any], Awaitable[Event]],
        effect: Effect,
    ) -> None:
        self.feed(await self.containment.call_store(exchange, effect))

    def _set_timer(self, effect: SetTimer) -> None:
        self._timers[effect.kind] = trio.current_time() + effect.delay
        self._timer_set.set()

    def _expire_timers(self) -> None:
        now = trio.current_time()
        due = [kind for kind, at in self._timers.items() if at <= now]
        for kind in due:
            self._lag.record_timer(kind, self._timers.pop(kind), now)
        for kind in due:
            self.feed(TimerExpired(kind))

    def _leave(self, effect: LeaveGroup) -> None:
        self._nursery.start_soon(
            self.containment.run, 'leaving the group', self._store.leave
        )

    def _set_ready(self, effect: SetReady) -> None:
        self.ready = effect.ready

    def _exit(self, effect: ExitProcess) -> None:
        self._nursery.start_soon(_exit_when_answered, self, effect.patience)

    def _count(self, effect: CountMetric) -> None:
        self.metrics.count(effect.name, effect.label)

    def _observe(self, effect: ObserveTime) -> None:
        self.metrics.observe_answer(effect.seconds)


async def _exit_when_answered(shell: GatewayShell, patience: Seconds) -> None:
    with trio.move_on_after(patience):
        await shell.calls.unanswered.wait_until_none()
        await shell.callers.wait_until_delivered()
        # Connections that were kept may have brought more requests.
        await shell.calls.unanswered.wait_until_none()
    shell.exited.set()
