"""Serve one connection of a caller with a service of a test."""

import socket
from collections.abc import Awaitable, Callable
from functools import partial

import trio

from trefoilsaddle.http.callers import CallerConnection
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requestbodies import BodyBudget, build_body_budget
from trefoilsaddle.http.unanswered import UnansweredCount

_HOST = '127.0.0.1'
_LIVENESS_BOUND = 20

_Use = Callable[[trio.SocketStream], Awaitable[None]]


def serve_caller(
    service: CallerService,
    use: _Use,
    count: UnansweredCount | None = None,
    bodies: BodyBudget | None = None,
    window: int = 0,
) -> None:
    """Let a test use a connection to the service.

    The window limits the bytes that the test's end receives unread.
    """
    serve = partial(
        _serve,
        service,
        count or UnansweredCount(),
        bodies or build_body_budget(),
    )
    trio.run(_run, serve, use, window)


async def _run(serve: _Use, use: _Use, window: int) -> None:
    listeners = await trio.open_tcp_listeners(0, host=_HOST)
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        with trio.fail_after(_LIVENESS_BOUND):
            connection = trio.socket.socket()
            if window:
                # The other end learns the window as the connection is opened.
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_RCVBUF, window
                )
            await connection.connect((_HOST, port))
            await use(trio.SocketStream(connection))
        nursery.cancel_scope.cancel()


async def _serve(
    service: CallerService,
    count: UnansweredCount,
    bodies: BodyBudget,
    stream: trio.SocketStream,
) -> None:
    connection = CallerConnection(service, stream, count=count, bodies=bodies)
    await connection.serve()
