"""Find the most frequently requested keys in bounded memory.

Implements the Space-Saving algorithm (Metwally et al., 2005): only a fixed
number of keys is counted; a new key replaces the one with the smallest count
and inherits that count.
"""

from dataclasses import dataclass, field

# Keys counted per server.
_MAX_COUNTED = 64


@dataclass(slots=True)
class CountedKey:
    """Hold the estimated count of one key and its greatest overestimate."""

    count: float
    excess: float


@dataclass(slots=True)
class KeySketch:
    """Count the most frequent keys by their hash."""

    counted: dict[int, CountedKey] = field(default_factory=dict)

    def record(self, key_hash: int) -> None:
        """Count one request for a key."""
        known = self.counted.get(key_hash)
        if known is None:
            self._begin_count(key_hash)
        else:
            known.count += 1

    def decay(self, factor: float) -> None:
        """Multiply all counts by a factor, so that older requests count less."""
        for known in self.counted.values():
            known.count *= factor
            known.excess *= factor

    def list_frequent(self, least: float) -> list[int]:
        """Return the keys whose true count is certainly at least `least`."""
        return [
            key_hash
            for key_hash, known in self.counted.items()
            if known.count - known.excess >= least
        ]

    def count_of(self, key_hash: int) -> float:
        """Return an upper bound on a key's count; zero if it is not counted."""
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
