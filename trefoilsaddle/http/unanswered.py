"""Count the requests that were read and whose answers are not delivered yet."""

from dataclasses import dataclass, field

import trio


@dataclass(slots=True)
class UnansweredCount:
    """Count the unanswered requests of all connections of a listener."""

    count: int = 0
    _none: trio.Event = field(default_factory=trio.Event)

    def add(self) -> None:
        """Count a request that was read."""
        self.count += 1

    def remove(self, number: int) -> None:
        """Count requests as answered, or as given up by their caller."""
        self.count -= number
        if not self.count:
            self._none.set()

    async def wait_until_none(self) -> None:
        """Wait until all answers are delivered."""
        while self.count:
            self._none = trio.Event()
            await self._none.wait()
