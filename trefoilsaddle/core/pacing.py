"""Pace what is sent to a server that is cold, sheds load or is frozen."""

from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds

# Requests that may be under way to a server nothing is known of.
_FIRST_LIMIT = 1
# Answers needed before one more request may be under way.
_ANSWERS_PER_STEP = 4
_FIRST_PAUSE = 0.02
_LONGEST_PAUSE = 1.0
_PAUSE_GROWTH = 2


@dataclass(slots=True)
class Pacing:
    """Limit the requests under way to a server by how it fares."""

    limit: int = _FIRST_LIMIT
    answers: int = 0
    failures: int = 0
    # Monotonic time before which nothing is sent.
    paused_until: Seconds = Seconds(0)

    def allowed(self, slots: int, now: Seconds) -> int:
        """Return how many requests may be under way now."""
        if now < self.paused_until:
            return 0
        return min(self.limit, slots)

    def pause_left(self, now: Seconds) -> Seconds:
        """Return the time until the next request may be sent."""
        return Seconds(max(self.paused_until - now, 0))

    def note_answer(self, slots: int) -> None:
        """Allow more after some whole answers."""
        self.failures = 0
        self.answers += 1
        if self.answers >= _ANSWERS_PER_STEP and self.limit < slots:
            self.limit += 1
            self.answers = 0

    def note_failure(self, now: Seconds) -> None:
        """Send one at a time, after a pause that doubles, until it answers."""
        if now < self.paused_until:
            return
        growth = _PAUSE_GROWTH**self.failures
        pause = min(_FIRST_PAUSE * growth, _LONGEST_PAUSE)
        self.failures += 1
        self.answers = 0
        self.limit = _FIRST_LIMIT
        self.paused_until = Seconds(now + pause)
