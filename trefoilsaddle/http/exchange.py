"""Send one request on a connection and read its whole answer."""

from dataclasses import dataclass, field, replace
from math import inf
from typing import Protocol, cast

import h11
import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http.budget import (
    AnswerBudget,
    AnswerReservation,
    TooLargeError,
)
from trefoilsaddle.http.messages import (
    TRANSFER_CODING,
    Fault,
    HttpAnswer,
    HttpRequest,
    has_two_framings,
)
from trefoilsaddle.http.progress import Progress
from trefoilsaddle.http.sockets import (
    is_ended_by_peer,
    is_idle,
    is_reset_after_end,
)

_CHUNK_BYTES = 65_536
# Limit on one read of a head: little more than the limit on an incomplete one
# is parsed at once, as the fields of 64 KB take 70 ms.
_HEAD_CHUNK_BYTES = 4096
# The same for a body in chunks, whose trailers may be as long.
_CHUNKED_CHUNK_BYTES = 16_384
# Limit on an incomplete head, chunk header or trailer section: the platform's
# limit on a caller's head.
_MAX_HEAD_BYTES = 16_384
# Limit on informational responses (1xx) before an answer; servers send one or
# two.
_MAX_INFORMATIONAL = 8
# Statuses of final responses.  A response with any other status is none (RFC
# 9110, section 15): the server is in trouble, and the request may have run.
_FINAL_STATUSES = range(200, 600)
# Bytes.  Larger requests are sent while the answer is being read: a server may
# answer before it has read the whole request, and then read no more of it.
_MAX_UNREAD_SEND = 4096
# Bytes of a body that are copied behind the head of its request.
_MAX_COPIED = 65_536
# Extra time to read an answer that has started to arrive when the timeout
# expires.
_LATE_READ_TIMEOUT = Seconds(0.05)
_HOST = b'host'
# Limit on the answers to earlier requests that are skipped on a connection.
_MAX_STALE = 2


class AnswerMatcher(Protocol):
    """Check an answer, for example whether it belongs to the request."""

    def __call__(self, answer: HttpAnswer) -> bool:
        """Return whether the answer passes the check."""


@dataclass(slots=True)
class ExchangeResult:
    """Hold the answer or fault, and whether the connection is reusable."""

    answer: HttpAnswer | Fault
    reusable: bool


