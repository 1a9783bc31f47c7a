"""Bound the age of what another gateway sends, whatever delayed it.

A gateway asks for the time in its reports. The answer shows that the other
clock read `answered_at` no earlier than its own clock read `asked_at`, so that a
message with a later stamp of the other clock was built no earlier than as much
later by its own. The time in queues and on links counts as age, and no clock is
assumed to be set.
"""

from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds

# Interval at which the time is asked for, and the age from which an answer is
# replaced by any newer one: a clock stands still while its host is suspended.
_ASK_INTERVAL = Seconds(1)
_MAX_ANSWER_AGE = Seconds(3)
# Stamp of messages whose sender states no time.
NO_STAMP = Seconds(0)


@dataclass(slots=True)
class ClockBound:
    """Bound the difference between the own clock and that of a peer."""

    # Lower bound of the own time at which the other clock showed zero.
    offset: Seconds | None = None
    asked_at: Seconds = Seconds(float('-inf'))
    answered_at: Seconds = Seconds(0)

    def reset(self) -> None:
        """Forget the other clock: the peer has changed."""
        self.offset = None
        self.asked_at = Seconds(float('-inf'))

    def ask(self, now: Seconds) -> Seconds:
        """Return the time to ask with, or `NO_STAMP` if none is due."""
        if now - self.asked_at < _ASK_INTERVAL:
            return NO_STAMP
        self.asked_at = now
        return now

    def record_answer(
        self, asked_at: Seconds, stamp: Seconds, now: Seconds
    ) -> None:
        """Record the time of the other clock that was asked for."""
        offset = Seconds(asked_at - stamp)
        outdated = now - self.answered_at > _MAX_ANSWER_AGE
        if self.offset is None or outdated or offset >= self.offset:
            self.offset = offset
            self.answered_at = now

    def find_built_at(self, stamp: Seconds, now: Seconds) -> Seconds:
        """Return the earliest time at which a message was built."""
        if stamp == NO_STAMP or self.offset is None:
            return now
        return Seconds(min(self.offset + stamp, now))
