"""Make the duties follow the roles and owners that the log gives."""

from trefoilsaddle.core.claims import take_role
from trefoilsaddle.core.dutystate import Duty
from trefoilsaddle.core.effects import Effects, Part, SendMessage, WriteLogLine
from trefoilsaddle.core.grants import renew_grants, stop_grants
from trefoilsaddle.core.leases import raise_term
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outcomes import adopt_shard, release_shard
from trefoilsaddle.core.units import Epoch, Moment, ServerId, ShardId
from trefoilsaddle.core.view import Role


def follow_view(node: Node, moment: Moment) -> Effects:
    """Take and drop roles as the view says, if it has changed."""
    duties = node.duties
    if duties.followed == node.view.applied:
        return []
    duties.followed = node.view.applied
    effects: Effects = []
    for server, role in node.view.roles.items():
        former = duties.seen_roles.get(server)
        if former != role:
            effects.extend(_follow_role(node, moment, server, role))
    _settle_claims(node)
    effects.extend(_follow_owners(node, moment))
    duties.seen_roles = dict(node.view.roles)
    duties.owned.update(node.view.owners)
    node.reviewed = True
    return effects


def _follow_role(
    node: Node,
    moment: Moment,
    server: ServerId,
    role: Role,
) -> Effects:
    duties = node.duties
    duty = duties.held.get(server)
    raise_term(node, server, role.term)
    if role.dispatcher != node.options.node:
        return drop_duty(node, duty, role) if duty else []
    if duty is not None and duty.term == role.term:
        duty.provisional = False
        return []
    former = duties.seen_roles.get(server)
    return take_role(node, moment, server, role, former)


def _settle_claims(node: Node) -> None:
    duties = node.duties
    for server, claiming in tuple(duties.claiming.items()):
        if claiming.record_id in node.view.verdicts:
            duties.claiming.pop(server)
            duties.vacant_since.pop(server, None)


def _follow_owners(node: Node, moment: Moment) -> Effects:
    effects: Effects = []
    wanted: dict[ServerId, dict[ShardId, Epoch]] = {
        server: {} for server in node.duties.held
    }
    for shard, owner in node.view.owners.items():
        shards = wanted.get(owner.server)
        if shards is not None:
            shards[shard] = owner.epoch
    for server, shards in wanted.items():
        duty = node.duties.held[server]
        if shards != duty.shards:
            effects.extend(_change_shards(node, moment, duty, shards))
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
            fresh = shard not in node.duties.owned and epoch > duty.term
            adopt_shard(node, moment, shard, fresh=fresh)
    duty.shards = shards
    node.woken.add(duty.server)
    if duty.grants.seeded:
        effects.extend(renew_grants(node, moment, duty))
    return effects


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
    node.woken.add(duty.server)
    effects: Effects = [
        stop_grants(duty.server),
        WriteLogLine(Part.ownership, f'gave up {duty.server}'),
    ]
    for shard, epoch in duty.shards.items():
        handover = release_shard(node, shard, epoch)
        effects.append(SendMessage(role.dispatcher, handover))
    return effects
