"""Round measures that gateways tell each other, so that they compress well.

A number of few binary digits has zero bytes, which the encoding leaves out.
"""

from trefoilsaddle.core.units import Seconds

# Parts of a request: an eighth of the least change of a load that is told.
_LOAD_STEPS = 32
# Parts of a second: 2 ms, where the shortest requests take 100 ms.
_TIME_STEPS = 512


def round_load(busy: float) -> float:
    """Round a mean number of requests."""
    return round(busy * _LOAD_STEPS) / _LOAD_STEPS


def round_time(time: Seconds) -> Seconds:
    """Round a time."""
    return Seconds(round(time * _TIME_STEPS) / _TIME_STEPS)
