"""Limit the requests in flight to a server that is cold, sheds or stalls."""

from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds

# Limit of requests in flight to a server before its first reply.
_FIRST_LIMIT = 1
# Replies after which the limit rises by one.
_REPLIES_PER_STEP = 2
# The same after the server has shed requests.
_REPLIES_AFTER_SHED = 8
# Sheds in excess of replies that lower the limit by one.
_MAX_SHEDS = 3
# Pause after a failure, in seconds; grows with each failure up to a maximum.
_FIRST_PAUSE = 0.002
_MAX_PAUSE = 0.5
_PAUSE_GROWTH = 2
# A server counts as stalled if a request has run for longer than this many
# mean service times, and than this many seconds, without an answer.
_STALL_FACTOR = 8
_MIN_STALL = 0.2
# Expected remaining time of a stall, as a fraction of its duration so far.
_STALL_FRACTION = 0.25
# Bound of that expectation in seconds, which keeps refusals short.
_MAX_SILENCE = 0.5


@dataclass(slots=True)
class Pacing:
    """Track how a server responds, to limit the requests in flight."""

    limit: int = _FIRST_LIMIT
    replies: int = 0
    replies_needed: int = _REPLIES_PER_STEP
    failures: int = 0
    # Sheds in excess of the replies since.
    sheds: int = 0
    # Monotonic time before which nothing is sent.
    paused_until: Seconds = Seconds(0)
    # Send time of the oldest unanswered request, while the server is stalled.
    stalled_since: Seconds | None = None

    def current_limit(self, slots: int, now: Seconds) -> int:
        """Return how many requests may be in flight now."""
        if now < self.paused_until:
            return 0
        if self.stalled_since is not None:
            # One request at a time probes whether the server has resumed.
            return 1
        return min(self.limit, slots)

    def normal_limit(self, slots: int) -> int:
        """Return how many requests may be in flight without pause or stall."""
        return min(self.limit, slots)

    def pause_left(self, now: Seconds) -> Seconds:
        """Return the time until the next request may be sent."""
        return Seconds(max(self.paused_until - now, 0))

    def expected_silence(self, now: Seconds) -> Seconds:
        """Estimate how long the server will answer no requests."""
        if self.stalled_since is None:
            return self.pause_left(now)
        expected = (now - self.stalled_since) * _STALL_FRACTION
        return Seconds(min(expected, _MAX_SILENCE))

    def record_reply(self, slots: int) -> None:
        """Raise the limit after enough complete replies."""
        self.failures = 0
        self.sheds = max(self.sheds - 1, 0)
        self.stalled_since = None
        self.replies += 1
        if self.replies >= self.replies_needed and self.limit < slots:
            self.limit += 1
            self.replies = 0

    def record_timeout(
        self,
        started: Seconds,
        mean: float,
        now: Seconds,
    ) -> None:
        """Record a stall if a timed-out request ran for long enough."""
        if now - started < max(mean * _STALL_FACTOR, _MIN_STALL):
            return
        if self.stalled_since is None or started < self.stalled_since:
            self.stalled_since = started

    def record_shed(self, slots: int, now: Seconds) -> None:
        """Lower the limit if sheds exceed replies by enough; pause."""
        self.record_failure(now)
        self.sheds += 1
        if self.sheds < _MAX_SHEDS:
            return
        self.sheds = 0
        self.replies = 0
        self.replies_needed = _REPLIES_AFTER_SHED
        self.limit = max(self.normal_limit(slots) - 1, 1)

    def record_failure(self, now: Seconds) -> None:
        """Pause sending, with exponential backoff until the next reply."""
        if now < self.paused_until:
            return
        pause = _FIRST_PAUSE * _PAUSE_GROWTH**self.failures
        self.failures += 1
        self.paused_until = Seconds(now + min(pause, _MAX_PAUSE))
