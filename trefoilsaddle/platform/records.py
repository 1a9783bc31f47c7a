"""Encode and decode the records of the store's topics.

A record is a length of four bytes, big-endian, followed by the content.  In a
keyed topic the content is the length of the key in one byte, the key, and the
value; an empty value deletes the key.
"""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import Offset

_LENGTH_BYTES = 4
# A page starts with the end offset of the partition and its first retained
# offset, eight bytes each.
_PAGE_HEAD_BYTES = 16


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """Hold one record of a keyed topic."""

    offset: Offset
    name: str
    body: bytes = field(repr=False)


def encode_keyed(name: bytes, body: bytes) -> bytes:
    """Encode one record of a keyed topic."""
    packed = bytes((len(name),)) + name + body
    return len(packed).to_bytes(_LENGTH_BYTES, 'big') + packed


def decode_page(page: bytes, first: Offset) -> list[KeyedRecord] | None:
    """Decode the records of a page; return None if it is damaged."""
    records: list[KeyedRecord] = []
    position = _PAGE_HEAD_BYTES
    if len(page) < position:
        return None
    while position < len(page):
        start = position + _LENGTH_BYTES
        size = int.from_bytes(page[position:start], 'big')
        position = start + size
        if position > len(page):
            return None
        offset = Offset(first + len(records))
        records.append(_decode_content(offset, page[start:position]))
    return records


def _decode_content(offset: Offset, packed: bytes) -> KeyedRecord:
    size = packed[0] if packed else 0
    name = packed[1 : size + 1]
    return KeyedRecord(
        offset,
        name.decode('utf-8', 'replace'),
        packed[size + 1 :],
    )
