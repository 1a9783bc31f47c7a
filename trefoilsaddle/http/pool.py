"""Pool the connections to one address and reuse only healthy ones."""

from contextlib import ExitStack
from dataclasses import dataclass, field
from math import inf

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http import sockets
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.exchange import AnswerMatcher, ExchangeResult, exchange
from trefoilsaddle.http.messages import (
    Fault,
    HttpAnswer,
    HttpRequest,
    parse_number,
)
from trefoilsaddle.http.progress import Progress

# Connections that were idle for longer are closed.  Servers close idle
# connections after some seconds, and a request sent at that moment is lost.
_MAX_IDLE_TIME = Seconds(3)
# Connections are given up this long before the keep-alive timeout that the
# server states, at which it closes them.
_KEEP_ALIVE_MARGIN = Seconds(1)
_KEEP_ALIVE = b'keep-alive'
# Default limit on the idle connections to one address.
_MAX_IDLE_CONNECTIONS = 4


@dataclass(slots=True)
class _IdleConnection:
    stream: trio.SocketStream
    since: float
    until: float


@dataclass(slots=True)
class ConnectionPool:
    """Send requests to one address over pooled connections."""

    host: str
    port: int
    connect_timeout: Seconds
    # Limit on idle connections; a server limits those of all callers together.
    max_idle_connections: int = _MAX_IDLE_CONNECTIONS
    # Limits the memory of answers; may be shared by several pools.
    budget: AnswerBudget = field(default_factory=AnswerBudget)
    # Whether a connection may be used again after an answer on it.
    keeps: AnswerMatcher = field(default=lambda answer: True)
    # Number of connections opened so far.
    opened: int = 0
    idle: list[_IdleConnection] = field(default_factory=list)

    async def exchange(
        self,
        request: HttpRequest,
        max_idle_time: Seconds = _MAX_IDLE_TIME,
        matches: AnswerMatcher | None = None,
        progress: Progress | None = None,
        *,
        settle: bool = False,
        new: bool = False,
    ) -> HttpAnswer | Fault:
        """Send a request once, without a timeout of its own.

        With `settle` it is sent on a new connection only if the server has not
        closed that by the time at which a refusal would have arrived; with
        `new` no idle connection is used.
        """
        opened = self.opened
        started = trio.current_time()
        stream = await self.open(max_idle_time, new=new)
        if stream is None:
            return Fault.unsent
        if settle and self.opened > opened:
            round_trip = trio.current_time() - started
            if await sockets.is_closed_within(stream, round_trip):
                sockets.abort(stream)
                return Fault.refused
        return await self.exchange_on(stream, request, matches, progress)

    async def open(
        self,
        max_idle_time: Seconds = _MAX_IDLE_TIME,
        *,
        new: bool = False,
    ) -> trio.SocketStream | None:
        """Return an idle or new connection, or None if connecting fails."""
        stream = None if new else self._pop_idle(max_idle_time)
        if stream is None:
            stream = await sockets.open_stream(
                self.host, self.port, self.connect_timeout
            )
            self.opened += 1
        return stream

    async def exchange_on(
        self,
        stream: trio.SocketStream,
        request: HttpRequest,
        matches: AnswerMatcher | None = None,
        progress: Progress | None = None,
        timeout: float = inf,
    ) -> HttpAnswer | Fault:
        """Send a request once on an open connection, then pool that again.

        On a timeout or cancellation the connection is reset, so that the
        server drops the request and unsent bytes are discarded.
        """
        progress = progress or Progress()
        progress.record_connected()
        with ExitStack() as stack:
            # Runs also if the task is cancelled during the exchange.
            stack.callback(sockets.abort, stream)
            ended = await exchange(
                stream, request, self.budget, matches, progress, timeout
            )
            stack.pop_all()
        self._return_to_pool(stream, ended)
        return ended.answer

    def sweep(self) -> None:
        """Close idle connections that can no longer be reused."""
        idle = self.idle
        self.idle = []
        for entry in idle:
            if sockets.is_idle(entry.stream):
                self._keep_if_fresh(entry)
            else:
                # Unsolicited bytes from the server must not pile up in buffers.
                sockets.abort(entry.stream)

    def close(self) -> None:
        """Close all idle connections."""
        while self.idle:
            sockets.close(self.idle.pop().stream)

    def _keep_if_fresh(self, entry: _IdleConnection) -> None:
        if _is_fresh(entry, _MAX_IDLE_TIME):
            self.idle.append(entry)
        else:
            sockets.close(entry.stream)

    def _pop_idle(self, max_idle_time: Seconds) -> trio.SocketStream | None:
        while self.idle:
            newest = self.idle.pop()
            fresh = _is_fresh(newest, max_idle_time)
            if fresh and sockets.is_idle(newest.stream):
                return newest.stream
            sockets.close(newest.stream)
        return None

    def _return_to_pool(
        self, stream: trio.SocketStream, ended: ExchangeResult
    ) -> None:
        answer = ended.answer
        if isinstance(answer, Fault) or not ended.reusable:
            sockets.abort(stream)
            return
        if not self.keeps(answer):
            sockets.abort(stream)
            return
        now = trio.current_time()
        idle = _IdleConnection(stream, now, now + _read_keep_alive(answer))
        self.idle.append(idle)
        if len(self.idle) > self.max_idle_connections:
            sockets.close(self.idle.pop(0).stream)


def _is_fresh(idle: _IdleConnection, max_idle_time: Seconds) -> bool:
    now = trio.current_time()
    return now - idle.since < max_idle_time and now < idle.until


def _read_keep_alive(answer: HttpAnswer) -> float:
    text = answer.find_header(_KEEP_ALIVE)
    if text is None:
        return _MAX_IDLE_TIME
    for part in text.lower().split(b','):
        name, _, number = part.strip().partition(b'=')
        timeout = parse_number(number)
        if name == b'timeout' and timeout is not None:
            return max(timeout - _KEEP_ALIVE_MARGIN, 0)
    return _MAX_IDLE_TIME
