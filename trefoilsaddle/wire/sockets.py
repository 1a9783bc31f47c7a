"""Set the socket options of connections between processes."""

import socket
from contextlib import suppress

from trio import SocketStream

# Time after which unacknowledged bytes close a connection.
_MAX_UNACKNOWLEDGED_MS = 5000
# Seconds of silence before the first TCP keep-alive probe, and between probes.
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
    """Make TCP close a connection soon after its other end goes silent."""
    # Fails if the other end has already reset the connection; the next read
    # reports that.
    with suppress(OSError):
        for level, option, setting in _OPTIONS:
            stream.setsockopt(level, option, setting)
