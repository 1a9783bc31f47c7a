"""Imitate the platform's log in virtual time, with its faults."""

from dataclasses import dataclass, field

from trefoilsaddle.core.records import LogEntry, Record
from trefoilsaddle.core.units import Offset, Seconds

# Most entries that one read returns.
_READ_LIMIT = 100


@dataclass(frozen=True, slots=True)
class LogSlice:
    """Hold what one read of the log returns."""

    entries: tuple[LogEntry, ...]
    first: Offset
    tail: Offset


@dataclass(slots=True)
class LogFaults:
    """Switch the faults of the log on and off."""

    away: bool = False
    # The append takes effect, its reply is lost.
    lose_replies: bool = False
    # The append is lost before it takes effect.
    lose_appends: bool = False
    # Entries at the tail that reads do not see.
    stale_by: int = 0
    delay: Seconds = Seconds(0.002)


@dataclass(slots=True)
class FakeLog:
    """Keep entries by offset and drop the oldest when told."""

    entries: list[LogEntry] = field(default_factory=list)
    # Every entry ever appended, for comparison.
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
        """Append one entry."""
        offset = self.tail
        self.entries.append(LogEntry(offset, records))
        self.history.append(self.entries[-1])
        self.appends += 1
        return offset

    def read(self, start: Offset) -> LogSlice:
        """Read from an offset, or from the oldest entry kept."""
        self.reads += 1
        tail = Offset(max(self.first, self.tail - self.faults.stale_by))
        begin = max(start, self.first)
        visible = self.entries[begin - self.first : tail - self.first]
        return LogSlice(tuple(visible[:_READ_LIMIT]), self.first, tail)

    def expire(self, first: Offset) -> None:
        """Drop every entry before an offset."""
        dropped = min(max(first - self.first, 0), len(self.entries))
        self.entries = self.entries[dropped:]
        self.first = Offset(self.first + dropped)