@dataclass(slots=True)
class _Reader:
    """Read answers to one request from a stream."""

    stream: trio.SocketStream
    request: HttpRequest
    reservation: AnswerReservation
    progress: Progress
    parser: h11.Connection = field(init=False)
    # Set when the whole request was written, or when that failed.
    written: trio.Event = field(default_factory=trio.Event)
    sent: bool = False
    # True if writing failed, and the connection was reset before its end.
    reset: bool = False
    # Limit on the next read.
    chunk_bytes: int = _HEAD_CHUNK_BYTES

    def __post_init__(self) -> None:
        self.parser = _build_parser()

    def encode(self) -> tuple[bytes | memoryview, ...]:
        """Serialize the request and prepare the parser for its answer.

        A large body is a part of its own, which is not copied.
        """
        request = self.request
        head = h11.Request(
            method=request.method,
            target=request.target,
            headers=list(request.headers),
        )
        parts = [self.parser.send(head)]
        if request.body:
            # The parser accepts any object with a length.
            body = h11.Data(data=cast(bytes, request.body))
            parts.extend(self.parser.send_with_data_passthrough(body) or ())
        parts.append(self.parser.send(h11.EndOfMessage()))
        if len(request.body) <= _MAX_COPIED:
            return (b''.join(part for part in parts if part),)
        # A server that answers before it has read the body often gets it at
        # once, so that the connection can be used again.
        encoded, first, *rest = parts
        view = memoryview(first)
        start = encoded + bytes(view[:_MAX_COPIED])
        split: list[bytes | memoryview] = [start, view[_MAX_COPIED:], *rest]
        return tuple(part for part in split if part)

    def record_sent(self) -> None:
        """Record that the whole request was written."""
        self.sent = True
        self.written.set()
        self.progress.record_written()

    def record_unsent(self, error: Exception) -> None:
        """Record that the rest of the request could not be written."""
        # The kernel reports a reset once, here or to the reader, which then
        # finds the end of the stream.
        self.reset = not is_reset_after_end(error)
        self.written.set()

    def restart(self) -> None:
        """Prepare to read the next answer, after a stale one."""
        rest, _ = self.parser.trailing_data
        self.parser = _build_parser()
        self.chunk_bytes = _HEAD_CHUNK_BYTES
        # The parser needs the method of the request, but none of its body.
        host = (_HOST, b'')
        self.parser.send(
            h11.Request(
                method=self.request.method,
                target=self.request.target,
                headers=[host],
            )
        )
        self.parser.send(h11.EndOfMessage())
        if rest:
            self.parser.receive_data(rest)

    async def read(self) -> HttpAnswer | Fault:
        """Read one answer, skipping informational responses."""
        event = await self._next_event()
        informational = 0
        while isinstance(event, h11.InformationalResponse):
            informational += 1
            if informational > _MAX_INFORMATIONAL:
                return Fault.too_large
            event = await self._next_event()
        if not isinstance(event, h11.Response):
            return Fault.lost
        if event.status_code not in _FINAL_STATUSES:
            return Fault.lost
        head = HttpAnswer(event.status_code, tuple(event.headers))
        self.progress.head = head
        chunked = head.find_header(TRANSFER_CODING) is not None
        self.chunk_bytes = _CHUNKED_CHUNK_BYTES if chunked else _CHUNK_BYTES
        body = await self._read_body()
        return Fault.lost if body is None else replace(head, body=body)

    def is_clean(self) -> bool:
        """Return whether the connection can be used for another request."""
        rest, ended = self.parser.trailing_data
        if rest or ended or not self.sent or self._is_ambiguous():
            return False
        states = {self.parser.our_state, self.parser.their_state}
        return states == {h11.DONE}

    def _is_ambiguous(self) -> bool:
        """Return whether the answer may end elsewhere than it was read to."""
        head = self.progress.head
        return head is not None and has_two_framings(head.headers)

    async def _read_body(self) -> bytes | None:
        body = bytearray()
        event = await self._next_event()
        while isinstance(event, h11.Data):
            body += event.data
            event = await self._next_event()
        if not isinstance(event, h11.EndOfMessage):
            return None
        # Without a length only the end of the connection ends the body.
        ended = self.parser.trailing_data[1]
        if ended and await self._is_reset():
            return None
        return bytes(body)

    async def _is_reset(self) -> bool:
        """Return whether the end of the stream was a reset."""
        if not is_ended_by_peer(self.stream):
            # Nothing more can be written, so the writing ends at once.
            await self.written.wait()
        return self.reset

    async def _next_event(self) -> object:
        """Return the next event, or None if the bytes are no answer."""
        while True:
            event = self._parse_event()
            if event is not h11.NEED_DATA:
                await self.reservation.count_event()
                return event
            limit = self.reservation.budget.limit_read(self.chunk_bytes)
            received = await self.stream.receive_some(limit)
            self.reservation.add(len(received))
            self.parser.receive_data(received)

    def _parse_event(self) -> object:
        try:
            return self.parser.next_event()
        except h11.RemoteProtocolError as error:
            # A frame of the traceback refers to the exception.  The cycle would
            # keep the request and its encoded copy until the collector runs,
            # which counts objects and not bytes.
            error.__traceback__ = None
        return None


