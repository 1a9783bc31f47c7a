"""Limit the memory used by answers."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

# Default limit on one answer, in bytes received: the embedded client also
# accepts bodies of 16 MiB, and the framing adds little.
MAX_ANSWER_BYTES = 16_777_216
# Default limit on all answers together: the smallest machines have 200 MB, of
# which the process itself uses 60 MB and half is left free.
_MAX_HELD_BYTES = 50_331_648


class TooLargeError(Exception):
    """Raised when an answer exceeds a limit."""


@dataclass(slots=True)
class AnswerBudget:
    """Limit the bytes of one answer and of all answers in memory."""

    # Limit on one answer, in bytes.
    max_answer: int = MAX_ANSWER_BYTES
    # Limit on all answers together, in bytes.
    max_total: int = _MAX_HELD_BYTES
    held: int = 0

    @contextmanager
    def hold(self, count: int) -> Iterator[None]:
        """Count bytes already in memory until the block ends."""
        self.held += count
        with ExitStack() as stack:
            stack.callback(self._free, count)
            yield

    @contextmanager
    def reserve(self) -> Iterator['AnswerReservation']:
        """Open the reservation of an answer that is being read."""
        reservation = AnswerReservation(self)
        with ExitStack() as stack:
            stack.callback(reservation.release)
            yield reservation

    def _free(self, count: int) -> None:
        self.held -= count


@dataclass(slots=True)
class AnswerReservation:
    """Count the bytes of one answer while it is being read."""

    budget: AnswerBudget
    taken: int = 0

    def add(self, count: int) -> None:
        """Add received bytes; raise TooLargeError above a limit."""
        self.taken += count
        self.budget.held += count
        if (
            self.taken > self.budget.max_answer
            or self.budget.held > self.budget.max_total
        ):
            raise TooLargeError

    def release(self) -> None:
        """Release the bytes: the answer was dropped or passed on."""
        self.budget.held -= self.taken
        self.taken = 0
