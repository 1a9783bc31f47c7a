"""Decide who is to own which keys, and have the store accept it.

One table is on its way at a time.  It names every server that may hold keys,
with the fencing token of its grant; a range that it gives to a server gets
the position of the table itself as its token, which is above all earlier
ones because the store accepts a table at one position only.
"""

from trefoilsaddle.core.units import Offset, Seconds, ServiceName
from trefoilsaddle.gateway.balance import (
    Capacity,
    KeyLoad,
    find_rate,
    prefer_fast,
)
from trefoilsaddle.gateway.control import KeyedControl, PendingAppend
from trefoilsaddle.gateway.division import Division
from trefoilsaddle.gateway.effects import AppendTable, Effects, Part
from trefoilsaddle.gateway.election import step_down
from trefoilsaddle.gateway.events import AppendEnded, AppendVerdict
from trefoilsaddle.gateway.journal import note
from trefoilsaddle.gateway.keys import (
    ALL_KEYS,
    FIRST_KEY,
    LAST_KEY,
    Key,
    KeyRange,
    divide_keys,
)
from trefoilsaddle.gateway.loads import ServerLoads
from trefoilsaddle.gateway.pacing import bound_hold
from trefoilsaddle.gateway.partitions import (
    Partition,
    PartitionState,
    join_free,
)
from trefoilsaddle.gateway.peers import dial
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import (
    GatewayAddress,
    OwnershipTable,
    StoredTable,
)
from trefoilsaddle.gateway.watching import describe_spread

# A free range that is on the way to no chosen server waits so long for
# others, so that one table serves for all of them.
_GATHER = Seconds(0.02)
# Servers of a system that starts register within about 3 s of each other: a
# new service waits until none has come for two reads of their entries.
_CALM_TIME = Seconds(1.3)
_LONGEST_GATHERING = Seconds(4)
_RETRY_PAUSE = Seconds(0.3)
# Longest time that keys wait for servers that are suspected: the entries of
# those that are lost lapse after three heartbeats of up to 1.5 s.
_PATIENCE = Seconds(5)


