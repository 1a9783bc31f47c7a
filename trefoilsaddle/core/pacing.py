"""Pace what is sent to a server that is cold, sheds load or is frozen."""

from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds

# Requests that may be under way to a server nothing is known of.
_FIRST_LIMIT = 1
# Answers needed before one more request may be under way.
_ANSWERS_PER_STEP = 2
# The same after the server has shed requests.
_ANSWERS_AFTER_SHED = 8
# More sheds than answers that lower the limit.
_MAX_SHEDS = 3
_FIRST_PAUSE = 0.002
_MAX_PAUSE = 0.5
_PAUSE_GROWTH = 2
# A request that takes longer than this many mean times, and this many
# seconds, without an answer is a sign that the server is frozen.
_STALL_FACTOR = 8
_MIN_STALL = 0.2
# Part of a stall's length so far that it is expected to last on.
_STALL_FRACTION = 0.25
# Longest that silence is expected to last, so that refusals stay short.
_MAX_SILENCE = 0.5


@dataclass(slots=True)
class Pacing:
    """Limit the requests under way to a server by how it fares."""

    limit: int = _FIRST_LIMIT
    answers: int = 0
    answers_needed: int = _ANSWERS_PER_STEP
    failures: int = 0
    # Requests shed beyond those answered since.
    sheds: int = 0
    # Monotonic time before which nothing is sent.
    paused_until: Seconds = Seconds(0)
    # When the oldest request was sent that a silent server has not answered.
    stalled_since: Seconds | None = None

    def current_limit(self, slots: int, now: Seconds) -> int:
        """Return how many requests may be under way now."""
        if now < self.paused_until:
            return 0
        if self.stalled_since is not None:
            # One request at a time finds out when the server wakes.
            return 1
        return min(self.limit, slots)

    def normal_limit(self, slots: int) -> int:
        """Return how many requests may be under way once a stall is over."""
        return min(self.limit, slots)

    def pause_left(self, now: Seconds) -> Seconds:
        """Return the time until the next request may be sent."""
        return Seconds(max(self.paused_until - now, 0))

    def expected_silence(self, now: Seconds) -> Seconds:
        """Estimate how long nothing will be answered."""
        if self.stalled_since is None:
            return self.pause_left(now)
        expected = (now - self.stalled_since) * _STALL_FRACTION
        return Seconds(min(expected, _MAX_SILENCE))

    def record_reply(self, slots: int) -> None:
        """Allow more after some whole answers."""
        self.failures = 0
        self.sheds = max(self.sheds - 1, 0)
        self.stalled_since = None
        self.answers += 1
        if self.answers >= self.answers_needed and self.limit < slots:
            self.limit += 1
            self.answers = 0

    def record_timeout(
        self,
        started: Seconds,
        mean: float,
        now: Seconds,
    ) -> None:
        """Take a request that ran out of time as a sign, if it ran long."""
        if now - started < max(mean * _STALL_FACTOR, _MIN_STALL):
            return
        if self.stalled_since is None or started < self.stalled_since:
            self.stalled_since = started

    def record_shed(self, slots: int, now: Seconds) -> None:
        """Send fewer at once if more are shed than answered."""
        self.record_failure(now)
        self.sheds += 1
        if self.sheds < _MAX_SHEDS:
            return
        self.sheds = 0
        self.answers = 0
        self.answers_needed = _ANSWERS_AFTER_SHED
        self.limit = max(self.normal_limit(slots) - 1, 1)

    def record_failure(self, now: Seconds) -> None:
        """Pause, for longer after each failure, until there is an answer."""
        if now < self.paused_until:
            return
        pause = _FIRST_PAUSE * _PAUSE_GROWTH**self.failures
        self.failures += 1
        self.paused_until = Seconds(now + min(pause, _MAX_PAUSE))
