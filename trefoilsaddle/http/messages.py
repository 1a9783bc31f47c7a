"""Define complete HTTP requests and answers."""

from dataclasses import dataclass, field
from enum import Enum, unique

Headers = tuple[tuple[bytes, bytes], ...]

# Headers that concern one connection only (RFC 9110, section 7.6.1).
_CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    ),
)
_CONNECTION = b'connection'
TRANSFER_CODING = b'transfer-encoding'
_LENGTH = b'content-length'
# Longer numbers exceed any limit; some thousand digits are refused by Python.
_MAX_DIGITS = 18


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Hold one complete request."""

    method: bytes
    target: bytes = field(repr=False)
    headers: Headers = field(repr=False)
    # Large bodies are read-only views, so that they are not copied.
    body: bytes | memoryview = field(repr=False, default=b'')


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """Hold one complete answer."""

    status: int
    headers: Headers = field(repr=False)
    body: bytes = field(repr=False, default=b'')

    def find_header(self, name: bytes) -> bytes | None:
        """Return the value of a header by its lower-case name."""
        return find_header(self.headers, name)


@unique
class Fault(Enum):
    """Classify an exchange that gave no whole answer."""

    # No byte of the request was sent: no connection could be opened.
    unsent = 'unsent'
    # No byte of the request was sent: the server closed the new connection.
    refused = 'refused'
    # The request may have reached the server.
    lost = 'lost'
    # The request may have reached the server; its answer exceeded a limit.
    too_large = 'too-large'


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header by its lower-case name."""
    for key, text in headers:
        if key == name:
            return text
    return None


def has_two_framings(headers: Headers) -> bool:
    """Return whether a message has both a length and a transfer coding."""
    coded = find_header(headers, TRANSFER_CODING) is not None
    return coded and find_header(headers, _LENGTH) is not None


def parse_number(text: bytes) -> int | None:
    """Return the number of a header, or None if it is none or too long."""
    if len(text) > _MAX_DIGITS or not text.isdigit():
        return None
    return int(text)


def drop_connection_headers(headers: Headers) -> Headers:
    """Return the headers without the hop-by-hop ones."""
    named = _list_connection_options(headers)
    return tuple(
        (name, text)
        for name, text in headers
        if name not in _CONNECTION_HEADERS and name not in named
    )


def _list_connection_options(headers: Headers) -> frozenset[bytes]:
    options = find_header(headers, _CONNECTION)
    if options is None:
        return frozenset()
    names = options.lower().split(b',')
    return frozenset(name.strip() for name in names)
