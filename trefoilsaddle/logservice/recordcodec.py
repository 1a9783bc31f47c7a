"""Encode log records as JSON text and decode them.

An entry that differs from what this version would write is refused: an entry
that only some processes understand must not change the view of any process.
"""

from collections.abc import Iterable, Mapping
from types import MappingProxyType
from typing import Any

from pydantic import TypeAdapter, ValidationError
from pydantic_core import from_json as parse_json
from pydantic_core import to_json as write_json

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.records import (
    Assign,
    Claim,
    LostZone,
    Move,
    Publication,
    Record,
    Snapshot,
    SplitKey,
)
from trefoilsaddle.results import ResultCode

FORMAT_VERSION = 1

_VERSION_TEXT = write_json(FORMAT_VERSION)
_KIND = 'kind'
_CLASSES: Mapping[str, type[Record]] = MappingProxyType(
    {
        'publication': Publication,
        'assign': Assign,
        'claim': Claim,
        'move': Move,
        'split-key': SplitKey,
        'lost-zone': LostZone,
        'snapshot': Snapshot,
    }
)
_NAMES = MappingProxyType(
    {record_class: name for name, record_class in _CLASSES.items()}
)
_ADAPTERS: Mapping[str, TypeAdapter[Record]] = MappingProxyType(
    {name: TypeAdapter(record_class) for name, record_class in _CLASSES.items()}
)
_INTEGER_BITS = 63
_HASH_BITS = 64
_KEY_HASH = 'key_hash'
# Messages between processes carry signed 64-bit integers; hashes are unsigned.
_INTEGER_END = 1 << _INTEGER_BITS
_HASH_END = 1 << _HASH_BITS


def encode_records(records: Iterable[Record]) -> str:
    """Encode the records of one entry as JSON text."""
    written = [_write_record(record) for record in records]
    return write_json({'version': FORMAT_VERSION, 'records': written}).decode()


def decode_records(text: str) -> tuple[Record, ...] | Failure:
    """Decode the records of one entry; unknown content is malformed."""
    try:
        document = parse_json(text, allow_inf_nan=False)
    except (ValueError, TypeError):
        # A lone surrogate, such as `'\ud800'`, raises a TypeError.
        return _refuse('the entry is not valid JSON')
    if not isinstance(document, dict):
        return _refuse('the entry is not a JSON object')
    # Compared as text, since `true` and `1.0` are equal to 1 in Python.
    if write_json(document.get('version')) != _VERSION_TEXT:
        return _refuse('the version of the entry is unknown')
    written = document.get('records')
    if not isinstance(written, list):
        return _refuse('the entry has no list of records')
    return _read_records(written)


def _write_record(record: Record) -> dict[str, Any]:
    name = _NAMES[type(record)]
    fields = _ADAPTERS[name].dump_python(record, mode='json')
    return {_KIND: name, **fields}


def _read_records(written: list[Any]) -> tuple[Record, ...] | Failure:
    records = []
    for fields in written:
        record = _read_record(fields)
        if isinstance(record, Failure):
            return record
        records.append(record)
    return tuple(records)


def _read_record(written: object) -> Record | Failure:
    if not isinstance(written, dict):
        return _refuse('a record is not a JSON object')
    if not _has_valid_integers(written):
        return _refuse('a number in a record is out of range')
    adapter = _ADAPTERS.get(str(written.get(_KIND)))
    if adapter is None:
        return _refuse('the kind of a record is unknown')
    fields = {name: part for name, part in written.items() if name != _KIND}
    try:
        record = adapter.validate_json(write_json(fields), strict=True)
    except ValidationError:
        return _refuse('a field of a record is invalid')
    if _write_record(record) != written:
        # Detects unknown fields, for example those of a later version.
        return _refuse('a record has unknown fields')
    return record


def _has_valid_integers(part: object, name: str = '') -> bool:
    if isinstance(part, dict):
        return all(
            _has_valid_integers(inner, key) for key, inner in part.items()
        )
    if isinstance(part, list):
        return all(_has_valid_integers(inner, name) for inner in part)
    if isinstance(part, int):
        if name == _KEY_HASH:
            return 0 <= part < _HASH_END
        return -1 <= part < _INTEGER_END
    return True


def _refuse(reason: str) -> Failure:
    return Failure(ResultCode.malformed, reason)
