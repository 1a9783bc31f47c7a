"""Count the bytes that a process sends and receives, by purpose."""

from dataclasses import dataclass


@dataclass(slots=True)
class ByteCount:
    """Count the bytes of one purpose in both directions."""

    sent: int = 0
    received: int = 0
    # Messages, requests or answers that were sent.
    messages: int = 0

    def count_sent(self, size: int) -> None:
        """Count a message and its bytes."""
        self.sent += size
        self.messages += 1

    def copy(self) -> 'ByteCount':
        """Return the present counts."""
        return ByteCount(self.sent, self.received, self.messages)

    def subtract(self, earlier: 'ByteCount') -> 'ByteCount':
        """Return what was counted since an earlier copy."""
        return ByteCount(
            self.sent - earlier.sent,
            self.received - earlier.received,
            self.messages - earlier.messages,
        )
