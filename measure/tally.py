"""Count the answers to callers by rank."""

from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from trefoilsaddle.results import Outcome

_MICROSECONDS = 1_000_000
_MAX_LATENCY = 60 * _MICROSECONDS
_DIGITS = 3
_MILLISECONDS = 1000
# Tolerance for rounding errors in differences of virtual times, in seconds.
_ROUNDING = 1e-6
_P50 = 50
_P99 = 99


def _build_histogram() -> HdrHistogram:
    return HdrHistogram(1, _MAX_LATENCY, _DIGITS)


@dataclass(frozen=True, slots=True)
class EndedCall:
    """Call that has been answered."""

    service: str
    rank: int
    arrived: float
    answered: float
    outcome: Outcome
    flooding: bool
    # True if the call was refused although idle slots could have run it.
    avoidable: bool


@dataclass(slots=True)
class RankTally:
    """Counts and latencies of the calls of a rank."""

    latencies: HdrHistogram = field(default_factory=_build_histogram)
    served: float = 0
    refused: float = 0
    unknown: float = 0
    avoidable: float = 0
    late: float = 0
    longest_refusal: float = 0

    def add(self, ended: EndedCall, weight: int, deadline: float) -> None:
        """Count a call with a weight, the number of servers of its service."""
        latency = ended.answered - ended.arrived
        if latency > deadline + _ROUNDING:
            self.late += weight
        if ended.outcome is Outcome.answered:
            self.served += weight
            micros = max(int(latency * _MICROSECONDS), 1)
            self.latencies.record_value(micros, weight)
        elif ended.outcome is Outcome.not_run:
            self.refused += weight
            self.avoidable += weight if ended.avoidable else 0
        else:
            self.unknown += weight

    def p50(self) -> float:
        """Return the median latency in milliseconds."""
        return self._percentile(_P50)

    def p99(self) -> float:
        """Return the 99th percentile of the latency in milliseconds."""
        return self._percentile(_P99)

    def _percentile(self, percent: int) -> float:
        micros = self.latencies.get_value_at_percentile(percent)
        return float(micros) / _MILLISECONDS


def find_longest_refusal(calls: list[EndedCall]) -> float:
    """Return the longest time during which all calls were refused."""
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


def _arrival(ended: EndedCall) -> float:
    return ended.arrived
