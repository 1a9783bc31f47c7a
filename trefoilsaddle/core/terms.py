"""Make fencing tokens for what is done while the log is away."""

from trefoilsaddle.core.units import Epoch, Offset

# Above any place of a record within its entry.
_FIRST_PROVISIONAL_SEQUENCE = 1_000_000


def next_epoch(applied: Offset, former: Epoch) -> Epoch:
    """Return a token above a former one and below any later log entry.

    After entry 50 was applied, (10, 0) is followed by (50, 1000000), and
    that by (50, 1000001); entry 51 brings (51, 0).
    """
    if former.offset < applied or not is_provisional(former):
        return Epoch(max(applied, former.offset), _FIRST_PROVISIONAL_SEQUENCE)
    return Epoch(former.offset, former.sequence + 1)


def is_provisional(epoch: Epoch) -> bool:
    """Tell a token that was made without the log."""
    return epoch.sequence >= _FIRST_PROVISIONAL_SEQUENCE
