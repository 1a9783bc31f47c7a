"""Build the converter of a data class or union from its type hints."""

from collections.abc import Callable, Mapping
from dataclasses import fields
from enum import Enum, IntEnum
from functools import cache
from types import MappingProxyType, NoneType, UnionType
from typing import (
    Any,
    NewType,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

from trefoilsaddle.wire.conversion import (
    BlobField,
    ColumnsField,
    Converter,
    EnumField,
    FieldConverter,
    FloatField,
    FloatListField,
    IntEnumField,
    ListField,
    NumberField,
    OptionalField,
    StructConverter,
    StructField,
    StructListField,
    UnionConverter,
)

# `Name | None` of a new type is a `Union`; of classes a `UnionType`.
_UNIONS = (Union, UnionType)

_SCALARS: Mapping[type, Callable[[str], FieldConverter]] = MappingProxyType(
    {
        bool: NumberField,
        int: NumberField,
        float: FloatField,
        str: BlobField,
        bytes: BlobField,
    }
)


NO_CLASSES: frozenset[type] = frozenset()


@cache
def build_converter(
    hint: Any, columnar: frozenset[type] = NO_CLASSES
) -> Converter:
    """Build the converter of a data class or of a union of them.

    Lists of the classes in `columnar` are written by column.
    """
    if get_origin(hint) in _UNIONS:
        return UnionConverter(
            {
                _lower_first(member.__name__): _build_struct(member, columnar)
                for member in get_args(hint)
            },
        )
    return _build_struct(hint, columnar)


@cache
def _build_struct(
    data_class: type, columnar: frozenset[type]
) -> StructConverter:
    hints = get_type_hints(data_class)
    return StructConverter(
        data_class,
        {
            field.name: _build_field(
                _name_on_wire(field.name), hints[field.name], columnar
            )
            for field in fields(data_class)
        },
    )


def _build_field(
    name: str, hint: Any, columnar: frozenset[type]
) -> FieldConverter:
    plain = _resolve_new_type(hint)
    if get_origin(plain) is tuple:
        return _build_list(
            name, _resolve_new_type(get_args(plain)[0]), columnar
        )
    if get_origin(plain) in _UNIONS and NoneType in get_args(plain):
        return OptionalField(_build_field(name, _without_none(plain), columnar))
    scalar = _SCALARS.get(plain)
    if scalar is not None:
        return scalar(name)
    if isinstance(plain, type) and issubclass(plain, IntEnum):
        return IntEnumField(name, plain)
    if isinstance(plain, type) and issubclass(plain, Enum):
        return EnumField(name, plain)
    return StructField(name, build_converter(plain, columnar))


def _build_columns(name: str, data_class: type) -> ColumnsField:
    hints = get_type_hints(data_class)
    return ColumnsField(
        name,
        data_class,
        {
            field.name: _build_list(
                _name_on_wire(field.name),
                _resolve_new_type(hints[field.name]),
                NO_CLASSES,
            )
            for field in fields(data_class)
        },
    )


def _build_list(
    name: str, element: Any, columnar: frozenset[type]
) -> FieldConverter:
    if element in columnar:
        return _build_columns(name, element)
    if element is float:
        return FloatListField(name)
    if element in _SCALARS:
        return ListField(name)
    return StructListField(name, build_converter(element, columnar))


def _without_none(union: Any) -> Any:
    return next(arg for arg in get_args(union) if arg is not NoneType)


def _resolve_new_type(hint: Any) -> Any:
    plain = hint
    while isinstance(plain, NewType):
        plain = plain.__supertype__
    return plain


def _name_on_wire(attribute: str) -> str:
    first, *rest = attribute.split('_')
    return first + ''.join(part.capitalize() for part in rest)


def _lower_first(name: str) -> str:
    return name[0].lower() + name[1:]
