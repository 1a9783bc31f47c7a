"""Limit the memory of callers' request bodies, and choose which give way.

A body is counted from when its length is known, or as it arrives, until its
request is answered. If there is no room for a body, unfinished ones give way,
the oldest first; requests that have been received whole are never given up.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from itertools import takewhile
from mmap import MAP_ANONYMOUS, MAP_PRIVATE, mmap
from operator import is_not

import trio

from trefoilsaddle.core.units import Seconds

# Largest body that may use the reserve, in bytes.
SMALL_BODY = 65_536
# Age from which an unfinished body gives way to others: a client that is not
# hindered sends a body at the limit in less on a link of 1 Gbit/s, and younger
# ones would replace each other without end.
MIN_AGE = Seconds(1)
# Memory of a gateway at rest: 56 MB were measured.
_REST_BYTES = 60_000_000
# Part of the remaining memory that bodies may take.  On the smallest machine
# (160 MB) it holds one body of 67,108,864 bytes beside the reserve.
_BODY_PART = 0.75
# Part of the budget that is kept for small bodies.
_RESERVED_PART = 0.1
# Part of the remaining memory that answers may take; on the smallest machine it
# holds one answer at the limit.
_ANSWER_PART = 0.2
# Part of it that connections may take before bodies have less.
_CONNECTIONS_PART = 0.05
# Memory of a caller's connection with an unfinished request: tasks, the parser,
# and the bytes that it was read.
_CONNECTION_BYTES = 65_536
# Memory that is assumed if the settings name none.
_DEFAULT_MEMORY = 300_000_000
# Least memory that is assumed to remain.
_MIN_ROOM = 10_000_000
# Size of the first mapping of a body without a length.
_FIRST_MAPPING = 262_144

Body = bytes | memoryview


def find_room(memory: int) -> int:
    """Return the memory that bodies, answers and connections may take."""
    return max(memory - _REST_BYTES, _MIN_ROOM)


def find_answer_room(memory: int) -> int:
    """Return the memory that answers may take."""
    return int(find_room(memory) * _ANSWER_PART)


def _ignore() -> None:
    """Give no way."""


@dataclass(slots=True)
class ConnectionShare:
    """Count the bytes of the bodies of one connection."""

    held: int = 0


@dataclass(slots=True, eq=False)
class BodyLease:
    """Hold the room of one body in the budget."""

    budget: 'BodyBudget'
    share: ConnectionShare
    # Time at which the first byte was expected.
    started: float
    # Called if the body has to give way.
    give_way: Callable[[], None]
    size: int = 0
    evicted: bool = False

    @property
    def is_small(self) -> bool:
        """Return whether the body may use the reserve."""
        return self.size <= SMALL_BODY

    def resize(self, size: int, now: float) -> bool:
        """Set the bytes of the body; return False if there is no room."""
        return not self.evicted and self.budget.resize(self, size, now)

    def finish(self) -> None:
        """Keep the room: the body is whole and does not give way."""
        self.budget.unfinished.pop(self, None)
        # What gives way refers to the body and to this lease.
        self.give_way = _ignore

    def close(self) -> None:
        """Release the room."""
        self.finish()
        self.budget.release(self)

    def evict(self) -> None:
        """Release the room of an unfinished body, and end its request."""
        self.evicted = True
        give_way = self.give_way
        self.close()
        give_way()


@dataclass(slots=True)
class BodyBudget:
    """Limit the bytes of all bodies in memory."""

    total: int
    # Bytes of it that only small bodies may use.
    reserve: int
    # Bytes of all bodies, and of those that are not small.
    held: int = 0
    large: int = 0
    # Bytes that connections may take beside the total, and those that they take.
    beside: int = 0
    connections: int = 0
    # Bodies that have not arrived completely, the oldest first.
    unfinished: dict[BodyLease, None] = field(default_factory=dict)
    # Held by the connection that may parse next.
    _turn: trio.Lock = field(default_factory=trio.Lock)

    def open(
        self,
        share: ConnectionShare,
        now: float,
        give_way: Callable[[], None],
    ) -> BodyLease:
        """Begin to count a body."""
        lease = BodyLease(self, share, now, give_way)
        self.unfinished[lease] = None
        return lease

    def resize(self, lease: BodyLease, size: int, now: float) -> bool:
        """Set the bytes of a body; return False if there is no room."""
        if size > lease.size:
            victims = self._find_victims(lease, size, now)
            if victims is None:
                return False
            for victim in victims:
                victim.evict()
        self._count(lease, size)
        return True

    def open_connection(self) -> None:
        """Count a connection, for which unfinished bodies may give way."""
        self.connections += _CONNECTION_BYTES
        if self.held > self._find_room():
            self._evict_oldest()

    def close_connection(self) -> None:
        """Count a connection no more."""
        self.connections -= _CONNECTION_BYTES

    def release(self, lease: BodyLease) -> None:
        """Count a body no more."""
        self._count(lease, 0)

    async def take_turn(self) -> None:
        """Wait until it is this connection's turn to parse on.

        One connection is let through in one iteration of the event loop, so
        that many tiny chunks on many connections do not block it.
        """
        async with self._turn:
            await trio.lowlevel.checkpoint()

    def _count(self, lease: BodyLease, size: int) -> None:
        added = size - lease.size
        self.large -= 0 if lease.is_small else lease.size
        lease.size = size
        self.large += 0 if lease.is_small else size
        self.held += added
        lease.share.held += added

    def _find_victims(
        self, lease: BodyLease, size: int, now: float
    ) -> list[BodyLease] | None:
        """Return the bodies that give way, or None if they do not suffice."""
        lacking = self._find_lack(lease, size)
        victims: list[BodyLease] = []
        candidates = self._list_candidates(lease, size, now)
        while lacking > 0:
            victim = next(candidates, None)
            if victim is None:
                return None
            victims.append(victim)
            lacking -= victim.size
        return victims

    def _evict_oldest(self) -> None:
        """Have unfinished bodies give way until the others have room."""
        for lease in tuple(self.unfinished):
            if self.held <= self._find_room():
                return
            if lease.size:
                lease.evict()

    def _find_room(self) -> int:
        return self.total - max(self.connections - self.beside, 0)

    def _find_lack(self, lease: BodyLease, size: int) -> int:
        room = self._find_room()
        lacking = self.held + size - lease.size - room
        if size <= SMALL_BODY:
            return lacking
        counted = 0 if lease.is_small else lease.size
        large = self.large + size - counted - room + self.reserve
        return max(lacking, large)

    def _list_candidates(
        self, lease: BodyLease, size: int, now: float
    ) -> Iterator[BodyLease]:
        """List the bodies that give way to another, the slowest first."""
        small = size <= SMALL_BODY
        # Those that follow are younger than the body itself.
        for other in takewhile(partial(is_not, lease), self.unfinished):
            old = now - other.started >= MIN_AGE
            # Small bodies need not wait for large ones to become old, and
            # large ones gain nothing from the room of small ones.
            suitable = small and old and other.size > 0
            if not other.is_small:
                suitable = small or old
            if suitable:
                yield other


def build_body_budget(memory: int = _DEFAULT_MEMORY) -> BodyBudget:
    """Build the budget of a machine with some bytes of memory."""
    total = int(find_room(memory) * _BODY_PART)
    beside = int(find_room(memory) * _CONNECTIONS_PART)
    return BodyBudget(total, int(total * _RESERVED_PART), beside=beside)


@dataclass(slots=True)
class BodyBuffer:
    """Collect a body without copies; its memory is freed at once.

    Large bodies are kept in a mapping of their own: its pages take memory only
    once they are written, it grows without being copied, and freeing it leaves
    no gaps in the heap.
    """

    # Announced length of the body, if any.
    announced: int = 0
    length: int = 0
    _small: bytearray = field(default_factory=bytearray)
    _large: mmap | None = None

    def add(self, received: bytes) -> None:
        """Add received bytes."""
        end = self.length + len(received)
        # Arrays that grow in the heap leave gaps when they are dropped.
        if self._large is None and max(end, self.announced) <= SMALL_BODY:
            self._small += received
        else:
            self._extend(end).write(received)
        self.length = end

    def finish(self) -> Body:
        """Return the whole body."""
        if self._large is None:
            return bytes(self._small)
        return memoryview(self._large)[: self.length].toreadonly()

    def drop(self) -> None:
        """Free the memory of an unfinished body."""
        self._small = bytearray()
        if self._large is not None:
            self._large.close()

    def _extend(self, end: int) -> mmap:
        large = self._large
        if large is None:
            size = max(self.announced, end, _FIRST_MAPPING)
            large = mmap(-1, size, flags=MAP_PRIVATE | MAP_ANONYMOUS)
            large.write(self._small)
            self._small = bytearray()
            self._large = large
        elif end > len(large):
            large.resize(max(end, 2 * len(large)))
        return large
