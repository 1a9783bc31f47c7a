"""Serve callers' connections with complete requests and answers.

Requests that were sent before the answer to an earlier one are read as they
arrive; answers leave in the order of the requests. Nothing is read behind an
answer that closes the connection. A service that closes its connections answers
what has arrived before, and closes each with its last answer.

A connection is closed without an answer only if no complete request has been
read, or if the caller has closed it.
"""

from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from http import HTTPStatus
from math import inf

import h11
import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http import sockets
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.closing import ConnectionClosing
from trefoilsaddle.http.connectionend import EndReason, find_reason
from trefoilsaddle.http.connections import Activity, Standing
from trefoilsaddle.http.lingering import Lingering, build_lingering
from trefoilsaddle.http.messages import Headers, HttpAnswer
from trefoilsaddle.http.pipeline import CallerService, Exchange, Pipeline
from trefoilsaddle.http.requestbodies import BodyBudget, build_body_budget
from trefoilsaddle.http.requests import (
    BadInput,
    ReceivedRequest,
    RequestReader,
)
from trefoilsaddle.http.unanswered import UnansweredCount

_CLOSE = (b'connection', b'close')
_LENGTH = b'content-length'
# Limit on sending an answer to a caller that reads slowly.
_WRITE_TIMEOUT = Seconds(10)
# Larger answers are sent without being copied behind their heads.
_MAX_JOINED = 65_536


