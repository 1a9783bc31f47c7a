"""Load phases of the request path measurement, and counts of the answers."""

from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from functools import partial

from hdrh.histogram import HdrHistogram

from standins.caller import CallerRequest

SERVICE = 'catalogue'
_KEYS = 500
_BODY = bytes(256)
_WARM_UP_SECONDS = 2
_MICROSECONDS = 1_000_000
_MAX_LATENCY = 60_000_000
_DIGITS = 3


@dataclass(frozen=True, slots=True)
class Load:
    """Phase of a measurement: a request, its rate and the duration."""

    title: str
    request: CallerRequest
    rate: float
    seconds: float

    def list_requests(self) -> Iterator[CallerRequest]:
        """Yield the requests of the phase, spread over many keys."""
        for number in range(int(self.rate * self.seconds)):
            key = number % _KEYS
            yield replace(self.request, key=f'key-{key}')


@dataclass(slots=True)
class Tally:
    """Outcomes and latencies of a phase."""

    outcomes: dict[str, int] = field(default_factory=dict)
    latency: HdrHistogram = field(
        default_factory=partial(HdrHistogram, 1, _MAX_LATENCY, _DIGITS),
    )

    @property
    def count(self) -> int:
        """Return the number of answers."""
        return sum(self.outcomes.values())

    def add(self, outcome: str, seconds: float) -> None:
        """Record an answer and its latency."""
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.latency.record_value(max(1, int(seconds * _MICROSECONDS)))


def list_loads(rate: float, seconds: float) -> tuple[Load, ...]:
    """Return the phases: warm-up, served, and refused in two ways."""
    served = CallerRequest(SERVICE, '', body=_BODY)
    return (
        Load('warm-up', served, rate, _WARM_UP_SECONDS),
        Load('served', served, rate, seconds),
        Load(
            'refused by its headers',
            replace(served, rank='none'),
            rate,
            seconds,
        ),
        Load(
            'refused by the reducer',
            replace(served, deadline=0.0001),
            rate,
            seconds,
        ),
    )
