"""Check a configuration before operators publish it.

The check works on the entries in the order of the file: a `Configuration`
groups and sorts them, and keeps one of several services of the same name.
"""

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from trefoilsaddle.core.units import RegionName, Seconds, ServiceName, Version
from trefoilsaddle.gateway.configuration import (
    CallerLimits,
    Route,
    ServiceRules,
)
from trefoilsaddle.gateway.findings import (
    Finding,
    FindingCode,
    Severity,
    write_seconds,
)

_SLASH = '/'


@dataclass(frozen=True, slots=True)
class PlacedRoute:
    """Pair a route with its place in the file."""

    place: str
    route: Route


@dataclass(frozen=True, slots=True)
class PlacedService:
    """Pair a service with its place in the file."""

    place: str
    rules: ServiceRules


@dataclass(frozen=True, slots=True)
class ConfigurationDocument:
    """Hold all entries of a configuration file in its order."""

    version: Version
    version_place: str
    limits: CallerLimits
    limits_place: str
    routes: tuple[PlacedRoute, ...]
    services: tuple[PlacedService, ...]


def check_configuration(
    document: ConfigurationDocument,
    in_force: Version | None = None,
    regions: Collection[RegionName] | None = None,
) -> list[Finding]:
    """Return what is wrong with a configuration, errors first.

    `in_force` is the version that it replaces, `regions` are those that have an
    availability zone; neither is checked if it is not known.
    """
    findings = [
        *_check_version(document, in_force),
        *_check_limits(document.limits, document.limits_place),
        *_check_routes(document),
        *_check_regions(document, regions),
        *_check_services(document),
    ]
    return sorted(findings, key=_is_warning)


def _is_warning(finding: Finding) -> bool:
    return finding.severity == Severity.warning


def _check_version(
    document: ConfigurationDocument, in_force: Version | None
) -> Iterator[Finding]:
    if in_force is not None and document.version <= in_force:
        yield Finding(
            FindingCode.version_not_newer,
            document.version_place,
            f'version {document.version} does not increase: '
            + f'version {in_force} is in force',
        )


def _check_limits(limits: CallerLimits, place: str) -> Iterator[Finding]:
    yield from _check_time('the header timeout', limits.header_timeout, place)
    yield from _check_time('the idle timeout', limits.idle_timeout, place)
    yield from _check_size('the header limit', limits.header_bytes, place)
    yield from _check_size('the body limit', limits.body_bytes, place)
    if limits.header_bytes > limits.body_bytes:
        yield Finding(
            FindingCode.header_above_body,
            place,
            f'the header limit of {limits.header_bytes} bytes is above '
            + f'the body limit of {limits.body_bytes} bytes',
        )
    if limits.idle_timeout < limits.header_timeout:
        yield Finding(
            FindingCode.idle_below_header,
            place,
            f'the idle timeout of {write_seconds(limits.idle_timeout)} is below '
            + f'the header timeout of {write_seconds(limits.header_timeout)}',
        )


def _check_time(name: str, time: Seconds, place: str) -> Iterator[Finding]:
    if time <= 0:
        yield Finding(
            FindingCode.time_not_positive,
            place,
            f'{name} is {write_seconds(time)}; it must be above zero',
        )


def _check_size(name: str, size: int, place: str) -> Iterator[Finding]:
    if size <= 0:
        yield Finding(
            FindingCode.size_not_positive,
            place,
            f'{name} is {size} bytes; it must be above zero',
        )


def _check_routes(document: ConfigurationDocument) -> Iterator[Finding]:
    defined = {placed.rules.name for placed in document.services}
    for placed in document.routes:
        yield from _check_route_limits(placed)
        yield from _check_prefix(placed)
        yield from _check_weights(placed)
        yield from _check_targets(placed, defined)
    yield from _find_shadowed(document.routes)
    yield from _find_repeated_names(document.routes)


def _check_route_limits(placed: PlacedRoute) -> Iterator[Finding]:
    route = placed.route
    name = _describe(route)
    place = placed.place
    yield from _check_time(f'the timeout of {name}', route.timeout, place)
    yield from _check_time(f'the latency goal of {name}', route.goal, place)
    if route.goal > route.timeout:
        yield Finding(
            FindingCode.goal_above_timeout,
            place,
            f'{name} has a latency goal of {write_seconds(route.goal)}, '
            + f'above its timeout of {write_seconds(route.timeout)}',
        )
    if route.attempts < 1:
        yield Finding(
            FindingCode.attempts_below_one,
            place,
            f'{name} allows {route.attempts} attempts; '
            + 'at least one is needed',
        )


