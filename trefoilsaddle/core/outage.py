"""Take servers over from a lost dispatcher while the log is unavailable.

Only a server that checks grants can be taken over: its fence accepts a single
winner.  Every other claim-set member has to promise to follow the new term
first, so that the lost dispatcher can neither renew its lease nor move shards
without the knowledge of the new one.
"""

from trefoilsaddle.core.claims import STAGGER
from trefoilsaddle.core.dutystate import (
    NEVER,
    AcknowledgedMove,
    Duty,
    MoveStage,
    ShardMove,
    TakeOver,
)
from trefoilsaddle.core.effects import (
    Component,
    Effects,
    SendMessage,
    SetTimer,
    WriteLogLine,
)
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.following import append_records
from trefoilsaddle.core.grants import checks_grants
from trefoilsaddle.core.hashing import rank_candidates
from trefoilsaddle.core.leases import (
    known_term,
    lease_duration,
    raise_term,
)
from trefoilsaddle.core.membership import health_of
from trefoilsaddle.core.messages import (
    Health,
    Promise,
    PromiseRequest,
    ProvisionalClaim,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.provisional import broadcast_to_zone, holder_of
from trefoilsaddle.core.recordids import make_record_id
from trefoilsaddle.core.records import Claim
from trefoilsaddle.core.sharing import share_moves
from trefoilsaddle.core.terms import next_provisional_epoch
from trefoilsaddle.core.units import Moment, NodeId, Seconds, ServerId
from trefoilsaddle.core.view import Ownership, Role

# Time after which a take-over without all promises is started again.
_TAKE_OVER_TIMEOUT = Seconds(1)
# Delay after a lost take-over, in which the winner announces itself.
_DEFEAT_DELAY = Seconds(2)


def check_take_overs(node: Node, moment: Moment) -> Effects:
    """Take over servers without a live dispatcher if the log is unavailable."""
    effects: Effects = []
    if not node.following.log_away or node.stopping:
        return effects
    for server, role in node.view.roles.items():
        if node.options.node in {role.dispatcher, *role.claim_set}:
            effects.extend(_check_role(node, moment, server, role))
    return effects


def _check_role(
    node: Node,
    moment: Moment,
    server: ServerId,
    role: Role,
) -> Effects:
    duties = node.duties
    if server in duties.held or not checks_grants(node, server):
        return []
    holder = holder_of(node, server) or role.dispatcher
    unavailable = health_of(node, holder) in {Health.dead, Health.leaving}
    if holder != node.options.node and not unavailable:
        duties.vacant_since.pop(server, None)
        duties.take_overs.pop(server, None)
        return []
    if _must_wait(node, moment, server):
        return []
    left = _time_left(node, moment, server, role)
    if left > 0:
        return [SetTimer(TimerKey(TimerKind.claim, server), left)]
    return _begin_take_over(node, moment, server, role)


def _must_wait(node: Node, moment: Moment, server: ServerId) -> bool:
    if known_term(node, server).offset > node.view.applied:
        # The log holds a claim that this process has not read yet.
        return True
    duties = node.duties
    if moment.monotonic < duties.take_over_after.get(server, NEVER):
        return True
    begun = duties.take_overs.get(server)
    if begun is None:
        return False
    return moment.monotonic - begun.started < _TAKE_OVER_TIMEOUT


def record_defeat(node: Node, moment: Moment, duty: Duty) -> None:
    """Drop a provisional duty after the server accepted another dispatcher."""
    server = duty.server
    node.duties.held.pop(server)
    known = raise_term(node, server, duty.fenced_by)
    lapse = duty.grants.lapsed_after
    known.served_until = max(known.served_until, lapse)
    again = Seconds(moment.monotonic + _DEFEAT_DELAY)
    node.duties.take_over_after[server] = again


def _time_left(
    node: Node,
    moment: Moment,
    server: ServerId,
    role: Role,
) -> Seconds:
    since = node.duties.vacant_since.setdefault(server, moment.monotonic)
    if node.options.node not in role.claim_set:
        return Seconds(since - moment.monotonic)
    live = [
        member
        for member in role.claim_set
        if member == node.options.node
        or health_of(node, member) is Health.alive
    ]
    place = rank_candidates(server, live).index(node.options.node)
    return Seconds(since + STAGGER * place - moment.monotonic)


def _begin_take_over(
    node: Node,
    moment: Moment,
    server: ServerId,
    role: Role,
) -> Effects:
    term = next_provisional_epoch(node.view.applied, known_term(node, server))
    raise_term(node, server, term).unlogged_term = term
    members = tuple(
        member for member in role.claim_set if member != node.options.node
    )
    sequence = node.duties.next_sequence()
    request = PromiseRequest(server, term, sequence, lease_duration(node))
    take_over = TakeOver(term, moment.monotonic, request, members)
    node.duties.take_overs[server] = take_over
    timer = TimerKey(TimerKind.claim, server)
    effects: Effects = [SetTimer(timer, _TAKE_OVER_TIMEOUT)]
    effects.extend(SendMessage(member, request) for member in members)
    effects.extend(_try_take_over(node, moment, server, take_over))
    return effects


def record_follower(
    node: Node,
    moment: Moment,
    sender: NodeId,
    promise: Promise,
) -> Effects:
    """Record a member's promise to follow a take-over, and its known moves."""
    take_over = node.duties.take_overs.get(promise.server)
    if take_over is None:
        return []
    if promise.sequence != take_over.request.sequence:
        return []
    known = raise_term(node, promise.server, promise.term)
    if not promise.granted or promise.term != take_over.term:
        return []
    for moved in promise.moves:
        acknowledged = AcknowledgedMove(take_over.term, moved)
        known.moves.setdefault(moved.shard, acknowledged)
    take_over.followers.add(sender)
    _try_take_over(node, moment, promise.server, take_over)
    return []


def _try_take_over(
    node: Node,
    moment: Moment,
    server: ServerId,
    take_over: TakeOver,
) -> Effects:
    if not take_over.followers.issuperset(take_over.members):
        return []
    role = node.view.roles[server]
    node.duties.take_overs.pop(server)
    duty = Duty(
        server=server,
        term=take_over.term,
        claim_set=take_over.members,
        former_members=take_over.members,
        former_dispatcher=role.dispatcher,
        former_term=role.term,
        started=moment.monotonic,
        provisional=True,
        promised=dict.fromkeys(take_over.followers, take_over.started),
    )
    node.duties.held[server] = duty
    block_moved_shards(node, moment, duty)
    # The shards and the first grant call are added within this event.
    node.duties.unsettled = True
    return []


def block_moved_shards(node: Node, moment: Moment, duty: Duty) -> None:
    """Block shards that a former dispatcher may have moved away."""
    known = node.duties.known_terms.get(duty.server)
    if known is None:
        return
    for shard, acknowledged in known.moves.items():
        moved = acknowledged.moved
        duty.moves[shard] = ShardMove(
            target=moved.target,
            expected=moved.expected,
            stage=MoveStage.appending,
            started=moment.monotonic,
            provisional=moved.provisional,
        )


def repeat_moves(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Append a former dispatcher's moves under this duty's own term.

    A move without a provisional epoch can no longer take effect.
    """
    repeated = []
    for shard, move in tuple(duty.moves.items()):
        if move.record_id is not None:
            continue
        owner = node.view.owners.get(shard)
        still_here = owner == Ownership(duty.server, move.expected)
        if still_here and move.provisional is not None:
            repeated.append(shard)
        else:
            duty.moves.pop(shard)
    return share_moves(node, moment, duty, repeated) if repeated else []


def confirm_take_over(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Announce a take-over that the server accepted, and append its claim."""
    role = node.view.roles.get(duty.server)
    if role is None or duty.announced:
        return []
    duty.announced = True
    claim = Claim(
        record_id=make_record_id(node),
        server=duty.server,
        expected=role.term,
        dispatcher=node.options.node,
        claim_set=duty.claim_set,
        provisional=duty.term,
    )
    message = ProvisionalClaim(duty.server, duty.term, node.options.node)
    node.duties.provisional_holders[duty.server] = message
    sentence = f'took over server {duty.server} without the log'
    return [
        WriteLogLine(Component.ownership, sentence),
        *append_records(node, moment, (claim,)),
        *broadcast_to_zone(node, message),
    ]


def record_take_over(
    node: Node,
    sender: NodeId,
    message: ProvisionalClaim,
) -> None:
    """Record an announced take-over by another dispatcher."""
    if message.term < known_term(node, message.server):
        return
    raise_term(node, message.server, message.term)
    node.duties.provisional_holders[message.server] = message
    node.duties.vacant_since.pop(message.server, None)
