"""Find the keys that are asked for most, in bounded memory.

Space-saving counts (Metwally et al., 2005): of many keys only a fixed number
is counted; a new key takes the place and the count of the least one.
"""

from dataclasses import dataclass, field

# Keys that are counted per server.
_MAX_COUNTED = 64


@dataclass(slots=True)
class CountedKey:
    """Hold the count of one key and how much of it may be too much."""

    count: float
    excess: float


@dataclass(slots=True)
class KeySketch:
    """Count the keys that are asked for most, by their hash."""

    counted: dict[int, CountedKey] = field(default_factory=dict)

    def record(self, key_hash: int) -> None:
        """Count one request."""
        known = self.counted.get(key_hash)
        if known is None:
            self._begin_count(key_hash)
        else:
            known.count += 1

    def decay(self, factor: float) -> None:
        """Let what was counted before weigh less."""
        for known in self.counted.values():
            known.count *= factor
            known.excess *= factor

    def list_frequent(self, least: float) -> list[int]:
        """Return the keys that were surely asked for so often."""
        return [
            key_hash
            for key_hash, known in self.counted.items()
            if known.count - known.excess >= least
        ]

    def count_of(self, key_hash: int) -> float:
        """Return the greatest count that a key may have had."""
        known = self.counted.get(key_hash)
        return 0 if known is None else known.count

    def _begin_count(self, key_hash: int) -> None:
        count: float = 0
        if len(self.counted) == _MAX_COUNTED:
            least = min(self.counted, key=self._count_of_counted)
            count = self.counted.pop(least).count
        self.counted[key_hash] = CountedKey(count + 1, count)

    def _count_of_counted(self, key_hash: int) -> float:
        return self.counted[key_hash].count
