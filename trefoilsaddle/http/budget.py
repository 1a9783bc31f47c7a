"""Bound the bytes of answers that are read and held."""

from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass

# Largest answer that is read, in bytes as they come: the embedded client
# takes bodies of 16 MiB as well, and framing is little beside that.
MAX_ANSWER_BYTES = 16_777_216
# Bytes of all answers that are held: the smallest machines have 200 MB, of
# which a process takes 60 MB and a half is left free.
_MAX_HELD_BYTES = 50_331_648


class TooLargeError(Exception):
    """Tell that an answer has passed a bound."""


@dataclass(slots=True)
class AnswerBudget:
    """Count the bytes of answers that are held at once."""

    # Largest answer, in bytes.
    max_answer: int = MAX_ANSWER_BYTES
    # Most bytes of all answers.
    max_total: int = _MAX_HELD_BYTES
    held: int = 0

    @contextmanager
    def hold(self, count: int) -> Iterator[None]:
        """Count bytes that are held already for as long as they are."""
        self.held += count
        with ExitStack() as stack:
            stack.callback(self._free, count)
            yield

    @contextmanager
    def open(self) -> Iterator['AnswerReservation']:
        """Count the bytes of one answer while it is read."""
        reservation = AnswerReservation(self)
        with ExitStack() as stack:
            stack.callback(reservation.free)
            yield reservation

    def _free(self, count: int) -> None:
        self.held -= count


@dataclass(slots=True)
class AnswerReservation:
    """Count the bytes of one answer."""

    budget: AnswerBudget
    taken: int = 0

    def take(self, count: int) -> None:
        """Count received bytes (TooLargeError)."""
        self.taken += count
        self.budget.held += count
        if (
            self.taken > self.budget.max_answer
            or self.budget.held > self.budget.max_total
        ):
            raise TooLargeError

    def free(self) -> None:
        """Stop counting: the answer is dropped or handed over."""
        self.budget.held -= self.taken
        self.taken = 0