async def exchange(
    stream: trio.SocketStream,
    request: HttpRequest,
    budget: AnswerBudget,
    matches: AnswerMatcher | None = None,
    progress: Progress | None = None,
    timeout: float = inf,
) -> ExchangeResult:
    """Send a request and read its whole answer.

    The budget limits the size of the answer.  An answer that has arrived is
    also read after the timeout, which may have expired because the event loop
    of this process was busy.  Answers that do not match belong to earlier
    requests: they are dropped, and the connection is not reused.  Without a
    matcher nothing is sent on a connection that has brought bytes before.
    """
    if matches is None and not is_idle(stream):
        return ExchangeResult(Fault.unsent, reusable=False)
    with budget.reserve() as reservation:
        reader = _Reader(stream, request, reservation, progress or Progress())
        with reservation.scope:
            return await _exchange(reader, matches, timeout)
    # The answer gave way to others.
    return ExchangeResult(Fault.too_large, reusable=False)


async def _exchange(
    reader: _Reader,
    matches: AnswerMatcher | None,
    timeout: float,
) -> ExchangeResult:
    try:
        encoded = reader.encode()
    except h11.LocalProtocolError:
        # The request is not valid HTTP, so no byte was sent.
        return ExchangeResult(Fault.unsent, reusable=True)
    size = sum(len(part) for part in encoded)
    reader.reservation.budget.traffic.count_sent(size)
    try:
        return await _exchange_in_time(reader, encoded, matches, timeout)
    except TooLargeError:
        return ExchangeResult(Fault.too_large, reusable=False)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        return ExchangeResult(Fault.lost, reusable=False)


async def _exchange_in_time(
    reader: _Reader,
    encoded: tuple[bytes | memoryview, ...],
    matches: AnswerMatcher | None,
    timeout: float,
) -> ExchangeResult:
    with trio.move_on_after(timeout):
        return await _send_and_read(reader, encoded, matches)
    return await _read_late(reader, matches)


async def _read_late(
    reader: _Reader, matches: AnswerMatcher | None
) -> ExchangeResult:
    ended = ExchangeResult(Fault.lost, reusable=False)
    if reader.sent and not is_idle(reader.stream):
        with trio.move_on_after(_LATE_READ_TIMEOUT):
            ended = await _read_matching(reader, matches)
    # The server may send more for a request that took so long.
    ended.reusable = False
    return ended


async def _send_and_read(
    reader: _Reader,
    encoded: tuple[bytes | memoryview, ...],
    matches: AnswerMatcher | None,
) -> ExchangeResult:
    if len(encoded) == 1 and len(encoded[0]) <= _MAX_UNREAD_SEND:
        await reader.stream.send_all(encoded[0])
        reader.record_sent()
        return await _read_matching(reader, matches)
    ended = ExchangeResult(Fault.lost, reusable=False)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send, reader, encoded)
        try:
            ended = await _read_matching(reader, matches)
        except TooLargeError:
            ended = ExchangeResult(Fault.too_large, reusable=False)
        except trio.BrokenResourceError:
            ended = ExchangeResult(Fault.lost, reusable=False)
        nursery.cancel_scope.cancel()
    return ended


async def _send(
    reader: _Reader, encoded: tuple[bytes | memoryview, ...]
) -> None:
    try:
        await _send_parts(reader.stream, encoded)
    except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
        # The answer may have arrived before the server closed.
        reader.record_unsent(error)
        return
    reader.record_sent()


async def _send_parts(
    stream: trio.SocketStream, encoded: tuple[bytes | memoryview, ...]
) -> None:
    parts = iter(encoded)
    part = next(parts, None)
    while part is not None:
        await stream.send_all(part)
        part = next(parts, None)


async def _read_matching(
    reader: _Reader,
    matches: AnswerMatcher | None,
) -> ExchangeResult:
    answer = await reader.read()
    stale = 0
    while not isinstance(answer, Fault):
        if matches is None or matches(answer):
            return ExchangeResult(answer, reusable=reader.is_clean())
        stale += 1
        if stale > _MAX_STALE:
            break
        reader.restart()
        reader.sent = False
        answer = await reader.read()
    fault = answer if isinstance(answer, Fault) else Fault.lost
    return ExchangeResult(fault, reusable=False)


def _build_parser() -> h11.Connection:
    return h11.Connection(
        h11.CLIENT,
        max_incomplete_event_size=_MAX_HEAD_BYTES,
    )
