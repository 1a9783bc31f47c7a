"""Define the value that functions return, not raise, on failure."""

from dataclasses import dataclass

from trefoilsaddle.results import ResultCode


@dataclass(frozen=True, slots=True)
class Failure:
    """Hold the numeric code of a failure and a one-sentence reason."""

    code: ResultCode
    reason: str
