"""Serve callers' connections with complete requests and answers.

A connection is closed without an answer only if no complete request has been
read, or if the caller has closed it.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass, field
from http import HTTPStatus

import h11
import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http import sockets
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.messages import (
    Headers,
    HttpAnswer,
    HttpRequest,
    find_header,
)
from trefoilsaddle.results import ResultCode

_CHUNK_BYTES = 65_536
_CLOSE = (b'connection', b'close')
_LENGTH = b'content-length'
# Limit on receiving a whole body; requests time out earlier than that.
_BODY_TIMEOUT = Seconds(10)
# Limit on sending an answer to a caller that reads slowly.
_WRITE_TIMEOUT = Seconds(10)
# Time for which the rest of a refused request is read and discarded.  Closing
# the connection with unread bytes would reset it before the caller has read
# the answer.
_DISCARD_TIMEOUT = Seconds(1)


@dataclass(frozen=True, slots=True)
class BadInput:
    """Describe why a request is refused as invalid."""

    code: ResultCode
    status: HTTPStatus


class CallerService(ABC):
    """Answer complete requests; implemented by the programs."""

    @abstractmethod
    def read_limits(self) -> CallerLimits:
        """Return the current limits on requests."""

    @abstractmethod
    def is_closing(self) -> bool:
        """Return whether connections are closed after the next answer."""

    @abstractmethod
    async def answer(self, request: HttpRequest) -> HttpAnswer | None:
        """Answer a request; None closes the connection."""

    @abstractmethod
    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Build the answer to an invalid request."""


