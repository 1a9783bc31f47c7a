"""Keep the durations of former base files while a holder may still use them.

A dispatcher that has not read a new base file still applies the durations of
the old one.  A process that waits for it to stop must wait for the longest
durations in force since its term: the dispatcher has read the log at least as
far as its own claim.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from functools import reduce

from trefoilsaddle.core.configuration import Configuration, ServicePolicy
from trefoilsaddle.core.units import (
    FOREVER,
    Epoch,
    Offset,
    Seconds,
    ServiceName,
)

# Maximum number of separate base files; the durations of older ones are merged.
MAX_DURATIONS = 16


@dataclass(frozen=True, slots=True)
class ServiceDurations:
    """Hold the durations of one service that affect waits for a holder."""

    longest_deadline: Seconds
    # Infinite if an isolated zone keeps its shards forever.
    isolation_hold: Seconds


@dataclass(frozen=True, slots=True)
class Durations:
    """Hold the longest durations of one or several base files."""

    # Log offset of the newest of these base files.
    since: Offset
    lease: Seconds
    clock_drift: float
    services: dict[ServiceName, ServiceDurations]


def describe_durations(
    configuration: Configuration,
    since: Offset,
) -> Durations:
    """Extract the durations from a configuration."""
    limits = configuration.limits
    return Durations(
        since=since,
        lease=max(limits.lease_duration, limits.grant_duration),
        clock_drift=limits.clock_drift,
        services={
            name: _describe_service(policy)
            for name, policy in configuration.services.items()
        },
    )


def _describe_service(policy: ServicePolicy) -> ServiceDurations:
    hold = policy.isolation_hold
    return ServiceDurations(
        policy.longest_deadline,
        FOREVER if hold is None else hold,
    )


def add_durations(
    history: tuple[Durations, ...],
    newest: Durations,
) -> tuple[Durations, ...]:
    """Add the durations of a new base file; merge the two oldest if full."""
    if history and _is_same(history[-1], newest):
        return history
    longer = (*history, newest)
    if len(longer) <= MAX_DURATIONS:
        return longer
    return (_join(longer[0], longer[1]), *longer[2:])


def _is_same(one: Durations, other: Durations) -> bool:
    same_limits = (one.lease, one.clock_drift) == (
        other.lease,
        other.clock_drift,
    )
    return same_limits and one.services == other.services


def find_longest(
    history: tuple[Durations, ...],
    term: Epoch,
) -> Durations | None:
    """Return the longest durations that a holder of a term may apply."""
    later = [each for each in history if each.since > term.offset]
    earlier = [each for each in history if each.since <= term.offset]
    relevant = [*earlier[-1:], *later]
    return reduce(_join, relevant) if relevant else None


def _join(one: Durations, other: Durations) -> Durations:
    names = one.services.keys() | other.services.keys()
    return Durations(
        since=max(one.since, other.since),
        lease=max(one.lease, other.lease),
        clock_drift=max(one.clock_drift, other.clock_drift),
        services={
            name: _join_services(
                each.services[name]
                for each in (one, other)
                if name in each.services
            )
            for name in sorted(names)
        },
    )


def _join_services(several: Iterable[ServiceDurations]) -> ServiceDurations:
    known = tuple(several)
    return ServiceDurations(
        max(each.longest_deadline for each in known),
        max(each.isolation_hold for each in known),
    )
