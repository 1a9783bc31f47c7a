"""List the differences between two versions of a configuration."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum, unique

from trefoilsaddle.gateway.configuration import (
    CallerLimits,
    Route,
    ServiceRules,
)
from trefoilsaddle.gateway.configurationcheck import ConfigurationDocument
from trefoilsaddle.gateway.findings import write_number, write_seconds

# Texts of an entry by the names of its fields.
_Fields = Mapping[str, str]


@unique
class ChangeKind(StrEnum):
    """Kind of a difference."""

    added = 'added'
    removed = 'removed'
    changed = 'changed'


@unique
class ChangedPart(StrEnum):
    """Part of a configuration that a difference is in."""

    route = 'route'
    service = 'service'
    limit = 'limit'


@dataclass(frozen=True, slots=True)
class Change:
    """Describe an entry that differs, with its old and new value."""

    kind: ChangeKind
    part: ChangedPart
    # Name of the entry; of several with one name, the second is `NAME#2`.
    name: str
    # Field that was changed; empty if the entry was added or removed.
    field: str
    # Empty if there is none.
    old: str
    new: str


def list_changes(
    old: ConfigurationDocument, new: ConfigurationDocument
) -> list[Change]:
    """Return what a new version adds, removes and changes."""
    return [
        *_compare(ChangedPart.route, _list_routes(old), _list_routes(new)),
        *_compare(
            ChangedPart.service, _list_services(old), _list_services(new)
        ),
        *_compare(
            ChangedPart.limit,
            _list_limits(old.limits),
            _list_limits(new.limits),
        ),
    ]


def _compare(
    part: ChangedPart, old: Mapping[str, _Fields], new: Mapping[str, _Fields]
) -> Iterator[Change]:
    for name, fields in old.items():
        if name not in new:
            text = _describe(fields)
            yield Change(ChangeKind.removed, part, name, '', text, '')
    for entry, described in new.items():
        before = old.get(entry)
        if before is None:
            text = _describe(described)
            yield Change(ChangeKind.added, part, entry, '', '', text)
        else:
            yield from _compare_fields(part, entry, before, described)


def _compare_fields(
    part: ChangedPart, name: str, old: _Fields, new: _Fields
) -> Iterator[Change]:
    for field, text in new.items():
        if old[field] != text:
            yield Change(
                ChangeKind.changed, part, name, field, old[field], text
            )


def _describe(fields: _Fields) -> str:
    return ', '.join(f'{name} {text}' for name, text in fields.items())


def _list_routes(document: ConfigurationDocument) -> dict[str, _Fields]:
    return _number(
        (
            (placed.route.name, _describe_route(placed.route))
            for placed in document.routes
        )
    )


def _list_services(document: ConfigurationDocument) -> dict[str, _Fields]:
    return _number(
        (
            (placed.rules.name, _describe_service(placed.rules))
            for placed in document.services
        )
    )


def _number(entries: Iterable[tuple[str, _Fields]]) -> dict[str, _Fields]:
    """Map entries by name, and tell apart those of the same name."""
    numbered: dict[str, _Fields] = {}
    counts: dict[str, int] = {}
    for name, fields in entries:
        count = counts.get(name, 0) + 1
        counts[name] = count
        numbered[name if count == 1 else f'{name}#{count}'] = fields
    return numbered


def _describe_route(route: Route) -> _Fields:
    services = (
        f'{part.service} {write_number(part.weight)}' for part in route.services
    )
    return {
        'host': route.host,
        'prefix': route.prefix,
        'idempotent': _describe_flag(flag=route.idempotent),
        'priority': str(route.rank),
        'latency goal': write_seconds(route.goal),
        'timeout': write_seconds(route.timeout),
        'attempts': str(route.attempts),
        'services': '/'.join(services),
        'regions': '/'.join(sorted(route.regions)) or 'any',
    }


def _describe_service(rules: ServiceRules) -> _Fields:
    cold_rate = write_number(rules.cold_rate)
    return {
        'connections': str(rules.connections),
        'keyed': _describe_flag(flag=rules.keyed),
        'cold rate': f'{cold_rate}/s' if rules.cold_rate else 'none',
    }


def _list_limits(limits: CallerLimits) -> dict[str, _Fields]:
    texts = {
        'header bytes': str(limits.header_bytes),
        'body bytes': str(limits.body_bytes),
        'header timeout': write_seconds(limits.header_timeout),
        'idle timeout': write_seconds(limits.idle_timeout),
    }
    return {name: {'value': text} for name, text in texts.items()}


def _describe_flag(*, flag: bool) -> str:
    return 'yes' if flag else 'no'
