"""Limit the memory and the time used by answers, and count their bytes."""

from dataclasses import dataclass, field

import trio

from trefoilsaddle.traffic import ByteCount

# Default limit on one answer, in bytes received: the embedded client also
# accepts bodies of 16 MiB, and the framing adds little.
MAX_ANSWER_BYTES = 16_777_216
# Default limit on all answers together: the smallest machines have 200 MB, of
# which the process itself uses 60 MB and half is left free.
_MAX_HELD_BYTES = 50_331_648
# Limit on the answers that are read slowly at a time; each waits for its turn
# behind the others, and the kernel holds up to 100 KB of it meanwhile.
_MAX_SLOW = 32
# Part of the limit on all answers that may be read in one turn of the loop:
# answers that give way meanwhile are freed in the next one.
_TURN_PART = 0.25
# Least limit on one read, in bytes.
_MIN_READ_BYTES = 4096
# Pause in seconds between two parts of the work on slow answers; a part takes
# about 1 ms.
_SLOW_PAUSE = 0.004
# Limit on the events of the parser between two turns of the event loop; they
# take about 1 ms.  64 KB of one-byte chunks are 10,900 events.
_MAX_EVENTS_IN_TURN = 32
# Events of an answer after which it is read slowly: 1 MB in chunks of 1 KB.
_MAX_FAST_EVENTS = 1024


class TooLargeError(Exception):
    """Raised when an answer exceeds a limit."""


@dataclass(slots=True)
class AnswerBudget:
    """Limit the bytes of answers in memory, and the work on them at a time."""

    # Limit on one answer, in bytes.
    max_answer: int = MAX_ANSWER_BYTES
    # Limit on all answers together, in bytes.
    max_total: int = _MAX_HELD_BYTES
    held: int = 0
    # Answers that are being read, and those that are read slowly.
    reading: dict['AnswerReservation', None] = field(default_factory=dict)
    slow: dict['AnswerReservation', None] = field(default_factory=dict)
    # Bytes of the requests and answers of all exchanges so far.
    traffic: ByteCount = field(default_factory=ByteCount)
    # Passed on in the order of arrival, to one task in each turn of the loop.
    _turn: trio.Lock = field(default_factory=trio.Lock)
    _slow_turn: trio.Lock = field(default_factory=trio.Lock)

    async def wait_for_turn(self) -> None:
        """Let other tasks run, before an answer takes more work.

        Answers that take much work are continued one in each turn of the event
        loop, so that many of them delay it no more than one does.
        """
        async with self._turn:
            return

    async def wait_for_slow_turn(
        self, reservation: 'AnswerReservation'
    ) -> None:
        """Pause before an answer takes even more work.

        Such answers are continued one after each pause, so that they leave most
        of the processor's time to other requests.  If too many wait, the one
        that has taken the most work is given up.
        """
        self.slow[reservation] = None
        if len(self.slow) > _MAX_SLOW:
            max(self.slow, key=_read_events).give_up()
        async with self._slow_turn:
            await trio.sleep(_SLOW_PAUSE)

    def limit_read(self, most: int) -> int:
        """Return how many bytes of an answer may be read at once."""
        share = int(self.max_total * _TURN_PART / max(len(self.reading), 1))
        return max(min(most, share), _MIN_READ_BYTES)

    def hold(self, count: int) -> 'AnswerReservation':
        """Count bytes already in memory until the block ends."""
        self.held += count
        return AnswerReservation(self, count)

    def reserve(self) -> 'AnswerReservation':
        """Open the reservation of an answer that is being read."""
        reservation = AnswerReservation(self)
        self.reading[reservation] = None
        return reservation

    def make_room(self, wanted: 'AnswerReservation') -> bool:
        """Give up the largest answers; return False if that one is the largest.

        An answer without an end would else leave no room for the others.
        """
        while self.held > self.max_total:
            largest = max(self.reading, key=_read_size)
            if largest.taken <= wanted.taken:
                return False
            largest.give_up()
        return True


@dataclass(slots=True, eq=False)
class AnswerReservation:
    """Count the bytes of one answer while it is read or held."""

    budget: AnswerBudget
    taken: int = 0
    # Events of the parser so far.
    events: int = 0
    # Cancelled if the answer has to give way to others.
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def __enter__(self) -> 'AnswerReservation':
        """Count until the block ends."""
        return self

    def __exit__(self, *error: object) -> None:
        """Release the bytes: the answer was dropped or passed on."""
        self._release()

    def add(self, count: int) -> None:
        """Add received bytes; raise TooLargeError above a limit."""
        self.taken += count
        self.budget.held += count
        self.budget.traffic.received += count
        if self.scope.cancel_called or self.taken > self.budget.max_answer:
            raise TooLargeError
        if not self.budget.make_room(self):
            raise TooLargeError

    async def count_event(self) -> None:
        """Count an event of the parser, and wait after some of them."""
        self.events += 1
        if self.events % _MAX_EVENTS_IN_TURN:
            return
        if self.events > _MAX_FAST_EVENTS:
            await self.budget.wait_for_slow_turn(self)
        else:
            await self.budget.wait_for_turn()

    def give_up(self) -> None:
        """Release the bytes, and stop the reading."""
        self._release()
        self.scope.cancel()

    def _release(self) -> None:
        self.budget.reading.pop(self, None)
        self.budget.slow.pop(self, None)
        self.budget.held -= self.taken
        self.taken = 0


def _read_size(reservation: AnswerReservation) -> int:
    return reservation.taken


def _read_events(reservation: AnswerReservation) -> int:
    return reservation.events
