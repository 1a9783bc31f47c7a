"""Decode the operator's configuration, `op/config`."""

import re
from typing import Annotated

from pydantic import BeforeValidator, Field, ValidationError

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import (
    Rank,
    RegionName,
    Seconds,
    ServiceName,
    Version,
)
from trefoilsaddle.gateway.configuration import (
    CallerLimits,
    Configuration,
    Route,
    ServiceRules,
    WeightedService,
)
from trefoilsaddle.gateway.configurationcheck import (
    ConfigurationDocument,
    PlacedRoute,
    PlacedService,
)
from trefoilsaddle.gateway.findings import Finding, FindingCode
from trefoilsaddle.platform.durations import Duration
from trefoilsaddle.platform.models import WireModel
from trefoilsaddle.results import ResultCode

_IDEMPOTENT = 'idempotent'
_VERSION_PREFIX = 'r'
# Type of pydantic's error for input that is not JSON, and what it puts before the
# text of a `ValueError`.
_JSON_ERROR = 'json_invalid'
_MESSAGE_PREFIX = 'Value error, '
_WHOLE_DOCUMENT = 'document'
_PATH = re.compile('/[!-~]*')


def _read_version(text: object) -> int:
    if not isinstance(text, str) or not text.startswith(_VERSION_PREFIX):
        raise ValueError('a version is `r` followed by a number')
    return int(text.removeprefix(_VERSION_PREFIX))


def _read_path(text: object) -> str:
    # Servers are only asked for their health to learn more about them: what is
    # no path costs nothing but that.
    if isinstance(text, str) and _PATH.fullmatch(text):
        return text
    return ''


class _WirePart(WireModel):
    service: str
    weight: float = Field(ge=0, strict=False)


class _WireMatch(WireModel):
    prefix: str = Field(alias='pathPrefix')


class _WireAction(WireModel):
    service: str | None = None
    # Instead of `service`: several services with their weights.
    split: list[_WirePart] | None = Field(default=None, alias='trafficSplit')
    # Limit on the whole request, over all its attempts.
    timeout: Duration
    # Maximum number of servers that one request is sent to.
    attempts: int
    # Regions in which the requests may be served; empty for all regions.
    regions: list[str] | None = Field(default=None, alias='allowedRegions')


class _WireRule(WireModel):
    name: str
    kind: str
    # Latency up to which an answer earns its full benefit.
    target_latency: Duration = Field(alias='targetLatency')
    priority: int
    match: _WireMatch
    action: _WireAction


class _WireListener(WireModel):
    host: str
    rules: list[_WireRule]


class _WireCluster(WireModel):
    name: str
    connections: int = Field(alias='maxConns')
    sharded: bool = False
    # Requests per second that a server tolerates while it is cold.
    cold_rate: float = Field(
        default=0, alias='warmupPerS', strict=False, ge=0, allow_inf_nan=False
    )
    # Path of the servers' health responses.
    health_path: Annotated[str, BeforeValidator(_read_path)] = Field(
        default='', alias='healthPath'
    )


class _WireLimits(WireModel):
    header_bytes: int = Field(alias='headerBytes')
    body_bytes: int = Field(alias='maxBodyBytes')
    header_timeout: Duration = Field(alias='headerTimeout')
    idle_timeout: Duration = Field(alias='idleTimeout')


class _WireConfiguration(WireModel):
    version: Annotated[int, BeforeValidator(_read_version)]
    limits: _WireLimits
    # One listener per host, with its routing rules.
    listeners: list[_WireListener]
    # One cluster per service.
    clusters: list[_WireCluster]


def decode_configuration(encoded: bytes) -> Configuration | Failure:
    """Decode and validate a configuration (configuration_invalid)."""
    try:
        wire = _WireConfiguration.model_validate_json(encoded)
    except ValidationError as error:
        first = error.errors(include_input=False)[0]
        reason = '.'.join(str(part) for part in first['loc'])
        return Failure(ResultCode.configuration_invalid, reason)
    return _build_configuration(wire, encoded)


def decode_document(encoded: bytes) -> ConfigurationDocument | list[Finding]:
    """Decode a configuration to be checked; return all errors of its fields."""
    try:
        wire = _WireConfiguration.model_validate_json(encoded)
    except ValidationError as error:
        return [
            _build_finding(found['type'], found['loc'], found['msg'])
            for found in error.errors(include_input=False)
        ]
    return _build_document(wire)


def _build_finding(
    kind: str, path: tuple[int | str, ...], message: str
) -> Finding:
    code = FindingCode.field_invalid
    if kind == _JSON_ERROR:
        code = FindingCode.not_json
    steps = (
        f'[{step}]' if isinstance(step, int) else f'.{step}' for step in path
    )
    place = ''.join(steps).removeprefix('.') or _WHOLE_DOCUMENT
    return Finding(code, place, message.removeprefix(_MESSAGE_PREFIX))


def _build_document(wire: _WireConfiguration) -> ConfigurationDocument:
    routes = (
        PlacedRoute(
            f'listeners[{position}].rules[{number}]',
            _build_route(listener.host, rule),
        )
        for position, listener in enumerate(wire.listeners)
        for number, rule in enumerate(listener.rules)
    )
    services = (
        PlacedService(f'clusters[{position}]', _build_rules(cluster))
        for position, cluster in enumerate(wire.clusters)
    )
    return ConfigurationDocument(
        version=Version(wire.version),
        version_place='version',
        limits=_build_limits(wire.limits),
        limits_place='limits',
        routes=tuple(routes),
        services=tuple(services),
    )


def _build_configuration(
    wire: _WireConfiguration,
    encoded: bytes,
) -> Configuration:
    services = [_build_rules(cluster) for cluster in wire.clusters]
    return Configuration(
        version=Version(wire.version),
        limits=_build_limits(wire.limits),
        routes=_group_routes(wire.listeners),
        services={rules.name: rules for rules in services},
        encoded=encoded,
    )


def _build_rules(cluster: _WireCluster) -> ServiceRules:
    return ServiceRules(
        ServiceName(cluster.name),
        cluster.connections,
        cluster.sharded,
        cluster.cold_rate,
        cluster.health_path,
    )


def _group_routes(
    listeners: list[_WireListener],
) -> dict[str, tuple[Route, ...]]:
    grouped: dict[str, list[Route]] = {}
    for listener in listeners:
        routes = grouped.setdefault(listener.host, [])
        routes.extend(
            _build_route(listener.host, rule) for rule in listener.rules
        )
    return {
        host: tuple(sorted(routes, key=_prefix_length, reverse=True))
        for host, routes in grouped.items()
    }


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def _build_route(host: str, rule: _WireRule) -> Route:
    action = rule.action
    parts = action.split or [_WirePart(service=action.service or '', weight=1)]
    return Route(
        name=rule.name,
        host=host,
        prefix=rule.match.prefix,
        idempotent=rule.kind == _IDEMPOTENT,
        rank=Rank(rule.priority),
        goal=Seconds(rule.target_latency),
        timeout=Seconds(action.timeout),
        attempts=action.attempts,
        services=tuple(
            WeightedService(ServiceName(part.service), part.weight)
            for part in parts
        ),
        regions=frozenset(
            RegionName(region) for region in action.regions or ()
        ),
    )


def _build_limits(limits: _WireLimits) -> CallerLimits:
    return CallerLimits(
        limits.header_bytes,
        limits.body_bytes,
        Seconds(limits.header_timeout),
        Seconds(limits.idle_timeout),
    )
