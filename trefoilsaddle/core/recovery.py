"""Move the shards of a lost server to others once no grant can be valid.

Three waits make it safe: the grants of this process expire; a former
dispatcher that the server still accepts loses its lease; and, for a server
that does not check grants, the last deadline in flight passes.
"""

from trefoilsaddle.core.dispatching import latest_deadline
from trefoilsaddle.core.durations import find_longest
from trefoilsaddle.core.dutystate import (
    IRREVOCABLE,
    NEVER,
    Duty,
    MoveStage,
    ShardMove,
)
from trefoilsaddle.core.effects import (
    Component,
    Effects,
    WriteLogLine,
)
from trefoilsaddle.core.grants import is_fenced
from trefoilsaddle.core.leases import (
    former_lease_end,
    lease_end,
    limits_of,
    request_promises,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.sharing import share_moves
from trefoilsaddle.core.targets import choose_targets
from trefoilsaddle.core.units import FOREVER, Moment, Seconds, ShardId
from trefoilsaddle.core.view import Ownership


def recover_server(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Move the shards off a suspected server once no request can run there."""
    effects = request_followers(node, moment, duty)
    if not is_suspected(node, moment, duty):
        return effects
    if duty.provisional or duty.superseded:
        # The dispatcher that the log names would not know of the move.
        return effects
    if moment.monotonic <= idle_after(node, duty):
        return effects
    if moment.monotonic >= lease_end(node, duty, every=False):
        return effects
    shards = _list_movable(node, duty)
    near = node.following.log_away
    targets = choose_targets(node, duty.server, shards, same_zone=near)
    if not targets:
        return effects
    for shard, target in targets.items():
        duty.moves[shard] = ShardMove(
            target,
            duty.shards[shard],
            MoveStage.sharing,
            moment.monotonic,
        )
    sentence = f'server {duty.server} is lost, moving its shards'
    effects.append(WriteLogLine(Component.ownership, sentence))
    effects.extend(share_moves(node, moment, duty, list(targets)))
    return effects


def is_suspected(node: Node, moment: Moment, duty: Duty) -> bool:
    """Return whether a server has not answered for a whole grant duration."""
    limits = limits_of(node)
    if limits is None or not duty.grants.silent:
        return False
    heard = max(duty.grants.answered_at, duty.started)
    return moment.monotonic - heard > limits.grant_duration


def idle_after(node: Node, duty: Duty) -> Seconds:
    """Return the time after which no request can start at a server."""
    if is_fenced(node, duty):
        return _fenced_idle_after(node, duty)
    own = latest_deadline(node, duty.server)
    return max(own, former_work_end(node, duty))


def _fenced_idle_after(node: Node, duty: Duty) -> Seconds:
    if duty.grants.contacted or duty.contacted_before:
        # The server accepts this process, so only its own grants can be valid.
        return duty.grants.lapsed_after
    return unreached_idle_after(node, duty)


def unreached_idle_after(node: Node, duty: Duty) -> Seconds:
    """Return when a server that never accepted this process must be idle.

    A former dispatcher without the log may continue with the promises of all
    members but one, so every other member has to follow this duty first.
    """
    if duty.former_dispatcher is None or duty.outside_claim_set:
        return duty.usable_from
    if duty.released:
        return duty.grants.lapsed_after
    if not duty.former_members or not duty.former_known:
        return FOREVER
    latest = duty.usable_from
    for member in duty.former_members:
        followed = duty.followers.get(member)
        if followed is None:
            return FOREVER
        latest = max(latest, former_lease_end(node, followed, duty.former_term))
    return latest


def former_work_end(node: Node, duty: Duty) -> Seconds:
    """Return when the last request of a former dispatcher has ended."""
    if duty.former_dispatcher in {None, node.options.node}:
        return NEVER
    policy = node.view.server(duty.server)
    longest = find_longest(node.view.durations, duty.former_term)
    if policy is None or longest is None:
        return FOREVER
    service = longest.services.get(policy.service)
    if service is None:
        return FOREVER
    start = max(duty.usable_from, duty.started)
    return Seconds(start + service.longest_deadline)


def request_followers(node: Node, moment: Moment, duty: Duty) -> Effects:
    """Ask former members to follow this duty until the server answers."""
    missing = [
        member for member in duty.former_members if member not in duty.followers
    ]
    if duty.grants.contacted or duty.contacted_before or not missing:
        return []
    return request_promises(node, moment, duty, missing)


def _list_movable(node: Node, duty: Duty) -> list[ShardId]:
    # A shard that arrived by a move without the log is not moved again before
    # the log confirms it.
    return [
        shard
        for shard, epoch in duty.shards.items()
        if _is_free(duty, shard)
        and node.view.owners.get(shard) == Ownership(duty.server, epoch)
    ]


def _is_free(duty: Duty, shard: ShardId) -> bool:
    move = duty.moves.get(shard)
    return move is None or move.stage not in IRREVOCABLE
