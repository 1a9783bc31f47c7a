"""Encode and decode the messages between gateways and the stored tables."""

from pathlib import Path
from typing import Any

import capnp

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.gateway.peermessages import (
    KeyCount,
    PeerMessage,
    ServerLimit,
    ServerLoad,
    ServerUse,
)
from trefoilsaddle.gateway.table import OwnerEntry, OwnershipTable
from trefoilsaddle.wire.unioncodec import Codec

_PATH = Path(__file__).with_name('gateway.capnp')

# Pycapnp builds its classes at run time and ships no types.
_schema: Any = capnp.load(str(_PATH))

# Classes of which a message may hold hundreds.
_COLUMNAR = frozenset(
    (KeyCount, OwnerEntry, ServerLimit, ServerLoad, ServerUse)
)

# Messages are packed since traffic between regions is billed by volume.
_MESSAGES: Codec[PeerMessage] = Codec(
    PeerMessage,
    _schema.PeerMessage,
    packed=True,
    columnar=_COLUMNAR,
)
_TABLES: Codec[OwnershipTable] = Codec(OwnershipTable, _schema.OwnershipTable)


def encode_peer_message(message: PeerMessage) -> bytes:
    """Encode a message between gateways."""
    return _MESSAGES.encode(message)


def decode_peer_message(encoded: bytes) -> PeerMessage | Failure:
    """Decode a message between gateways, or fail with `malformed`."""
    return _MESSAGES.decode(encoded)


def encode_table(table: OwnershipTable) -> bytes:
    """Encode an ownership table."""
    return _TABLES.encode(table)


def decode_table(encoded: bytes) -> OwnershipTable | Failure:
    """Decode an ownership table, or fail with `malformed`."""
    return _TABLES.decode(encoded)
