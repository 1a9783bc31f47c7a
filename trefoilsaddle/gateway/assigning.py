"""Assign keys to servers, and store the assignment in the ownership table.

At most one table is being appended at a time. It names every server that may
hold keys, with the fencing token of its grant. The token of a newly assigned
partition is the position of the table itself, which is above all earlier tokens
because the store accepts only one table per position.
"""

from trefoilsaddle.core.units import Offset, Seconds, ServiceName
from trefoilsaddle.gateway import slowstart
from trefoilsaddle.gateway.balance import (
    Capacity,
    KeyLoad,
    find_rate,
    prefer_fast,
)
from trefoilsaddle.gateway.control import KeyedControl, PendingAppend
from trefoilsaddle.gateway.division import Division
from trefoilsaddle.gateway.effects import AppendTable, Component, Effects
from trefoilsaddle.gateway.election import is_restoring, step_down
from trefoilsaddle.gateway.events import AppendEnded, AppendVerdict
from trefoilsaddle.gateway.keys import (
    ALL_KEYS,
    FIRST_KEY,
    LAST_KEY,
    Key,
    KeyRange,
    divide_keys,
)
from trefoilsaddle.gateway.loads import ServerLoads
from trefoilsaddle.gateway.locality import may_hold_keys
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.losttables import list_divided
from trefoilsaddle.gateway.pacing import bound_hold
from trefoilsaddle.gateway.partitions import (
    Partition,
    PartitionState,
    join_free,
)
from trefoilsaddle.gateway.peers import dial
from trefoilsaddle.gateway.restoring import (
    adopt_tokens,
    end_wait,
    find_time_left,
    lacks_confirmations,
)
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import (
    GatewayAddress,
    OwnershipTable,
    StoredTable,
    TablePosition,
)
from trefoilsaddle.gateway.watching import describe_spread

# Free partitions without a chosen target wait this long for others, so that one
# table covers all of them.
_BATCHING_DELAY = Seconds(0.02)
# When a system starts, its servers register within about 3 s of each other: a
# new service is divided once no server has registered for two reads of their
# entries.
_REGISTRATION_QUIET_TIME = Seconds(1.3)
_MAX_REGISTRATION_WAIT = Seconds(4)
_RETRY_DELAY = Seconds(0.3)
# Longest time that keys wait for suspected servers: the entries of lost servers
# lapse after three heartbeats of up to 1.5 s.
_SUSPECTED_SERVER_WAIT = Seconds(5)