@dataclass(slots=True, eq=False)
class CallerConnection:
    """Serve the requests of one connection, and answer them in order."""

    service: CallerService
    stream: trio.SocketStream
    # Limits the memory of the answers being written.
    budget: AnswerBudget = field(default_factory=AnswerBudget)
    # Counts the unanswered requests of this and other connections.
    count: UnansweredCount = field(default_factory=UnansweredCount)
    # Limits the memory of the bodies of requests.
    bodies: BodyBudget = field(default_factory=build_body_budget)
    _reader: RequestReader = field(init=False)
    _pipeline: Pipeline = field(init=False)
    _closing: ConnectionClosing = field(init=False)
    # Set when the reader has read a request or has ended.
    _changed: trio.Event = field(default_factory=trio.Event)
    # Set when the last unanswered request has its answer.
    _idle: trio.Event = field(default_factory=trio.Event)
    # Set while the last answer, which was written, is delivered.
    _lingering: Lingering | None = None
    # Cancelled to let the reader look whether it may go on.
    _pause: trio.CancelScope = field(default_factory=trio.CancelScope)
    # Why the connection ends; the first reason counts.
    _reason: EndReason | None = None
    # Cancelled to close the connection.
    _scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    # Time since which it has had no complete request.
    _waiting_since: float = field(default_factory=trio.current_time)

    def __post_init__(self) -> None:
        """Prepare to read the first request."""
        self._pipeline = Pipeline(self.service, self.budget, self.count)
        self._reader = RequestReader(
            self.stream,
            self.service.read_limits,
            self._wait_until_idle,
            self.bodies,
        )
        self._closing = ConnectionClosing(
            self.service, self._reader, self._pipeline
        )

    async def serve(self) -> None:
        """Answer requests until either end closes the connection."""
        with ExitStack() as stack:
            stack.callback(sockets.close, self.stream)
            stack.callback(self._pipeline.close)
            stack.callback(self._report_end)
            stack.enter_context(self._scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._read_requests, nursery)
                await self._answer_requests(nursery)
                nursery.cancel_scope.cancel()
            if self._closing.decided or not self.is_delivered():
                self._lingering = build_lingering(
                    self.stream, self._pipeline.find_limit()
                )
                await self._lingering.wait_until_closed()

    def find_standing(self) -> Standing:
        """Return what the connection is doing, and since when."""
        activity = Activity.waiting
        if self._lingering is not None:
            activity = Activity.ending
        elif self._pipeline.first is not None:
            activity = Activity.serving
        return Standing(activity, self._waiting_since)

    def displace(self) -> None:
        """Close the connection in favour of others."""
        self._set_reason(EndReason.displaced)
        self._scope.cancel()

    def is_delivered(self) -> bool:
        """Return whether the caller has received all that was written."""
        return not sockets.count_undelivered(self.stream)

    def _report_end(self) -> None:
        reason = self._reason or EndReason.interrupted
        end = self._pipeline.describe_end(reason)
        if self._lingering is not None:
            end = replace(
                end,
                undelivered=self._lingering.undelivered,
                discarded=self._lingering.discarded,
            )
        self.service.record_end(end)

    def _set_reason(self, reason: EndReason) -> None:
        self._reason = self._reason or reason

    # Reading.

    async def _read_requests(self, nursery: trio.Nursery) -> None:
        self._reader.limit_idle_time()
        more = True
        try:
            with self._closing.reading:
                while more:
                    more = await self._read_request(nursery)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as error:
            self._set_reason(find_reason(error))
        if self._closing.decided:
            return
        self._set_reason(
            EndReason.idle if self._reader.was_idle else EndReason.caller_closed
        )
        # Whether the caller has left or was idle for too long, nothing that is
        # still unanswered is wanted.
        self._pipeline.leave()
        self._changed.set()

    async def _read_request(self, nursery: trio.Nursery) -> bool:
        received = await self._reader.read()
        if received is None:
            return False
        self._reader.idle_until = inf
        self._pipeline.add(received, nursery)
        self._closing.count_request()
        self._changed.set()
        if received.is_last:
            await self._reader.discard()
            return False
        while not self._closing.may_read():
            self._pause = trio.CancelScope()
            if not await self._reader.wait_for_end(self._pause):
                return False
        return True

    async def _wait_until_idle(self) -> None:
        while self._pipeline.first is not None:
            self._idle = trio.Event()
            await self._idle.wait()

    # Answering.

    async def _answer_requests(self, nursery: trio.Nursery) -> None:
        more = True
        while more:
            # The request must not be kept while the next one is awaited.
            while self._pipeline.first is None and not self._pipeline.left:
                self._changed = trio.Event()
                await self._changed.wait()
            more = await self._answer_next(nursery)
        self._reader.drop_rest()

    async def _answer_next(self, nursery: trio.Nursery) -> bool:
        exchange = self._pipeline.first
        if exchange is None:
            return False
        try:
            more = await self._answer_first(exchange)
        except (
            trio.BrokenResourceError,
            trio.ClosedResourceError,
        ) as error:
            # The caller has gone; cancelling `answer` tells the service.
            self._set_reason(find_reason(error))
            return False
        except h11.LocalProtocolError:
            self._set_reason(EndReason.invalid_answer)
            return False
        if more:
            self._finish_first(nursery)
        return more

    async def _answer_first(self, exchange: Exchange) -> bool:
        received = exchange.received
        if isinstance(received.request, BadInput):
            self._set_reason(EndReason.refused)
            self.service.record_refusal(received.request)
            if received.parser.our_state is not h11.ERROR:
                refusal = self.service.refuse(received.request)
                await self._write(received, refusal)
            return False
        if exchange.started:
            await exchange.answered.wait()
        else:
            await exchange.run(self.service, received.request)
        answer = exchange.answer
        if answer is None:
            self._set_reason(EndReason.no_answer)
            return False
        with self.budget.hold(len(answer.body)):
            await self._write(received, answer)
        exchange.written.set()
        if received.parser.our_state is h11.DONE and not received.is_last:
            return True
        self._set_reason(EndReason.answered)
        return False

    def _finish_first(self, nursery: trio.Nursery) -> None:
        self._pipeline.remove_first(nursery)
        self._pause.cancel()
        if self._pipeline.first is None:
            self._idle.set()
            self._waiting_since = trio.current_time()
            self._reader.limit_idle_time()

    async def _write(
        self, received: ReceivedRequest, answer: HttpAnswer
    ) -> None:
        parser = received.parser
        body = b'' if received.head_only else answer.body
        headers = [
            *answer.headers,
            (_LENGTH, b'%d' % len(answer.body)),
        ]
        if self._closing.decide(received):
            headers.append(_CLOSE)
        head = parser.send(_build_head(answer, tuple(headers))) or b''
        # The body has a length, so that it is sent as it is.
        parser.send(h11.Data(data=body))
        parser.send(h11.EndOfMessage())
        scope = trio.move_on_after(_WRITE_TIMEOUT)
        with scope:
            if len(body) > _MAX_JOINED:
                await self.stream.send_all(head)
                await self.stream.send_all(body)
            else:
                await self.stream.send_all(head + body)
        if scope.cancelled_caught:
            self._set_reason(EndReason.write_timeout)
            sockets.abort(self.stream)
            raise trio.ClosedResourceError


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
