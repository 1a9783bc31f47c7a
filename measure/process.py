"""Hold one process of a fleet in virtual time."""

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
    """Hold one process, its timers and its switches."""

    node: Node
    schedule: Schedule
    alive: bool = True
    paused: bool = False
    # Seconds of its own clock that pass in a second.
    rate: float = 1
    # Cut off from the log alone.
    cut_from_log: bool = False
    # Action that each running timer ends in.
    timers: dict[TimerKey, int] = field(default_factory=dict)
    # What arrived while the process was paused, in order.
    backlog: list[Action] = field(default_factory=list)
    log_lines: list[str] = field(default_factory=list)

    @property
    def node_id(self) -> NodeId:
        """Return the name of the process."""
        return self.node.options.node

    @property
    def clock(self) -> Seconds:
        """Return the time of the process's own clock."""
        return Seconds(self.schedule.now * self.rate)

    def take(self, event: Event) -> Effects:
        """Reduce one event."""
        now = self.clock
        return reduce(self.node, Occurrence(Moment(now, now), event))

    def start_timer(
        self,
        timer: TimerKey,
        delay: Seconds,
        expire: Action,
    ) -> None:
        """Start a timer, or start it again."""
        self.timers[timer] = self.schedule.add(
            max(delay, 0) / self.rate, expire
        )

    def end_timer(self, timer: TimerKey, number: int) -> Event | None:
        """Return the expiry, unless the timer was stopped or set again."""
        if self.timers.get(timer) != number:
            return None
        self.timers.pop(timer)
        return TimerExpired(timer)

    def defer(self, action: Action) -> bool:
        """Keep an action for later if the process is paused."""
        if self.paused:
            self.backlog.append(action)
        return self.paused

    def resume(self) -> None:
        """Wake the process; what has arrived meanwhile comes first."""
        self.paused = False
        backlog = self.backlog
        self.backlog = []
        for action in backlog:
            action()
