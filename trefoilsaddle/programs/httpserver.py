"""Configure the HTTP library that serves callers."""

from hypercorn import Config

# Bytes of the largest head of a request.
_LARGEST_HEAD = 16_384
_KEEPALIVE_SECONDS = 30
_KEEPALIVE_REQUESTS = 100_000


def build_config(bind: str, stop_timeout: float) -> Config:
    """Bind to HOST:PORT; a shutdown waits so many seconds for answers."""
    config = Config()
    config.bind = [bind]
    config.errorlog = None
    config.include_server_header = False
    config.h11_max_incomplete_size = _LARGEST_HEAD
    config.keep_alive_timeout = _KEEPALIVE_SECONDS
    config.keep_alive_max_requests = _KEEPALIVE_REQUESTS
    config.graceful_timeout = stop_timeout
    return config
