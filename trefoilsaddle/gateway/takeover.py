"""Take over the ownership of key-divided services from the stored tables.

The first table of a new controller names the same owners with a new fencing
token. A server that accepts it refuses the calls of every earlier controller
from then on. A server that does not answer may hold its keys for as long as the
earlier controller may renew their grants, plus one hold.

A table of an earlier era names the holders of a time before the store came back
from a copy.  The tables since then are lost, and any server may hold keys by one
of them: no key is granted until all such grants have lapsed.  It is the same for
a service without a table, unless it is shown to be new.
"""

from collections.abc import Iterable

from trefoilsaddle.core.units import NodeId, Seconds, ServiceName
from trefoilsaddle.gateway.assigning import append_table, fill_gaps
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import Component, Effects
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.losttables import find_novelty
from trefoilsaddle.gateway.partitions import Partition, PartitionState
from trefoilsaddle.gateway.peermessages import Report
from trefoilsaddle.gateway.restoring import (
    await_lapse,
    begin_wait,
    find_latest_end,
    find_time_left,
    is_outdated,
    shorten_waits,
)
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import (
    Assignment,
    GatewayAddress,
    StoredTable,
)


def take_over(gateway: Gateway, now: Seconds) -> Effects:
    """Become the controller of every key-divided service."""
    configuration = gateway.configuration
    control = gateway.control
    if configuration is None:
        return []
    control.leading = True
    control.leading_since = now
    control.term += 1
    control.outdated_since = None
    control.regions.clear()
    gateway.connected.begin_anew()
    effects: Effects = []
    for rules in configuration.services.values():
        if rules.keyed:
            effects.extend(take_over_service(gateway, rules.name, now))
    return effects


def take_over_service(
    gateway: Gateway,
    service: ServiceName,
    now: Seconds,
) -> Effects:
    """Become the controller of one key-divided service."""
    keyed = KeyedControl(service)
    gateway.control.keyed[service] = keyed
    stored = gateway.tables.get(service)
    if stored is not None and is_outdated(gateway, stored):
        return _await_unknown_holders(gateway, keyed, stored, now)
    if stored is None:
        return begin_without_table(gateway, keyed, now)
    _import_table(gateway, keyed, stored, now)
    line = log_event(
        Component.ownership,
        'taking over',
        service=service,
        era=stored.table.era,
        offset=stored.offset,
        predecessor=stored.table.controller.node,
    )
    if gateway.control.end is None:
        return [line]
    if any(
        partition.state == PartitionState.assigning
        for partition in _list_partitions(keyed)
    ):
        return [line, *append_table(gateway, keyed, now)]
    return [line]


def begin_without_table(
    gateway: Gateway, keyed: KeyedControl, now: Seconds
) -> Effects:
    """Become the controller of a service of which no table is known."""
    keyed.partitions.ordered = [Partition(ALL_KEYS, since=now)]
    # An append of the era before tells nothing.
    keyed.pending = None
    novelty = find_novelty(gateway, keyed.service)
    if novelty is None:
        begin_wait(gateway, keyed, None, now)
        line = log_event(
            Component.ownership,
            'tables may be lost',
            service=keyed.service,
            era=gateway.era,
            initial_era=gateway.initial_era,
            first_start=gateway.options.first_start,
            wait=round(find_time_left(keyed.unknown_until, now), _DIGITS),
        )
    else:
        line = log_event(
            Component.ownership,
            'first controller',
            service=keyed.service,
            era=gateway.era,
            reason=novelty,
        )
    # The table names no owner yet, but tells gateways where the controller is.
    return [line, *append_table(gateway, keyed, now)]


# Decimal places of seconds in log lines.
_DIGITS = 3


def _await_unknown_holders(
    gateway: Gateway,
    keyed: KeyedControl,
    stored: StoredTable,
    now: Seconds,
) -> Effects:
    keyed.position = stored.position
    begin_wait(gateway, keyed, stored, now)
    _import_incomplete(gateway, keyed, stored, now)
    line = log_event(
        Component.ownership,
        'holders are unknown',
        service=keyed.service,
        table_era=stored.table.era,
        offset=stored.offset,
        era=gateway.era,
        predecessor=stored.table.controller.node,
    )
    return [line, *append_table(gateway, keyed, now)]


