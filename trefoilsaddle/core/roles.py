"""Update the duties from the roles and owners in the view."""

from trefoilsaddle.core.claims import begin_duty
from trefoilsaddle.core.dutystate import AcknowledgedMove, Duty
from trefoilsaddle.core.effects import (
    Component,
    Effects,
    SendMessage,
    WriteLogLine,
)
from trefoilsaddle.core.grants import renew_grants, stop_grants
from trefoilsaddle.core.leases import raise_term, verify_continuity
from trefoilsaddle.core.messages import RELEASE, Promise
from trefoilsaddle.core.moves import settle_moves
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outage import block_moved_shards, repeat_moves
from trefoilsaddle.core.outcomes import adopt_shard, release_shard
from trefoilsaddle.core.provisional import (
    arrivals_at,
    broadcast_to_zone,
    drop_settled_arrivals,
)
from trefoilsaddle.core.recovery import request_followers
from trefoilsaddle.core.units import Epoch, Moment, ServerId, ShardId
from trefoilsaddle.core.view import Ownership, Role


def update_roles(node: Node, moment: Moment) -> Effects:
    """Begin and drop duties and shards according to a changed view."""
    duties = node.duties
    if duties.followed_offset == node.view.applied and not duties.unsettled:
        return []
    duties.followed_offset = node.view.applied
    duties.unsettled = False
    effects: Effects = []
    for server, role in node.view.roles.items():
        seen = duties.seen_roles.get(server)
        # The identity check is cheap: of 5,000 roles usually one has changed.
        if seen is not role and seen != role:
            effects.extend(_follow_role(node, moment, server, role))
    duties.seen_roles = dict(node.view.roles)
    _drop_settled_claims(node)
    drop_settled_arrivals(node)
    _drop_settled_moves(node)
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
    if (
        role.dispatcher == known.followed_dispatcher
        or known.followed_dispatcher not in group
    ):
        # The log confirms that dispatcher, or the server accepted a later term.
        known.followed_dispatcher = None
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
    if former is None and server not in duties.pending_claims:
        # An earlier incarnation of this process had the role.  Its promises and
        # moves are unknown, so the role is claimed again under a new term.
        return []
    effects = begin_duty(node, moment, server, role, former)
    duty = duties.held[server]
    block_moved_shards(node, moment, duty)
    effects.extend(request_followers(node, moment, duty))
    effects.extend(verify_continuity(node, moment, duty))
    effects.extend(repeat_moves(node, moment, duty))
    return effects


def _drop_settled_claims(node: Node) -> None:
    duties = node.duties
    for server, pending in tuple(duties.pending_claims.items()):
        if pending.record_id in node.view.verdicts:
            duties.pending_claims.pop(server)
            duties.vacant_since.pop(server, None)


def _drop_settled_moves(node: Node) -> None:
    """Drop acknowledged moves that the log has decided."""
    for server, known in node.duties.known_terms.items():
        for shard, acknowledged in tuple(known.moves.items()):
            if _is_settled(node, server, acknowledged):
                known.moves.pop(shard)


def _is_settled(
    node: Node,
    server: ServerId,
    acknowledged: AcknowledgedMove,
) -> bool:
    moved = acknowledged.moved
    owner = node.view.owners.get(moved.shard)
    if owner != Ownership(server, moved.expected):
        return True
    # A move without a provisional epoch depends on its record, which can no
    # longer be accepted after a later term.
    role = node.view.roles.get(server)
    later = role is not None and role.term > acknowledged.term
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
    # A new duty sends its first call only after the owned shards are known.
    if duty.grants.sequence == 0 or (changed and duty.grants.synced):
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
            effects.extend(_release_shard(node, duty, shard, epoch))
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
    """Return whether a shard was first assigned while this duty was held."""
    owner = node.view.owners.get(shard)
    if owner is None or owner.epoch != epoch:
        return False
    return owner.first and epoch > duty.term


def _release_shard(
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
    """Drop a duty whose role has gone to another dispatcher, and notify it."""
    node.duties.held.pop(duty.server, None)
    known = raise_term(node, duty.server, role.term)
    lapse = duty.grants.lapsed_after
    known.served_until = max(known.served_until, lapse)
    node.ready_servers.add(duty.server)
    promise = Promise(duty.server, role.term, RELEASE, granted=True)
    effects: Effects = [
        stop_grants(duty.server),
        WriteLogLine(Component.ownership, f'released server {duty.server}'),
        SendMessage(role.dispatcher, promise),
    ]
    if duty.provisional:
        effects.extend(broadcast_to_zone(node, promise))
    for shard, epoch in duty.shards.items():
        handover = release_shard(node, shard, epoch)
        effects.append(SendMessage(role.dispatcher, handover))
    return effects
