"""Take callers' requests over HTTP and answer them."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from math import ceil
from typing import Any

from trio import CancelScope, current_time

from trefoilsaddle.core.calls import Answer, Call, Reply, Request
from trefoilsaddle.core.configuration import Configuration
from trefoilsaddle.core.effects import AnswerCaller
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import CallArrived, CallerLeft, Event
from trefoilsaddle.core.units import CallId, Seconds
from trefoilsaddle.programs.headers import AnswerHeader, CallerHeader
from trefoilsaddle.programs.requesthead import RequestHead, check_head
from trefoilsaddle.programs.statuses import find_status
from trefoilsaddle.results import Outcome, ResultCode

# The shapes that the ASGI specification gives to an application.
Scope = dict[str, Any]
Receive = Callable[[], Awaitable[dict[str, Any]]]
Send = Callable[[dict[str, Any]], Awaitable[None]]

_HTTP = 'http'
_REQUEST = 'http.request'
_ENCODING = 'latin-1'
_NOT_RUN_BEFORE = 300
# Time that the reducer has beyond a deadline to answer by itself.
_ANSWER_GRACE = Seconds(1)
_LATE = Answer(Outcome.unknown, ResultCode.deadline_passed)


class UnknownScopeError(Exception):
    """Refuse an ASGI scope other than HTTP, as the specification asks."""


class CallShell(ABC):
    """Connect the callers with the reducer."""

    @abstractmethod
    def feed_event(self, event: Event) -> None:
        """Reduce an event and perform its effects."""

    @abstractmethod
    def read_configuration(self) -> Configuration | None:
        """Return the configuration in force."""

    @abstractmethod
    def count_refusal(self, code: ResultCode) -> None:
        """Count a request that was refused before the reducer saw it."""


@dataclass(slots=True)
class _Waiting:
    scope: CancelScope
    answer: Answer | None = None


@dataclass(slots=True)
class _Body:
    limit: int
    chunks: list[bytes] = field(default_factory=list, repr=False)
    size: int = 0

    def add(self, chunk: bytes) -> bool:
        """Keep a piece, unless the body grows too large."""
        self.size += len(chunk)
        self.chunks.append(chunk)
        return self.size <= self.limit


class Callers:
    """Serve HTTP as an ASGI application."""

    def __init__(self, shell: CallShell) -> None:
        """Pass requests on to the reducer."""
        self._shell = shell
        self._waiting: dict[CallId, _Waiting] = {}
        self._last_id = 0
        # True once callers should dial another entry host.
        self.closing = False

    async def __call__(
        self,
        scope: Scope,
        receive: Receive,
        send: Send,
    ) -> None:
        """Serve one request; raise on any scope but HTTP."""
        if scope['type'] != _HTTP:
            raise UnknownScopeError(scope['type'])
        head = check_head(
            scope['headers'],
            self._shell.read_configuration(),
        )
        if isinstance(head, Failure):
            await self._refuse(head, send)
            return
        body = await _read_body(scope, receive, head.service.largest_body)
        if isinstance(body, Failure):
            await self._refuse(body, send)
            return
        if body is None:
            return
        answer = await self._run_call(
            _build_request(scope, head, body), receive
        )
        await self._send_answer(answer, send)

    def deliver_answer(self, effect: AnswerCaller) -> None:
        """Give a caller its answer, if it still waits."""
        waiting = self._waiting.get(effect.call_id)
        if waiting is not None:
            waiting.answer = effect.answer
            waiting.scope.cancel()

    async def _run_call(self, request: Request, receive: Receive) -> Answer:
        self._last_id += 1
        call_id = CallId(self._last_id)
        waiting = _Waiting(CancelScope())
        self._waiting[call_id] = waiting
        self._shell.feed_event(CallArrived(Call(call_id, request)))
        if waiting.answer is None:
            limit = request.remaining + _ANSWER_GRACE
            waiting.scope.deadline = current_time() + limit
            with waiting.scope:
                # After the body, only the end of the connection can come.
                await receive()
                self._shell.feed_event(CallerLeft(call_id))
        self._waiting.pop(call_id)
        return waiting.answer or _LATE

    async def _refuse(self, failure: Failure, send: Send) -> None:
        self._shell.count_refusal(failure.code)
        await self._send_answer(Answer(Outcome.not_run, failure.code), send)

    async def _send_answer(self, answer: Answer, send: Send) -> None:
        reply = answer.reply or _build_reply(answer)
        headers = _build_headers(answer, reply)
        if self.closing:
            headers.append((AnswerHeader.connection, b'close'))
        await send(
            {
                'type': 'http.response.start',
                'status': reply.status,
                'headers': headers,
            }
        )
        await send({'type': 'http.response.body', 'body': reply.body})


async def _read_body(
    scope: Scope,
    receive: Receive,
    limit: int,
) -> bytes | Failure | None:
    """Read a whole body; return None if the caller leaves meanwhile."""
    too_large = Failure(ResultCode.body_too_large, 'above the limit')
    if _announced_length(scope) > limit:
        return too_large
    body = _Body(limit)
    more = True
    while more:
        message = await receive()
        if message['type'] != _REQUEST:
            return None
        if not body.add(message.get('body', b'')):
            return too_large
        more = message.get('more_body', False)
    return b''.join(body.chunks)


def _announced_length(scope: Scope) -> int:
    for name, text in scope['headers']:
        if name == CallerHeader.content_length:
            # The HTTP library has refused anything but a number.
            return int(text)
    return 0


def _build_request(scope: Scope, head: RequestHead, body: bytes) -> Request:
    content_types = [
        text.decode(_ENCODING)
        for name, text in scope['headers']
        if name == CallerHeader.content_type
    ]
    path = scope['raw_path']
    if scope['query_string']:
        path = b'?'.join((path, scope['query_string']))
    return Request(
        service=head.service.name,
        member=head.member,
        rank=head.rank,
        key=head.key,
        method=scope['method'],
        path=path.decode(_ENCODING),
        content_type=''.join(content_types[:1]),
        body=body,
        idempotent=head.idempotent,
        idempotency_key=head.idempotency_key,
        remaining=head.remaining,
    )


def _build_reply(answer: Answer) -> Reply:
    name = answer.code.name
    sentence = f'{name}\n'.encode()
    return Reply(find_status(answer.code), 'text/plain', sentence)


def _build_headers(answer: Answer, reply: Reply) -> list[tuple[bytes, bytes]]:
    headers = [
        (AnswerHeader.result_code, b'%d' % answer.code),
        (AnswerHeader.outcome, answer.outcome.value.encode()),
        (AnswerHeader.content_length, b'%d' % len(reply.body)),
    ]
    if reply.content_type:
        content_type = reply.content_type.encode(_ENCODING)
        headers.append((AnswerHeader.content_type, content_type))
    if answer.retry_after > 0:
        # The header has whole seconds: never earlier than it is honest.
        seconds = ceil(answer.retry_after)
        headers.append((AnswerHeader.retry_after, b'%d' % seconds))
    return headers
