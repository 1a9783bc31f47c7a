"""Convert data classes to Cap'n Proto structs and back, field by field.

The converters are built once, from the type hints of the data classes; a
field's wire name is its own name in camel case.
"""

from abc import ABC, abstractmethod
from enum import Enum
from math import isnan
from operator import attrgetter, methodcaller
from typing import Any

# A builder or a reader of pycapnp, which ships no types.
Struct = Any


class InvalidMessageError(Exception):
    """Raised when a well-formed message lacks a field or holds a NaN."""


class FieldConverter(ABC):
    """Convert one field of a struct."""

    def __init__(self, name: str) -> None:
        """Prepare for the field with this wire name."""
        self.name = name
        # Calling these is twice as fast as the attributes of a reader.
        self.fetch = methodcaller('_get', name)
        self.has = methodcaller('_has', name)

    @abstractmethod
    def put(self, builder: Struct, source: Any) -> None:
        """Write a value into the field."""

    @abstractmethod
    def get(self, reader: Struct) -> Any:
        """Read the field's value."""


class NumberField(FieldConverter):
    """Convert an integer or boolean, which cannot be absent."""

    def put(self, builder: Struct, source: Any) -> None:
        """Write the number."""
        setattr(builder, self.name, source)

    def get(self, reader: Struct) -> Any:
        """Read the number."""
        return self.fetch(reader)


class FloatField(NumberField):
    """Convert a float; refuse NaN, with which every comparison is false."""

    def get(self, reader: Struct) -> Any:
        """Read the float."""
        number = self.fetch(reader)
        if isnan(number):
            raise InvalidMessageError(self.name)
        return number


class IntEnumField(NumberField):
    """Convert an enumeration whose values are the numbers on the wire."""

    def __init__(self, name: str, enumeration: type[Enum]) -> None:
        """Prepare for an enumeration."""
        super().__init__(name)
        self._enumeration = enumeration

    def put(self, builder: Struct, source: Any) -> None:
        """Write the member's number."""
        setattr(builder, self.name, source.value)

    def get(self, reader: Struct) -> Any:
        """Read the member, or fail if the number is unknown."""
        return self._enumeration(self.fetch(reader))


class EnumField(FieldConverter):
    """Convert an enumeration by the position of its members."""

    def __init__(self, name: str, enumeration: type[Enum]) -> None:
        """Prepare for an enumeration."""
        super().__init__(name)
        self._members = tuple(enumeration)
        self._numbers = {
            member: number for number, member in enumerate(self._members)
        }

    def put(self, builder: Struct, source: Any) -> None:
        """Write the member's position."""
        setattr(builder, self.name, self._numbers[source])

    def get(self, reader: Struct) -> Any:
        """Read the member, or fail if the position is unknown."""
        return self._members[self.fetch(reader).raw]


class BlobField(NumberField):
    """Convert a text or bytes that must be present."""

    def get(self, reader: Struct) -> Any:
        """Read the content, or fail if the sender left it out."""
        if not self.has(reader):
            raise InvalidMessageError(self.name)
        return self.fetch(reader)


class StructConverter:
    """Convert one data class to a struct and back."""

    def __init__(
        self,
        data_class: type,
        converters: dict[str, FieldConverter],
    ) -> None:
        """Prepare for a data class with a converter for each attribute."""
        self.data_class = data_class
        self._writers = tuple(
            (attrgetter(attribute), converter.put)
            for attribute, converter in converters.items()
        )
        self._readers = tuple(
            converter.get for converter in converters.values()
        )

    def write(self, builder: Struct, source: Any) -> None:
        """Write an object into a struct."""
        for select, put in self._writers:
            put(builder, select(source))

    def read(self, reader: Struct) -> Any:
        """Read an object from a struct."""
        return self.data_class(*[get(reader) for get in self._readers])


