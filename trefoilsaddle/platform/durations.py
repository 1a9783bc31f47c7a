"""Parse and format the platform's durations, such as `1500ms` or `2.5s`."""

from math import isfinite
from typing import Annotated

from pydantic import BeforeValidator

from trefoilsaddle.core.units import Seconds

_MILLISECONDS = 1000
_SUFFIX_MS = 'ms'
_SUFFIX_S = 's'


def read_duration(text: object) -> Seconds:
    """Parse a duration; raise `ValueError` if it is invalid."""
    if not isinstance(text, str):
        raise ValueError('a duration must be a string')
    if text.endswith(_SUFFIX_MS):
        seconds = float(text.removesuffix(_SUFFIX_MS)) / _MILLISECONDS
    elif text.endswith(_SUFFIX_S):
        seconds = float(text.removesuffix(_SUFFIX_S))
    else:
        raise ValueError('a duration must end with `ms` or `s`')
    if not isfinite(seconds) or seconds < 0:
        raise ValueError('a duration must be finite and not negative')
    return Seconds(seconds)


def write_duration(seconds: Seconds) -> str:
    """Format a duration, rounded to milliseconds."""
    return f'{round(seconds * _MILLISECONDS)}{_SUFFIX_MS}'


Duration = Annotated[float, BeforeValidator(read_duration)]
