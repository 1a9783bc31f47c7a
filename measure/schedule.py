"""Let virtual time pass over one queue of actions."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

Action = Callable[[], None]


@dataclass(slots=True)
class Schedule:
    """Hold what happens next; actions of one instant keep their order."""

    now: float = 0
    queue: list[tuple[float, int, Action]] = field(default_factory=list)
    scheduled: int = 0

    def add(self, delay: float, action: Action) -> int:
        """Do something after a delay; return the number of the action."""
        self.scheduled += 1
        heappush(self.queue, (self.now + delay, self.scheduled, action))
        return self.scheduled

    def run(self, duration: float) -> None:
        """Let virtual time pass."""
        end = self.now + duration
        while self.queue and self.queue[0][0] <= end:
            moment, _, action = heappop(self.queue)
            self.now = moment
            action()
        self.now = end
