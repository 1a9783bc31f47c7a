"""Client that sends requests to entry processes as a caller does."""

import time
from base64 import b64encode
from dataclasses import dataclass, field
from uuid import uuid4

import httpcore
import trio
from pydantic import BaseModel, ValidationError

_ENCODING = 'latin-1'
_CONNECTIONS = 64
# Seconds that a caller waits for an answer beyond its deadline.
_GRACE = 5.0

_FAULTS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def make_idempotency_key() -> str:
    """Return a new key that contains its creation time."""
    return f'{time.time():.3f}-{uuid4().hex}'


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Request of a caller, with the values of its x-trefoil- headers."""

    service: str
    key: str
    rank: str = 'lookup'
    member: str = 'north-doors'
    path: str = '/'
    method: str = 'POST'
    body: bytes = b''
    deadline: float = 8
    idempotent: bool = True
    idempotency_key: str = ''
    # Header names, without their prefix, that are left out to test refusals.
    omitted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Answer to a caller; the outcome is `refused` or `broken` without one."""

    status: int = 0
    outcome: str = 'broken'
    code: int = -1
    retry_after: str = ''
    body: bytes = field(default=b'', repr=False)

    def echoes(self, request: CallerRequest) -> bool:
        """Return whether the body is a server's answer to this request."""
        try:
            echo = _Echo.model_validate_json(self.body)
        except ValidationError:
            return False
        return echo == _Echo(
            server=echo.server,
            method=request.method,
            path=request.path,
            key=b64encode(request.key.encode()).decode(),
            body=b64encode(request.body).decode(),
        )


class _Echo(BaseModel):
    server: str
    method: str
    path: str
    key: str
    body: str


class Caller:
    """Client with a connection pool for one entry process."""

    def __init__(self, port: int) -> None:
        """Open no connection before the first request."""
        self._port = port
        self._pool = httpcore.AsyncConnectionPool(max_connections=_CONNECTIONS)

    async def send(self, request: CallerRequest) -> CallerAnswer:
        """Send a request once and wait until after its deadline at most."""
        with trio.move_on_after(request.deadline + _GRACE):
            return await self._send(request)
        return CallerAnswer()

    async def aclose(self) -> None:
        """Close the connection pool."""
        await self._pool.aclose()

    async def _send(self, request: CallerRequest) -> CallerAnswer:
        try:
            response = await self._pool.request(
                request.method,
                f'http://127.0.0.1:{self._port}{request.path}',
                headers=list(_build_headers(request).items()),
                content=request.body,
            )
        except httpcore.ConnectError:
            return CallerAnswer(outcome='refused')
        except _FAULTS:
            return CallerAnswer()
        headers = {
            name.decode(_ENCODING).lower(): text.decode(_ENCODING)
            for name, text in response.headers
        }
        return CallerAnswer(
            status=response.status,
            outcome=headers.get('x-trefoil-outcome', 'broken'),
            code=int(headers.get('x-trefoil-result', '-1')),
            retry_after=headers.get('retry-after', ''),
            body=response.content,
        )


def _build_headers(request: CallerRequest) -> dict[str, str]:
    headers = {
        'service': request.service,
        'key': request.key,
        'rank': request.rank,
        'member': request.member,
        'deadline': str(request.deadline),
        'idempotent': str(request.idempotent).lower(),
        'idempotency-key': request.idempotency_key,
    }
    return {
        f'x-trefoil-{name}': text
        for name, text in headers.items()
        if text and name not in request.omitted
    }
