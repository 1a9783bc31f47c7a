"""Translate requests and answers to and from the platform's HTTP headers."""

from http import HTTPStatus

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import SendAttempt
from trefoilsaddle.gateway.events import AttemptVerdict, RequestHead
from trefoilsaddle.gateway.keys import LAST_KEY, Key
from trefoilsaddle.gateway.statements import ServerStatement
from trefoilsaddle.http.messages import (
    Headers,
    HttpAnswer,
    HttpRequest,
    drop_connection_headers,
    parse_number,
)
from trefoilsaddle.http.requests import BadInput
from trefoilsaddle.platform import headers as names
from trefoilsaddle.platform.statements import read_statement
from trefoilsaddle.ports import Dialect, RefusalText
from trefoilsaddle.results import ResultCode

_MILLISECONDS = 1000
_ENCODING = 'latin-1'
# Time limit of requests without a deadline header.
_DEFAULT_REMAINING = Seconds(10)
_SUCCESS = range(200, 300)
# Statuses that tell a caller that its request did not run.  A server reports
# that by the header `X-Not-Executed` instead.
_NOT_RUN_STATUSES = frozenset(
    (
        HTTPStatus.REQUEST_TIMEOUT,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    ),
)
_REPLACED = frozenset(
    (names.REMAINING, names.EXPECTED_SERVER, names.LENGTH),
)
_MALFORMED = BadInput(ResultCode.malformed, HTTPStatus.BAD_REQUEST)


class PlatformDialect(Dialect):
    """Implement the HTTP conventions of the platform's callers and servers."""

    def is_readiness_check(self, request: HttpRequest) -> bool:
        """Return whether a request is the platform's readiness probe."""
        return request.target.partition(b'?')[0] == names.READY_PATH

    def read_head(self, request: HttpRequest) -> RequestHead | BadInput:
        """Read the headers that decide how a caller's request is routed."""
        fields = dict(request.headers)
        request_id = fields.get(names.REQUEST_ID)
        if not request_id:
            return _MALFORMED
        remaining = _read_remaining(fields.get(names.REMAINING))
        key = _read_key(fields.get(names.KEY))
        if remaining is None or isinstance(key, BadInput):
            return _MALFORMED
        host = fields.get(names.HOST, b'').decode(_ENCODING).lower()
        return RequestHead(
            request_id=request_id.decode(_ENCODING),
            host=host.partition(':')[0],
            path=request.target.partition(b'?')[0].decode(_ENCODING),
            key=key,
            remaining=remaining,
            body_bytes=len(request.body),
        )

    def build_attempt(
        self,
        request: HttpRequest,
        effect: SendAttempt,
    ) -> HttpRequest:
        """Build the request that is sent to a server."""
        kept = _drop_replaced(drop_connection_headers(request.headers))
        milliseconds = max(int(effect.remaining * _MILLISECONDS), 1)
        server = effect.server.life.server.encode(_ENCODING)
        added: list[tuple[bytes, bytes]] = [
            (names.REMAINING, b'%d' % milliseconds),
            (names.EXPECTED_SERVER, server),
        ]
        if request.body or _has_length(request.headers):
            added.append((names.LENGTH, b'%d' % len(request.body)))
        return HttpRequest(
            request.method,
            request.target,
            (*kept, *added),
            request.body,
        )

    def matches(self, answer: HttpAnswer, request_id: str) -> bool:
        """Return whether an answer echoes the request ID."""
        echoed = answer.find_header(names.REQUEST_ID)
        return echoed is not None and echoed.decode(_ENCODING) == request_id

    def evaluate_answer(
        self, answer: HttpAnswer, request_id: str
    ) -> AttemptVerdict:
        """Classify the outcome of an attempt from the server's answer."""
        misdirected = answer.status == HTTPStatus.MISDIRECTED_REQUEST
        if misdirected:
            return AttemptVerdict.misdirected
        if answer.find_header(names.NOT_RUN) is not None:
            return AttemptVerdict.shed
        if answer.find_header(names.ENCODING) is not None:
            return AttemptVerdict.lost
        if answer.status in _NOT_RUN_STATUSES:
            # Without `X-Not-Executed` the request may have run, and the status
            # would tell the caller that it did not.
            return AttemptVerdict.lost
        if answer.status in _SUCCESS and not _is_authentic(answer, request_id):
            return AttemptVerdict.lost
        return AttemptVerdict.answered

    def read_statement(self, head: HttpAnswer) -> ServerStatement:
        """Read what a server states in the head of an answer."""
        return read_statement(head)

    def build_answer(self, answer: HttpAnswer) -> HttpAnswer:
        """Build the caller's answer from a server's answer."""
        kept = _drop_replaced(drop_connection_headers(answer.headers))
        return HttpAnswer(answer.status, kept, answer.body)

    def build_refusal(
        self, refusal: RefusalText, request_id: str
    ) -> HttpAnswer:
        """Build the gateway's own answer to a request."""
        fields: list[tuple[bytes, bytes]] = [(names.TYPE, b'text/plain')]
        if request_id:
            fields.append((names.REQUEST_ID, request_id.encode(_ENCODING)))
        if refusal.retry_after > 0:
            pause = f'{refusal.retry_after:.2f}'.encode()
            fields.append((names.RETRY_AFTER, pause))
        body = f'{refusal.message}\n'.encode()
        return HttpAnswer(refusal.status, tuple(fields), body)


def _drop_replaced(headers: Headers) -> Headers:
    return tuple(
        (name, text) for name, text in headers if name not in _REPLACED
    )


def _has_length(headers: Headers) -> bool:
    return any(
        name in {names.LENGTH, b'transfer-encoding'} for name, _ in headers
    )


def _is_authentic(answer: HttpAnswer, request_id: str) -> bool:
    echoed = answer.find_header(names.REQUEST_ID)
    sealed = answer.find_header(names.SEAL)
    return bool(sealed) and echoed == request_id.encode(_ENCODING)


def _read_remaining(text: bytes | None) -> Seconds | None:
    if text is None:
        return _DEFAULT_REMAINING
    milliseconds = parse_number(text)
    if milliseconds is None:
        return None
    return Seconds(milliseconds / _MILLISECONDS)


def _read_key(text: bytes | None) -> Key | BadInput | None:
    if text is None:
        return None
    key = parse_number(text)
    if key is None or key > LAST_KEY:
        return _MALFORMED
    return Key(key)
