"""Configure the HTTP library that serves callers."""

from socket import IPPROTO_TCP, TCP_USER_TIMEOUT, create_server

from hypercorn import Config

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.results import ResultCode

# Bytes of the largest head of a request.
_MAX_HEAD_BYTES = 16_384
_BACKLOG = 1024
_KEEPALIVE_SECONDS = 30
# After this, what a caller has not acknowledged closes its connection.
_MAX_SILENCE = Seconds(10)
_MILLISECONDS = 1000
_KEEPALIVE_REQUESTS = 100_000


def build_config(bind: str, stop_timeout: float) -> Config:
    """Bind to HOST:PORT or fd://NUMBER; a stop waits so long for answers."""
    config = Config()
    config.bind = [bind]
    config.backlog = _BACKLOG
    config.errorlog = None
    config.include_server_header = False
    config.h11_max_incomplete_size = _MAX_HEAD_BYTES
    config.keep_alive_timeout = _KEEPALIVE_SECONDS
    config.keep_alive_max_requests = _KEEPALIVE_REQUESTS
    config.graceful_timeout = stop_timeout
    return config


def open_listener(
    host: str,
    port: int,
    silence: Seconds = _MAX_SILENCE,
) -> int | Failure:
    """Bind the address for callers (settings_invalid).

    Returns the file descriptor, which the HTTP library is to close.  By
    itself the library would fail on an address in use with a traceback.
    Connections inherit the limit on silence: the library shields what it
    sends from every timeout, so that a caller which reads nothing of a large
    answer would otherwise hold up a graceful shutdown for ever.
    """
    try:
        listener = create_server((host, port), backlog=_BACKLOG)
    except OSError:
        reason = f'callers: expected a free address, not {host}:{port}'
        return Failure(ResultCode.settings_invalid, reason)
    milliseconds = int(silence * _MILLISECONDS)
    listener.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds)
    return listener.detach()
