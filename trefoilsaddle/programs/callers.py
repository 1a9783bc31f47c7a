"""Serve callers' requests over HTTP as an ASGI application."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from math import ceil

from trio import CancelScope, current_time

from trefoilsaddle.core.calls import Answer, Call, Reply, Request
from trefoilsaddle.core.configuration import Configuration
from trefoilsaddle.core.effects import AnswerCaller
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import CallArrived, CallerLeft, Event
from trefoilsaddle.core.units import CallId, Seconds
from trefoilsaddle.programs.headers import AnswerHeader, CallerHeader
from trefoilsaddle.programs.requesthead import RequestHead, check_head
from trefoilsaddle.programs.requestpath import check_target
from trefoilsaddle.programs.statuses import find_status
from trefoilsaddle.programs.uploads import (
    Body,
    Receive,
    Scope,
    Send,
    Upload,
    discard_body,
)
from trefoilsaddle.results import Outcome, ResultCode

_HTTP = 'http'
_RESPONSE_BODY = 'http.response.body'
_ENCODING = 'latin-1'
# Time after the deadline in which the reducer may still answer, before this
# module answers for it.
_ANSWER_GRACE = Seconds(1)
_LATE = Answer(Outcome.unknown, ResultCode.deadline_passed)


class UnknownScopeError(Exception):
    """Raised on an ASGI scope other than HTTP, as the standard requires."""


class CallShell(ABC):
    """Connect the HTTP application with the reducer."""

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
class _PendingCall:
    scope: CancelScope
    answer: Answer | None = None


class Callers:
    """Pass callers' requests to the reducer and deliver its answers."""

    def __init__(self, shell: CallShell) -> None:
        """Start without calls."""
        self._shell = shell
        self._pending: dict[CallId, _PendingCall] = {}
        self._last_id = 0
        # Whether answers ask callers to connect to another entry host.
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
        head = check_target(scope['method'], scope['raw_path']) or check_head(
            scope['headers'],
            self._shell.read_configuration(),
        )
        if isinstance(head, Failure):
            await self._refuse(head, receive, send)
            return
        upload = Upload(receive, head.service.largest_body)
        body = await upload.read(scope, head.remaining)
        if isinstance(body, Failure):
            await self._refuse(body, receive, send)
            return
        if body is None:
            return
        request = _build_request(scope, head, body)
        answer = await self._run_call(request, receive)
        await self._send_answer(answer, send)

    def deliver_answer(self, effect: AnswerCaller) -> None:
        """Deliver an answer to its caller, if the call is still pending."""
        pending = self._pending.get(effect.call_id)
        if pending is not None:
            pending.answer = effect.answer
            pending.scope.cancel()

    async def _run_call(self, request: Request, receive: Receive) -> Answer:
        self._last_id += 1
        call_id = CallId(self._last_id)
        pending = _PendingCall(CancelScope())
        self._pending[call_id] = pending
        self._shell.feed_event(CallArrived(Call(call_id, request)))
        if pending.answer is None:
            limit = request.remaining + _ANSWER_GRACE
            pending.scope.deadline = current_time() + limit
            with pending.scope:
                # After the body, the only further ASGI message is the
                # disconnect.
                await receive()
                self._shell.feed_event(CallerLeft(call_id))
        self._pending.pop(call_id)
        return pending.answer or _LATE

    async def _refuse(
        self,
        failure: Failure,
        receive: Receive,
        send: Send,
    ) -> None:
        self._shell.count_refusal(failure.code)
        answer = Answer(Outcome.not_run, failure.code)
        await self._send_answer(answer, send, more_body=True)
        # Closing the connection with unread bytes would reset it, and the
        # caller might not receive the answer.
        await discard_body(receive)
        await send({'type': _RESPONSE_BODY})

    async def _send_answer(
        self,
        answer: Answer,
        send: Send,
        *,
        more_body: bool = False,
    ) -> None:
        reply = answer.reply or _build_reply(answer)
        headers = _build_headers(answer, reply)
        if self.closing:
            headers.append((AnswerHeader.connection, b'close'))
        await send(
            {
                'type': 'http.response.start',
                'status': reply.status,
                'headers': headers,
            },
        )
        await send(
            {
                'type': _RESPONSE_BODY,
                'body': reply.body,
                'more_body': more_body,
            },
        )


def _build_request(scope: Scope, head: RequestHead, body: Body) -> Request:
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
        body=body.whole,
        idempotent=head.idempotent,
        idempotency_key=head.idempotency_key,
        remaining=body.remaining,
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
        # The header has whole seconds; rounding up never invites a caller
        # too early.
        seconds = ceil(answer.retry_after)
        headers.append((AnswerHeader.retry_after, b'%d' % seconds))
    return headers