@dataclass(slots=True)
class CallerConnection:
    """Serve the requests of one connection in order."""

    service: CallerService
    stream: trio.SocketStream
    # Limits the memory of the answers being written.
    budget: AnswerBudget = field(default_factory=AnswerBudget)
    parser: h11.Connection = field(init=False)
    # True while a request is being answered.
    busy: bool = False
    _watching: bool = False

    def __post_init__(self) -> None:
        """Build a parser that limits incomplete request heads."""
        limits = self.service.read_limits()
        self.parser = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.header_bytes,
        )

    async def serve(self) -> None:
        """Answer requests until either end closes the connection."""
        try:
            await self._serve_requests()
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
            h11.LocalProtocolError,
        ):
            # The caller has gone; cancelling `answer` has told the service.
            return
        finally:
            sockets.close(self.stream)

    async def _serve_requests(self) -> None:
        more = True
        while more:
            more = await self._serve_request()

    async def _serve_request(self) -> bool:
        try:
            request = await self._read_request()
        except h11.RemoteProtocolError as error:
            await self._refuse(_build_bad_input(error))
            return False
        if isinstance(request, BadInput):
            await self._refuse(request)
            return False
        if request is None:
            return False
        self.busy = True
        answer = await self._wait_for_answer(request)
        if answer is None:
            return False
        with self.budget.hold(len(answer.body)):
            await self._write(answer)
        self.busy = False
        return self._start_next()

    def _start_next(self) -> bool:
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE:
            return False
        self.parser.start_next_cycle()
        return True

    async def _read_request(self) -> HttpRequest | BadInput | None:
        limits = self.service.read_limits()
        if not await self._wait_for_bytes(limits.idle_timeout):
            return None
        head: object = None
        scope = trio.move_on_after(limits.header_timeout)
        with scope:
            head = await self._next_event()
        if scope.cancelled_caught:
            return BadInput(ResultCode.header_slow, HTTPStatus.REQUEST_TIMEOUT)
        if not isinstance(head, h11.Request):
            return None
        return await self._read_body(head, limits)

    async def _read_body(
        self,
        head: h11.Request,
        limits: CallerLimits,
    ) -> HttpRequest | BadInput | None:
        headers = tuple(head.headers)
        if _measure_head(head) > limits.header_bytes:
            return BadInput(
                ResultCode.header_too_large,
                HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
            )
        declared = find_header(headers, _LENGTH)
        too_large = BadInput(
            ResultCode.body_too_large,
            HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        )
        if declared is not None and int(declared) > limits.body_bytes:
            return too_large
        if self.parser.they_are_waiting_for_100_continue:
            await self._write_continue()
        body = bytearray()
        with trio.move_on_after(_BODY_TIMEOUT):
            while True:
                event = await self._next_event()
                if isinstance(event, h11.EndOfMessage):
                    return HttpRequest(
                        head.method, head.target, headers, bytes(body)
                    )
                if not isinstance(event, h11.Data):
                    return None
                body += event.data
                if len(body) > limits.body_bytes:
                    return too_large
        return BadInput(ResultCode.body_slow, HTTPStatus.REQUEST_TIMEOUT)

    async def _wait_for_bytes(self, timeout: Seconds) -> bool:
        rest, ended = self.parser.trailing_data
        if rest or ended:
            return not ended
        with trio.move_on_after(timeout):
            received = await self.stream.receive_some(_CHUNK_BYTES)
            self.parser.receive_data(received)
            return bool(received)
        return False

    async def _next_event(self) -> object:
        while True:
            event = self.parser.next_event()
            if event is not h11.NEED_DATA:
                return event
            received = await self.stream.receive_some(_CHUNK_BYTES)
            self.parser.receive_data(received)

    async def _wait_for_answer(self, request: HttpRequest) -> HttpAnswer | None:
        answer: HttpAnswer | None = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_caller, nursery.cancel_scope)
            answer = await self.service.answer(request)
            nursery.cancel_scope.cancel()
        return answer

    async def _watch_caller(self, scope: trio.CancelScope) -> None:
        """Cancel the running request if the caller closes the connection."""
        try:
            received = await self.stream.receive_some(_CHUNK_BYTES)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            received = b''
        if received:
            # A pipelined request; it is read after this one is answered.
            self.parser.receive_data(received)
        else:
            scope.cancel()

    async def _write(self, answer: HttpAnswer) -> None:
        headers = [
            *answer.headers,
            (_LENGTH, b'%d' % len(answer.body)),
        ]
        if self.service.is_closing():
            headers.append(_CLOSE)
        parts = [self.parser.send(_build_head(answer, tuple(headers)))]
        parts.append(self.parser.send(h11.Data(data=answer.body)))
        parts.append(self.parser.send(h11.EndOfMessage()))
        scope = trio.move_on_after(_WRITE_TIMEOUT)
        with scope:
            await self.stream.send_all(b''.join(part for part in parts if part))
        if scope.cancelled_caught:
            sockets.abort(self.stream)

    async def _write_continue(self) -> None:
        head = h11.InformationalResponse(status_code=100, headers=[])
        encoded = self.parser.send(head)
        if encoded:
            await self.stream.send_all(encoded)

    async def _refuse(self, bad: BadInput) -> None:
        answer = self.service.refuse(bad)
        closing = HttpAnswer(
            answer.status,
            (*answer.headers, _CLOSE),
            answer.body,
        )
        if self.parser.our_state is h11.ERROR:
            return
        await self._write(closing)
        with trio.move_on_after(_DISCARD_TIMEOUT):
            await self.stream.send_eof()
            received = await self.stream.receive_some(_CHUNK_BYTES)
            while received:
                received = await self.stream.receive_some(_CHUNK_BYTES)


def _measure_head(head: h11.Request) -> int:
    # The parser limits only heads that arrive in several chunks.
    size = len(head.method) + len(head.target)
    return size + sum(len(name) + len(text) for name, text in head.headers)


def _build_head(answer: HttpAnswer, headers: Headers) -> h11.Response:
    return h11.Response(
        status_code=answer.status,
        headers=list(headers),
        reason=_find_phrase(answer.status),
    )


def _find_phrase(status: int) -> bytes:
    try:
        return HTTPStatus(status).phrase.encode()
    except ValueError:
        return b''


def _build_bad_input(error: h11.RemoteProtocolError) -> BadInput:
    if error.error_status_hint == HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE:
        return BadInput(
            ResultCode.header_too_large,
            HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        )
    return BadInput(ResultCode.malformed, HTTPStatus.BAD_REQUEST)
