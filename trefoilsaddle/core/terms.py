"""Generate provisional fencing tokens while the log is unavailable."""

from trefoilsaddle.core.units import Epoch, Offset

# Greater than any sequence of a record within its entry.
_FIRST_PROVISIONAL_SEQUENCE = 1_000_000


def next_provisional_epoch(applied: Offset, former: Epoch) -> Epoch:
    """Return a token greater than a former one and less than later entries.

    After entry 50 was applied, (10, 0) is followed by (50, 1000000), and
    that by (50, 1000001); entry 51 starts with (51, 0).
    """
    if former.offset < applied or not is_provisional(former):
        return Epoch(max(applied, former.offset), _FIRST_PROVISIONAL_SEQUENCE)
    return Epoch(former.offset, former.sequence + 1)


def is_provisional(epoch: Epoch) -> bool:
    """Return whether a token was generated without the log."""
    return epoch.sequence >= _FIRST_PROVISIONAL_SEQUENCE
