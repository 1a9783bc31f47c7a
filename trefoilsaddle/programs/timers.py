"""Run the timers that the reducer sets."""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from trio import CancelScope, current_time, sleep_forever

from trefoilsaddle.clock import Clock
from trefoilsaddle.core.events import TimerKey
from trefoilsaddle.core.units import Seconds


@dataclass(frozen=True, slots=True, order=True)
class _Expiry:
    due: Seconds
    # Keeps timers that are due at the same time in the order of their start.
    sequence: int
    timer: TimerKey = field(compare=False)


class Timers:
    """Hold timers by key; starting one again replaces it."""

    def __init__(self, clock: Clock) -> None:
        """Use the monotonic time of a clock."""
        self._clock = clock
        self._heap: list[_Expiry] = []
        self._current: dict[TimerKey, _Expiry] = {}
        self._sequence = 0
        self._sleep = CancelScope()

    def start(self, timer: TimerKey, delay: Seconds) -> None:
        """Start or restart a timer."""
        due = Seconds(self._clock.read_monotonic() + delay)
        self._sequence += 1
        expiry = _Expiry(due, self._sequence, timer)
        self._current[timer] = expiry
        heappush(self._heap, expiry)
        if self._heap[0] is expiry:
            self._sleep.cancel()

    def cancel(self, timer: TimerKey) -> None:
        """Stop a timer if it is running."""
        self._current.pop(timer, None)

    async def run(self, expire: Callable[[TimerKey], None]) -> None:
        """Call `expire` with each timer when it is due."""
        while True:
            timer = self._pop_due()
            if timer is None:
                await self._sleep_until_due()
            else:
                # May start and cancel timers, including ones that are due now.
                expire(timer)

    def _pop_due(self) -> TimerKey | None:
        now = self._clock.read_monotonic()
        while self._heap and self._heap[0].due <= now:
            expiry = heappop(self._heap)
            if self._current.get(expiry.timer) is expiry:
                return self._current.pop(expiry.timer).timer
        return None

    async def _sleep_until_due(self) -> None:
        self._sleep = CancelScope()
        if self._heap:
            delay = self._heap[0].due - self._clock.read_monotonic()
            self._sleep.deadline = current_time() + delay
        with self._sleep:
            await sleep_forever()
