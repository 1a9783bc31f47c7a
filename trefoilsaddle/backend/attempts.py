"""Send one attempt of a request to a backend server and read its verdict."""

from base64 import b64encode
from urllib.parse import quote

from trio import CancelScope

from trefoilsaddle.backend.exchange import (
    Fault,
    ServerAnswer,
    ServerConnections,
    ServerRequest,
)
from trefoilsaddle.core.calls import Reply
from trefoilsaddle.core.effects import RunAttempt
from trefoilsaddle.core.events import AttemptEnded, AttemptVerdict
from trefoilsaddle.core.units import Epoch, NodeId

_NOT_RUN = 'x-trefoil-not-run'
_CONTENT_TYPE = 'content-type'
_DEFAULT_TYPE = 'application/octet-stream'
# Verdicts that a server may give in the x-trefoil-not-run header.
_SERVER_VERDICTS = frozenset(
    (
        AttemptVerdict.fenced,
        AttemptVerdict.shed,
        AttemptVerdict.draining,
        AttemptVerdict.expired,
    )
)


async def run_attempt(
    connections: ServerConnections,
    dispatcher: NodeId,
    effect: RunAttempt,
    scope: CancelScope,
) -> AttemptEnded:
    """Send the request at most once and return the result of the attempt."""
    request = _build_request(dispatcher, effect, scope)
    answer = await connections.exchange(request)
    if isinstance(answer, Fault):
        return build_unanswered(effect, AttemptVerdict(answer.value))
    refusal = answer.headers.get(_NOT_RUN)
    if refusal is None:
        return _build_answered(effect, answer)
    return build_unanswered(effect, _read_refusal(refusal))


def build_unanswered(
    effect: RunAttempt, verdict: AttemptVerdict
) -> AttemptEnded:
    """Build the event for an attempt that got no complete answer."""
    return AttemptEnded(effect.server, effect.attempt, verdict, None)


def _build_answered(effect: RunAttempt, answer: ServerAnswer) -> AttemptEnded:
    reply = Reply(
        status=answer.status,
        content_type=answer.headers.get(_CONTENT_TYPE, _DEFAULT_TYPE),
        body=answer.body,
    )
    return AttemptEnded(
        effect.server,
        effect.attempt,
        AttemptVerdict.answered,
        reply,
    )


def _read_refusal(text: str) -> AttemptVerdict:
    for verdict in _SERVER_VERDICTS:
        if verdict.value == text:
            return verdict
    # A later protocol version may define other verdicts, and their meaning is
    # unknown: the request may have run.
    return AttemptVerdict.lost


def _build_request(
    dispatcher: NodeId,
    effect: RunAttempt,
    scope: CancelScope,
) -> ServerRequest:
    request = effect.request
    shard = effect.shard
    # Names may contain characters that are not allowed in a header, such as
    # `n` with a tilde.
    tokens = {
        'service': quote(request.service),
        'member': quote(request.member),
        'key': b64encode(request.key).decode(),
        'shard': f'{quote(shard.service)}/{shard.number}',
        'term': _write_epoch(effect.term),
        'epoch': _write_epoch(effect.epoch),
        'dispatcher': quote(dispatcher),
        'attempt': str(effect.attempt),
        'deadline': f'{request.remaining:.6f}',
    }
    return ServerRequest(
        method=request.method,
        path=request.path,
        headers=(
            (_CONTENT_TYPE, request.content_type),
            ('content-length', str(len(request.body))),
            *((f'x-trefoil-{name}', text) for name, text in tokens.items()),
        ),
        body=request.body,
        send_before=effect.send_before,
        timeout=request.remaining,
        scope=scope,
    )


def _write_epoch(epoch: Epoch) -> str:
    return f'{epoch.offset}.{epoch.sequence}'
