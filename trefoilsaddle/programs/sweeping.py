"""Close idle connections that can no longer be reused."""

from collections.abc import Callable, Iterable

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http.pool import ConnectionPool

# Equal to the maximum idle time, so that each connection is checked once or
# twice.
_SWEEP_INTERVAL = Seconds(3)


async def sweep_pools(
    list_pools: Callable[[], Iterable[ConnectionPool]],
    interval: Seconds = _SWEEP_INTERVAL,
) -> None:
    """Sweep connection pools at a fixed interval."""
    while True:
        await trio.sleep(interval)
        for pool in list(list_pools()):
            pool.sweep()
