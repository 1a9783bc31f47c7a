"""Make the duties follow the roles and owners that the log gives."""

from trefoilsaddle.core.claims import take_role
from trefoilsaddle.core.dutystate import Duty, RememberedMove
from trefoilsaddle.core.effects import (
    Component,
    Effects,
    SendMessage,
    WriteLogLine,
)
from trefoilsaddle.core.grants import renew_grants, stop_grants
from trefoilsaddle.core.leases import ask_witnesses, raise_term
from trefoilsaddle.core.messages import RELEASE, Promise
from trefoilsaddle.core.moves import settle_moves
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outage import exclude_moved, repeat_moves
from trefoilsaddle.core.outcomes import adopt_shard, release_shard
from trefoilsaddle.core.provisional import (
    arrivals_at,
    drop_settled,
    tell_zone,
)
from trefoilsaddle.core.recovery import gather_followers
from trefoilsaddle.core.units import Epoch, Moment, ServerId, ShardId
from trefoilsaddle.core.view import Ownership, Role


def follow_view(node: Node, moment: Moment) -> Effects:
    """Take and drop roles and shards as the view says, if it changed."""
    duties = node.duties
    if duties.followed == node.view.applied and not duties.unsettled:
        return []
    duties.followed = node.view.applied
    duties.unsettled = False
    effects: Effects = []
    for server, role in node.view.roles.items():
        seen = duties.seen_roles.get(server)
        # Most roles are the very ones seen before: 5,000 servers, one change.
        if seen is not role and seen != role:
            effects.extend(_follow_role(node, moment, server, role))
    duties.seen_roles = dict(node.view.roles)
    _settle_claims(node)
    drop_settled(node)
    _forget_moves(node)
    for duty in duties.held.values():
        settle_moves(node, duty)
        effects.extend(_follow_owners(node, moment, duty))
    node.duties_stale = True
    return effects


def _follow_role(
    node: Node,
    moment: Moment,
    server: ServerId,
    role: Role,
) -> Effects:
    duties = node.duties
    duty = duties.held.get(server)
    known = raise_term(node, server, role.term)
    group = (role.dispatcher, *role.claim_set)
    if role.dispatcher == known.followed or known.followed not in group:
        # The log confirms it, or the server has followed a later term.
        known.followed = None
    duties.read_at[server] = moment.monotonic
    duties.take_overs.pop(server, None)
    duties.handing_over.discard(server)
    if role.dispatcher != node.options.node:
        return drop_duty(node, duty, role) if duty else []
    if duty is not None and duty.term == role.term:
        duty.provisional = False
        duty.claim_set = role.claim_set
        return repeat_moves(node, moment, duty)
    former = duties.seen_roles.get(server)
    if former is None and server not in duties.claiming:
        # A process of our name had the role before us: we know neither its
        # promises nor its moves, and take the role under a term of our own.
        return []
    effects = take_role(node, moment, server, role, former)
    duty = duties.held[server]
    exclude_moved(node, moment, duty)
    effects.extend(gather_followers(node, moment, duty))
    effects.extend(ask_witnesses(node, moment, duty))
    effects.extend(repeat_moves(node, moment, duty))
    return effects


def _settle_claims(node: Node) -> None:
    duties = node.duties
    for server, claiming in tuple(duties.claiming.items()):
        if claiming.record_id in node.view.verdicts:
            duties.claiming.pop(server)
            duties.vacant_since.pop(server, None)


def _forget_moves(node: Node) -> None:
    """Forget acknowledged moves that the log has settled."""
    for server, known in node.duties.known.items():
        for shard, remembered in tuple(known.moves.items()):
            if _is_settled(node, server, remembered):
                known.moves.pop(shard)


def _is_settled(
    node: Node,
    server: ServerId,
    remembered: RememberedMove,
) -> bool:
    moved = remembered.moved
    owner = node.view.owners.get(moved.shard)
    if owner != Ownership(server, moved.expected):
        return True
    # Without an epoch of its own the move needs its record, which a later
    # term makes impossible.
    role = node.view.roles.get(server)
    later = role is not None and role.term > remembered.term
    return later and moved.provisional is None


def _follow_owners(node: Node, moment: Moment, duty: Duty) -> Effects:
    shards = {
        shard: node.view.owners[shard].epoch
        for shard in node.view.shards_on(duty.server)
    }
    shards.update(arrivals_at(node, duty.server))
    changed = shards != duty.shards
    effects: Effects = []
    if changed:
        effects = _change_shards(node, moment, duty, shards)
    # A new duty grants nothing before it knows what is the server's.
    if duty.grants.sequence == 0 or (changed and duty.grants.seeded):
        effects.extend(renew_grants(node, moment, duty))
    return effects


def _change_shards(
    node: Node,
    moment: Moment,
    duty: Duty,
    shards: dict[ShardId, Epoch],
) -> Effects:
    effects: Effects = []
    for shard, epoch in duty.shards.items():
        if shards.get(shard) != epoch:
            effects.extend(_release(node, duty, shard, epoch))
    for shard, epoch in shards.items():
        if duty.shards.get(shard) != epoch:
            fresh = _is_fresh(node, duty, shard, epoch)
            adopt_shard(node, moment, shard, fresh=fresh)
    duty.shards = shards
    node.ready_servers.add(duty.server)
    return effects


def _is_fresh(
    node: Node,
    duty: Duty,
    shard: ShardId,
    epoch: Epoch,
) -> bool:
    """Say whether a shard was first assigned while this duty was held."""
    owner = node.view.owners.get(shard)
    if owner is None or owner.epoch != epoch:
        return False
    return owner.first and epoch > duty.term


def _release(
    node: Node,
    duty: Duty,
    shard: ShardId,
    epoch: Epoch,
) -> Effects:
    duty.moves.pop(shard, None)
    duty.grants.accepted.pop(shard, None)
    handover = release_shard(node, shard, epoch)
    owner = node.view.owners.get(shard)
    role = node.view.roles.get(owner.server) if owner else None
    if role is None or role.dispatcher == node.options.node:
        return []
    return [SendMessage(role.dispatcher, handover)]


def drop_duty(node: Node, duty: Duty, role: Role) -> Effects:
    """Give a role up for good: another dispatcher has it."""
    node.duties.held.pop(duty.server, None)
    known = raise_term(node, duty.server, role.term)
    lapse = duty.grants.lapsed_after
    known.served_until = max(known.served_until, lapse)
    node.ready_servers.add(duty.server)
    promise = Promise(duty.server, role.term, RELEASE, granted=True)
    effects: Effects = [
        stop_grants(duty.server),
        WriteLogLine(Component.ownership, f'gave up {duty.server}'),
        SendMessage(role.dispatcher, promise),
    ]
    if duty.provisional:
        effects.extend(tell_zone(node, promise))
    for shard, epoch in duty.shards.items():
        handover = release_shard(node, shard, epoch)
        effects.append(SendMessage(role.dispatcher, handover))
    return effects
