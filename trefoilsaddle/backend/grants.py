"""Call a backend server for grants, or probe one that checks none."""

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

_ANSWERED = frozenset((200, 409))
_OK = 200

# Shortest time in which a server that is alive can be expected to answer.
_SHORTEST_TIMEOUT = Seconds(1)


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
    """Perform the effect once, by the kind of the server."""
    sent = connections.read_clock()
    if connections.policy.checks_grants:
        request = _build_call(dispatcher, effect, sent)
        answer = await connections.exchange(request)
        return _read_grant(effect, sent, answer)
    answer = await connections.exchange(_build_probe(effect, sent))
    return _read_health(effect, sent, answer)


def fail_grant(effect: SendGrant, sent: Seconds) -> GrantAnswered:
    """Build the event of a call without a whole answer."""
    return GrantAnswered(
        server=effect.server,
        sequence=effect.sequence,
        verdict=GrantVerdict.failed,
        term=FIRST_EPOCH,
        sent=sent,
        draining=False,
    )


def _choose_timeout(effect: SendGrant) -> Seconds:
    # A dispatcher whose lease has lapsed grants for no time at all, and still
    # has to learn whether the server is alive.
    return max(effect.duration, _SHORTEST_TIMEOUT)


def _build_call(
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
    if not isinstance(answer, ServerAnswer) or answer.status not in _ANSWERED:
        return fail_grant(effect, sent)
    try:
        written = _WrittenGrant.model_validate_json(answer.body)
    except ValidationError:
        return fail_grant(effect, sent)
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
        return fail_grant(effect, sent)
    try:
        written = _WrittenHealth.model_validate_json(answer.body)
    except ValidationError:
        return fail_grant(effect, sent)
    return GrantAnswered(
        server=effect.server,
        sequence=effect.sequence,
        verdict=GrantVerdict.accepted,
        term=effect.term,
        sent=sent,
        draining=written.draining,
    )
