"""Keep one owner per key when the store lost its newest tables.

Tables that are lost may have assigned keys to servers that no known table
names.  A controller that stored the newest tables itself goes on, but gives no
key away before each of its holders has confirmed its grant once more: a holder
that another controller had taken over would refuse.  Its tables say which
holders have confirmed, and a successor trusts these.  For all other keys, the
successor waits until no grant of a lost table is in force.

Such grants are renewed for at most the outage tolerance after the return, as a
controller without a table in the present era renews no longer.  The end of the
wait is thus a bound that each gateway can state from the time at which it first
saw the era, or a table of the era that states the time left.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.losttables import find_novelty
from trefoilsaddle.gateway.options import CONNECT_TIMEOUT
from trefoilsaddle.gateway.partitions import (
    MAX_CALL_DELAY,
    Partition,
    PartitionState,
    find_grant_end,
)
from trefoilsaddle.gateway.peermessages import ServiceWait
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import (
    NOT_STATED,
    GatewayAddress,
    OwnershipTable,
    StoredTable,
)


def is_outdated(gateway: Gateway, stored: StoredTable) -> bool:
    """Return whether later tables may be lost with the store's contents."""
    table = stored.table
    return table.incomplete or gateway.is_outdated(table.era)


def may_be_stored_again(gateway: Gateway, stored: StoredTable) -> bool:
    """Return whether its controller may soon store a table that tells more."""
    table = stored.table
    if gateway.is_outdated(table.era):
        return True
    if table.lapsing_left >= 0 or not table.incomplete:
        return False
    return not all(row.confirmed for row in table.assignments)


def begin_wait(
    gateway: Gateway,
    keyed: KeyedControl,
    stored: StoredTable | None,
    now: Seconds,
) -> None:
    """Give no keys away before the grants of lost tables have lapsed."""
    options = gateway.options
    # A lost table may have stated a longer hold than the known one.
    keyed.inherited_hold = options.max_hold
    keyed.predecessors = _list_possible_controllers(gateway, stored)
    keyed.unknown_until = _find_unknown_end(gateway, keyed)
    keyed.table_due = True
    keyed.pending = None
    keyed.lapsing_until = None
    # A last table of the era before is not in force.
    keyed.resigned = False
    for partition in keyed.partitions.ordered:
        _begin_wait(partition, keyed.unknown_until, now)


def bound_renewals(gateway: Gateway, keyed: KeyedControl) -> None:
    """Renew grants no longer than without the store, until a table is stored."""
    control = gateway.control
    keyed.restored = True
    keyed.renewal_end = Seconds(
        control.confirmed_at + gateway.options.outage_tolerance
    )


def record_unknown_end(
    gateway: Gateway,
    table: OwnershipTable,
    now: Seconds,
) -> None:
    """Record when the grants of lost tables end, as a table states it."""
    if table.era != gateway.era or not table.incomplete:
        return
    if table.unknown_left < 0:
        return
    # The time left counts from before the table was stored.
    wait = ServiceWait(table.service, table.unknown_left)
    record_wait(gateway, wait, now)


def record_wait(gateway: Gateway, wait: ServiceWait, now: Seconds) -> None:
    """Record when the grants of lost tables end, at the latest."""
    ends = gateway.unknown_ends
    until = Seconds(now + wait.left)
    ends[wait.service] = min(ends.get(wait.service, until), until)


def list_waits(gateway: Gateway, now: Seconds) -> tuple[ServiceWait, ...]:
    """Return how long this controller still waits for unknown holders."""
    return tuple(
        ServiceWait(service, Seconds(max(keyed.unknown_until - now, 0)))
        for service, keyed in gateway.control.keyed.items()
        if keyed.unknown_until is not None
    )


def find_time_left(until: Seconds | None, now: Seconds) -> Seconds:
    """Return the time left until the end of a wait, as a table states it."""
    return NOT_STATED if until is None else Seconds(max(until - now, 0))


def lacks_confirmations(keyed: KeyedControl, table: OwnershipTable) -> bool:
    """Return whether an incomplete table can now tell more of its rows."""
    if keyed.unknown_until is None or awaits_confirmation(keyed):
        return False
    unconfirmed = {row.keys for row in table.assignments if not row.confirmed}
    return any(
        partition.keys in unconfirmed
        and (partition.confirmed or partition.incarnation is None)
        for partition in keyed.partitions.ordered
    )


def awaits_confirmation(keyed: KeyedControl) -> bool:
    """Return whether holders are being asked, so that a table can wait."""
    return keyed.unknown_until is not None and any(
        partition.granted
        and not partition.confirmed
        and partition.failing_since is None
        for partition in keyed.partitions.ordered
    )