class UnionConverter:
    """Convert one of several data classes to a union and back."""

    def __init__(self, members: dict[str, StructConverter]) -> None:
        """Prepare for the members of a union, by wire name."""
        self._by_name = members
        self._by_class = {
            converter.data_class: (name, converter)
            for name, converter in members.items()
        }
        self._which = methodcaller('_which_str')

    def write(self, builder: Struct, source: Any) -> None:
        """Write an object as the union member of its class."""
        name, converter = self._by_class[type(source)]
        converter.write(builder.init(name), source)

    def read(self, reader: Struct) -> Any:
        """Read the object of the union member that is set."""
        name = self._which(reader)
        if not methodcaller('_has', name)(reader):
            raise InvalidMessageError(name)
        return self._by_name[name].read(methodcaller('_get', name)(reader))


Converter = StructConverter | UnionConverter


class StructField(FieldConverter):
    """Convert a struct that must be present."""

    def __init__(self, name: str, converter: Converter) -> None:
        """Prepare for a field with the converter of its struct."""
        super().__init__(name)
        self._converter = converter

    def put(self, builder: Struct, source: Any) -> None:
        """Write the struct."""
        self._converter.write(builder.init(self.name), source)

    def get(self, reader: Struct) -> Any:
        """Read the struct, or fail if the sender left it out."""
        if not self.has(reader):
            raise InvalidMessageError(self.name)
        return self._converter.read(self.fetch(reader))


class StructListField(FieldConverter):
    """Convert a list of structs."""

    def __init__(self, name: str, converter: Converter) -> None:
        """Prepare for a field with the converter of each element."""
        super().__init__(name)
        self._converter = converter

    def put(self, builder: Struct, source: Any) -> None:
        """Write the structs."""
        elements = builder.init(self.name, len(source))
        for element, part in zip(elements, source, strict=True):
            self._converter.write(element, part)

    def get(self, reader: Struct) -> Any:
        """Read the structs."""
        read = self._converter.read
        return tuple([read(element) for element in self.fetch(reader)])


class ListField(FieldConverter):
    """Convert a list of numbers or texts."""

    def put(self, builder: Struct, source: Any) -> None:
        """Write the elements."""
        setattr(builder, self.name, list(source))

    def get(self, reader: Struct) -> Any:
        """Read the elements."""
        return tuple(self.fetch(reader))


class FloatListField(ListField):
    """Convert a list of floats; refuse NaN."""

    def get(self, reader: Struct) -> Any:
        """Read the floats."""
        numbers = tuple(self.fetch(reader))
        if any(isnan(number) for number in numbers):
            raise InvalidMessageError(self.name)
        return numbers


class ColumnsField(FieldConverter):
    """Convert a list of small structs as one list for each of their fields.

    Reading a list is about as fast as reading one field of a struct.
    """

    def __init__(
        self,
        name: str,
        data_class: type,
        columns: dict[str, FieldConverter],
    ) -> None:
        """Prepare for a data class with the list converter of each attribute."""
        super().__init__(name)
        self._data_class = data_class
        self._writers = tuple(
            (attrgetter(attribute), converter.put)
            for attribute, converter in columns.items()
        )
        self._readers = tuple(converter.get for converter in columns.values())

    def put(self, builder: Struct, source: Any) -> None:
        """Write the columns."""
        if not source:
            return
        columns = builder.init(self.name)
        for select, put in self._writers:
            put(columns, [select(element) for element in source])

    def get(self, reader: Struct) -> Any:
        """Read the columns, or fail if their lengths differ."""
        if not self.has(reader):
            return ()
        columns = self.fetch(reader)
        rows = zip(*[get(columns) for get in self._readers], strict=True)
        return tuple([self._data_class(*row) for row in rows])


class OptionalField(FieldConverter):
    """Convert a text or struct that may be absent."""

    def __init__(self, inner: FieldConverter) -> None:
        """Wrap the converter of the present content."""
        super().__init__(inner.name)
        self._inner = inner

    def put(self, builder: Struct, source: Any) -> None:
        """Write the content, if there is any."""
        if source is not None:
            self._inner.put(builder, source)

    def get(self, reader: Struct) -> Any:
        """Read the content, or None if there is none."""
        return self._inner.get(reader) if self.has(reader) else None
