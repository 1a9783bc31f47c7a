"""Define the state of the log client."""

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
    """Hold the read request that this process has sent to a relay."""

    relay: NodeId
    sequence: int
    # Monotonic time; the relay's read of the log starts later than this.
    sent_at: Seconds


@dataclass(frozen=True, slots=True)
class PeerRead:
    """Hold a peer's read request at the relay."""

    sequence: int
    start: Offset


@dataclass(slots=True)
class RelayState:
    """Hold the state of the relay protocol, as a client and as the relay."""

    request: RelayRequest | None = None
    next_sequence: int = 0
    # Monotonic time until which each failed relay is not used.
    skipped_until: dict[NodeId, Seconds] = field(default_factory=dict)
    # Requests that arrived since the last read started.
    waiting: dict[NodeId, PeerRead] = field(default_factory=dict)
    # Requests that the read in flight will answer.
    reading_for: dict[NodeId, PeerRead] = field(default_factory=dict)
    # Latest entries, oldest first, without the texts of snapshots.
    recent: deque[LogEntry] = field(default_factory=deque)


@dataclass(slots=True)
class CatchUp:
    """Hold the scan of the log for a snapshot after a gap."""

    # Next offset to read.
    position: Offset
    collector: SnapshotCollector = field(default_factory=SnapshotCollector)


@dataclass(slots=True)
class OutboxState:
    """Hold the append in flight and the results of earlier ones."""

    # Records of the append in flight.
    appending: tuple[RecordId, ...] = ()
    # Offsets of acknowledged records that the view does not reflect yet.
    acknowledged: dict[RecordId, Offset] = field(default_factory=dict)
    # Earliest monotonic time of the next append.
    append_after: Seconds = NEVER
    # Monotonic time of the last failure; appends resume once a newer read
    # shows which records took effect.
    failed_at: Seconds = NEVER


@dataclass(slots=True)
class StateExchange:
    """Hold the state of exchanging whole views with peers."""

    sequence: int = 0
    asked_peer: NodeId | None = None
    # Serialized view and the offset that it covers.
    offset: Offset = NO_OFFSET
    text: str = ''


@dataclass(slots=True)
class SnapshotWatch:
    """Track the age of the newest snapshot."""

    first_part: Offset = NO_OFFSET
    # Monotonic time since which this snapshot has been the newest.
    since: Seconds = NEVER
    # False until this process has read the log to its tail once.
    settled: bool = False


@dataclass(slots=True)
class FollowState:
    """Hold the state of the log client: reads, relay, appends, snapshots."""

    # Monotonic send time of the latest read that reached the tail.
    fresh_at: Seconds = NEVER
    # True after a read has failed, until one succeeds.
    log_away: bool = False
    # Records not yet confirmed to be in the log, oldest first.
    outbox: dict[RecordId, Record] = field(default_factory=dict)
    appends: OutboxState = field(default_factory=OutboxState)
    # Monotonic time at which the read in flight was sent, if any.
    reading_since: Seconds | None = None
    # Monotonic time of the last read without the relay.
    direct_read_at: Seconds = NEVER
    # Oldest offset known to be kept in the log.
    first: Offset = NO_OFFSET
    relay: RelayState = field(default_factory=RelayState)
    # Set while a gap keeps this process from applying entries.
    catch_up: CatchUp | None = None
    exchange: StateExchange = field(default_factory=StateExchange)
    snapshot_watch: SnapshotWatch = field(default_factory=SnapshotWatch)
