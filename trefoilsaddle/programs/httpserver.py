"""Configure the HTTP library that serves callers."""

from socket import create_server

from hypercorn import Config

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.results import ResultCode
from trefoilsaddle.settings import AddressSettings

# Bytes of the largest head of a request.
_LARGEST_HEAD = 16_384
_BACKLOG = 1024
_KEEPALIVE_SECONDS = 30
_KEEPALIVE_REQUESTS = 100_000


def build_config(bind: str, stop_timeout: float) -> Config:
    """Bind to HOST:PORT or fd://NUMBER; a stop waits so long for answers."""
    config = Config()
    config.bind = [bind]
    config.backlog = _BACKLOG
    config.errorlog = None
    config.include_server_header = False
    config.h11_max_incomplete_size = _LARGEST_HEAD
    config.keep_alive_timeout = _KEEPALIVE_SECONDS
    config.keep_alive_max_requests = _KEEPALIVE_REQUESTS
    config.graceful_timeout = stop_timeout
    return config


def open_listener(address: AddressSettings) -> int | Failure:
    """Bind the address for callers (settings_invalid).

    Returns the file descriptor, which the HTTP library is to close.  By
    itself the library would fail on an address in use with a traceback.
    """
    place = (str(address.host), address.port)
    try:
        return create_server(place, backlog=_BACKLOG).detach()
    except OSError:
        host, port = place
        reason = f'callers: expected a free address, not {host}:{port}'
        return Failure(ResultCode.settings_invalid, reason)
