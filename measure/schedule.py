"""Event queue of a discrete-event simulation."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

Action = Callable[[], None]


@dataclass(slots=True)
class Schedule:
    """Queue of timed actions; those at the same time keep their order."""

    now: float = 0
    queue: list[tuple[float, int, Action]] = field(default_factory=list)
    scheduled: int = 0

    def add(self, delay: float, action: Action) -> int:
        """Schedule an action after a delay and return its number."""
        self.scheduled += 1
        heappush(self.queue, (self.now + delay, self.scheduled, action))
        return self.scheduled

    def run(self, duration: float) -> None:
        """Run all actions that are due within a duration."""
        end = self.now + duration
        while self.queue and self.queue[0][0] <= end:
            moment, _, action = heappop(self.queue)
            self.now = moment
            action()
        self.now = end
