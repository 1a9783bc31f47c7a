"""Hold the state of the log client."""

from dataclasses import dataclass, field

from trefoilsaddle.core.records import Record
from trefoilsaddle.core.units import RecordId, Seconds


@dataclass(slots=True)
class FollowState:
    """Hold the log client's reads, relays and unacknowledged records."""

    # Monotonic send time of the newest read known to have reached the tail.
    fresh_at: Seconds = Seconds(float('-inf'))
    # True once a read has failed and none has succeeded since.
    log_away: bool = False
    # Records waiting to be seen in the log, oldest first.
    outbox: dict[RecordId, Record] = field(default_factory=dict)
