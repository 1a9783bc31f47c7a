"""Hold the state of the log client."""

from dataclasses import dataclass, field

from trefoilsaddle.core.records import Record
from trefoilsaddle.core.units import RecordId, Seconds

NEVER = Seconds(float('-inf'))


@dataclass(slots=True)
class FollowState:
    """Hold the log client's reads, relays and unacknowledged records."""

    # Monotonic send time of the newest read known to have reached the tail.
    fresh_at: Seconds = NEVER
    # True once a read has failed and none has succeeded since.
    log_away: bool = False
    # Records waiting to be seen in the log, oldest first.
    outbox: dict[RecordId, Record] = field(default_factory=dict)
    # Monotonic time at which the read in flight was asked for, if any.
    reading_since: Seconds | None = None
    # Records of the append in flight.
    appending: tuple[RecordId, ...] = ()
    # Records that the log has acknowledged and the view does not show yet.
    acknowledged: set[RecordId] = field(default_factory=set)
    # No append leaves before this monotonic time.
    append_after: Seconds = NEVER