def assign_free(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> Effects:
    """Give free ranges to servers by the next table."""
    if keyed.pending is not None or now < keyed.append_after:
        return []
    if _choose_holders(gateway, keyed, now) or _is_taking_over(keyed):
        return append_table(gateway, keyed)
    return []


def append_table(gateway: Gateway, keyed: KeyedControl) -> Effects:
    """Send the next table to the store."""
    end = gateway.control.end
    if end is None or keyed.pending is not None:
        return []
    keyed.sequence += 1
    table = _build_table(gateway, keyed, end)
    keyed.pending = PendingAppend(table, end)
    return [AppendTable(end, table)]


def take_append(
    gateway: Gateway,
    now: Seconds,
    event: AppendEnded,
) -> Effects:
    """Act on what the store made of a table."""
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
            keyed.append_after = Seconds(now + _RETRY_PAUSE)
            _undo_choice(keyed, now)
            return [note(Part.ownership, 'table refused by the store')]
    # The same table at the same position: it is stored once at most.
    return [AppendTable(pending.expected, pending.table)]


def list_capacities(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> list[Capacity]:
    """Return the servers that may take keys, with their rates."""
    loads = find_loads(gateway, keyed.service)
    mean = loads.mean_time()
    capacities = []
    goal = _find_goal(gateway, keyed.service)
    demand = sum(keyed.rates.read(now).values())
    for server in gateway.registry.list_service(keyed.service):
        if not _may_take(gateway, server, now):
            continue
        time = loads.service_time(server.life, mean)
        doubt = 1 - loads.failure_rate(server.life)
        rate = find_rate(server, time) * max(doubt, _LEAST_TRUST)
        preference = _find_preference(goal, time)
        capacities.append(Capacity(server, rate, preference))
    return prefer_fast(capacities, demand)


def _may_take(gateway: Gateway, server: Server, now: Seconds) -> bool:
    suspicions = gateway.control.suspicions
    life = server.life
    if suspicions.suspects(life, now) or suspicions.blames(life, now):
        return False
    return _is_staying(gateway, server)


def _is_staying(gateway: Gateway, server: Server) -> bool:
    return not server.draining and (
        server.life.server not in gateway.registry.doubted
    )


def _find_goal(gateway: Gateway, service: ServiceName) -> Seconds | None:
    configuration = gateway.configuration
    return None if configuration is None else configuration.find_goal(service)


def _find_preference(goal: Seconds | None, time: Seconds) -> float:
    # Times vary widely around their mean: a server whose mean takes up more
    # than a third of the goal misses it often, however little it has to do.
    if goal is None:
        return 1
    preference = goal * _COMFORTABLE_PART / max(time, _SHORTEST_SERVICE)
    return max(min(preference, 1), _LEAST_PREFERENCE)


# Part of a goal that the mean time of a request may take up.
_COMFORTABLE_PART = 0.33
# Part of its rate that a slow server is counted with at least.
_LEAST_PREFERENCE = 0.3
_SHORTEST_SERVICE = Seconds(0.001)
# Part of its rate that a server keeps however often it fails.
_LEAST_TRUST = 0.1


def find_loads(gateway: Gateway, service: ServiceName) -> ServerLoads:
    """Return the measures of a service, new ones at need."""
    return gateway.control.loads.setdefault(
        service,
        ServerLoads(gateway.options.server_defaults.service_time),
    )


def _choose_holders(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> bool:
    if not _list_free(keyed):
        return False
    capacities = list_capacities(gateway, keyed, now)
    if not capacities:
        return False
    if not _is_new(keyed):
        return _give_free(gateway, keyed, capacities, now)
    if not _are_gathered(gateway, capacities, now):
        return False
    _divide_evenly(keyed, capacities, now)
    return True


def _is_taking_over(keyed: KeyedControl) -> bool:
    # Ranges whose table the store has refused keep the holder they had.
    return any(
        partition.state == PartitionState.assigning
        for partition in keyed.partitions.ordered
    )


def _give_free(
    gateway: Gateway,
    keyed: KeyedControl,
    capacities: list[Capacity],
    now: Seconds,
) -> bool:
    keyed.partitions.ordered = join_free(keyed.partitions.ordered)
    free = _list_free(keyed)
    gathered = [partition for partition in free if _is_gathered(partition, now)]
    if not gathered:
        return False
    division = _begin_division(gateway, keyed, capacities, now)
    given = [
        _give(gateway, keyed, division, partition, now) for partition in free
    ]
    return any(given)


def _begin_division(
    gateway: Gateway,
    keyed: KeyedControl,
    capacities: list[Capacity],
    now: Seconds,
) -> Division:
    servers = sum(
        _is_staying(gateway, server)
        for server in gateway.registry.list_service(keyed.service)
    )
    load = KeyLoad(keyed.rates.read(now))
    freed = min(partition.since for partition in _list_free(keyed))
    patient = now - freed < _PATIENCE
    division = Division(capacities, load, servers, patient)
    division.count(keyed.partitions.ordered)
    return division


def _give(
    gateway: Gateway,
    keyed: KeyedControl,
    division: Division,
    partition: Partition,
    now: Seconds,
) -> bool:
    """Give a free range to servers; tell whether one took any of it."""
    given = False
    target = _find_target(gateway, partition)
    while True:
        server = target or division.choose(keyed.partitions.ordered)
        if server is None:
            return given
        keys = partition.keys
        # What the last holder left is for all keys of the range.
        if target is None and not partition.handover:
            keys = division.cut(keys, server)
        part = keyed.partitions.cut_out(partition, keys)
        _assign(part, server, now)
        division.add(server.life, keys)
        given = True
        if part is partition:
            return given
        partition = keyed.partitions.find_behind(part)


def _is_gathered(partition: Partition, now: Seconds) -> bool:
    # The ranges of a lost server lapse together, and have waited enough.
    lapsed = not partition.handover
    return lapsed or now - partition.since >= _GATHER


def _is_new(keyed: KeyedControl) -> bool:
    return all(
        partition.state == PartitionState.free and partition.keys == ALL_KEYS
        for partition in keyed.partitions.ordered
    )


def _are_gathered(
    gateway: Gateway,
    capacities: list[Capacity],
    now: Seconds,
) -> bool:
    """Tell whether the servers of a new service have registered.

    What the first ones get they keep until there is load to share.
    """
    seen = [
        gateway.registry.seen_at.get(entry.server.life, now)
        for entry in capacities
    ]
    calm = now - max(seen) >= _CALM_TIME
    return calm or now - min(seen) >= _LONGEST_GATHERING


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


def _list_free(keyed: KeyedControl) -> list[Partition]:
    return [
        partition
        for partition in keyed.partitions.ordered
        if partition.state == PartitionState.free
    ]


def _find_target(gateway: Gateway, partition: Partition) -> Server | None:
    if partition.target is None:
        return None
    server = gateway.find_server(partition.target)
    if server is None or server.draining:
        return None
    return server


def _assign(partition: Partition, server: Server, now: Seconds) -> None:
    partition.enter(PartitionState.assigning, now)
    partition.life = server.life
    partition.target = None


def _build_table(
    gateway: Gateway,
    keyed: KeyedControl,
    end: Offset,
) -> OwnershipTable:
    fence = find_fence(end)
    for partition in keyed.partitions.ordered:
        if partition.state == PartitionState.assigning:
            partition.fence = fence
    return OwnershipTable(
        service=keyed.service,
        controller=gateway.own_address(),
        sequence=keyed.sequence,
        resigned=gateway.stopping_since is not None,
        assignments=keyed.partitions.list_assignments(fence),
        hold=bound_hold(gateway, keyed),
        predecessors=_list_predecessors(keyed),
    )


def _list_predecessors(keyed: KeyedControl) -> tuple[GatewayAddress, ...]:
    # Servers that accepted a grant refuse all controllers before it.
    if any(partition.inherited for partition in keyed.partitions.ordered):
        return keyed.predecessors
    return ()


def find_fence(position: Offset) -> int:
    """Return the fencing token of the grants of a table."""
    # Positions begin at zero, tokens at one.
    return position + 1


def _accept_table(
    gateway: Gateway,
    keyed: KeyedControl,
    pending: PendingAppend,
    now: Seconds,
) -> Effects:
    keyed.pending = None
    keyed.offset = pending.expected
    keyed.hold = pending.table.hold
    gateway.control.end = Offset(pending.expected + 1)
    gateway.tables[keyed.service] = StoredTable(
        pending.expected,
        pending.table,
    )
    fence = find_fence(pending.expected)
    for partition in keyed.partitions.ordered:
        if (
            partition.state == PartitionState.assigning
            and partition.fence == fence
        ):
            partition.enter(PartitionState.granting, now)
    keyed.partitions.adopt_joined(pending.table.assignments, now)
    keyed.partitions.change += 1
    line = note(
        Part.ownership,
        'table stored',
        service=keyed.service,
        offset=pending.expected,
        ranges=len(pending.table.assignments),
        **describe_spread(pending.table),
    )
    return [line, *dial(gateway, pending.table.controller)]


def _undo_choice(keyed: KeyedControl, now: Seconds) -> None:
    for partition in keyed.partitions.ordered:
        if partition.state != PartitionState.assigning:
            continue
        if partition.held_until > now:
            # A range that is taken over: its holder may still serve it.
            continue
        partition.set_free(now, partition.handover)


def fill_holes(partitions: list[Partition]) -> list[Partition]:
    """Add free ranges where a table names no holder."""
    filled: list[Partition] = []
    expected = FIRST_KEY
    for partition in partitions:
        if expected < partition.keys.first:
            hole = KeyRange(expected, Key(partition.keys.first - 1))
            filled.append(Partition(hole))
        filled.append(partition)
        expected = Key(partition.keys.last + 1)
    if expected <= LAST_KEY:
        filled.append(Partition(KeyRange(expected, LAST_KEY)))
    return filled
