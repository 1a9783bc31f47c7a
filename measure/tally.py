"""Count what callers were told, by rank."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from trefoilsaddle.results import Outcome

_MICROSECONDS = 1_000_000
_LONGEST = 60 * _MICROSECONDS
_DIGITS = 3
_MILLISECONDS = 1000
# Differences of virtual times are not exact.
_ROUNDING = 1e-6
_P50 = 50
_P99 = 99


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, _LONGEST, _DIGITS)


@dataclass(frozen=True, slots=True)
class Ended:
    """Hold one call that has been answered."""

    service: str
    rank: int
    arrived: float
    answered: float
    outcome: Outcome
    flooding: bool
    # True if a slot was idle in time to run what was refused.
    wrongly: bool


@dataclass(slots=True)
class RankTally:
    """Count the calls of one rank."""

    latencies: HdrHistogram = field(default_factory=_build_histogram)
    served: float = 0
    refused: float = 0
    unknown: float = 0
    wrongly: float = 0
    late: float = 0
    longest_refusal: float = 0

    def add(self, ended: Ended, weight: int, deadline: float) -> None:
        """Count one call, as often as there are servers like its own."""
        latency = ended.answered - ended.arrived
        if latency > deadline + _ROUNDING:
            self.late += weight
        if ended.outcome is Outcome.answered:
            self.served += weight
            micros = max(int(latency * _MICROSECONDS), 1)
            self.latencies.record_value(micros, weight)
        elif ended.outcome is Outcome.not_run:
            self.refused += weight
            self.wrongly += weight if ended.wrongly else 0
        else:
            self.unknown += weight

    def p50(self) -> float:
        """Return the median latency in milliseconds."""
        return self._percentile(_P50)

    def p99(self) -> float:
        """Return the latency of 99 in 100 in milliseconds."""
        return self._percentile(_P99)

    def _percentile(self, percent: int) -> float:
        micros = self.latencies.get_value_at_percentile(percent)
        return float(micros) / _MILLISECONDS


def find_longest_refusal(calls: list[Ended]) -> float:
    """Return the longest time in which every call of a rank was refused."""
    longest: float = 0
    begin: float | None = None
    for ended in sorted(calls, key=_arrival):
        if ended.outcome is not Outcome.not_run:
            begin = None
            continue
        if begin is None:
            begin = ended.arrived
        longest = max(longest, ended.arrived - begin)
    return longest


def _arrival(ended: Ended) -> float:
    return ended.arrived
