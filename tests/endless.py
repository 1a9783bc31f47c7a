"""Define faulty servers that send endless or very slow answers."""

from dataclasses import dataclass
from types import MappingProxyType

from tests.scriptedserver import Step

MEGABYTE = 1_048_576
# Limit in bytes on what a server can send before the client gives up: the
# limit of 16 MB on answers plus the buffers of the sockets.
_MAX_SENT = 24 * MEGABYTE
# The same for a head, which is refused after less than one read.
_MAX_SENT_HEAD = 8 * MEGABYTE
# One answer of the maximum size, and a copy while its chunks are joined.
MAX_MEMORY = 40 * MEGABYTE
# Seconds in which a client must give up, well before the request's timeout.
GIVE_UP_TIMEOUT = 10

_STATUS = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % _STATUS
_LENGTHLESS = b'%b\r\n' % _STATUS
_WHOLE = b'%bcontent-length: 4\r\n\r\nmine' % _STATUS


@dataclass(frozen=True, slots=True)
class Endless:
    """Hold an endless answer and the limit on the bytes that are read of it."""

    step: Step
    max_sent: int
    # Body of a valid answer before the endless bytes, if any.
    body: bytes | None = None


ENDLESS = MappingProxyType(
    {
        'status-line': Endless(
            Step(b'HTTP/1.1 200 ', endless=b'O'), _MAX_SENT_HEAD
        ),
        'header-line': Endless(
            Step(b'%bx-long: ' % _STATUS, endless=b'x'), _MAX_SENT_HEAD
        ),
        'headers': Endless(
            Step(_STATUS, endless=b'x-a: b\r\n'), _MAX_SENT_HEAD
        ),
        'no-http': Endless(Step(endless=b'\x00'), _MAX_SENT_HEAD),
        'informational': Endless(
            Step(endless=b'HTTP/1.1 102 Wait\r\n\r\n'), _MAX_SENT_HEAD
        ),
        'body-without-length': Endless(
            Step(_LENGTHLESS, endless=b'x'), _MAX_SENT
        ),
        'chunked-body': Endless(
            Step(_CHUNKED, endless=b'400\r\n%b\r\n' % (b'x' * 1024)), _MAX_SENT
        ),
        'chunk-extensions': Endless(
            Step(_CHUNKED, endless=b'1;%b\r\nx\r\n' % (b'e' * 4000)), _MAX_SENT
        ),
        'chunk-size': Endless(Step(_CHUNKED, endless=b'0'), _MAX_SENT_HEAD),
        'trailers': Endless(
            Step(b'%b0\r\n' % _CHUNKED, endless=b'x-a: b\r\n'), _MAX_SENT_HEAD
        ),
        'behind-a-whole-answer': Endless(
            Step(b'%bx' % _WHOLE, endless=b'x'),
            _MAX_SENT_HEAD,
            b'mine',
        ),
    }
)

DRIPS = MappingProxyType(
    {
        'head': Step(b'HTTP/1.1 200 O', endless=b'K', pause=0.02),
        'informational': Step(endless=b'HTTP/1.1 102 Go\r\n\r\n', pause=0.2),
        'body': Step(_LENGTHLESS, endless=b'x', pause=0.02),
        'chunks': Step(_CHUNKED, endless=b'1\r\nx\r\n', pause=0.02),
    }
)
