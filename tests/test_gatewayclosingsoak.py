"""Soak test of connections that a service closes while callers go on using them.

Callers send ahead, in pieces and slowly, read slowly with small windows, and use
their connections until these have ended. The service begins to close them at a
random time. More seeds: `TREFOIL_EXAMPLES=50`.
"""

import os
import socket
from dataclasses import dataclass, field
from random import Random

import pytest
import trio

from tests.gatewayscenes import LIMITS
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.callers import CallerConnection
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requests import BadInput

_HOST = '127.0.0.1'
_SEEDS = int(os.environ.get('TREFOIL_EXAMPLES', '8'))
_CALLERS = 12
_MAX_ANSWER = 100_000
_MAX_WORK = 0.05
# Seconds after which the service closes its connections, and limit on the time
# until all have ended: that of the slowest reader, and for the callers' closing.
_CLOSING = (0.1, 0.8)
_LIVENESS_BOUND = 20
_WINDOWS = (0, 4096, 65_536)
_HEAD_END = b'\r\n\r\n'


@dataclass(slots=True)
class _Service(CallerService):
    """Answer `/NAME/SIZE` with as many bytes, after some work."""

    random: Random
    closing: bool = False
    started: list[str] = field(default_factory=list)

    def read_limits(self) -> CallerLimits:
        """Return the default limits."""
        return LIMITS

    def is_closing(self) -> bool:
        """Return whether connections are closed after an answer."""
        return self.closing

    def is_idempotent(self, request: HttpRequest) -> bool:
        """Treat all but POST requests as idempotent."""
        return request.method != b'POST'

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer after some work."""
        _, name, size = request.target.split(b'/')
        self.started.append(name.decode())
        await trio.sleep(self.random.uniform(0, _MAX_WORK))
        return HttpAnswer(200, ((b'x-name', name),), bytes(int(size)))

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Answer with the name of the result code."""
        return HttpAnswer(bad.status, (), bad.code.name.encode())


@dataclass(slots=True)
class _Caller:
    """Send requests until the connection has ended, and read all answers."""

    number: int
    random: Random
    stream: trio.SocketStream
    received: bytearray = field(default_factory=bytearray)
    sent: int = 0
    pause: float = 0
    ended: bool = False

    async def run(self) -> None:
        """Send and read side by side."""
        self.pause = self.random.choice((0, 0.01, 0.05))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send)
            await self._read()
            self.ended = True
            nursery.cancel_scope.cancel()
        await self.stream.aclose()

    def list_answers(self) -> list[str]:
        """Return the names of the answers; fails if one is not whole."""
        names: list[str] = []
        rest = bytes(self.received)
        while rest:
            head, end, rest = rest.partition(_HEAD_END)
            assert end
            fields = dict(
                line.split(b': ', 1) for line in head.lower().split(b'\r\n')[1:]
            )
            size = int(fields[b'content-length'])
            assert len(rest) >= size
            names.append(fields[b'x-name'].decode())
            rest = rest[size:]
        return names

    async def _send(self) -> None:
        while not self.ended:
            await trio.sleep(self.random.choice((0, 0.01, 0.1, 0.3)))
            try:
                await self._send_request()
            except trio.BrokenResourceError:
                return

    async def _send_request(self) -> None:
        encoded = b''.join(
            self._build() for _ in range(self.random.choice((1, 1, 2, 4)))
        )
        if self.random.random() < 0.3:
            cut = self.random.randrange(1, len(encoded))
            await self.stream.send_all(encoded[:cut])
            await trio.sleep(self.random.uniform(0, 0.1))
            encoded = encoded[cut:]
        await self.stream.send_all(encoded)

    def _build(self) -> bytes:
        self.sent += 1
        size = self.random.choice((10, 2000, _MAX_ANSWER))
        name = f'c{self.number}-{self.sent}'
        method = self.random.choice(('GET', 'GET', 'POST'))
        body = 'body' if method == 'POST' else ''
        return (
            f'{method} /{name}/{size} HTTP/1.1\r\nhost: a\r\n'
            f'content-length: {len(body)}\r\n\r\n{body}'
        ).encode()

    async def _read(self) -> None:
        part = b'x'
        while part:
            await trio.sleep(self.pause)
            try:
                part = bytes(await self.stream.receive_some(16_384))
            except trio.BrokenResourceError:
                return
            self.received += part


async def _connect(port: int, window: int) -> trio.SocketStream:
    connection = trio.socket.socket()
    if window:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
    await connection.connect((_HOST, port))
    return trio.SocketStream(connection)


async def _soak(service: _Service, random: Random) -> list[_Caller]:
    async def serve(stream: trio.SocketStream) -> None:
        await CallerConnection(service, stream).serve()

    listeners = await trio.open_tcp_listeners(0, host=_HOST)
    port = listeners[0].socket.getsockname()[1]
    callers: list[_Caller] = []
    async with trio.open_nursery() as servers:
        servers.start_soon(trio.serve_listeners, serve, listeners)
        with trio.fail_after(_LIVENESS_BOUND):
            async with trio.open_nursery() as nursery:
                for number in range(_CALLERS):
                    stream = await _connect(port, random.choice(_WINDOWS))
                    caller = _Caller(number, Random(random.random()), stream)
                    callers.append(caller)
                    nursery.start_soon(caller.run)
                await trio.sleep(random.uniform(*_CLOSING))
                service.closing = True
        servers.cancel_scope.cancel()
    return callers


# Guards against requests that a planned stop runs and does not answer, and against
# answers that it cuts, for callers that use their connections to the end.
@pytest.mark.parametrize('seed', range(_SEEDS))
def test_what_runs_is_answered(seed: int) -> None:
    """Answer all that was started, whole and in order, then close."""
    random = Random(seed)
    service = _Service(Random(seed))
    callers = trio.run(_soak, service, random)
    for caller in callers:
        prefix = f'c{caller.number}-'
        started = [one for one in service.started if one.startswith(prefix)]
        answers = caller.list_answers()
        numbers = range(1, len(answers) + 1)
        assert answers == [f'{prefix}{number}' for number in numbers]
        assert set(started) == set(answers)
