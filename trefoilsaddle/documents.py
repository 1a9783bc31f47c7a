"""Validate the base file and the overlays that operators publish.

Both are YAML.  The same models validate a document before it is published
and again when it is applied, so that every process decides alike.
"""

import json
from collections.abc import Mapping
from typing import Annotated, TypeVar

import yaml
from pydantic import BaseModel, ConfigDict, Field, ValidationError

from trefoilsaddle.core.configuration import (
    LimitPolicy,
    RankPolicy,
    ServerPolicy,
    ServicePolicy,
    SitePolicy,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import (
    MemberName,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
    SiteName,
    ZoneName,
)
from trefoilsaddle.results import ResultCode

# Limit on one document, in characters.
_MAX_DOCUMENT_LENGTH = 1_000_000
_MAX_SHARDS = 1_000_000
_MAX_PORT = 65_535
_MAX_HOST_LENGTH = 255
_MAX_PROBLEMS_SHOWN = 3

_Name = Annotated[str, Field(pattern='^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')]
_Positive = Annotated[float, Field(gt=0, allow_inf_nan=False)]
_Fraction = Annotated[float, Field(ge=0, le=1)]
_Count = Annotated[int, Field(gt=0)]
_Document = TypeVar('_Document', bound=BaseModel)


class _StrictModel(BaseModel):
    """Reject unknown fields, so that a misspelt one is reported."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class RankDocument(_StrictModel):
    """Validate one rank; the first of the list has the highest priority."""

    name: _Name
    target: _Positive
    worth: _Positive = 1
    share: _Fraction = 0


class ServiceDocument(_StrictModel):
    """Validate one service; times in seconds, sizes in bytes."""

    shards: Annotated[int, Field(gt=0, le=_MAX_SHARDS)] = 256
    longest_deadline: _Positive = 30
    queue_limit: _Count = 200
    largest_body: _Count = 1_048_576
    isolation_hold: _Positive | None = None


class LimitsDocument(_StrictModel):
    """Validate the limits that apply to every service."""

    retry_budget: _Fraction = 0.1
    grant_duration: _Positive = 1.5
    lease_duration: _Positive = 1.5
    clock_drift: Annotated[float, Field(ge=0, lt=0.5)] = 0.01
    clock_skew: Annotated[float, Field(ge=0)] = 0.5
    idempotency_window: _Positive = 600
    idempotency_limit: _Count = 20_000
    imbalance: _Positive = 0.5
    hot_fraction: Annotated[float, Field(gt=0, le=1)] = 0.05


class BaseFile(_StrictModel):
    """Validate the base file."""

    ranks: Annotated[tuple[RankDocument, ...], Field(min_length=1)]
    services: dict[_Name, ServiceDocument]
    members: Annotated[tuple[_Name, ...], Field(min_length=1)]
    limits: LimitsDocument = LimitsDocument()


class ServerDocument(_StrictModel):
    """Validate one backend server of an overlay."""

    service: _Name
    zone: _Name
    host: Annotated[str, Field(min_length=1, max_length=_MAX_HOST_LENGTH)]
    port: Annotated[int, Field(gt=0, le=_MAX_PORT)]
    slots: _Count = 3
    connections: _Count = 45
    checks_grants: bool = False
    leaving: bool = False


class Overlay(_StrictModel):
    """Validate the overlay of one site."""

    region: _Name
    zones: Annotated[tuple[_Name, ...], Field(min_length=1)]
    servers: dict[_Name, ServerDocument] = Field(default_factory=dict)
    lost_zones: tuple[_Name, ...] = ()


def parse_base(text: str) -> BaseFile | Failure:
    """Parse a base file; fails with `configuration_invalid`."""
    base = _parse_document(text, BaseFile)
    if isinstance(base, Failure):
        return base
    if _has_repeats([rank.name for rank in base.ranks]):
        return _refuse('a rank is named twice')
    if _has_repeats(base.members):
        return _refuse('a member is named twice')
    if sum(rank.share for rank in base.ranks) > 1:
        return _refuse('the shares of the ranks exceed one')
    return base


def parse_overlay(text: str) -> Overlay | Failure:
    """Parse an overlay; fails with `configuration_invalid`."""
    overlay = _parse_document(text, Overlay)
    if isinstance(overlay, Failure):
        return overlay
    if _has_repeats(overlay.zones):
        return _refuse('a zone is named twice')
    for name, server in overlay.servers.items():
        if server.zone not in overlay.zones:
            return _refuse(f'server {name} is in an unknown zone')
    return overlay


def build_ranks(base: BaseFile) -> tuple[RankPolicy, ...]:
    """Build the ranks of a base file, the highest priority first."""
    return tuple(
        RankPolicy(
            name=rank.name,
            target=Seconds(rank.target),
            worth=rank.worth,
            share=rank.share,
        )
        for rank in base.ranks
    )


def build_services(base: BaseFile) -> dict[ServiceName, ServicePolicy]:
    """Build the services of a base file."""
    return {
        ServiceName(name): _build_service(ServiceName(name), service)
        for name, service in sorted(base.services.items())
    }


def build_members(base: BaseFile) -> tuple[MemberName, ...]:
    """Return the member names of a base file."""
    return tuple(MemberName(name) for name in base.members)


def build_limits(base: BaseFile) -> LimitPolicy:
    """Build the limits of a base file."""
    limits = base.limits
    return LimitPolicy(
        retry_budget=limits.retry_budget,
        grant_duration=Seconds(limits.grant_duration),
        lease_duration=Seconds(limits.lease_duration),
        clock_drift=limits.clock_drift,
        clock_skew=Seconds(limits.clock_skew),
        idempotency_window=Seconds(limits.idempotency_window),
        idempotency_limit=limits.idempotency_limit,
        imbalance=limits.imbalance,
        hot_fraction=limits.hot_fraction,
    )


def build_site(name: SiteName, overlay: Overlay) -> SitePolicy:
    """Build the policy of a site from its overlay."""
    return SitePolicy(
        name=name,
        region=RegionName(overlay.region),
        zones=tuple(ZoneName(zone) for zone in overlay.zones),
        servers=tuple(
            _build_server(ServerId(server_id), server)
            for server_id, server in sorted(overlay.servers.items())
        ),
        lost_zones=tuple(ZoneName(zone) for zone in overlay.lost_zones),
    )


def _build_service(
    name: ServiceName,
    service: ServiceDocument,
) -> ServicePolicy:
    hold = service.isolation_hold
    return ServicePolicy(
        name=name,
        shard_count=service.shards,
        longest_deadline=Seconds(service.longest_deadline),
        queue_limit=service.queue_limit,
        largest_body=service.largest_body,
        isolation_hold=None if hold is None else Seconds(hold),
    )


def _build_server(server_id: ServerId, server: ServerDocument) -> ServerPolicy:
    return ServerPolicy(
        server_id=server_id,
        service=ServiceName(server.service),
        zone=ZoneName(server.zone),
        host=server.host,
        port=server.port,
        slots=server.slots,
        connections=server.connections,
        checks_grants=server.checks_grants,
        leaving=server.leaving,
    )


def _parse_document(
    text: str,
    model: type[_Document],
) -> _Document | Failure:
    if len(text) > _MAX_DOCUMENT_LENGTH:
        return _refuse('the document is too long')
    try:
        return model.model_validate(load_document(text))
    except ValidationError as error:
        return _refuse(_describe_problems(error))
    except (yaml.YAMLError, ValueError, RecursionError):
        return _refuse('the document is not YAML')


def load_document(text: str) -> object:
    """Parse YAML text; a JSON document is parsed by the faster JSON parser.

    Raises `yaml.YAMLError` or `ValueError`.
    """
    if text.startswith('{'):
        try:
            return json.loads(text)
        except ValueError:
            # A YAML flow mapping such as '{members: [north]}'.
            return yaml.safe_load(text)
    return yaml.safe_load(text)


def _describe_problems(error: ValidationError) -> str:
    problems = error.errors(include_input=False, include_url=False)
    return '; '.join(
        _describe_problem(problem) for problem in problems[:_MAX_PROBLEMS_SHOWN]
    )


def _describe_problem(problem: Mapping[str, object]) -> str:
    location = problem['loc']
    assert isinstance(location, tuple)
    path = '.'.join(str(step) for step in location)
    message = problem['msg']
    return f'{path}: {message}'


def _has_repeats(names: tuple[str, ...] | list[str]) -> bool:
    return len(set(names)) < len(names)


def _refuse(reason: str) -> Failure:
    return Failure(ResultCode.configuration_invalid, reason)
