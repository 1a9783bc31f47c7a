"""Send the grants and releases that are due, the most urgent first.

A limited number of orders is in flight at a time, so that the time limit of a
call is spent at the server and not in a queue of this process. Whenever an
order ends, the next one is chosen from the current state, so that no outdated
order is queued.
"""

from collections.abc import Iterator
from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import Effects
from trefoilsaddle.gateway.election import may_renew
from trefoilsaddle.gateway.granting import grant, is_release_late, release
from trefoilsaddle.gateway.pacing import (
    count_free_calls,
    find_renewal_slack,
)
from trefoilsaddle.gateway.partitions import Partition, PartitionState
from trefoilsaddle.gateway.state import Gateway

_ENDING = frozenset((PartitionState.releasing, PartitionState.lapsing))


@dataclass(frozen=True, slots=True)
class _Due:
    """Hold an order that is due, and the time up to which it may wait."""

    deadline: Seconds
    keyed: KeyedControl
    partition: Partition


def send_orders(gateway: Gateway, now: Seconds) -> Effects:
    """Send as many grants and releases as may be in flight."""
    effects: Effects = []
    partitions = list(_list_partitions(gateway))
    if may_renew(gateway, now):
        for due in _choose_orders(gateway, partitions, now, ending=False):
            effects.extend(grant(gateway, due.keyed, due.partition, now))
    for due in _choose_orders(gateway, partitions, now, ending=True):
        effects.extend(release(gateway, due.keyed, due.partition))
    return effects


def _list_partitions(
    gateway: Gateway,
) -> Iterator[tuple[KeyedControl, Partition]]:
    for keyed in gateway.control.keyed.values():
        for partition in keyed.partitions.ordered:
            yield keyed, partition


def _choose_orders(
    gateway: Gateway,
    partitions: list[tuple[KeyedControl, Partition]],
    now: Seconds,
    *,
    ending: bool,
) -> list[_Due]:
    """Return the most urgent orders of one kind that may be sent now."""
    # A release is answered once the work on its keys has ended: grants must not
    # wait for that, so that releases are counted separately.
    kind = [
        (keyed, partition)
        for keyed, partition in partitions
        if _may_call(partition, ending=ending)
    ]
    calling = sum(partition.call_pending for _, partition in kind)
    due = [
        _Due(_find_deadline(gateway, keyed, partition), keyed, partition)
        for keyed, partition in kind
        if _is_due(partition, now)
    ]
    due.sort(key=lambda order: (order.deadline, order.partition.keys))
    return due[: count_free_calls(gateway, calling)]


def _may_call(partition: Partition, *, ending: bool) -> bool:
    return partition.state in _ENDING if ending else partition.granted


def _is_due(partition: Partition, now: Seconds) -> bool:
    if partition.call_pending or now < partition.next_call:
        return False
    return not is_release_late(partition, now)


def _find_deadline(
    gateway: Gateway,
    keyed: KeyedControl,
    partition: Partition,
) -> Seconds:
    if not partition.serving:
        # Callers are waiting for keys that no server serves.
        return partition.next_call
    return Seconds(partition.next_call + find_renewal_slack(gateway))
