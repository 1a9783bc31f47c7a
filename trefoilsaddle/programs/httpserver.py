"""Configure the hypercorn server for callers."""

from socket import IPPROTO_TCP, TCP_USER_TIMEOUT, create_server

from hypercorn import Config

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.results import ResultCode

# Limit on the head of a request.
_MAX_HEAD_BYTES = 16_384
_BACKLOG = 1024
_KEEPALIVE_SECONDS = 30
# Time after which bytes that a caller has not acknowledged close its
# connection.
_MAX_SILENCE = Seconds(10)
_MILLISECONDS = 1000
_KEEPALIVE_REQUESTS = 100_000


def build_config(bind: str, stop_timeout: float) -> Config:
    """Build the configuration; `bind` is HOST:PORT or fd://NUMBER."""
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

    Returns the file descriptor, which the HTTP library closes.  If the library
    bound the address itself, an address in use would end in a traceback.
    Connections inherit the limit on silence: the library shields its sending
    from every timeout, so that a caller that does not read a large answer
    would otherwise block a graceful shutdown for ever.
    """
    try:
        listener = create_server((host, port), backlog=_BACKLOG)
    except OSError:
        reason = f'callers: expected a free address, not {host}:{port}'
        return Failure(ResultCode.settings_invalid, reason)
    milliseconds = int(silence * _MILLISECONDS)
    listener.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, milliseconds)
    return listener.detach()
