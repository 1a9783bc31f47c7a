"""Hold the state of the log client."""

from collections import deque
from dataclasses import dataclass, field

from trefoilsaddle.core.records import LogEntry, Record
from trefoilsaddle.core.snapshots import SnapshotCollector
from trefoilsaddle.core.units import (
    NO_OFFSET,
    NodeId,
    Offset,
    RecordId,
    Seconds,
)

NEVER = Seconds(float('-inf'))


@dataclass(frozen=True, slots=True)
class RelayRequest:
    """Remember what this process has asked a relay for."""

    relay: NodeId
    sequence: int
    # Monotonic time; the relay's read begins later than this.
    sent_at: Seconds


@dataclass(frozen=True, slots=True)
class PeerRead:
    """Remember what a peer waits for, at the relay."""

    sequence: int
    start: Offset


@dataclass(slots=True)
class RelayState:
    """Hold both sides of the relay in a zone."""

    request: RelayRequest | None = None
    next_sequence: int = 0
    # Relays that failed, and until when they are passed over.
    skipped_until: dict[NodeId, Seconds] = field(default_factory=dict)
    # Peers that asked since the last read began.
    waiting: dict[NodeId, PeerRead] = field(default_factory=dict)
    # Peers that the read in flight is for.
    reading_for: dict[NodeId, PeerRead] = field(default_factory=dict)
    # Newest entries, oldest first, without the texts of snapshots.
    recent: deque[LogEntry] = field(default_factory=deque)


@dataclass(slots=True)
class CatchUp:
    """Hold the search for a snapshot after a gap."""

    # Next offset to look at.
    position: Offset
    collector: SnapshotCollector = field(default_factory=SnapshotCollector)


@dataclass(slots=True)
class OutboxState:
    """Hold what is known of the appends of this process."""

    # Records of the append in flight.
    appending: tuple[RecordId, ...] = ()
    # Offsets of acknowledged records that the view does not show yet.
    acknowledged: dict[RecordId, Offset] = field(default_factory=dict)
    # No append leaves before this monotonic time.
    append_after: Seconds = NEVER
    # After a failure, a newer read has to show what took effect.
    failed_at: Seconds = NEVER


@dataclass(slots=True)
class StateExchange:
    """Hold the exchange of whole views with peers."""

    sequence: int = 0
    asked: NodeId | None = None
    # Written view and the offset that it covers.
    offset: Offset = NO_OFFSET
    text: str = ''


@dataclass(slots=True)
class SnapshotWatch:
    """Hold since when the newest snapshot has been the newest."""

    first_part: Offset = NO_OFFSET
    # Monotonic time.
    since: Seconds = NEVER
    # False until the process has followed the log to its tail once.
    settled: bool = False


@dataclass(slots=True)
class FollowState:
    """Hold the log client's reads, relays and unacknowledged records."""

    # Monotonic send time of the newest read known to have reached the tail.
    fresh_at: Seconds = NEVER
    # True once a read has failed and none has succeeded since.
    log_away: bool = False
    # Records waiting to be seen in the log, oldest first.
    outbox: dict[RecordId, Record] = field(default_factory=dict)
    appends: OutboxState = field(default_factory=OutboxState)
    # Monotonic time at which the read in flight was sent, if any.
    reading_since: Seconds | None = None
    # Monotonic time at which this process itself last read the log.
    direct_read_at: Seconds = NEVER
    # Oldest offset that the log was seen to hold.
    first: Offset = NO_OFFSET
    relay: RelayState = field(default_factory=RelayState)
    # Present while a gap keeps this process from following.
    catch_up: CatchUp | None = None
    exchange: StateExchange = field(default_factory=StateExchange)
    snapshot_watch: SnapshotWatch = field(default_factory=SnapshotWatch)
