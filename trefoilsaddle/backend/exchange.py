"""Send one request to a backend server, once, and read the whole answer."""

from dataclasses import dataclass, field, replace
from enum import Enum, unique

import httpcore
import trio

from trefoilsaddle.backend.guard import Clock, SendGuard, SendTooLateError
from trefoilsaddle.backend.streams import (
    CountingBackend,
    CountingStream,
    read_body,
)
from trefoilsaddle.core.configuration import ServerPolicy
from trefoilsaddle.core.units import Seconds

# Idle connections are dropped before the usual server drops them.
_KEEPALIVE_EXPIRY = 2.0
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_HEADER_ENCODING = 'latin-1'
# What HTTP cannot carry makes h11 refuse the request before it is sent.
_ESCAPE = 'replace'

# Every way in which httpcore reports a lost or a broken exchange.
_FAULTS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    SendTooLateError,
)


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """Hold one request to a backend server."""

    method: str
    path: str = field(repr=False)
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes = field(repr=False)
    # Monotonic time after which nothing is sent any more.
    send_before: Seconds
    # Longest wait for the whole answer.
    timeout: Seconds
    # Ends the exchange early when cancelled.
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Hold one whole answer of a backend server."""

    status: int
    headers: dict[str, str] = field(repr=False)
    body: bytes = field(repr=False)


@unique
class Fault(Enum):
    """Name how an exchange without a whole answer ended."""

    # No byte of the request left.
    unsent = 'unsent'
    # The request may have arrived; no answer began.
    lost = 'lost'
    # An answer began and was not whole.
    cut_short = 'cut-short'


class ServerConnections:
    """Keep the connections to one backend server, within its limit."""

    def __init__(self, policy: ServerPolicy, read_clock: Clock) -> None:
        """Connect at the first request."""
        self.policy = policy
        self.read_clock = read_clock
        self._in_flight = 0
        self._retired = False
        # Retries are off by default, and httpcore sends a request again
        # only if it has not touched the connection yet.
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=policy.connections,
            keepalive_expiry=_KEEPALIVE_EXPIRY,
            network_backend=CountingBackend(),
        )

    def fits(self, policy: ServerPolicy) -> bool:
        """Tell whether the connections can serve under another policy."""
        return policy == replace(
            self.policy,
            slots=policy.slots,
            leaving=policy.leaving,
        )

    async def exchange(self, request: ServerRequest) -> ServerAnswer | Fault:
        """Send a request once and read the whole answer to it."""
        guard = SendGuard(self.read_clock, request.send_before)
        answer: ServerAnswer | Fault = Fault.lost
        request.scope.deadline = trio.current_time() + request.timeout
        self._in_flight += 1
        with request.scope:
            answer = await self._exchange(request, guard)
        self._in_flight -= 1
        await self._close_if_done()
        return answer if guard.begun else Fault.unsent

    async def retire(self) -> None:
        """Close the connections once nothing is in flight on them."""
        self._retired = True
        await self._close_if_done()

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pool.aclose()

    async def _close_if_done(self) -> None:
        if self._retired and not self._in_flight:
            await self.aclose()

    async def _exchange(
        self,
        request: ServerRequest,
        guard: SendGuard,
    ) -> ServerAnswer | Fault:
        fault = Fault.lost
        try:
            async with self._pool.stream(
                request.method.encode('ascii', _ESCAPE),
                self._build_url(request),
                headers=self._build_headers(request),
                content=request.body,
                extensions={'trace': guard.trace},
            ) as response:
                fault = Fault.cut_short
                return await _read_answer(response)
        except _FAULTS:
            return fault

    def _build_url(self, request: ServerRequest) -> httpcore.URL:
        return httpcore.URL(
            scheme=b'http',
            host=self.policy.host.encode(),
            port=self.policy.port,
            target=request.path.encode('utf-8', _ESCAPE),
        )

    def _build_headers(
        self,
        request: ServerRequest,
    ) -> list[tuple[bytes, bytes]]:
        policy = self.policy
        host = f'{policy.host}:{policy.port}'
        return [
            (
                name.encode(_HEADER_ENCODING),
                text.encode(_HEADER_ENCODING, _ESCAPE),
            )
            for name, text in (('host', host), *request.headers)
        ]


async def _read_answer(response: httpcore.Response) -> ServerAnswer | Fault:
    headers = _read_headers(response)
    length = headers.get('content-length')
    chunked = 'transfer-encoding' in headers
    bare = response.status in {_NO_CONTENT, _NOT_MODIFIED}
    if length is None and not chunked and not bare:
        # Ends with the connection: a whole answer looks like a short one.
        return Fault.cut_short
    stream = response.extensions['network_stream']
    if not isinstance(stream, CountingStream):
        # A tunnel or another protocol was opened instead of an answer.
        return Fault.cut_short
    body = await read_body(response, stream)
    stream.end_answer(None if chunked else len(body))
    return ServerAnswer(response.status, headers, body)


def _read_headers(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode(_HEADER_ENCODING).lower(): text.decode(_HEADER_ENCODING)
        for name, text in response.headers
    }
