"""Log the state of the ownership while keys are unserved."""

from collections import Counter

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import Component, Effects, LogValue
from trefoilsaddle.gateway.keys import ALL_KEYS, KeyRange
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.partitions import PartitionState
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import OwnershipTable

# Minimum interval between two lines about a service: operators read no faster,
# and all services of a long outage add a few lines a second.
_LINE_INTERVAL = Seconds(1)
_DIGITS = 3


def log_unserved_keys(gateway: Gateway, now: Seconds) -> Effects:
    """Log each service with unserved keys, at most once a second.

    Called when the review timer has expired.
    """
    watch = gateway.control.monitor
    interval = gateway.options.review_interval
    watch.record_review(now, interval)
    if not gateway.control.leading or now < watch.next_line:
        return []
    effects: Effects = []
    for keyed in gateway.control.keyed.values():
        if count_unserved(keyed):
            described = describe_control(gateway, keyed, now)
            effects.append(
                log_event(Component.ownership, 'keys unserved', **described)
            )
    if effects:
        watch.next_line = Seconds(now + _LINE_INTERVAL)
        watch.max_delay = Seconds(0)
    return effects


def describe_control(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> dict[str, LogValue]:
    """Return the partitions by state and the controller's own state."""
    control = gateway.control
    partitions = keyed.partitions.ordered
    states = Counter(partition.state for partition in partitions)
    suspected = control.suspicions.count(now)
    return {
        'service': keyed.service,
        'unserved_keys': count_unserved(keyed),
        'ranges': len(partitions),
        **{state.value: states[state] for state in PartitionState},
        'orders': sum(partition.call_pending for partition in partitions),
        'suspected': suspected,
        'servers': len(list(gateway.registry.list_service(keyed.service))),
        'offset': keyed.position.offset,
        'era': keyed.position.era,
        'append_pending': keyed.pending is not None,
        'generation': control.generation,
        'leading_for': round(now - control.leading_since, _DIGITS),
        'confirmed_age': round(now - control.confirmed_at, _DIGITS),
        'review_late': round(control.monitor.max_delay, _DIGITS),
    }


def count_unserved(keyed: KeyedControl) -> int:
    """Return the number of keys that no server serves."""
    served = sum(
        _count_keys(partition.keys)
        for partition in keyed.partitions.ordered
        if partition.serving
    )
    return _count_keys(ALL_KEYS) - served


def describe_spread(table: OwnershipTable) -> dict[str, LogValue]:
    """Return the number of owners and the largest fraction of keys of one."""
    widths: Counter[ServerIncarnation] = Counter()
    for row in table.assignments:
        widths[row.life] += _count_keys(row.keys)
    widest = max(widths.values(), default=0) / _count_keys(ALL_KEYS)
    return {'owners': len(widths), 'widest_share': round(widest, _DIGITS)}


def _count_keys(keys: KeyRange) -> int:
    return keys.last - keys.first + 1
