"""Define keys and closed ranges of keys."""

from dataclasses import dataclass
from typing import NewType

# Position of a request's data in the key space of its service.
Key = NewType('Key', int)

FIRST_KEY = Key(0)
# The platform uses 16-bit keys.
LAST_KEY = Key(65_535)


@dataclass(frozen=True, slots=True, order=True)
class KeyRange:
    """Hold a range of keys, both ends included."""

    first: Key
    last: Key

    @property
    def width(self) -> int:
        """Return the number of keys."""
        return self.last - self.first + 1

    def contains(self, key: Key) -> bool:
        """Return whether a key lies in the range."""
        return self.first <= key <= self.last

    def overlaps(self, other: 'KeyRange') -> bool:
        """Return whether two ranges share a key."""
        return self.first <= other.last and other.first <= self.last


ALL_KEYS = KeyRange(FIRST_KEY, LAST_KEY)


def divide_keys(parts: int) -> list[KeyRange]:
    """Divide the key space into ranges of nearly equal size."""
    size = LAST_KEY + 1
    bounds = [size * part // parts for part in range(parts + 1)]
    return [
        KeyRange(Key(first), Key(last - 1))
        for first, last in zip(bounds, bounds[1:], strict=False)
    ]


def cut_range(whole: KeyRange, part: KeyRange) -> list[KeyRange]:
    """Return the ranges that remain on both sides of a part."""
    rest = []
    if whole.first < part.first:
        rest.append(KeyRange(whole.first, Key(part.first - 1)))
    if part.last < whole.last:
        rest.append(KeyRange(Key(part.last + 1), whole.last))
    return rest
