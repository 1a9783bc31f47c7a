"""HTTP server for the stand-ins: hypercorn on trio, one app class for each."""

import signal
from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any, TypeVar
from urllib.parse import parse_qs

import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from hypercorn.typing import (
    ASGIReceiveCallable,
    ASGISendCallable,
    HTTPScope,
    Scope,
)
from pydantic import TypeAdapter, ValidationError
from pydantic_core import from_json as parse_json
from pydantic_core import to_json as write_json

_HEADER_ENCODING = 'latin-1'
# Longest wait, in seconds, for requests in flight during a graceful stop.
_STOP_TIMEOUT = 5.0
_BACKLOG = 512
_BAD_REQUEST = 400

_Switches = TypeVar('_Switches')


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Complete HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes = field(repr=False)


@dataclass(frozen=True, slots=True)
class HttpAnswer:
    """HTTP answer of a stand-in."""

    status: int
    body: bytes = b''
    content_type: str = 'application/json'
    headers: tuple[tuple[str, str], ...] = ()
    # Content length to announce; more than the body has truncates the answer.
    length: int | None = None


def answer_json(status: int, document: object) -> HttpAnswer:
    """Build an answer with a JSON body."""
    return HttpAnswer(status, write_json(document))


def update_switches(
    switches: _Switches,
    adapter: TypeAdapter[_Switches],
    body: bytes,
) -> _Switches | HttpAnswer:
    """Apply the JSON body of a control request to the switches."""
    current: dict[str, Any] = asdict(switches)  # type: ignore[call-overload]
    try:
        current.update(parse_json(body))
    except (ValueError, TypeError) as error:
        return answer_json(_BAD_REQUEST, {'error': str(error)})
    try:
        return adapter.validate_python(current)
    except ValidationError as error:
        return answer_json(_BAD_REQUEST, {'error': str(error)})


class HttpApp(ABC):
    """ASGI app that cancels a request when its caller disconnects."""

    async def __call__(
        self,
        scope: Scope,
        receive: ASGIReceiveCallable,
        send: ASGISendCallable,
    ) -> None:
        """Read a request, answer it and cancel the work on a disconnect."""
        if scope['type'] != 'http':
            # Hypercorn continues without the lifespan scope only if the app
            # raises an exception for it.
            raise NotImplementedError(scope['type'])
        body = await _read_body(receive)
        if body is None:
            return
        request = _build_request(scope, body)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_watch_caller, receive, nursery.cancel_scope)
            answer = await self.answer(request)
            await _send_answer(send, answer)
            nursery.cancel_scope.cancel()

    @abstractmethod
    async def answer(self, request: HttpRequest) -> HttpAnswer:
        """Return the answer to a request."""


async def _read_body(receive: ASGIReceiveCallable) -> bytes | None:
    chunks = []
    while True:
        event = await receive()
        if event['type'] != 'http.request':
            return None
        chunks.append(event['body'])
        if not event['more_body']:
            return b''.join(chunks)


async def _watch_caller(
    receive: ASGIReceiveCallable,
    cancel_scope: trio.CancelScope,
) -> None:
    while True:
        event = await receive()
        if event['type'] == 'http.disconnect':
            cancel_scope.cancel()
            return


def _build_request(scope: HTTPScope, body: bytes) -> HttpRequest:
    query = parse_qs(scope['query_string'].decode(_HEADER_ENCODING))
    return HttpRequest(
        method=scope['method'],
        path=scope['path'],
        query={name: found[-1] for name, found in query.items()},
        headers={
            name.decode(_HEADER_ENCODING).lower(): text.decode(_HEADER_ENCODING)
            for name, text in scope['headers']
        },
        body=body,
    )


async def _send_answer(send: ASGISendCallable, answer: HttpAnswer) -> None:
    length = len(answer.body) if answer.length is None else answer.length
    headers = [
        ('content-type', answer.content_type),
        ('content-length', str(length)),
        *answer.headers,
    ]
    await send(
        {
            'type': 'http.response.start',
            'status': answer.status,
            'headers': [
                (name.encode(_HEADER_ENCODING), text.encode(_HEADER_ENCODING))
                for name, text in headers
            ],
            'trailers': False,
        }
    )
    await send(
        {
            'type': 'http.response.body',
            'body': answer.body,
            'more_body': False,
        }
    )


async def _wait_for_signal() -> None:
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        await anext(signals)


def run_app(app: HttpApp, host: str, port: int) -> None:
    """Serve an app in this process until SIGTERM or SIGINT."""
    trio.run(serve_app, app, host, port, _wait_for_signal)


async def serve_app(
    app: HttpApp,
    host: str,
    port: int,
    shutdown: Callable[[], Any],
) -> None:
    """Serve an app until the shutdown function returns."""
    config = Config()
    config.bind = [f'{host}:{port}']
    config.errorlog = None
    config.accesslog = None
    config.backlog = _BACKLOG
    config.graceful_timeout = _STOP_TIMEOUT
    await serve(app, config, shutdown_trigger=shutdown, mode='asgi')
