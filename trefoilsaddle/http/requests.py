"""Read the requests of one caller's connection.

Each request has a parser of its own, which also formats its answer: requests
may be read before earlier ones are answered, and the parser of a connection
reads none until it has sent the answer to the last one.
"""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from math import inf

import h11
import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.messages import HttpRequest, find_header
from trefoilsaddle.results import ResultCode

_CHUNK_BYTES = 65_536
_LENGTH = b'content-length'
_HEAD = b'HEAD'
# Limit on receiving a whole body; requests time out earlier than that.
_BODY_TIMEOUT = Seconds(10)


@dataclass(frozen=True, slots=True)
class BadInput:
    """Describe why a request is refused as invalid."""

    code: ResultCode
    status: HTTPStatus


@dataclass(frozen=True, slots=True)
class ReceivedRequest:
    """Pair a request, or what is wrong with it, with its parser."""

    request: HttpRequest | BadInput
    parser: h11.Connection
    # Time at which it was received completely, by the event loop's clock.
    at: float
    # True if its answer has no body.
    head_only: bool = False

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
    # Called before the interim answer to a request whose body waits for it.
    wait_for_turn: Callable[[], Awaitable[None]]
    # Time at which a connection without requests is closed.
    idle_until: float = inf
    _head_only: bool = False
    _rest: bytes = b''
    _idle_scope: trio.CancelScope = field(default_factory=trio.CancelScope)

    @property
    def was_idle(self) -> bool:
        """Return whether the last wait for a first byte took too long."""
        return self._idle_scope.cancelled_caught

    async def read(self) -> ReceivedRequest | None:
        """Return the next request, or None once there is none."""
        if not self._rest and not await self._wait_for_bytes():
            return None
        limits = self.read_limits()
        parser = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits.header_bytes
        )
        parser.receive_data(self._rest)
        self._rest = b''
        self._head_only = False
        try:
            request = await self._read_request(parser, limits)
        except h11.RemoteProtocolError as error:
            request = _build_bad_input(error)
        if request is None:
            return None
        self._rest = parser.trailing_data[0]
        return ReceivedRequest(
            request, parser, trio.current_time(), self._head_only
        )

    def has_rest(self) -> bool:
        """Return whether bytes behind the last request have arrived."""
        return bool(self._rest)

    async def wait_for_end(self, scope: trio.CancelScope) -> bool:
        """Keep early bytes until the scope ends; return False if all came."""
        with scope:
            while len(self._rest) < _CHUNK_BYTES:
                received = await self.stream.receive_some(_CHUNK_BYTES)
                if not received:
                    return False
                self._rest += received
            # A caller that has sent so much is not read any further.
            await trio.sleep_forever()
        return True

    def set_idle_limit(self, until: float) -> None:
        """Set the time at which a wait for a first byte ends."""
        self.idle_until = until
        self._idle_scope.deadline = until

    async def _wait_for_bytes(self) -> bool:
        self._idle_scope = trio.CancelScope(deadline=self.idle_until)
        with self._idle_scope:
            self._rest = bytes(await self.stream.receive_some(_CHUNK_BYTES))
        return bool(self._rest)

    async def _read_request(
        self, parser: h11.Connection, limits: CallerLimits
    ) -> HttpRequest | BadInput | None:
        # Most requests arrive in one segment and need no time limit.
        head: object = parser.next_event()
        if head is h11.NEED_DATA:
            scope = trio.move_on_after(limits.header_timeout)
            with scope:
                head = await self._receive_event(parser)
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
        if parser.they_are_waiting_for_100_continue:
            await self._write_continue(parser)
        return await self._read_body(parser, head, limits)

    async def _read_body(
        self,
        parser: h11.Connection,
        head: h11.Request,
        limits: CallerLimits,
    ) -> HttpRequest | BadInput | None:
        body = bytearray()
        event: object = parser.next_event()
        scope = trio.CancelScope()
        if not isinstance(event, h11.EndOfMessage):
            scope = trio.move_on_after(_BODY_TIMEOUT)
            with scope:
                event = await self._receive_body(parser, event, body, limits)
        if scope.cancelled_caught:
            return BadInput(ResultCode.body_slow, HTTPStatus.REQUEST_TIMEOUT)
        if len(body) > limits.body_bytes:
            return _TOO_LARGE
        if not isinstance(event, h11.EndOfMessage):
            return None
        headers = tuple(head.headers)
        return HttpRequest(head.method, head.target, headers, bytes(body))

    async def _receive_body(
        self,
        parser: h11.Connection,
        event: object,
        body: bytearray,
        limits: CallerLimits,
    ) -> object:
        """Add a body up to its limit; return the event that ends it."""
        if event is h11.NEED_DATA:
            event = await self._receive_event(parser)
        while isinstance(event, h11.Data) and len(body) <= limits.body_bytes:
            body += event.data
            event = await self._receive_event(parser)
        return event

    async def _receive_event(self, parser: h11.Connection) -> object:
        while True:
            event = parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            received = await self.stream.receive_some(_CHUNK_BYTES)
            parser.receive_data(received)

    async def _write_continue(self, parser: h11.Connection) -> None:
        await self.wait_for_turn()
        head = h11.InformationalResponse(status_code=100, headers=[])
        encoded = parser.send(head)
        if encoded:
            await self.stream.send_all(encoded)


_TOO_LARGE = BadInput(
    ResultCode.body_too_large, HTTPStatus.REQUEST_ENTITY_TOO_LARGE
)


def _check_head(head: h11.Request, limits: CallerLimits) -> BadInput | None:
    headers = tuple(head.headers)
    if _measure_head(head) > limits.header_bytes:
        return BadInput(
            ResultCode.header_too_large,
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        )
    declared = find_header(headers, _LENGTH)
    if declared is not None and int(declared) > limits.body_bytes:
        return _TOO_LARGE
    return None


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
    return BadInput(ResultCode.malformed, HTTPStatus.BAD_REQUEST)
