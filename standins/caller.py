"""Send requests to entry processes as a caller does."""

import time
from base64 import b64encode
from dataclasses import dataclass, field
from uuid import uuid4

import httpcore
import trio
from pydantic import BaseModel, ValidationError

_ENCODING = 'latin-1'
_CONNECTIONS = 64
# Time that a caller waits beyond its deadline for an answer.
_GRACE = 5.0

_FAULTS = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


def make_idempotency_key() -> str:
    """Make a key that carries the time of day at which it was made."""
    return f'{time.time():.3f}-{uuid4().hex}'


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """Hold one request of a caller."""

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
    # Header names without their prefix that are left out, to be refused.
    omitted: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class CallerAnswer:
    """Hold what a caller got; `refused` or `broken` without an answer."""

    status: int = 0
    outcome: str = 'broken'
    code: int = -1
    retry_after: str = ''
    body: bytes = field(default=b'', repr=False)

    def echoes(self, request: CallerRequest) -> bool:
        """Tell whether the whole answer of a server is to this request."""
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
    """Keep connections to one entry process."""

    def __init__(self, port: int) -> None:
        """Connect at the first request."""
        self._port = port
        self._pool = httpcore.AsyncConnectionPool(max_connections=_CONNECTIONS)

    async def send(self, request: CallerRequest) -> CallerAnswer:
        """Send a request once."""
        with trio.move_on_after(request.deadline + _GRACE):
            return await self._send(request)
        return CallerAnswer()

    async def aclose(self) -> None:
        """Close every connection."""
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
