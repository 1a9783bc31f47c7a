"""Limit the memory used by answers, and count their bytes."""

from dataclasses import dataclass, field

from trefoilsaddle.traffic import ByteCount

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
    # Bytes of the requests and answers of all exchanges so far.
    traffic: ByteCount = field(default_factory=ByteCount)

    def hold(self, count: int) -> 'AnswerReservation':
        """Count bytes already in memory until the block ends."""
        self.held += count
        return AnswerReservation(self, count)

    def reserve(self) -> 'AnswerReservation':
        """Open the reservation of an answer that is being read."""
        return AnswerReservation(self)


@dataclass(slots=True)
class AnswerReservation:
    """Count the bytes of one answer while it is read or held."""

    budget: AnswerBudget
    taken: int = 0

    def __enter__(self) -> 'AnswerReservation':
        """Count until the block ends."""
        return self

    def __exit__(self, *error: object) -> None:
        """Release the bytes: the answer was dropped or passed on."""
        self.budget.held -= self.taken
        self.taken = 0

    def add(self, count: int) -> None:
        """Add received bytes; raise TooLargeError above a limit."""
        self.taken += count
        self.budget.held += count
        self.budget.traffic.received += count
        if (
            self.taken > self.budget.max_answer
            or self.budget.held > self.budget.max_total
        ):
            raise TooLargeError
