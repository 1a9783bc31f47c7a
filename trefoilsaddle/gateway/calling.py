"""Send the grants and releases that are due, the most urgent first.

A limited number of orders is in flight at a time, so that the time limit of a
call is spent at the server and not in a queue of this process. Orders beyond it
wait; whenever one ends, the next that is still due is sent. All partitions are
looked at only in a review, not at the end of each order.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.control import DueOrder, OrderQueue
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


def send_orders(gateway: Gateway, now: Seconds) -> Effects:
    """Find all orders that are due, and send as many as may be in flight."""
    grants: list[DueOrder] = []
    releases: list[DueOrder] = []
    for keyed in gateway.control.keyed.values():
        for partition in keyed.partitions.ordered:
            if not _is_due(partition, now):
                continue
            deadline = _find_deadline(gateway, partition)
            due = DueOrder(deadline, keyed, partition)
            (grants if partition.granted else releases).append(due)
    gateway.control.grants.waiting = _sort_by_urgency(grants)
    gateway.control.releases.waiting = _sort_by_urgency(releases)
    return send_waiting(gateway, now)


def send_waiting(gateway: Gateway, now: Seconds) -> Effects:
    """Send waiting orders, as many as may be in flight."""
    effects: Effects = []
    control = gateway.control
    if control.grants.waiting and may_renew(gateway, now):
        for due in _take_orders(gateway, control.grants, now):
            effects.extend(grant(gateway, due.keyed, due.partition, now))
    for due in _take_orders(gateway, control.releases, now):
        effects.extend(release(gateway, due.keyed, due.partition))
    return effects


def _take_orders(
    gateway: Gateway, queue: OrderQueue, now: Seconds
) -> list[DueOrder]:
    free = count_free_calls(gateway, queue.in_flight)
    taken: list[DueOrder] = []
    while queue.waiting and len(taken) < free:
        due = queue.waiting.pop()
        if _is_current(gateway, due) and _is_due(due.partition, now):
            taken.append(due)
    return taken


def _sort_by_urgency(orders: list[DueOrder]) -> list[DueOrder]:
    return sorted(
        orders,
        key=lambda order: (order.deadline, order.partition.keys),
        reverse=True,
    )


def _is_current(gateway: Gateway, due: DueOrder) -> bool:
    """Return whether the partition still exists in the same form."""
    keyed = due.keyed
    if gateway.control.keyed.get(keyed.service) is not keyed:
        return False
    partition = due.partition
    return keyed.partitions.find(partition.keys, partition.fence) is partition


def _is_due(partition: Partition, now: Seconds) -> bool:
    if partition.call_pending or now < partition.next_call:
        return False
    if partition.granted:
        return True
    return partition.state in _ENDING and not is_release_late(partition, now)


def _find_deadline(gateway: Gateway, partition: Partition) -> Seconds:
    if not partition.serving:
        # Callers are waiting for keys that no server serves.
        return partition.next_call
    return Seconds(partition.next_call + find_renewal_slack(gateway))
