"""Convert data classes to JSON and back, tagged with their class names.

Many events have the same fields, or none, and are distinguished only by the
class name: `{"class": "PeerLost", "node": "entry-1", "unsent": []}`.
"""

from base64 import b64decode, b64encode
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from functools import cache
from types import NoneType, UnionType
from typing import (
    Any,
    NewType,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

# A Python keyword, so that no field can have this name.
_KIND = 'class'
_UNIONS = (Union, UnionType)


def encode_data(part: Any) -> Any:
    """Convert a data class, or one of its fields, to JSON types."""
    if is_dataclass(part):
        return _write_data_class(part)
    if isinstance(part, tuple):
        return [encode_data(element) for element in part]
    if isinstance(part, bytes):
        return b64encode(part).decode()
    if isinstance(part, Enum):
        return part.value
    return part


def _write_data_class(part: Any) -> dict[str, Any]:
    data_class: Any = type(part)
    written = {_KIND: data_class.__name__}
    for name in _list_fields(data_class):
        written[name] = encode_data(getattr(part, name))
    return written


def decode_data(hint: Any, written: Any) -> Any:
    """Convert JSON types back to data of the hinted type.

    Raises ValueError, LookupError or TypeError on data that does not match.
    """
    plain = _resolve_new_type(hint)
    if get_origin(plain) in _UNIONS:
        return _read_union(get_args(plain), written)
    if get_origin(plain) is tuple:
        element = get_args(plain)[0]
        return tuple(decode_data(element, part) for part in written)
    if is_dataclass(plain) and isinstance(plain, type):
        return _read_data_class(plain, written)
    return _read_scalar(plain, written)


def _read_scalar(plain: Any, written: Any) -> Any:
    if plain is bytes:
        return b64decode(written, validate=True)
    if issubclass(plain, Enum):
        return plain(written)
    if plain is float and isinstance(written, int):
        return float(written)
    if not isinstance(written, plain):
        raise TypeError(plain.__name__)
    return written


def _read_union(members: tuple[Any, ...], written: Any) -> Any:
    if written is None and NoneType in members:
        return None
    present = [member for member in members if member is not NoneType]
    if isinstance(written, Mapping):
        kinds = {member.__name__: member for member in present}
        return decode_data(kinds[written[_KIND]], written)
    return decode_data(present[0], written)


def _read_data_class(data_class: type, written: Mapping[str, Any]) -> Any:
    hints = _list_hints(data_class)
    if written[_KIND] != data_class.__name__:
        raise ValueError(data_class.__name__)
    known = {
        name: decode_data(hints[name], written[name])
        for name in _list_fields(data_class)
    }
    return data_class(**known)


@cache
def _list_fields(data_class: type) -> tuple[str, ...]:
    return tuple(field.name for field in fields(data_class))


@cache
def _list_hints(data_class: type) -> dict[str, Any]:
    return get_type_hints(data_class)


def _resolve_new_type(hint: Any) -> Any:
    plain = hint
    while isinstance(plain, NewType):
        plain = plain.__supertype__
    return plain
