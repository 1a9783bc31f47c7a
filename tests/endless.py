"""Hold what a server in trouble may send without end."""

from dataclasses import dataclass
from types import MappingProxyType

from tests.scriptedserver import Step

MEGABYTE = 1_048_576
# Bytes of one answer that may leave the server before it is given up: the
# bound of 16 MB and what the buffers of the sockets hold.
_MOST_SENT = 24 * MEGABYTE
# A head is given up after less than a read's worth.
_MOST_SENT_HEAD = 8 * MEGABYTE
# One answer at its bound, and once more while its parts are joined.
MOST_MEMORY = 40 * MEGABYTE
# Gives up long before the request's time is over, in seconds.
SOON = 10

_STATUS = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % _STATUS
_LENGTHLESS = b'%b\r\n' % _STATUS
_WHOLE = b'%bcontent-length: 4\r\n\r\nmine' % _STATUS


@dataclass(frozen=True, slots=True)
class Endless:
    """Say what a server sends without end, and how much may be taken."""

    step: Step
    most_sent: int
    # Body of the answer that comes before it, if any.
    body: bytes | None = None


ENDLESS = MappingProxyType(
    {
        'status-line': Endless(
            Step(b'HTTP/1.1 200 ', endless=b'O'), _MOST_SENT_HEAD
        ),
        'header-line': Endless(
            Step(b'%bx-long: ' % _STATUS, endless=b'x'), _MOST_SENT_HEAD
        ),
        'headers': Endless(
            Step(_STATUS, endless=b'x-a: b\r\n'), _MOST_SENT_HEAD
        ),
        'no-http': Endless(Step(endless=b'\x00'), _MOST_SENT_HEAD),
        'informational': Endless(
            Step(endless=b'HTTP/1.1 102 Wait\r\n\r\n'), _MOST_SENT_HEAD
        ),
        'body-without-length': Endless(
            Step(_LENGTHLESS, endless=b'x'), _MOST_SENT
        ),
        'chunked-body': Endless(
            Step(_CHUNKED, endless=b'400\r\n%b\r\n' % (b'x' * 1024)), _MOST_SENT
        ),
        'chunk-extensions': Endless(
            Step(_CHUNKED, endless=b'1;%b\r\nx\r\n' % (b'e' * 4000)), _MOST_SENT
        ),
        'chunk-size': Endless(Step(_CHUNKED, endless=b'0'), _MOST_SENT_HEAD),
        'trailers': Endless(
            Step(b'%b0\r\n' % _CHUNKED, endless=b'x-a: b\r\n'), _MOST_SENT_HEAD
        ),
        'behind-a-whole-answer': Endless(
            Step(b'%bx' % _WHOLE, endless=b'x'),
            _MOST_SENT_HEAD,
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