def _check_prefix(placed: PlacedRoute) -> Iterator[Finding]:
    route = placed.route
    name = _describe(route)
    if not route.prefix.startswith(_SLASH):
        yield Finding(
            FindingCode.prefix_start,
            placed.place,
            f'the prefix {route.prefix!r} of {name} '
            + 'does not begin with a slash, as every path does',
        )
    if not route.prefix.endswith(_SLASH):
        yield Finding(
            FindingCode.prefix_end,
            placed.place,
            f'the prefix {route.prefix!r} of {name} does not end with '
            + 'a slash, so that it also matches longer names',
        )


def _check_weights(placed: PlacedRoute) -> Iterator[Finding]:
    route = placed.route
    idle = [part.service for part in route.services if part.weight <= 0]
    name = _describe(route)
    if len(idle) == len(route.services):
        yield Finding(
            FindingCode.weights_zero,
            placed.place,
            f'all weights of {name} are zero',
        )
        return
    for service in idle:
        yield Finding(
            FindingCode.weight_zero,
            placed.place,
            f'the weight of the service {service!r} in {name} is zero, '
            + 'so that it gets no requests',
        )


def _check_targets(
    placed: PlacedRoute, defined: Collection[ServiceName]
) -> Iterator[Finding]:
    name = _describe(placed.route)
    for part in placed.route.services:
        if not part.service:
            yield Finding(
                FindingCode.service_missing,
                placed.place,
                f'{name} names no service',
            )
        elif part.service not in defined:
            yield Finding(
                FindingCode.service_undefined,
                placed.place,
                f'{name} names the service {part.service!r}, '
                + 'which no cluster defines',
            )


def _find_shadowed(routes: tuple[PlacedRoute, ...]) -> Iterator[Finding]:
    # The first of two routes with the same host and prefix gets all requests.
    first: dict[tuple[str, str], PlacedRoute] = {}
    for placed in routes:
        route = placed.route
        earlier = first.setdefault((route.host, route.prefix), placed)
        if earlier is not placed:
            yield Finding(
                FindingCode.route_shadowed,
                placed.place,
                f'{_describe(route)} never matches: '
                + f'{_describe(earlier.route)} at {earlier.place} '
                + 'has the same host and prefix',
            )


def _find_repeated_names(routes: tuple[PlacedRoute, ...]) -> Iterator[Finding]:
    first: dict[str, str] = {}
    for placed in routes:
        earlier = first.setdefault(placed.route.name, placed.place)
        if earlier != placed.place:
            yield Finding(
                FindingCode.route_duplicate,
                placed.place,
                f'{_describe(placed.route)} has the name of '
                + f'the one at {earlier}',
            )


def _check_regions(
    document: ConfigurationDocument,
    regions: Collection[RegionName] | None,
) -> Iterator[Finding]:
    if regions is None:
        return
    for placed in document.routes:
        allowed = placed.route.regions
        missing = sorted(allowed.difference(regions))
        listed = ', '.join(missing)
        name = _describe(placed.route)
        if missing and len(missing) == len(allowed):
            yield Finding(
                FindingCode.regions_without_zone,
                placed.place,
                f'{name} has no server: no availability zone is in '
                + f'its allowed regions {listed}',
            )
            continue
        for region in missing:
            yield Finding(
                FindingCode.region_without_zone,
                placed.place,
                f'{name} allows the region {region!r}, '
                + 'which has no availability zone',
            )


def _check_services(document: ConfigurationDocument) -> Iterator[Finding]:
    used = {
        part.service
        for placed in document.routes
        for part in placed.route.services
    }
    first: dict[ServiceName, str] = {}
    for placed in document.services:
        rules = placed.rules
        if rules.connections < 1:
            yield Finding(
                FindingCode.connections_below_one,
                placed.place,
                f'servers of the service {rules.name!r} accept '
                + f'{rules.connections} connections; at least one is needed',
            )
        if rules.name not in used:
            yield Finding(
                FindingCode.service_unused,
                placed.place,
                f'no route uses the service {rules.name!r}',
            )
        earlier = first.setdefault(rules.name, placed.place)
        if earlier != placed.place:
            yield Finding(
                FindingCode.service_duplicate,
                placed.place,
                f'the service {rules.name!r} is also defined at {earlier}',
            )


def _describe(route: Route) -> str:
    return f'route {route.name!r} of host {route.host!r}'
