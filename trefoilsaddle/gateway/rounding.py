"""Round the loads in messages between gateways, so that they compress well.

A number with few binary digits has zero bytes, which the encoding omits.
"""

from trefoilsaddle.core.units import Seconds

# Steps per request: a step is an eighth of the smallest change of a load that
# is sent.
_LOAD_STEPS = 32
# Steps per second: a step is 2 ms, and the shortest requests take 100 ms.
_TIME_STEPS = 512


def round_load(busy: float) -> float:
    """Round a mean number of requests."""
    return round(busy * _LOAD_STEPS) / _LOAD_STEPS


def round_time(time: Seconds) -> Seconds:
    """Round a time."""
    return Seconds(round(time * _TIME_STEPS) / _TIME_STEPS)
