"""Return errors as sentinel values with a reason, instead of raising."""

from dataclasses import dataclass

from trefoilsaddle.results import ResultCode


@dataclass(frozen=True, slots=True)
class Failure:
    """Carry the numbered code of a failure and one sentence about it."""

    code: ResultCode
    reason: str
