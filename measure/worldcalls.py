"""Hold the results of callers' requests."""

from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.results import ResultCode


@dataclass(slots=True)
class CallResult:
    """Result of a caller's request."""

    sent: Seconds
    rank: int = 0
    ended: Seconds | None = None
    served: bool = False
    not_run: bool = False
    code: ResultCode | None = None
    retry_after: Seconds = Seconds(0)
    attempts: int = 0