def _import_incomplete(
    gateway: Gateway,
    keyed: KeyedControl,
    stored: StoredTable,
    now: Seconds,
) -> None:
    """Import the rows that hold in spite of lost tables."""
    table = stored.table
    if gateway.is_outdated(table.era):
        partitions = [_import_target(row, now) for row in table.assignments]
    else:
        # The controllers before this one may still renew named grants.
        ended = Seconds(now + gateway.options.outage_tolerance)
        renewed_until = find_latest_end(gateway, keyed, ended)
        keyed.lapsing_until = renewed_until
        if table.lapsing_left >= 0:
            stated_until = Seconds(now + table.lapsing_left)
            keyed.lapsing_until = min(renewed_until, stated_until)
        partitions = [
            _import_row(gateway, keyed, row, renewed_until, now)
            for row in table.assignments
        ]
    keyed.partitions.ordered = fill_gaps(partitions)
    for partition in keyed.partitions.ordered:
        if partition.incarnation is None and keyed.unknown_until is not None:
            await_lapse(partition, keyed.unknown_until)


def _import_target(row: Assignment, now: Seconds) -> Partition:
    return Partition(
        row.keys, target=row.life.server, since=now, free_since=now
    )


def _import_row(
    gateway: Gateway,
    keyed: KeyedControl,
    row: Assignment,
    renewed_until: Seconds,
    now: Seconds,
) -> Partition:
    until = renewed_until if row.confirmed else keyed.lapsing_until
    held_until = max(until or renewed_until, keyed.unknown_until or now)
    partition = _import_partition(gateway, row, held_until, now)
    if row.confirmed:
        return partition
    # Another server may hold the keys as well, so that they have to lapse.
    partition.imported = False
    partition.serving = False
    partition.enter_state(PartitionState.lapsing, now)
    return partition


def record_resigned(
    gateway: Gateway,
    report: Report,
    now: Seconds,
) -> None:
    """Record that a gateway reports here and so renews no grants any more.

    A controller reports to another one only after it has stepped down, and a
    restarted gateway has lost its state. Only a report that names the present
    term was written after the tables were read here.
    """
    control = gateway.control
    named = (report.controller_run, report.controller_term)
    if named != (gateway.options.run, control.term):
        return
    for keyed in control.keyed.values():
        left = _drop_node(keyed.predecessors, report.gateway.node)
        if left == keyed.predecessors:
            continue
        keyed.predecessors = left
        if not left:
            shorten_waits(gateway, keyed, now)


def _drop_node(
    addresses: Iterable[GatewayAddress],
    node: NodeId,
) -> tuple[GatewayAddress, ...]:
    return tuple(address for address in addresses if address.node != node)


def _list_partitions(keyed: KeyedControl) -> list[Partition]:
    return keyed.partitions.ordered


def _import_table(
    gateway: Gateway,
    keyed: KeyedControl,
    stored: StoredTable,
    now: Seconds,
) -> None:
    options = gateway.options
    table = stored.table
    keyed.inherited_hold = table.hold or options.max_hold
    held_until = find_latest_end(gateway, keyed, now)
    # Earlier controllers may still renew grants without the store.
    renewing = table.predecessors
    if not table.resigned:
        renewing = (*renewing, table.controller)
    keyed.predecessors = _drop_node(renewing, options.node)
    if keyed.predecessors:
        held_until = Seconds(held_until + options.outage_tolerance)
    keyed.position = stored.position
    partitions = [
        _import_partition(gateway, row, held_until, now)
        for row in table.assignments
    ]
    keyed.partitions.ordered = fill_gaps(partitions)


def _import_partition(
    gateway: Gateway,
    row: Assignment,
    held_until: Seconds,
    now: Seconds,
) -> Partition:
    partition = Partition(
        row.keys, incarnation=row.life, fence=row.fence, since=now
    )
    partition.inherited_until = held_until
    partition.inherited = True
    partition.imported = True
    server = gateway.registry.find_incarnation(row.life)
    if server is None:
        partition.state = PartitionState.lapsing
        newest = gateway.find_server(row.life.server)
        if newest is not None:
            gateway.control.addresses[row.life] = newest
            partition.restarted = True
        return partition
    gateway.control.addresses[row.life] = server
    partition.state = PartitionState.assigning
    partition.serving = True
    return partition