def await_lapse(partition: Partition, until: Seconds) -> None:
    """Give a partition without a known holder to nobody until a given time."""
    partition.inherited = True
    partition.inherited_until = until


def end_wait(gateway: Gateway, keyed: KeyedControl, now: Seconds) -> None:
    """End the wait once every holder is known or no grant can be left."""
    until = keyed.unknown_until
    if until is None or (now < until and not _is_wait_over(gateway, keyed)):
        return
    keyed.unknown_until = None
    keyed.table_due = True
    for partition in keyed.partitions.ordered:
        if now < until and not partition.imported:
            partition.inherited_until = Seconds(0)
        if partition.state == PartitionState.free:
            partition.inherited = False
    if keyed.restored and now < until:
        _require_tokens(keyed, until)


def shorten_waits(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> None:
    """Shorten the waits for grants that nobody renews any more."""
    until = find_latest_end(gateway, keyed, now)
    if keyed.lapsing_until is not None:
        keyed.lapsing_until = min(keyed.lapsing_until, until)
    if keyed.unknown_until is not None and until < keyed.unknown_until:
        keyed.unknown_until = until
        keyed.table_due = True
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
    partition.imported = False
    partition.token_due = False
    partition.asked_before = partition.call_pending
    if partition.handover and partition.last_holder is not None:
        # A suspended controller of lost tables may grant it the released keys;
        # with a newer grant of them it refuses.
        partition.target = partition.last_holder.server
    if partition.granted:
        partition.next_call = now
    # Released keys belong to nobody; any others have to be confirmed.
    if partition.granted or not partition.handover:
        partition.inherited = True
    partition.inherited_until = until


def _find_unknown_end(gateway: Gateway, keyed: KeyedControl) -> Seconds:
    renewed_until = gateway.era_seen_at + gateway.options.outage_tolerance
    until = find_latest_end(gateway, keyed, Seconds(renewed_until))
    return min(gateway.unknown_ends.get(keyed.service, until), until)


def _require_tokens(keyed: KeyedControl, until: Seconds) -> None:
    """Have the holders accept a token above those of all lost tables.

    Until then a controller that was suspended may grant them the keys.
    """
    for partition in keyed.partitions.ordered:
        if partition.granted:
            partition.token_due = True
            partition.inherited = True
            partition.imported = True
            partition.inherited_until = until


def adopt_tokens(
    keyed: KeyedControl,
    table: OwnershipTable,
    fence: int,
    now: Seconds,
) -> None:
    """Grant keys with the tokens of an accepted table where they are due."""
    renewed = {row.keys for row in table.assignments if row.fence == fence}
    for partition in keyed.partitions.ordered:
        due = partition.token_due and partition.granted
        if due and partition.keys in renewed:
            _adopt_token(partition, fence, now)


def _adopt_token(partition: Partition, fence: int, now: Seconds) -> None:
    if partition.call_pending:
        # The answer is for the earlier token, so that it will be ignored.
        call = CONNECT_TIMEOUT + MAX_CALL_DELAY
        partition.extend_hold(partition.hold, Seconds(now + call))
        partition.call_pending = False
        partition.asked_before = False
    partition.token_due = False
    partition.fence = fence
    partition.enter_state(PartitionState.granting, now)


def _are_holders_known(keyed: KeyedControl) -> bool:
    # A controller whose servers all confirm its grants was not replaced: its
    # successor would have granted the same keys with a higher token.
    partitions = keyed.partitions.ordered
    confirmed = any(partition.granted for partition in partitions)
    return confirmed and not any(
        partition.inherited for partition in partitions
    )


def _is_wait_over(gateway: Gateway, keyed: KeyedControl) -> bool:
    if _are_holders_known(keyed):
        return True
    if any(part.incarnation is not None for part in keyed.partitions.ordered):
        return False
    return find_novelty(gateway, keyed.service) is not None


def _list_possible_controllers(
    gateway: Gateway,
    stored: StoredTable | None,
) -> tuple[GatewayAddress, ...]:
    """Return the gateways that may renew grants by lost tables.

    A gateway that knows no others cannot tell, and returns none.
    """
    known = gateway.link.known
    if not known:
        return ()
    named = list(known.values())
    if stored is not None:
        table = stored.table
        named = [table.controller, *table.predecessors, *named]
    by_node = {address.node: address for address in named}
    by_node.pop(gateway.options.node, None)
    return tuple(by_node.values())
