"""Send a request to a backend server once and read the complete answer."""

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

# Seconds. Shorter than the keep-alive timeout of usual servers, so that the
# client closes an idle connection first.
_KEEPALIVE_EXPIRY = 2.0
_NO_CONTENT = 204
_NOT_MODIFIED = 304
_HEADER_ENCODING = 'latin-1'
# Error handler for characters that cannot be encoded: the replacement makes
# h11 refuse the request before it is sent.
_ENCODE_ERRORS = 'replace'

# All exceptions with which httpcore reports a lost or broken exchange.
_FAULTS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
    SendTooLateError,
)


@dataclass(frozen=True, slots=True)
class ServerRequest:
    """Request to a backend server, with its deadlines and cancel scope."""

    method: str
    path: str = field(repr=False)
    headers: tuple[tuple[str, str], ...] = field(repr=False)
    body: bytes = field(repr=False)
    # Monotonic time from which on nothing may be sent.
    send_before: Seconds
    # Longest wait for the complete answer, in seconds.
    timeout: Seconds
    # Cancelling it aborts the exchange.
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)


@dataclass(frozen=True, slots=True)
class ServerAnswer:
    """Complete answer of a backend server."""

    status: int
    headers: dict[str, str] = field(repr=False)
    body: bytes = field(repr=False)


@unique
class Fault(Enum):
    """Outcome of an exchange without a complete answer."""

    # No byte of the request was sent.
    unsent = 'unsent'
    # The request may have arrived, but no answer started.
    lost = 'lost'
    # An answer started but was incomplete.
    cut_short = 'cut-short'


class ServerConnections:
    """Connection pool for one backend server, within its connection limit."""

    def __init__(self, policy: ServerPolicy, read_clock: Clock) -> None:
        """Open no connection before the first request."""
        self.policy = policy
        self.read_clock = read_clock
        self._in_flight = 0
        self._retired = False
        # Retries are off by default, and httpcore repeats a request only if
        # it has written nothing to the connection yet.
        self._pool = httpcore.AsyncConnectionPool(
            max_connections=policy.connections,
            keepalive_expiry=_KEEPALIVE_EXPIRY,
            network_backend=CountingBackend(),
        )

    def fits(self, policy: ServerPolicy) -> bool:
        """Return whether the pool can be kept when the policy changes."""
        return policy == replace(
            self.policy,
            slots=policy.slots,
            leaving=policy.leaving,
        )

    async def exchange(self, request: ServerRequest) -> ServerAnswer | Fault:
        """Send a request once and return the complete answer or the fault."""
        guard = SendGuard(self.read_clock, request.send_before)
        answer: ServerAnswer | Fault = Fault.lost
        request.scope.deadline = trio.current_time() + request.timeout
        self._in_flight += 1
        with request.scope:
            answer = await self._exchange(request, guard)
        self._in_flight -= 1
        await self._close_if_done()
        return answer if guard.send_started else Fault.unsent

    async def retire(self) -> None:
        """Close the connections as soon as no request is in flight."""
        self._retired = True
        await self._close_if_done()

    async def aclose(self) -> None:
        """Close all connections, also those in use."""
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
                request.method.encode('ascii', _ENCODE_ERRORS),
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
            target=request.path.encode('utf-8', _ENCODE_ERRORS),
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
                text.encode(_HEADER_ENCODING, _ENCODE_ERRORS),
            )
            for name, text in (('host', host), *request.headers)
        ]


async def _read_answer(response: httpcore.Response) -> ServerAnswer | Fault:
    headers = _read_headers(response)
    length = headers.get('content-length')
    chunked = 'transfer-encoding' in headers
    bare = response.status in {_NO_CONTENT, _NOT_MODIFIED}
    if length is None and not chunked and not bare:
        # The body ends with the connection, so a truncated answer could not
        # be told from a complete one.
        return Fault.cut_short
    stream = response.extensions['network_stream']
    if not isinstance(stream, CountingStream):
        # The server switched to a tunnel or another protocol.
        return Fault.cut_short
    body = await read_body(response, stream)
    stream.end_answer(None if chunked else len(body))
    return ServerAnswer(response.status, headers, body)


def _read_headers(response: httpcore.Response) -> dict[str, str]:
    return {
        name.decode(_HEADER_ENCODING).lower(): text.decode(_HEADER_ENCODING)
        for name, text in response.headers
    }
