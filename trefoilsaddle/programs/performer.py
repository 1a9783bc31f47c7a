"""Reduce events and perform the effects, in one thread."""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from typing import Any

from trio import Event as Signal
from trio import Nursery

from trefoilsaddle.core.effects import (
    AnswerCaller,
    CancelAttempt,
    CancelTimer,
    CountMetric,
    Effect,
    ExitProcess,
    SetTimer,
    WriteDump,
    WriteLogLine,
)
from trefoilsaddle.core.events import (
    Event,
    Occurrence,
    TimerExpired,
    TimerKey,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.reducer import reduce
from trefoilsaddle.logs import ShellComponent, write_line
from trefoilsaddle.metrics import Metrics, join_name
from trefoilsaddle.programs.exchanges import Exchange, Exchanges
from trefoilsaddle.programs.timers import Timers
from trefoilsaddle.traces import Recorder

Perform = Callable[[Any], None]


@dataclass(frozen=True, slots=True)
class Tools:
    """Hold the adapters with which a process performs its effects."""

    exchanges: Exchanges
    metrics: Metrics
    recorder: Recorder


class Performer:
    """Feed events to the reducer and perform the resulting effects."""

    def __init__(self, node: Node, tools: Tools, nursery: Nursery) -> None:
        """Start tasks in a nursery that lives as long as the process."""
        self.node = node
        self.exited = Signal()
        self._tools = tools
        self._timers = Timers(tools.exchanges.clock)
        self._events: deque[Event] = deque()
        self._reducing = False
        self._actions: dict[type[Effect], Perform] = {
            SetTimer: self._set_timer,
            CancelTimer: self._cancel_timer,
            CountMetric: self._count_metric,
            ExitProcess: self._exit_process,
            CancelAttempt: tools.exchanges.backends.cancel_attempt,
            WriteLogLine: _write_log_line,
            WriteDump: _write_dump,
            AnswerCaller: _ignore_answer,
        }
        for effect_class, exchange in tools.exchanges.list_exchanges().items():
            run = partial(self._run_exchange, exchange)
            self._actions[effect_class] = partial(nursery.start_soon, run)

    def attach_action(
        self,
        effect_class: type[Effect],
        perform: Perform,
    ) -> None:
        """Register the function that performs one class of effects."""
        self._actions[effect_class] = perform

    def feed_event(self, event: Event) -> None:
        """Reduce an event and perform its effects.

        An effect may cause an event at once, for instance if the queue to a
        peer is full; that event is reduced after the effects of this one.
        """
        self._events.append(event)
        if self._reducing:
            return
        self._reducing = True
        while self._events:
            self._reduce_event(self._events.popleft())
        self._reducing = False

    async def run_timers(self) -> None:
        """Feed an event for each timer that has expired."""
        await self._timers.run(self._expire_timer)

    def _reduce_event(self, event: Event) -> None:
        moment = self._tools.exchanges.clock.read_moment()
        occurrence = Occurrence(moment, event)
        self._tools.recorder.record(self.node, occurrence)
        for effect in reduce(self.node, occurrence):
            self._actions[type(effect)](effect)

    async def _run_exchange(self, exchange: Exchange, effect: Effect) -> None:
        self.feed_event(await exchange(effect))

    def _expire_timer(self, timer: TimerKey) -> None:
        self.feed_event(TimerExpired(timer))

    def _set_timer(self, effect: SetTimer) -> None:
        self._timers.start(effect.timer, effect.delay)

    def _cancel_timer(self, effect: CancelTimer) -> None:
        self._timers.cancel(effect.timer)

    def _count_metric(self, effect: CountMetric) -> None:
        name = join_name(effect.component.value, effect.name)
        self._tools.metrics.count(name, effect.amount)

    def _exit_process(self, effect: ExitProcess) -> None:
        self.exited.set()


def _write_log_line(effect: WriteLogLine) -> None:
    write_line(effect.component, effect.sentence)


def _write_dump(effect: WriteDump) -> None:
    write_line(ShellComponent.programs, effect.text)


def _ignore_answer(effect: AnswerCaller) -> None:
    """Ignore an answer, since this process has no callers."""
