"""Read the requests of one caller's connection.

Each request has a parser of its own, which also formats its answer: requests
may be read before earlier ones are answered, and the parser of a connection
reads none until it has sent the answer to the last one.
"""

from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from dataclasses import dataclass, field
from http import HTTPStatus
from math import inf

import h11
import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http import sockets
from trefoilsaddle.http.messages import (
    TRANSFER_CODING,
    HttpRequest,
    find_header,
    has_two_framings,
)
from trefoilsaddle.http.requestbodies import (
    MIN_AGE,
    BodyBudget,
    BodyBuffer,
    BodyLease,
    ConnectionShare,
)
from trefoilsaddle.results import ResultCode

_CHUNK_BYTES = 65_536
# Bytes of a head, or of a chunked body, that a parser gets at once.  What it
# does not use stays in its buffer until the request is answered.
_HEAD_PIECE = 1024
_CHUNKED_PIECE = 8192
# Parts of a body between two turns of the event loop: 0.02 ms each.
_PARTS_IN_TURN = 32
# Bytes of the unanswered bodies of one connection, or one larger body.
_MAX_SHARE = 262_144
_LENGTH = b'content-length'
# First version of HTTP with bodies in chunks.
_CHUNKED_VERSION = b'1.1'
_HEAD = b'HEAD'
# Limit on receiving a whole body; requests time out earlier than that.
_BODY_TIMEOUT = Seconds(10)


