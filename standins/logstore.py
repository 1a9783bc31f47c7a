"""Log store of the log service for tests; callers pass the current time."""

from collections import deque
from dataclasses import dataclass

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import Offset, Seconds
from trefoilsaddle.results import ResultCode

# In seconds.
_RETENTION = 3600


@dataclass(frozen=True, slots=True)
class StoredEntry:
    """Text of one append, with its offset and time."""

    offset: Offset
    text: str
    appended: Seconds


@dataclass(frozen=True, slots=True)
class StoredPage:
    """Result of a read."""

    first: Offset
    tail: Offset
    entries: tuple[StoredEntry, ...]


@dataclass(frozen=True, slots=True)
class LogLimits:
    """Limits on the append rate, the sizes and the retention."""

    # Appends per second, and the largest burst after an idle second.
    append_rate: float = 300
    # Time for which an entry is kept, in seconds.
    retention: Seconds = Seconds(_RETENTION)
    # Maximum number of entries kept.
    entry_count: int = 100_000
    # Maximum length of one appended text, in characters.
    text_length: int = 1_000_000


@dataclass(frozen=True, slots=True)
class LogSwitches:
    """Faults of the service that can be switched on."""

    # Every read and append is refused.
    outage: bool = False
    # Delay of every answer, in seconds.
    delay: Seconds = Seconds(0)
    # Number of future appends that take effect but get no answer.
    lost_replies: int = 0
    # Number of newest entries that reads omit.
    stale_entries: int = 0


class LogStore:
    """Log entries with the limits and faults of the service."""

    def __init__(self, limits: LogLimits | None = None) -> None:
        """Start with an empty log."""
        self.limits = limits or LogLimits()
        self.switches = LogSwitches()
        self._entries: deque[StoredEntry] = deque()
        self._tail = Offset(0)
        self._tokens = self.limits.append_rate
        self._refilled: Seconds | None = None

    def append(self, now: Seconds, text: str) -> Offset | Failure:
        """Append a text; it may be stored even if a failure is returned."""
        refusal = self._refuse_append(now, text)
        if refusal is not None:
            return refusal
        offset = self._tail
        self._entries.append(StoredEntry(offset, text, now))
        self._tail = Offset(offset + 1)
        self._expire(now)
        if self.switches.lost_replies:
            self._count_lost_reply()
            return Failure(ResultCode.log_unavailable, 'the reply was lost')
        return offset

    def read(
        self,
        now: Seconds,
        start: Offset,
        limit: int,
    ) -> StoredPage | Failure:
        """Return up to `limit` entries from an offset, oldest first."""
        if self.switches.outage:
            return Failure(ResultCode.log_unavailable, 'the log is down')
        self._expire(now)
        tail = max(0, self._tail - self.switches.stale_entries)
        first = min(self.first, tail)
        skipped = max(0, start - self.first)
        seen = [
            self._entries[index]
            for index in range(
                skipped,
                min(skipped + limit, tail - self.first),
            )
        ]
        return StoredPage(Offset(first), Offset(tail), tuple(seen))

    @property
    def first(self) -> Offset:
        """Return the oldest offset that is kept."""
        return Offset(self._tail - len(self._entries))

    @property
    def tail(self) -> Offset:
        """Return the offset of the next append."""
        return self._tail

    def _refuse_append(self, now: Seconds, text: str) -> Failure | None:
        if self.switches.outage:
            return Failure(ResultCode.log_unavailable, 'the log is down')
        if len(text) > self.limits.text_length:
            return Failure(ResultCode.malformed, 'the text is too long')
        if not self._take_token(now):
            return Failure(ResultCode.log_unavailable, 'too many appends')
        return None

    def _take_token(self, now: Seconds) -> bool:
        rate = self.limits.append_rate
        elapsed = 0 if self._refilled is None else now - self._refilled
        self._refilled = now
        self._tokens = min(rate, self._tokens + elapsed * rate)
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    def _count_lost_reply(self) -> None:
        self.switches = LogSwitches(
            outage=self.switches.outage,
            delay=self.switches.delay,
            lost_replies=self.switches.lost_replies - 1,
            stale_entries=self.switches.stale_entries,
        )

    def _expire(self, now: Seconds) -> None:
        oldest = now - self.limits.retention
        while self._entries and (
            len(self._entries) > self.limits.entry_count
            or self._entries[0].appended < oldest
        ):
            self._entries.popleft()
