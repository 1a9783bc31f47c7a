"""Take over the ownership of key-divided services from the newest tables.

The first table of a new controller names the same owners with a new fencing
token.  A server that accepts it refuses the calls of every earlier
controller from then on.  A server that does not answer may go on holding its
keys: as long as the earlier controller may renew them, and one hold more.
"""

from collections.abc import Iterable

from trefoilsaddle.core.units import NodeId, Seconds, ServiceName
from trefoilsaddle.gateway.assigning import append_table, fill_holes
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import Effects, Part
from trefoilsaddle.gateway.journal import note
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.options import CONNECT_TIMEOUT
from trefoilsaddle.gateway.partitions import (
    LATEST_ARRIVAL,
    Partition,
    PartitionState,
    find_end,
)
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import Assignment, GatewayAddress, StoredTable


def take_over(gateway: Gateway, now: Seconds) -> Effects:
    """Become the controller of every key-divided service."""
    configuration = gateway.configuration
    control = gateway.control
    if configuration is None:
        return []
    control.leading = True
    control.leading_since = now
    control.told_servers.clear()
    control.told_change.clear()
    control.told_loads.clear()
    effects: Effects = []
    for rules in configuration.services.values():
        if rules.keyed:
            effects.extend(take_service(gateway, rules.name, now))
    return effects


def take_service(
    gateway: Gateway,
    service: ServiceName,
    now: Seconds,
) -> Effects:
    """Become the controller of one key-divided service."""
    keyed = KeyedControl(service)
    gateway.control.keyed[service] = keyed
    stored = gateway.tables.get(service)
    if stored is None:
        keyed.partitions.ordered = [Partition(ALL_KEYS, since=now)]
        first = note(Part.ownership, 'first controller', service=service)
        # Without an owner yet: it tells gateways where the controller is.
        return [first, *append_table(gateway, keyed)]
    _import_table(gateway, keyed, stored, now)
    line = note(
        Part.ownership,
        'taking over',
        service=service,
        offset=stored.offset,
        predecessor=stored.table.controller.node,
    )
    if gateway.control.end is None:
        return [line]
    if any(
        partition.state == PartitionState.assigning for partition in _all(keyed)
    ):
        return [line, *append_table(gateway, keyed)]
    return [line]


def learn_end(
    gateway: Gateway,
    address: GatewayAddress,
    now: Seconds,
) -> None:
    """Note that a gateway reports here: it renews no grant any more.

    A controller reports to another only after it has given its part up, and
    a gateway that has started anew has forgotten it.
    """
    for keyed in gateway.control.keyed.values():
        left = _drop_node(keyed.predecessors, address.node)
        if left == keyed.predecessors:
            continue
        keyed.predecessors = left
        if not left:
            until = _find_last_end(gateway, keyed, now)
            for partition in _all(keyed):
                partition.shorten_inherited(until)


def _drop_node(
    addresses: Iterable[GatewayAddress],
    node: NodeId,
) -> tuple[GatewayAddress, ...]:
    return tuple(address for address in addresses if address.node != node)


def _all(keyed: KeyedControl) -> list[Partition]:
    return keyed.partitions.ordered


def _import_table(
    gateway: Gateway,
    keyed: KeyedControl,
    stored: StoredTable,
    now: Seconds,
) -> None:
    options = gateway.options
    table = stored.table
    keyed.inherited_hold = table.hold or options.longest_hold
    held_until = _find_last_end(gateway, keyed, now)
    # Controllers before this one may yet renew grants without the store.
    renewing = table.predecessors
    if not table.resigned:
        renewing = (*renewing, table.controller)
    keyed.predecessors = _drop_node(renewing, options.node)
    if keyed.predecessors:
        held_until = Seconds(held_until + options.outage_tolerance)
    keyed.offset = stored.offset
    partitions = [
        _import_piece(gateway, row, held_until, now)
        for row in table.assignments
    ]
    keyed.partitions.ordered = fill_holes(partitions)


def _find_last_end(
    gateway: Gateway,
    keyed: KeyedControl,
    ended: Seconds,
) -> Seconds:
    # A call that began as its controller ended may still be on its way.
    call = gateway.options.grant_timeout + CONNECT_TIMEOUT
    arrival = Seconds(ended + call + LATEST_ARRIVAL)
    return find_end(keyed.inherited_hold, arrival)


def _import_piece(
    gateway: Gateway,
    row: Assignment,
    held_until: Seconds,
    now: Seconds,
) -> Partition:
    partition = Partition(row.keys, life=row.life, fence=row.fence, since=now)
    partition.inherited_until = held_until
    partition.inherited = True
    server = gateway.registry.find_incarnation(row.life)
    if server is None:
        partition.state = PartitionState.lapsing
        newest = gateway.find_server(row.life.server)
        if newest is not None:
            gateway.control.addresses[row.life] = newest
            partition.reborn = True
        return partition
    gateway.control.addresses[row.life] = server
    partition.state = PartitionState.assigning
    partition.serving = True
    return partition
