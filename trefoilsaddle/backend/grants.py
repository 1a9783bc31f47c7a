"""Send grant calls to backend servers, and health probes to the others."""

from typing import Literal

from pydantic import BaseModel, ValidationError
from pydantic_core import to_json as write_json

from trefoilsaddle.backend.exchange import (
    ServerAnswer,
    ServerConnections,
    ServerRequest,
)
from trefoilsaddle.core.effects import SendGrant
from trefoilsaddle.core.events import (
    GrantAnswered,
    GrantVerdict,
    ServerStamp,
)
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    NodeId,
    Offset,
    Seconds,
)

_VERDICT_STATUSES = frozenset((200, 409))
_OK = 200

# Shortest time in which a live server can be expected to answer, in seconds.
_MIN_TIMEOUT = Seconds(1)


class _WrittenStamp(BaseModel):
    instance: str
    clock: float


class _WrittenGrant(BaseModel):
    verdict: Literal['accepted', 'fenced']
    term: tuple[int, int]
    draining: bool = False
    stamp: _WrittenStamp


class _WrittenHealth(BaseModel):
    draining: bool


async def send_grant(
    connections: ServerConnections,
    dispatcher: NodeId,
    effect: SendGrant,
) -> GrantAnswered:
    """Send a grant call, or a probe to a server that does not check grants."""
    sent = connections.read_clock()
    if connections.policy.checks_grants:
        request = _build_grant_request(dispatcher, effect, sent)
        answer = await connections.exchange(request)
        return _read_grant(effect, sent, answer)
    answer = await connections.exchange(_build_probe(effect, sent))
    return _read_health(effect, sent, answer)


def build_failed_grant(effect: SendGrant, sent: Seconds) -> GrantAnswered:
    """Build the event for a grant call or probe that failed."""
    return GrantAnswered(
        server=effect.server,
        sequence=effect.sequence,
        verdict=GrantVerdict.failed,
        term=FIRST_EPOCH,
        sent=sent,
        draining=False,
    )


def _choose_timeout(effect: SendGrant) -> Seconds:
    # A dispatcher whose lease has lapsed sends grants of zero duration, but
    # still has to find out whether the server is alive.
    return max(effect.duration, _MIN_TIMEOUT)


def _build_grant_request(
    dispatcher: NodeId,
    effect: SendGrant,
    sent: Seconds,
) -> ServerRequest:
    document = {
        'dispatcher': dispatcher,
        'term': (effect.term.offset, effect.term.sequence),
        'sequence': effect.sequence,
        'duration': effect.duration,
        'whole': effect.whole,
        'granted': [
            (
                granted.shard.service,
                granted.shard.number,
                granted.epoch.offset,
                granted.epoch.sequence,
            )
            for granted in effect.granted
        ],
        'revoked': [(shard.service, shard.number) for shard in effect.revoked],
        'stamp': effect.stamp,
    }
    return ServerRequest(
        method='PUT',
        path='/grants',
        headers=(('content-type', 'application/json'),),
        body=write_json(document),
        send_before=Seconds(sent + _choose_timeout(effect)),
        timeout=_choose_timeout(effect),
    )


def _build_probe(effect: SendGrant, sent: Seconds) -> ServerRequest:
    return ServerRequest(
        method='GET',
        path='/health',
        headers=(),
        body=b'',
        send_before=Seconds(sent + _choose_timeout(effect)),
        timeout=_choose_timeout(effect),
    )


def _read_grant(
    effect: SendGrant,
    sent: Seconds,
    answer: object,
) -> GrantAnswered:
    if (
        not isinstance(answer, ServerAnswer)
        or answer.status not in _VERDICT_STATUSES
    ):
        return build_failed_grant(effect, sent)
    try:
        written = _WrittenGrant.model_validate_json(answer.body)
    except ValidationError:
        return build_failed_grant(effect, sent)
    return GrantAnswered(
        server=effect.server,
        sequence=effect.sequence,
        verdict=GrantVerdict(written.verdict),
        term=Epoch(Offset(written.term[0]), written.term[1]),
        sent=sent,
        draining=written.draining,
        stamp=ServerStamp(
            written.stamp.instance,
            Seconds(written.stamp.clock),
        ),
    )


def _read_health(
    effect: SendGrant,
    sent: Seconds,
    answer: object,
) -> GrantAnswered:
    if not isinstance(answer, ServerAnswer) or answer.status != _OK:
        return build_failed_grant(effect, sent)
    try:
        written = _WrittenHealth.model_validate_json(answer.body)
    except ValidationError:
        return build_failed_grant(effect, sent)
    return GrantAnswered(
        server=effect.server,
        sequence=effect.sequence,
        verdict=GrantVerdict.accepted,
        term=effect.term,
        sent=sent,
        draining=written.draining,
    )
