"""Claim servers that lack a dispatcher, and follow the log's verdicts."""

from trefoilsaddle.core.dutystate import Claiming, Duty
from trefoilsaddle.core.effects import (
    Effects,
    Part,
    SetTimer,
    WriteLogLine,
)
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.following import append_records
from trefoilsaddle.core.grants import renew_grants
from trefoilsaddle.core.hashing import rank_candidates
from trefoilsaddle.core.leases import former_end, raise_term
from trefoilsaddle.core.membership import health_of, live_dispatchers
from trefoilsaddle.core.messages import Health
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.records import Claim
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    Moment,
    NodeId,
    RecordId,
    Seconds,
    ServerId,
)
from trefoilsaddle.core.view import Role

# Most dispatchers besides the holder that may take a server over.
CLAIM_SET_SIZE = 2
# Head start of each candidate over the next one.
_STAGGER = Seconds(3 / 10)
# Time for a starting process to hear of the others before its first claim.
_SETTLE_TIME = Seconds(7 / 10)


def review_claims(node: Node, moment: Moment) -> Effects:
    """Claim the servers of this zone whose turn has come."""
    effects: Effects = []
    if not node.options.dispatches or node.stopping:
        return effects
    if node.following.log_away:
        return effects
    for policy in node.view.servers():
        if policy.zone == node.options.zone:
            effects.extend(_consider_server(node, moment, policy.server_id))
    return effects


def _consider_server(node: Node, moment: Moment, server: ServerId) -> Effects:
    role = node.view.roles.get(server)
    candidates = _candidates(node, server, role)
    me = node.options.node
    if me not in candidates or server in node.duties.claiming:
        return []
    since = node.duties.vacant_since.setdefault(server, moment.monotonic)
    turn = since + _STAGGER * candidates.index(me)
    if role is None and len(candidates) <= CLAIM_SET_SIZE:
        turn += _SETTLE_TIME
    known = node.duties.known.get(server)
    if known is not None:
        # A promise to the former dispatcher is kept to its end.
        turn = max(turn, known.promised_until)
    left = Seconds(turn - moment.monotonic)
    if left > 0:
        return [SetTimer(TimerKey(TimerKind.claim, server), left)]
    expected = role.term if role else FIRST_EPOCH
    return append_claim(node, moment, server, expected)


def _candidates(
    node: Node,
    server: ServerId,
    role: Role | None,
) -> list[NodeId]:
    """Order those that may claim now; the first has no delay."""
    if role is None:
        alive = live_dispatchers(node, node.options.zone)
        everyone = {*alive, node.options.node}
        return rank_candidates(server, everyone)
    if health_of(node, role.dispatcher) is not Health.dead:
        node.duties.vacant_since.pop(server, None)
        return []
    members = [
        member
        for member in role.claim_set
        if member == node.options.node
        or health_of(node, member) is Health.alive
    ]
    return rank_candidates(server, members)


def append_claim(
    node: Node,
    moment: Moment,
    server: ServerId,
    expected: Epoch,
) -> Effects:
    """Append a claim of this process to the log."""
    record_id = make_record_id(node, 'claim')
    claim = Claim(
        record_id=record_id,
        server=server,
        expected=expected,
        dispatcher=node.options.node,
        claim_set=choose_claim_set(node, server, node.options.node),
        provisional=None,
    )
    node.duties.claiming[server] = Claiming(record_id)
    sentence = f'claiming {server}'
    return [
        WriteLogLine(Part.ownership, sentence),
        *append_records(node, moment, (claim,)),
    ]


def choose_claim_set(
    node: Node,
    server: ServerId,
    holder: NodeId,
) -> tuple[NodeId, ...]:
    """Choose who may take a server over from its next holder.

    Until the server has accepted the new term, the former group stays in
    charge: a former dispatcher that is cut off may still rely on it.
    """
    role = node.view.roles.get(server)
    duty = node.duties.held.get(server)
    settled = role is None or (duty is not None and duty.grants.contacted)
    if role is not None and not settled:
        former = (*role.claim_set, role.dispatcher)
        rest = [member for member in former if member != holder]
        return tuple(rest[:CLAIM_SET_SIZE])
    alive = live_dispatchers(node, node.options.zone)
    others = [member for member in alive if member != holder]
    return tuple(rank_candidates(server, others)[:CLAIM_SET_SIZE])


def make_record_id(node: Node, kind: str) -> RecordId:
    """Return an id that no other record of any process has."""
    number = node.duties.count()
    parts = (kind, node.options.node, str(number))
    return RecordId('-'.join(parts))


def note_appended(
    node: Node,
    moment: Moment,
    record_ids: tuple[RecordId, ...],
) -> None:
    """Remember when the log acknowledged a claim."""
    for claiming in node.duties.claiming.values():
        if claiming.record_id in record_ids:
            claiming.acknowledged = moment.monotonic


def take_role(
    node: Node,
    moment: Moment,
    server: ServerId,
    role: Role,
    former: Role | None,
) -> Effects:
    """Begin a duty: the log, or the server's fence, gave it to us."""
    claiming = node.duties.claiming.pop(server, None)
    started = moment.monotonic
    if claiming is not None and claiming.acknowledged is not None:
        started = claiming.acknowledged
    raise_term(node, server, role.term)
    others = former.claim_set if former else ()
    duty = Duty(
        server=server,
        term=role.term,
        claim_set=role.claim_set,
        former_members=tuple(
            member for member in others if member != node.options.node
        ),
        former_dispatcher=former.dispatcher if former else None,
        started=started,
    )
    node.duties.held[server] = duty
    node.duties.vacant_since.pop(server, None)
    if former is not None and former.dispatcher != node.options.node:
        member = node.options.node in former.claim_set
        duty.usable_from = former_end(node, server, started, member=member)
    node.woken.add(server)
    sentence = f'dispatching to {server} now'
    return [
        WriteLogLine(Part.ownership, sentence),
        *renew_grants(node, moment, duty),
    ]
