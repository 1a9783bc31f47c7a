"""Simulated process of a fleet."""

from dataclasses import dataclass, field

from measure.schedule import Action, Schedule
from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import (
    Event,
    Occurrence,
    TimerExpired,
    TimerKey,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.reducer import reduce
from trefoilsaddle.core.units import Moment, NodeId, Seconds


@dataclass(slots=True)
class Process:
    """Process with its timers, clock and faults."""

    node: Node
    schedule: Schedule
    alive: bool = True
    paused: bool = False
    # Rate of its own clock relative to the simulation's.
    rate: float = 1
    # True while it cannot reach the log.
    cut_from_log: bool = False
    # Number of the scheduled expiry of each running timer.
    timers: dict[TimerKey, int] = field(default_factory=dict)
    # Actions that were deferred while the process was paused, in order.
    backlog: list[Action] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)

    @property
    def node_id(self) -> NodeId:
        """Return the name of the process."""
        return self.node.options.node

    @property
    def clock(self) -> Seconds:
        """Return the time by the process's own clock."""
        return Seconds(self.schedule.now * self.rate)

    def handle_event(self, event: Event) -> Effects:
        """Reduce an event at the current time and return the effects."""
        now = self.clock
        return reduce(self.node, Occurrence(Moment(now, now), event))

    def start_timer(
        self,
        timer: TimerKey,
        delay: Seconds,
        expire: Action,
    ) -> None:
        """Start or restart a timer."""
        self.timers[timer] = self.schedule.add(
            max(delay, 0) / self.rate, expire
        )

    def end_timer(self, timer: TimerKey, number: int) -> Event | None:
        """Return the expiry unless the timer was cancelled or restarted."""
        if self.timers.get(timer) != number:
            return None
        self.timers.pop(timer)
        return TimerExpired(timer)

    def defer(self, action: Action) -> bool:
        """Defer an action if the process is paused; return whether it is."""
        if self.paused:
            self.backlog.append(action)
        return self.paused

    def resume(self) -> None:
        """Resume the process and run the deferred actions."""
        self.paused = False
        backlog = self.backlog
        self.backlog = []
        for action in backlog:
            action()
