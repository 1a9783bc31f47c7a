"""Make fencing tokens for what is done while the log is away."""

from trefoilsaddle.core.units import Epoch, Offset


def next_epoch(applied: Offset, former: Epoch) -> Epoch:
    """Return a token above a former one and below any later log entry.

    After entry 50 was applied, (10, 0) is followed by (50, 1), and (50, 1)
    by (50, 2); entry 51 brings (51, 0).
    """
    if former.offset >= applied:
        return Epoch(former.offset, former.sequence + 1)
    return Epoch(applied, 1)
