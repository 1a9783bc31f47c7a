"""Convert the durations of base files to and from their text model."""

from pydantic import BaseModel, ConfigDict

from trefoilsaddle.core.durations import Durations, ServiceDurations
from trefoilsaddle.core.units import FOREVER, Offset, Seconds, ServiceName

_STRICT = ConfigDict(extra='forbid', frozen=True)


class _ServiceDurationsText(BaseModel):
    """Model the text of one service's durations."""

    model_config = _STRICT

    longest_deadline: float
    # None means forever, since JSON has no infinity.
    isolation_hold: float | None


class DurationsText(BaseModel):
    """Model the text of one base file's durations."""

    model_config = _STRICT

    since: int
    lease: float
    clock_drift: float
    services: dict[str, _ServiceDurationsText]


def write_durations(durations: Durations) -> DurationsText:
    """Build the text model of durations."""
    return DurationsText(
        since=durations.since,
        lease=durations.lease,
        clock_drift=durations.clock_drift,
        services={
            name: _ServiceDurationsText(
                longest_deadline=service.longest_deadline,
                isolation_hold=_write_hold(service.isolation_hold),
            )
            for name, service in sorted(durations.services.items())
        },
    )


def _write_hold(hold: Seconds) -> float | None:
    return None if hold == FOREVER else hold


def read_durations(text: DurationsText) -> Durations:
    """Build durations from their text model."""
    return Durations(
        since=Offset(text.since),
        lease=Seconds(text.lease),
        clock_drift=text.clock_drift,
        services={
            ServiceName(name): ServiceDurations(
                Seconds(service.longest_deadline),
                _read_hold(service.isolation_hold),
            )
            for name, service in text.services.items()
        },
    )


def _read_hold(hold: float | None) -> Seconds:
    return FOREVER if hold is None else Seconds(hold)
