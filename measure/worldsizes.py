"""Measure what simulated gateways exchange with each other and the store."""

from dataclasses import dataclass, field
from functools import lru_cache

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.events import TopicEntry
from trefoilsaddle.gateway.peermessages import PeerMessage
from trefoilsaddle.gateway.table import StoredTable
from trefoilsaddle.wire.deflating import Deflater
from trefoilsaddle.wire.gatewaycodec import encode_peer_message, encode_table

ORDER_BYTES = 400
REQUEST_BYTES = 500
ANSWER_BYTES = 2_000
# A call to the store, or an answer without records.
STORE_CALL_BYTES = 400
HANDSHAKE_BYTES = 0
# A request for a configuration.
WANTED_BYTES = 20
_ENTRY_BYTES = 300
# Records of `read_newest` are written in base64.
_BASE64_FACTOR = 4 / 3


@dataclass(slots=True)
class Encoder:
    """Encode messages; the last one is kept, as many may get the same."""

    _message: PeerMessage | None = None
    _encoded: bytes = b''

    def encode(self, message: PeerMessage) -> bytes:
        """Encode a message."""
        if self._message is not message:
            self._message = message
            self._encoded = encode_peer_message(message)
        return self._encoded


@dataclass(slots=True)
class Connection:
    """Compression of the two directions of a connection, and its silence."""

    upward: Deflater = field(default_factory=Deflater)
    downward: Deflater = field(default_factory=Deflater)
    # Time at which the end that connected last received a message.
    heard_at: Seconds = Seconds(0)
    # True once its first report was sent.
    greeted: bool = False


def measure_message(encoded: bytes, deflater: Deflater) -> int:
    """Return the size of the next message of a connection."""
    return len(deflater.deflate(encoded))


@lru_cache(maxsize=16)
def measure_copy(encoded: bytes) -> int:
    """Return the size of a copy of a configuration."""
    return len(Deflater().deflate(encoded))


def measure_entries(entries: tuple[TopicEntry, ...], *, newest: bool) -> int:
    """Return the size of the store's answer to a read."""
    size = sum(_measure_entry(entry) for entry in entries)
    if newest:
        size = round(size * _BASE64_FACTOR)
    return STORE_CALL_BYTES + size


def _measure_entry(entry: TopicEntry) -> int:
    if isinstance(entry, Configuration):
        return len(entry.encoded)
    if isinstance(entry, StoredTable):
        return len(encode_table(entry.table))
    return _ENTRY_BYTES