@dataclass(frozen=True, slots=True)
class BadInput:
    """Describe why a request is refused as invalid."""

    code: ResultCode
    status: HTTPStatus
    retry_after: Seconds = Seconds(0)


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Pair a request, or what is wrong with it, with its parser."""

    request: HttpRequest | BadInput
    parser: h11.Connection
    # Time at which it was received completely, by the event loop's clock.
    at: float
    # True if its answer has no body.
    head_only: bool = False
    # Room of its body, which is released when it is answered.
    lease: BodyLease | None = None

    @property
    def is_last(self) -> bool:
        """Return whether no request can follow on the connection."""
        if isinstance(self.request, BadInput):
            return True
        return self.parser.their_state is not h11.DONE


@dataclass(slots=True)
class RequestReader:
    """Read one request after the other."""

    stream: trio.SocketStream
    read_limits: Callable[[], CallerLimits]
    # Called before a body is read that has to wait for earlier answers.
    wait_for_turn: Callable[[], Awaitable[None]]
    # Limits the memory of the bodies of all connections.
    budget: BodyBudget
    # Time at which a connection without requests is closed.
    idle_until: float = inf
    # Counts the bodies of this connection.
    share: ConnectionShare = field(default_factory=ConnectionShare)
    # Room of the body of the request that was read last.
    lease: BodyLease | None = None
    _head_only: bool = False
    _rest: bytes = b''
    # True from the first byte of a request to its end.
    _begun: bool = False
    _idle_scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def was_idle(self) -> bool:
        """Return whether the last wait for a first byte took too long."""
        return self._idle_scope.cancelled_caught

    async def read(self) -> ReceivedRequest | None:
        """Return the next request, or None once there is none."""
        if not self._rest and not await self._wait_for_bytes():
            return None
        self._begun = True
        limits = self.read_limits()
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        self._head_only = False
        try:
            request = await self._read_request(parser, limits)
        except h11.RemoteProtocolError as error:
            # The traceback refers to the error itself and to the parser.
            error.__traceback__ = None
            request = _build_bad_input(error)
        if request is None:
            return None
        self._begun = False
        if isinstance(request, BadInput):
            self.drop_rest()
        else:
            self._rest = parser.trailing_data[0] + self._rest
        # The lease refers to the body, which must not outlive its answer.
        lease = self.lease
        self.lease = None
        return ReceivedRequest(
            request, parser, trio.current_time(), self._head_only, lease
        )

    async def fetch(self, limit: int) -> bytes:
        """Return up to some received bytes; none at the end."""
        if not self._rest:
            self._rest = bytes(await self.stream.receive_some(_CHUNK_BYTES))
        return self._take(limit)

    def open_lease(self, give_way: Callable[[], None]) -> BodyLease:
        """Begin to count a body of this connection."""
        return self.budget.open(self.share, trio.current_time(), give_way)

    def count_rest(self) -> int:
        """Return the number of received bytes that no parser has."""
        return len(self._rest)

    def has_more(self) -> bool:
        """Return whether bytes behind the last whole request have arrived."""
        return self._begun or bool(self._rest)

    def drop_rest(self) -> None:
        """Free the bytes behind the last request of the connection."""
        self._rest = b''

    async def discard(self) -> None:
        """Drop bytes behind the last request until the stream ends."""
        self.drop_rest()
        more = 1
        while more:
            more = await sockets.discard(self.stream)

    async def wait_for_end(self, scope: trio.CancelScope) -> bool:
        """Keep early bytes until the scope ends; return False if all came."""
        lease = self.open_lease(scope.cancel)
        # What is kept does not give way.
        lease.finish()
        with ExitStack() as stack:
            stack.callback(lease.close)
            stack.enter_context(scope)
            while len(self._rest) < _CHUNK_BYTES:
                left = _CHUNK_BYTES - len(self._rest)
                received = await self.stream.receive_some(left)
                if not received:
                    return False
                self._rest += received
                if not lease.resize(len(self._rest), trio.current_time()):
                    break
            # A caller that has sent so much is not read any further.
            await trio.sleep_forever()
        return True

    def limit_idle_time(self) -> None:
        """Limit a wait for a first byte from now on."""
        timeout = self.read_limits().idle_timeout
        self.idle_until = trio.current_time() + timeout
        self._idle_scope.deadline = self.idle_until

    async def _wait_for_bytes(self) -> bool:
        self._idle_scope = trio.CancelScope(deadline=self.idle_until)
        with self._idle_scope:
            self._rest = bytes(await self.stream.receive_some(_CHUNK_BYTES))
        return bool(self._rest)

    async def _read_request(
        self, parser: h11.Connection, limits: CallerLimits
    ) -> HttpRequest | BadInput | None:
        # Most requests arrive in one segment and need no time limit.
        head: object = h11.NEED_DATA
        while head is h11.NEED_DATA and self._rest:
            parser.receive_data(self._take(_HEAD_PIECE))
            head = parser.next_event()
        if head is h11.NEED_DATA:
            scope = trio.move_on_after(limits.header_timeout)
            with scope:
                head = await self._receive_head(parser)
            if scope.cancelled_caught:
                return BadInput(
                    ResultCode.header_slow, HTTPStatus.REQUEST_TIMEOUT
                )
        if not isinstance(head, h11.Request):
            return None
        self._head_only = head.method == _HEAD
        bad = _check_head(head, limits)
        if bad is not None:
            return bad
        event = parser.next_event()
        if isinstance(event, h11.EndOfMessage):
            return HttpRequest(head.method, head.target, tuple(head.headers))
        expected = _find_length(head)
        await self._wait_for_share(parser, expected or 0)
        reading = _BodyReading(self, parser, limits, expected)
        return await reading.read(head, event)

    async def _receive_head(self, parser: h11.Connection) -> object:
        event: object = h11.NEED_DATA
        while event is h11.NEED_DATA:
            parser.receive_data(await self.fetch(_HEAD_PIECE))
            event = parser.next_event()
        return event

    async def _wait_for_share(
        self, parser: h11.Connection, length: int
    ) -> None:
        held = self.share.held
        exceeded = held > 0 and held + length > _MAX_SHARE
        if exceeded or parser.they_are_waiting_for_100_continue:
            await self.wait_for_turn()

    def _take(self, limit: int) -> bytes:
        taken = self._rest[:limit]
        self._rest = self._rest[limit:]
        return taken


@dataclass(slots=True)
class _BodyReading:
    """Read the body of one request within the budget."""

    reader: RequestReader
    parser: h11.Connection
    limits: CallerLimits
    # None if the length was not announced.
    expected: int | None
    buffer: BodyBuffer = field(init=False)
    lease: BodyLease = field(init=False)
    # Cancelled if the body takes too long or has to give way.
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    def __post_init__(self) -> None:
        """Begin to count the body."""
        self.buffer = BodyBuffer(self.expected or 0)
        self.lease = self.reader.open_lease(self._give_way)

    async def read(
        self, head: h11.Request, event: object
    ) -> HttpRequest | BadInput | None:
        """Return the whole request; None if the caller has closed."""
        with ExitStack() as stack:
            stack.callback(self.lease.close)
            stack.callback(self.buffer.drop)
            ended = await self._receive_in_time(event)
            if isinstance(ended, BadInput):
                return ended
            if not isinstance(ended, h11.EndOfMessage):
                return None
            stack.pop_all()
        self.lease.resize(self.buffer.length, trio.current_time())
        self.lease.finish()
        self.reader.lease = self.lease
        headers = tuple(head.headers)
        body = self.buffer.finish()
        return HttpRequest(head.method, head.target, headers, body)

    def _give_way(self) -> None:
        self.buffer.drop()
        self.scope.cancel()

    async def _receive_in_time(self, event: object) -> object:
        # A part of the body may have arrived with the head.
        if not self._resize(self.expected or _HEAD_PIECE):
            return NO_ROOM
        self.scope.deadline = trio.current_time() + _BODY_TIMEOUT
        with self.scope:
            if self.parser.they_are_waiting_for_100_continue:
                await self._write_continue()
            return await self._receive(event)
        return NO_ROOM if self.lease.evicted else _TOO_SLOW

    async def _receive(self, event: object) -> object:
        """Return the event that ends the body, or why it is refused."""
        parts = 0
        while event is h11.NEED_DATA or isinstance(event, h11.Data):
            if isinstance(event, h11.Data):
                parts += 1
                bad = self._add(event.data)
            else:
                bad = await self._fetch()
            if bad is not None:
                return bad
            if parts >= _PARTS_IN_TURN:
                parts = 0
                await self.reader.budget.take_turn()
            event = self.parser.next_event()
        return event

    def _add(self, received: bytes) -> BadInput | None:
        if self.lease.evicted:
            return NO_ROOM
        if self.buffer.length + len(received) > self.limits.body_bytes:
            return _TOO_LARGE
        self.buffer.add(received)
        return None

    async def _fetch(self) -> BadInput | None:
        """Pass received bytes to the parser, none behind the body."""
        if self.expected is not None:
            left = self.expected - self.buffer.length
            self.parser.receive_data(await self.reader.fetch(left))
            return None
        share = self.reader.share
        if share.held > max(_MAX_SHARE, self.lease.size):
            await self.reader.wait_for_turn()
        piece = await self.reader.fetch(_CHUNKED_PIECE)
        kept = len(piece) + self.reader.count_rest()
        if not self._resize(self.buffer.length + kept):
            return NO_ROOM
        self.parser.receive_data(piece)
        return None

    def _resize(self, size: int) -> bool:
        return self.lease.resize(size, trio.current_time())

    async def _write_continue(self) -> None:
        head = h11.InformationalResponse(status_code=100, headers=[])
        encoded = self.parser.send(head)
        if encoded:
            await self.reader.stream.send_all(encoded)


_MALFORMED = BadInput(ResultCode.malformed, HTTPStatus.BAD_REQUEST)
_TOO_LARGE = BadInput(
    ResultCode.body_too_large, HTTPStatus.REQUEST_ENTITY_TOO_LARGE
)
_TOO_SLOW = BadInput(ResultCode.body_slow, HTTPStatus.REQUEST_TIMEOUT)
# Bodies that are sent too slowly give way by then.
NO_ROOM = BadInput(
    ResultCode.memory_bound, HTTPStatus.SERVICE_UNAVAILABLE, MIN_AGE
)


def _check_head(head: h11.Request, limits: CallerLimits) -> BadInput | None:
    if _measure_head(head) > limits.header_bytes:
        return BadInput(
            ResultCode.header_too_large,
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        )
    if _is_ambiguous(head):
        return _MALFORMED
    length = _find_length(head)
    if length is not None and length > limits.body_bytes:
        return _TOO_LARGE
    return None


def _is_ambiguous(head: h11.Request) -> bool:
    """Return whether others may find another end of the body.

    The rest of it could be taken for a request (RFC 9112, sections 6.1 and 6.3).
    """
    headers = tuple(head.headers)
    if find_header(headers, TRANSFER_CODING) is None:
        return False
    return has_two_framings(headers) or head.http_version < _CHUNKED_VERSION


def _find_length(head: h11.Request) -> int | None:
    declared = find_header(tuple(head.headers), _LENGTH)
    return None if declared is None else int(declared)


def _measure_head(head: h11.Request) -> int:
    # The parser limits only heads that arrive in several chunks.
    size = len(head.method) + len(head.target)
    return size + sum(len(name) + len(text) for name, text in head.headers)


def _build_bad_input(error: h11.RemoteProtocolError) -> BadInput:
    if error.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
        return BadInput(
            ResultCode.header_too_large,
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        )
    return _MALFORMED
