"""Simulated log of the platform, with faults."""

from dataclasses import dataclass, field

from trefoilsaddle.core.records import LogEntry, Record
from trefoilsaddle.core.units import Offset, Seconds

# Maximum number of entries per read.
_READ_LIMIT = 100


@dataclass(frozen=True, slots=True)
class LogSlice:
    """Result of a read."""

    entries: tuple[LogEntry, ...]
    first: Offset
    tail: Offset


@dataclass(slots=True)
class LogFaults:
    """Faults of the log that can be switched on."""

    # Every read and append fails after a timeout.
    away: bool = False
    # Appends take effect, but their replies are lost.
    lose_replies: bool = False
    # Appends are lost before they take effect.
    lose_appends: bool = False
    # Number of newest entries that reads omit.
    stale_by: int = 0
    delay: Seconds = Seconds(0.002)


@dataclass(slots=True)
class FakeLog:
    """In-memory log whose oldest entries can be dropped."""

    entries: list[LogEntry] = field(default_factory=list)
    # All entries ever appended, for comparison.
    history: list[LogEntry] = field(default_factory=list)
    first: Offset = Offset(0)
    faults: LogFaults = field(default_factory=LogFaults)
    appends: int = 0
    reads: int = 0

    @property
    def tail(self) -> Offset:
        """Return the offset after the newest entry."""
        return Offset(self.first + len(self.entries))

    def append(self, records: tuple[Record, ...]) -> Offset:
        """Append an entry and return its offset."""
        offset = self.tail
        self.entries.append(LogEntry(offset, records))
        self.history.append(self.entries[-1])
        self.appends += 1
        return offset

    def read(self, start: Offset) -> LogSlice:
        """Read from an offset, or from the oldest retained entry if later."""
        self.reads += 1
        tail = Offset(max(self.first, self.tail - self.faults.stale_by))
        begin = max(start, self.first)
        visible = self.entries[begin - self.first : tail - self.first]
        return LogSlice(tuple(visible[:_READ_LIMIT]), self.first, tail)

    def expire(self, first: Offset) -> None:
        """Drop all entries before an offset."""
        dropped = min(max(first - self.first, 0), len(self.entries))
        self.entries = self.entries[dropped:]
        self.first = Offset(self.first + dropped)
