"""Describe how a caller's connection ended, and what it left unanswered."""

import errno
from dataclasses import dataclass
from enum import Enum, unique

from trefoilsaddle.core.units import Seconds


@unique
class EndReason(Enum):
    """List the reasons for which a connection ends."""

    caller_closed = 'caller closed'
    caller_reset = 'caller reset'
    # Bytes were not acknowledged for too long.
    unacknowledged = 'unacknowledged'
    idle = 'idle'
    # The caller read too slowly.
    write_timeout = 'write timeout'
    # The last answer was written.
    answered = 'answered'
    refused = 'refused'
    no_answer = 'no answer'
    invalid_answer = 'invalid answer'
    # Closed in favour of others, at the limit on connections.
    displaced = 'displaced'
    # The process ends, or a task of the connection failed.
    interrupted = 'interrupted'


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """Describe the end of a connection."""

    reason: EndReason
    # Requests that were handed to the service and whose answers were not
    # written, and those among them that had an answer.
    unanswered: int
    unwritten: int
    # Time since the oldest of them was received.
    oldest: Seconds
    # Bytes of the last answer that were not delivered when the connection was
    # closed (None if the system does not tell), and bytes that arrived behind it.
    undelivered: int | None = 0
    discarded: int = 0

    @property
    def lost_bytes(self) -> bool:
        """Return whether the caller may lack an answer."""
        timed_out = self.reason is EndReason.unacknowledged
        undelivered = self.undelivered is None or self.undelivered > 0
        return timed_out or undelivered or self.unanswered > 0


def find_reason(error: Exception) -> EndReason:
    """Return the reason for which reading or writing failed."""
    cause = error.__cause__
    if isinstance(cause, OSError) and cause.errno == errno.ETIMEDOUT:
        return EndReason.unacknowledged
    return EndReason.caller_reset