def assign_free(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> Effects:
    """Assign free partitions to servers by the next table."""
    end_wait(gateway, keyed, now)
    if keyed.pending is not None or now < keyed.append_after:
        return []
    if keyed.table_due or _lacks_confirmations(gateway, keyed):
        return append_table(gateway, keyed, now)
    if _choose_holders(gateway, keyed, now) or _has_assigning(keyed):
        return append_table(gateway, keyed, now)
    return []


def _lacks_confirmations(gateway: Gateway, keyed: KeyedControl) -> bool:
    stored = gateway.tables.get(keyed.service)
    return stored is not None and lacks_confirmations(keyed, stored.table)


def append_table(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> Effects:
    """Append the next table to the store."""
    end = gateway.control.end
    services = gateway.control.keyed.values()
    if end is None or any(other.pending is not None for other in services):
        return []
    keyed.sequence += 1
    table = _build_table(gateway, keyed, end, now)
    keyed.pending = PendingAppend(table, end, keyed.unknown_until)
    keyed.resigned = gateway.stopping_since is not None
    return [AppendTable(end, table)]


def handle_append_ended(
    gateway: Gateway,
    now: Seconds,
    event: AppendEnded,
) -> Effects:
    """Handle the store's answer to an appended table."""
    keyed = gateway.control.keyed.get(event.service)
    pending = None if keyed is None else keyed.pending
    if keyed is None or pending is None:
        return []
    if pending.table.sequence != event.sequence:
        return []
    match event.verdict:
        case AppendVerdict.stored:
            return _accept_table(gateway, keyed, pending, now)
        case AppendVerdict.conflict:
            keyed.pending = None
            return step_down(gateway, 'the store has a newer table')
        case AppendVerdict.refused:
            keyed.pending = None
            keyed.append_after = Seconds(now + _RETRY_DELAY)
            _undo_assignment(keyed, now)
            return [
                log_event(Component.ownership, 'table refused by the store')
            ]
    # The result is unknown: retry the same table at the same position, where it
    # is stored at most once.
    return [AppendTable(pending.expected, pending.table)]


def list_capacities(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> list[Capacity]:
    """Return the servers that may get keys, with their request rates."""
    loads = find_loads(gateway, keyed.service)
    mean = loads.mean_time()
    capacities = []
    goal = _find_goal(gateway, keyed.service)
    demand = sum(keyed.rates.read(now).values())
    for server in gateway.registry.list_service(keyed.service):
        if not _may_get_keys(gateway, server, now):
            continue
        time = loads.service_time(server.life, mean)
        rate = _find_usable_rate(gateway, server, time, now)
        preference = _find_preference(goal, time)
        capacities.append(Capacity(server, rate, preference))
    return prefer_fast(capacities, demand)


def _find_usable_rate(
    gateway: Gateway, server: Server, time: Seconds, now: Seconds
) -> float:
    loads = find_loads(gateway, server.service)
    success_rate = 1 - loads.failure_rate(server.life)
    rate = find_rate(server, time) * max(success_rate, _MIN_RATE_FRACTION)
    limit = gateway.limits.find_rate(server.life, now)
    return rate if limit is None else min(rate, limit)


def _may_get_keys(gateway: Gateway, server: Server, now: Seconds) -> bool:
    suspicions = gateway.control.suspicions
    incarnation = server.life
    if suspicions.is_suspected(
        incarnation, now
    ) or suspicions.has_recent_failure(incarnation, now):
        return False
    # Few gateways may send to a cold server, so that most callers of its keys
    # would be refused.
    if slowstart.is_avoidable(gateway, server, now):
        return False
    return _is_available(gateway, server)


def _is_available(gateway: Gateway, server: Server) -> bool:
    deferred = server.life.server in gateway.registry.deferred_removals
    if server.draining or deferred:
        return False
    return may_hold_keys(gateway, server)


def _find_goal(gateway: Gateway, service: ServiceName) -> Seconds | None:
    configuration = gateway.configuration
    return None if configuration is None else configuration.find_goal(service)


def _find_preference(goal: Seconds | None, time: Seconds) -> float:
    # Request times vary widely around their mean: a server whose mean exceeds a
    # third of the goal misses the goal often, even with little load.
    if goal is None:
        return 1
    preference = goal * _GOAL_FRACTION / max(time, _MIN_SERVICE_TIME)
    return max(min(preference, 1), _MIN_PREFERENCE)


# Fraction of a latency goal that the mean request time may take up.
_GOAL_FRACTION = 0.33
# Minimum fraction of its rate that a slow server is counted with.
_MIN_PREFERENCE = 0.3
_MIN_SERVICE_TIME = Seconds(0.001)
# Minimum fraction of its rate that a failing server is counted with.
_MIN_RATE_FRACTION = 0.1


def find_loads(gateway: Gateway, service: ServiceName) -> ServerLoads:
    """Return the measured loads of a service, created on first use."""
    return gateway.control.loads.setdefault(
        service,
        ServerLoads(gateway.options.server_defaults.service_time),
    )


def _choose_holders(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> bool:
    if not _list_free(keyed, now):
        return False
    capacities = list_capacities(gateway, keyed, now)
    if not capacities:
        return False
    if not _is_unassigned(keyed):
        return _assign_to_servers(gateway, keyed, capacities, now)
    if not _have_servers_registered(gateway, capacities, now):
        return False
    _divide_evenly(keyed, capacities, now)
    return True


def _has_assigning(keyed: KeyedControl) -> bool:
    # Partitions that were assigned by a table that the store refused keep their
    # holder.
    return any(
        partition.state == PartitionState.assigning
        for partition in keyed.partitions.ordered
    )


def _assign_to_servers(
    gateway: Gateway,
    keyed: KeyedControl,
    capacities: list[Capacity],
    now: Seconds,
) -> bool:
    keyed.partitions.ordered = join_free(keyed.partitions.ordered)
    free = _list_free(keyed, now)
    due = [partition for partition in free if _is_batch_due(partition, now)]
    if not due:
        return False
    division = _begin_division(gateway, keyed, capacities, now)
    assigned = [
        _assign_range(gateway, keyed, division, partition, now)
        for partition in free
    ]
    return any(assigned)


def _begin_division(
    gateway: Gateway,
    keyed: KeyedControl,
    capacities: list[Capacity],
    now: Seconds,
) -> Division:
    servers = sum(
        _is_available(gateway, server)
        for server in gateway.registry.list_service(keyed.service)
    )
    load = KeyLoad(keyed.rates.read(now))
    freed = min(
        partition.free_since or now for partition in _list_free(keyed, now)
    )
    wait_for_suspected = now - freed < _SUSPECTED_SERVER_WAIT
    division = Division(capacities, load, servers, wait_for_suspected)
    division.count(keyed.partitions.ordered)
    return division


def _assign_range(
    gateway: Gateway,
    keyed: KeyedControl,
    division: Division,
    partition: Partition,
    now: Seconds,
) -> bool:
    """Assign a free partition; return whether any keys were assigned."""
    assigned = False
    target = _find_target(gateway, partition)
    while True:
        server = target or division.choose(keyed.partitions.ordered)
        if server is None:
            return assigned
        keys = partition.keys
        # The handover reference of the last holder applies to all keys of the
        # partition, so that it is not split.
        if target is None and not partition.handover:
            keys = division.cut(keys, server)
        part = keyed.partitions.split_off(partition, keys)
        _assign(part, server, now)
        division.add(server.life, keys)
        assigned = True
        if part is partition:
            return assigned
        partition = keyed.partitions.find_next(part)


def _is_batch_due(partition: Partition, now: Seconds) -> bool:
    # The partitions of a lost server lapse together after a long wait, so they
    # need no further batching.
    lapsed = not partition.handover
    return lapsed or now - partition.since >= _BATCHING_DELAY


def _is_unassigned(keyed: KeyedControl) -> bool:
    return all(
        partition.state == PartitionState.free and partition.keys == ALL_KEYS
        for partition in keyed.partitions.ordered
    )


def _have_servers_registered(
    gateway: Gateway,
    capacities: list[Capacity],
    now: Seconds,
) -> bool:
    """Return whether the servers of a new service have registered.

    The first division lasts until there is load to balance.
    """
    seen = [
        gateway.registry.first_seen_at.get(entry.server.life, now)
        for entry in capacities
    ]
    quiet = now - max(seen) >= _REGISTRATION_QUIET_TIME
    return quiet or now - min(seen) >= _MAX_REGISTRATION_WAIT


def _divide_evenly(
    keyed: KeyedControl,
    capacities: list[Capacity],
    now: Seconds,
) -> None:
    ranges = divide_keys(len(capacities))
    ordered = sorted(capacities, key=lambda entry: entry.server.life)
    keyed.partitions.ordered = []
    for keys, entry in zip(ranges, ordered, strict=False):
        partition = Partition(keys)
        _assign(partition, entry.server, now)
        keyed.partitions.ordered.append(partition)


def _list_free(keyed: KeyedControl, now: Seconds) -> list[Partition]:
    return [
        partition
        for partition in keyed.partitions.ordered
        if partition.state == PartitionState.free
        and partition.held_until <= now
    ]


def _find_target(gateway: Gateway, partition: Partition) -> Server | None:
    if partition.target is None:
        return None
    server = gateway.find_server(partition.target)
    if server is None or server.draining:
        return None
    return server


def _assign(partition: Partition, server: Server, now: Seconds) -> None:
    partition.enter_state(PartitionState.assigning, now)
    partition.incarnation = server.life
    partition.target = None


def _build_table(
    gateway: Gateway,
    keyed: KeyedControl,
    end: Offset,
    now: Seconds,
) -> OwnershipTable:
    fence = find_fence(TablePosition(gateway.era, end))
    for partition in keyed.partitions.ordered:
        if partition.state == PartitionState.assigning:
            partition.fence = fence
    assignments = keyed.partitions.list_assignments(fence)
    return OwnershipTable(
        service=keyed.service,
        controller=gateway.own_address(),
        sequence=keyed.sequence,
        resigned=_is_resigning(gateway),
        assignments=assignments,
        hold=bound_hold(gateway, keyed),
        predecessors=_list_predecessors(keyed),
        era=gateway.era,
        incomplete=keyed.unknown_until is not None,
        unknown_left=find_time_left(keyed.unknown_until, now),
        lapsing_left=find_time_left(keyed.lapsing_until, now),
        divided=list_divided(gateway, keyed.service, assignments),
    )


def _is_resigning(gateway: Gateway) -> bool:
    stopping = gateway.stopping_since is not None
    return stopping or not gateway.control.elected


def _list_predecessors(keyed: KeyedControl) -> tuple[GatewayAddress, ...]:
    # Servers that accepted a grant refuse all controllers before it.
    unknown = keyed.unknown_until is not None
    partitions = keyed.partitions.ordered
    if unknown or any(partition.inherited for partition in partitions):
        return keyed.predecessors
    return ()


def find_fence(position: TablePosition) -> int:
    """Return the fencing token of the grants of a stored table."""
    # Offsets start at zero, tokens at one; offsets are given out again in the
    # next era.
    era = max(position.era, 0)
    return era * _FENCES_PER_ERA + position.offset + 1


# More than the tables of one era.  Tokens of 8,000 eras are below 2**53, which
# any JSON parser reads exactly.
_FENCES_PER_ERA = 2**40


def _accept_table(
    gateway: Gateway,
    keyed: KeyedControl,
    pending: PendingAppend,
    now: Seconds,
) -> Effects:
    keyed.pending = None
    keyed.renewal_end = None
    keyed.table_due = _has_to_follow(gateway, keyed, pending)
    keyed.position = TablePosition(pending.table.era, pending.expected)
    keyed.hold = pending.table.hold
    gateway.control.end = Offset(pending.expected + 1)
    gateway.tables[keyed.service] = StoredTable(
        pending.expected,
        pending.table,
    )
    fence = find_fence(keyed.position)
    for partition in keyed.partitions.ordered:
        if (
            partition.state == PartitionState.assigning
            and partition.fence == fence
        ):
            partition.enter_state(PartitionState.granting, now)
    adopt_tokens(keyed, pending.table, fence, now)
    keyed.partitions.join_stored(pending.table.assignments, now)
    keyed.partitions.revision += 1
    line = log_event(
        Component.ownership,
        'table stored',
        service=keyed.service,
        era=pending.table.era,
        offset=pending.expected,
        ranges=len(pending.table.assignments),
        **describe_spread(pending.table),
    )
    effects: Effects = [line, *dial(gateway, now, pending.table.controller)]
    stopping = gateway.stopping_since is not None
    lasting = stopping or is_restoring(gateway)
    if not gateway.control.elected and not lasting:
        effects.extend(step_down(gateway, 'the store chose another member'))
    return effects


def _has_to_follow(
    gateway: Gateway,
    keyed: KeyedControl,
    pending: PendingAppend,
) -> bool:
    """Return whether an accepted table has become untrue meanwhile."""
    resigned = pending.table.resigned
    if gateway.stopping_since is not None:
        return not resigned
    shortened = pending.unknown_until != keyed.unknown_until
    return shortened or (resigned and not _is_resigning(gateway))


def _undo_assignment(keyed: KeyedControl, now: Seconds) -> None:
    for partition in keyed.partitions.ordered:
        if partition.state != PartitionState.assigning:
            continue
        if partition.held_until > now:
            # The partition is being taken over: its holder may still serve it.
            continue
        partition.set_free(now, partition.handover)


def fill_gaps(partitions: list[Partition]) -> list[Partition]:
    """Add free partitions where a table names no holder."""
    covered: list[Partition] = []
    expected = FIRST_KEY
    for partition in partitions:
        if expected < partition.keys.first:
            gap = KeyRange(expected, Key(partition.keys.first - 1))
            covered.append(Partition(gap))
        covered.append(partition)
        expected = Key(partition.keys.last + 1)
    if expected <= LAST_KEY:
        covered.append(Partition(KeyRange(expected, LAST_KEY)))
    return covered
