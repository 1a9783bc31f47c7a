"""Exchange whole HTTP messages with the platform's services."""

from dataclasses import dataclass, field

import httpcore
import trio

from trefoilsaddle.backend.streams import (
    CountingBackend,
    CountingStream,
    read_body,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.results import ResultCode

# Idle connections are dropped before the service drops them.
_KEEPALIVE_EXPIRY = 2.0
_OK = 200


@dataclass(frozen=True, slots=True)
class ServiceAddress:
    """Say where a service of the platform is and how long to wait for it."""

    host: str
    port: int
    # Longest wait for one whole answer.
    timeout: Seconds = Seconds(2)
    # Most connections to the service.
    connections: int = 4


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """Hold one request to a service of the platform."""

    method: str
    path: str
    body: bytes = field(default=b'', repr=False)
    # Added to the timeout: the service holds back its answer this long.
    wait: Seconds = Seconds(0)


class ServiceExchange:
    """Send requests over a few kept connections."""

    def __init__(self, address: ServiceAddress) -> None:
        """Connect at the first request."""
        self._address = address
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=address.connections,
            keepalive_expiry=_KEEPALIVE_EXPIRY,
            network_backend=CountingBackend(),
        )

    async def request(self, request: ServiceRequest) -> bytes | Failure:
        """Return the whole answer's body (log_unavailable on any failure)."""
        timeout = self._address.timeout + request.wait
        with trio.move_on_after(timeout):
            return await self._request(request)
        return Failure(ResultCode.log_unavailable, 'no answer in time')

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    async def _request(self, request: ServiceRequest) -> bytes | Failure:
        url = httpcore.URL(
            scheme='http',
            host=self._address.host,
            port=self._address.port,
            target=request.path,
        )
        try:
            async with self._pool.stream(
                request.method,
                url,
                headers={'content-type': 'application/json'},
                content=request.body,
            ) as response:
                return await _read_answer(response)
        except _FAULTS as fault:
            return Failure(ResultCode.log_unavailable, type(fault).__name__)


async def _read_answer(response: httpcore.Response) -> bytes | Failure:
    stream = response.extensions['network_stream']
    if not isinstance(stream, CountingStream):
        return Failure(ResultCode.log_unavailable, 'no answer but a tunnel')
    body = await read_body(response, stream)
    if response.status != _OK:
        reason = f'the service answered {response.status}'
        return Failure(ResultCode.log_unavailable, reason)
    return body


# Every way in which httpcore reports a lost or a broken exchange.
_FAULTS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
