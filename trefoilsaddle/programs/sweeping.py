"""Close idle connections that are of no more use."""

from collections.abc import Callable, Iterable

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http.pool import ConnectionPool

# As long as a connection may be idle: each is looked at once or twice.
_SWEEP_INTERVAL = Seconds(3)


async def sweep_pools(
    list_pools: Callable[[], Iterable[ConnectionPool]],
    interval: Seconds = _SWEEP_INTERVAL,
) -> None:
    """Sweep connection pools again and again."""
    while True:
        await trio.sleep(interval)
        for pool in list(list_pools()):
            pool.sweep()
