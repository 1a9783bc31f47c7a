"""Keep one owner per key when the store lost its newest tables.

Tables that are lost may have assigned keys to servers that no known table
names.  A controller that stored the newest tables itself goes on, but gives no
key away before each of its holders has confirmed its grant once more: a holder
that another controller had taken over would refuse.  A successor knows no
holder: it waits until all grants have lapsed that lost tables allowed.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.options import CONNECT_TIMEOUT
from trefoilsaddle.gateway.partitions import (
    MAX_CALL_DELAY,
    Partition,
    PartitionState,
    find_grant_end,
)
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import GatewayAddress, StoredTable


def is_outdated(gateway: Gateway, stored: StoredTable) -> bool:
    """Return whether later tables may be lost with the store's contents."""
    table = stored.table
    return table.incomplete or gateway.is_outdated(table.era)


def begin_wait(
    gateway: Gateway,
    keyed: KeyedControl,
    stored: StoredTable,
    now: Seconds,
) -> None:
    """Give no keys away before the grants of lost tables have lapsed."""
    options = gateway.options
    # A lost table may have stated a longer hold than the known one.
    keyed.inherited_hold = options.max_hold
    keyed.predecessors = _list_possible_controllers(gateway, stored)
    renewed_until = Seconds(now + options.outage_tolerance)
    keyed.unknown_until = find_latest_end(gateway, keyed, renewed_until)
    keyed.table_due = True
    keyed.pending = None
    for partition in keyed.partitions.ordered:
        _begin_wait(partition, keyed.unknown_until, now)


def end_wait(keyed: KeyedControl, now: Seconds) -> None:
    """End the wait once every holder is known or no grant can be left."""
    until = keyed.unknown_until
    if until is None or (now < until and not _are_holders_known(keyed)):
        return
    keyed.unknown_until = None
    keyed.table_due = True
    for partition in keyed.partitions.ordered:
        partition.inherited_until = Seconds(0)
        if partition.state == PartitionState.free:
            partition.inherited = False


def shorten_waits(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> None:
    """Shorten the waits for grants that nobody renews any more."""
    until = find_latest_end(gateway, keyed, now)
    if keyed.unknown_until is not None:
        keyed.unknown_until = min(keyed.unknown_until, until)
    for partition in keyed.partitions.ordered:
        partition.shorten_inherited(until)


def find_latest_end(
    gateway: Gateway,
    keyed: KeyedControl,
    ended: Seconds,
) -> Seconds:
    """Return the latest end of grants that were renewed until a given time."""
    # A call that was sent as its controller stopped may still be in flight.
    call = gateway.options.grant_timeout + CONNECT_TIMEOUT
    arrival = Seconds(ended + call + MAX_CALL_DELAY)
    return find_grant_end(keyed.inherited_hold, arrival)


def _begin_wait(partition: Partition, until: Seconds, now: Seconds) -> None:
    if partition.state == PartitionState.assigning:
        incarnation = partition.incarnation
        partition.set_free(now, partition.handover)
        partition.target = None if incarnation is None else incarnation.server
    if partition.granted:
        partition.next_call = now
    # Released keys belong to nobody; any others have to be confirmed.
    if partition.granted or not partition.handover:
        partition.inherited = True
    partition.inherited_until = until


def _are_holders_known(keyed: KeyedControl) -> bool:
    # A controller whose servers all confirm its grants was not replaced: its
    # successor would have granted the same keys with a higher token.
    partitions = keyed.partitions.ordered
    confirmed = any(partition.granted for partition in partitions)
    return confirmed and not any(
        partition.inherited for partition in partitions
    )


def _list_possible_controllers(
    gateway: Gateway,
    stored: StoredTable,
) -> tuple[GatewayAddress, ...]:
    """Return the gateways that may renew grants by lost tables.

    A gateway that knows no others cannot tell, and returns none.
    """
    known = gateway.link.known
    if not known:
        return ()
    table = stored.table
    named = (table.controller, *table.predecessors, *known.values())
    by_node = {address.node: address for address in named}
    by_node.pop(gateway.options.node, None)
    return tuple(by_node.values())
