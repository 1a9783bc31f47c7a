"""Send HTTP requests to the platform's services and read complete answers."""

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

# Seconds. Shorter than the keep-alive timeout of the services, so that the
# client closes an idle connection first.
_KEEPALIVE_EXPIRY = 2.0
_OK = 200
_LENGTH = b'content-length'


@dataclass(frozen=True, slots=True)
class ServiceAddress:
    """Address, timeout and connection limit for a platform service."""

    host: str
    port: int
    # Longest wait for a complete answer, in seconds.
    timeout: Seconds = Seconds(2)
    # Maximum number of connections to the service.
    connections: int = 4


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """Request to a platform service."""

    method: str
    path: str
    body: bytes = field(default=b'', repr=False)
    # Added to the timeout, since a long-poll answer is delayed this long.
    wait: Seconds = Seconds(0)


class ServiceExchange:
    """Sends requests to one platform service over a connection pool."""

    def __init__(self, address: ServiceAddress) -> None:
        """Open no connection before the first request."""
        self._address = address
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=address.connections,
            keepalive_expiry=_KEEPALIVE_EXPIRY,
            network_backend=CountingBackend(),
        )

    async def request(self, request: ServiceRequest) -> bytes | Failure:
        """Return the body of the answer (log_unavailable on any failure)."""
        timeout = self._address.timeout + request.wait
        with trio.move_on_after(timeout):
            return await self._request(request)
        return Failure(ResultCode.log_unavailable, 'no answer in time')

    async def aclose(self) -> None:
        """Close the connection pool."""
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
        return Failure(
            ResultCode.log_unavailable, 'the service opened a tunnel'
        )
    body = await read_body(response, stream)
    names = {name.lower() for name, _ in response.headers}
    # Surplus bytes would be taken for the answer to the next request.
    stream.end_answer(len(body) if _LENGTH in names else None)
    if response.status != _OK:
        reason = f'the service answered {response.status}'
        return Failure(ResultCode.log_unavailable, reason)
    return body


# All exceptions with which httpcore reports a lost or broken exchange.
_FAULTS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)
