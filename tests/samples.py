"""Build Hypothesis strategies for the core's data classes from type hints."""

from dataclasses import fields, is_dataclass
from enum import Enum
from types import NoneType, UnionType
from typing import Any, NewType, Union, get_args, get_origin, get_type_hints

from hypothesis import strategies

# Fields that are unsigned on the wire; other integers are signed, of 64 bits.
_UINT16_FIELDS = frozenset(('port', 'status', 'rank'))
_UINT64_FIELDS = frozenset(('key_hash', 'fingerprint'))
_MAX_UINT16 = 2**16 - 1
_MAX_UINT64 = 2**64 - 1
_MAX_INT64 = 2**63 - 1
_MAX_LENGTH = 3


def build_samples(hint: Any, name: str = '') -> strategies.SearchStrategy[Any]:
    """Return the strategy for a type in a field of this name."""
    plain = _resolve_new_type(hint)
    if get_origin(plain) in {Union, UnionType}:
        members = [build_samples(member, name) for member in get_args(plain)]
        return strategies.one_of(members)
    if get_origin(plain) is tuple:
        element = build_samples(get_args(plain)[0], name)
        many = strategies.lists(element, max_size=_MAX_LENGTH)
        return many.map(tuple)
    if is_dataclass(plain):
        return _build_data_class(plain)
    return _build_scalar(plain, name)


def _build_data_class(plain: Any) -> strategies.SearchStrategy[Any]:
    hints = get_type_hints(plain)
    parts = {
        field.name: build_samples(hints[field.name], field.name)
        for field in fields(plain)
    }
    return strategies.builds(plain, **parts)


def _build_scalar(plain: Any, name: str) -> strategies.SearchStrategy[Any]:
    if issubclass(plain, Enum):
        return strategies.sampled_from(plain)
    if plain is int:
        return _build_integers(name)
    return {
        NoneType: strategies.none(),
        bool: strategies.booleans(),
        float: strategies.floats(allow_nan=False),
        str: strategies.text(max_size=20),
        bytes: strategies.binary(max_size=20),
    }[plain]


def _build_integers(name: str) -> strategies.SearchStrategy[int]:
    if name in _UINT16_FIELDS:
        return strategies.integers(0, _MAX_UINT16)
    if name in _UINT64_FIELDS:
        return strategies.integers(0, _MAX_UINT64)
    return strategies.integers(-_MAX_INT64 - 1, _MAX_INT64)


def _resolve_new_type(hint: Any) -> Any:
    plain = hint
    while isinstance(plain, NewType):
        plain = plain.__supertype__
    return plain
