"""Open, check and close TCP connections."""

import errno
import select
import socket
import struct
import sys
from contextlib import ExitStack, suppress
from fcntl import ioctl
from termios import TIOCOUTQ

import trio

from trefoilsaddle.core.units import Seconds

# Time after which unacknowledged bytes close a connection.
_MAX_UNACKNOWLEDGED_MS = 4000
# The same for callers: longer than any of them waits for an answer, so that no
# answer is discarded while it is wanted.
_MAX_UNACKNOWLEDGED_BY_CALLER_MS = 12_000
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# Room for a C integer, as which the kernel returns the length of a queue.
_QUEUE_LENGTH = bytes(struct.calcsize('i'))
_BACKLOG = 1024
_DISCARDED_BYTES = 65_536
# State of a TCP connection, in the first byte of its information: the other
# end has sent its end of the stream, and no reset.
_CLOSE_WAIT = 8
# Wait for a refusal after a connection was established, in round trips, and the
# time that the other end may take.
_SETTLE_FACTOR = 1.25
_SETTLE_MARGIN = Seconds(0.003)


async def open_stream(
    host: str,
    port: int,
    timeout: Seconds,
) -> trio.SocketStream | None:
    """Connect to an address, or return None if that fails."""
    with ExitStack() as stack, trio.move_on_after(timeout):
        try:
            # Fails if no descriptor is left.
            connection = trio.socket.socket()
        except OSError:
            return None
        stack.callback(connection.close)
        try:
            await connection.connect((host, port))
        except OSError:
            return None
        stack.pop_all()
        stream = trio.SocketStream(connection)
        set_options(stream)
        return stream
    return None


def set_options(stream: trio.SocketStream) -> None:
    """Close the connection if the other end stops acknowledging."""
    _limit_unacknowledged(stream, _MAX_UNACKNOWLEDGED_MS)


def set_caller_options(stream: trio.SocketStream) -> None:
    """Close a connection if its caller has long stopped acknowledging."""
    _limit_unacknowledged(stream, _MAX_UNACKNOWLEDGED_BY_CALLER_MS)


def _limit_unacknowledged(stream: trio.SocketStream, limit_ms: int) -> None:
    # Fails if the other end has already reset the connection; the next read
    # reports that.
    with suppress(OSError):
        stream.setsockopt(
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
            limit_ms,
        )


def is_idle(stream: trio.SocketStream) -> bool:
    """Return whether a connection is open and has no bytes to read."""
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return not poll.poll(0)


def is_ended_by_peer(stream: trio.SocketStream) -> bool:
    """Return whether the other end has ended the stream without a reset.

    False once a reset has followed as well.
    """
    try:
        state = stream.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        # Not every system tells the state.
        return False
    return state[0] == _CLOSE_WAIT


def count_undelivered(stream: trio.SocketStream) -> int | None:
    """Return the bytes written that the other end has not acknowledged.

    The end of the stream counts as one byte.  None if the system does not tell.
    """
    descriptor = stream.socket.fileno()
    if descriptor < 0:
        return 0
    try:
        queued = ioctl(descriptor, TIOCOUTQ, _QUEUE_LENGTH)
    except OSError:
        return None
    return int.from_bytes(queued, sys.byteorder)


async def discard(stream: trio.SocketStream) -> int:
    """Receive some bytes and drop them; return their number, 0 at the end.

    No reference to them is kept while more are awaited.
    """
    return len(await stream.receive_some(_DISCARDED_BYTES))


def is_reset_after_end(error: Exception) -> bool:
    """Return whether writing failed after the other end ended the stream.

    The kernel reports EPIPE for a reset behind the end of the stream, which
    follows if the other end reads no more, and ECONNRESET without such an end.
    """
    cause = error.__cause__
    return isinstance(cause, OSError) and cause.errno == errno.EPIPE


async def is_closed_within(
    stream: trio.SocketStream, round_trip: float
) -> bool:
    """Wait one round trip; return whether the other end has closed by then.

    The other end refuses a connection after it was established, so that a
    reset arrives up to one round trip later.
    """
    with trio.move_on_after(round_trip * _SETTLE_FACTOR + _SETTLE_MARGIN):
        await trio.lowlevel.wait_readable(stream.socket)
        return True
    return False


def abort(stream: trio.SocketStream) -> None:
    """Reset a connection and discard the bytes not yet delivered."""
    with suppress(OSError):
        stream.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
    stream.socket.close()


def close(stream: trio.SocketStream) -> None:
    """Close a connection without waiting."""
    stream.socket.close()


def listen(host: str, port: int) -> trio.SocketListener | None:
    """Listen on an address; return None if it is in use."""
    try:
        listener = socket.create_server((host, port), backlog=_BACKLOG)
    except OSError:
        return None
    return trio.SocketListener(trio.socket.from_stdlib_socket(listener))
