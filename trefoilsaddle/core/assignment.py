"""Assign owners to shards that have never had one."""

from collections.abc import Iterable

from trefoilsaddle.core.configuration import ServicePolicy
from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.following import append_records
from trefoilsaddle.core.hashing import rank_candidates
from trefoilsaddle.core.membership import live_dispatchers
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.recordids import make_record_id
from trefoilsaddle.core.records import Assign, Placement
from trefoilsaddle.core.units import (
    Moment,
    ServerId,
    ShardId,
    ShardNumber,
)


def assign_unowned(node: Node, moment: Moment) -> Effects:
    """Append an assignment for each service with unowned shards.

    Only the first-ranked live dispatcher does so.
    """
    configuration = node.view.configuration
    if configuration is None or node.following.outbox:
        return []
    services = [
        service
        for service in configuration.services.values()
        if node.view.count_unowned(service)
    ]
    if not services:
        return []
    candidates = rank_candidates('assign', live_dispatchers(node, None))
    if not candidates or candidates[0] != node.options.node:
        return []
    records = [
        record
        for service in services
        if (record := _assign_service(node, service)) is not None
    ]
    return append_records(node, moment, tuple(records)) if records else []


def _assign_service(node: Node, service: ServicePolicy) -> Assign | None:
    unowned = [
        ShardNumber(number)
        for number in range(service.shard_count)
        if ShardId(service.name, ShardNumber(number)) not in node.view.owners
    ]
    servers = [
        policy.server_id
        for policy in node.view.servers()
        if policy.service == service.name
        and not policy.leaving
        and policy.server_id not in node.membership.leaving_servers
    ]
    if not unowned or not servers:
        return None
    return Assign(
        record_id=make_record_id(node),
        service=service.name,
        placements=tuple(_spread(unowned, servers)),
    )


def _spread(
    shards: list[ShardNumber],
    servers: list[ServerId],
) -> Iterable[Placement]:
    for index, server in enumerate(servers):
        numbers = tuple(shards[index :: len(servers)])
        if numbers:
            yield Placement(server, numbers)
