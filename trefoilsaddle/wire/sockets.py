"""Set the socket options of connections between processes."""

import socket
from contextlib import suppress

from trio import SocketStream

# Milliseconds after which unacknowledged bytes close a connection.
_MAX_UNACKNOWLEDGED_MS = 5000
# Seconds of silence before the first keep-alive probe, and between two.
_IDLE_SECONDS = 5
_PROBE_SECONDS = 1
_PROBE_COUNT = 3

_OPTIONS = (
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _IDLE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBE_COUNT),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _MAX_UNACKNOWLEDGED_MS),
)


def prepare_stream(stream: SocketStream) -> None:
    """Close the connection soon after its other end has gone silent."""
    # Fails if the other end has reset the connection meanwhile; whoever
    # reads from it finds out.
    with suppress(OSError):
        for level, option, setting in _OPTIONS:
            stream.setsockopt(level, option, setting)
