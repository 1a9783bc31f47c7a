"""Measure the cost of HTTP libraries: `python -m measure.httpcost`.

One caller uses one kept connection.  Each figure is the processor time of a
request in this process, for caller and server together, so only differences
between rows are meaningful for a library.
"""

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial
from time import process_time

import httpcore
import trio
from hypercorn import Config
from hypercorn.trio import serve as serve_asgi

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.callers import CallerConnection
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.pool import ConnectionPool
from trefoilsaddle.http.requests import BadInput

_REQUESTS = 2000
_BODY = bytes(1500)
_LIMITS = CallerLimits(16_384, 65_536, Seconds(3), Seconds(15))
_HOST = '127.0.0.1'
_MILLISECONDS = 1000
_Request = Callable[[], Awaitable[None]]


@dataclass(slots=True)
class _Service(CallerService):
    """Service that gives every request the same answer."""

    def read_limits(self) -> CallerLimits:
        """Return typical limits."""
        return _LIMITS

    def is_closing(self) -> bool:
        """Keep connections open."""
        return False

    def is_idempotent(self, request: HttpRequest) -> bool:
        """Answer one request after the other."""
        return False

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Return an answer with a fixed body."""
        return HttpAnswer(200, (), _BODY)

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Answer malformed input with its status code."""
        return HttpAnswer(bad.status, ())


async def _answer_asgi(
    scope: dict[str, object],
    receive: Callable[[], Awaitable[object]],
    send: Callable[[dict[str, object]], Awaitable[None]],
) -> None:
    await receive()
    headers = [(b'content-length', b'%d' % len(_BODY))]
    await send(
        {'type': 'http.response.start', 'status': 200, 'headers': headers}
    )
    await send({'type': 'http.response.body', 'body': _BODY})


async def _measure(send_request: _Request) -> float:
    await send_request()
    started = process_time()
    for _ in range(_REQUESTS):
        await send_request()
    return (process_time() - started) / _REQUESTS * _MILLISECONDS


async def _request_own(pool: ConnectionPool) -> None:
    headers = ((b'host', b'server'),)
    await pool.exchange(HttpRequest(b'GET', b'/', headers))


async def _request_httpcore(
    pool: httpcore.AsyncConnectionPool,
    port: int,
) -> None:
    await pool.request('GET', f'http://{_HOST}:{port}/')


async def _serve_own(stream: trio.SocketStream) -> None:
    await CallerConnection(_Service(), stream).serve()


async def _measure_server(port: int) -> list[float]:
    own = ConnectionPool(_HOST, port, Seconds(1))
    figures = [await _measure(partial(_request_own, own))]
    async with httpcore.AsyncConnectionPool() as pool:
        figures.append(await _measure(partial(_request_httpcore, pool, port)))
    return figures


async def _run() -> None:
    async with trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=_HOST)
        port = listeners[0].socket.getsockname()[1]
        nursery.start_soon(trio.serve_listeners, _serve_own, listeners)
        _write_row('own server', await _measure_server(port))
        config = Config()
        config.bind = [f'{_HOST}:0']
        config.accesslog = None
        binds = await nursery.start(serve_asgi, _answer_asgi, config)
        asgi_port = int(binds[0].rpartition(':')[2])
        _write_row('hypercorn', await _measure_server(asgi_port))
        nursery.cancel_scope.cancel()


def _write_row(name: str, figures: list[float]) -> None:
    own, other = figures
    row = f'{name}: own client {own:.2f} ms, httpcore {other:.2f} ms'
    sys.stdout.write(f'{row}\n')


if __name__ == '__main__':
    trio.run(_run)
