"""Set the pace of grants, reports and updates, which all load the controller.

A grant is renewed before it lapses, so the controller's rate of calls is the
number of partitions divided by the renewal interval. Up to a certain number of
partitions the interval and the hold are those of the options; above it both
grow with the number. In the same way the interval of reports and updates grows
with the number of gateways.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.balance import MoveBounds
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.state import Gateway

# Fraction of a call's time limit that may be spent in the queue of this
# process; the rest is for the way between regions and for a busy server.
_QUEUE_FRACTION = 0.35
# Fraction of the capacity for orders that renewals use; the rest is for moves
# and for repeated calls.
_RENEWAL_FRACTION = 0.5
# Longest renewal interval; no partitions are added above it.
_MAX_RENEWAL_INTERVAL = Seconds(2.5)
# Partitions that are allowed for each server in any case, so that a hot one can
# still be split.
_RANGES_PER_SERVER = 1.5
# Partitions above which no more are added for each server, however fast the
# controller is: its successor has to grant all of them again at once, while
# servers may be far or slow. A small fleet may have as many in all as its
# servers may hold.
_MAX_RANGES_PER_SERVER = 6
_FREE_RANGES = 240
# Each move takes a release and a grant.
_ORDERS_PER_MOVE = 2
# Fractions of the servers that one round of moves may affect, and that may be
# changing partitions when more moves start. The minima are the values for 12
# servers.
_MOVING_FRACTION = 1 / 3
_CHANGING_FRACTION = 1 / 2
_MIN_MOVES = 4
_MIN_CHANGING = 6
# Reports per second of all gateways together; each is answered by an update.
_REPORT_RATE = 450
# Longest interval between reports, and between updates: the controller's sums
# leave out reports that are older than twice as much.
_MAX_REPORT_INTERVAL = Seconds(0.5)
# Changes of owners and servers per second that are sent to all gateways
# together, and the shortest time for which changes are collected.
_CHANGE_RATE = 2000
_MIN_BATCHING_DELAY = Seconds(0.04)
# Margin for a hold that is rounded up in transit, below the longest one that
# servers accept.
_HOLD_MARGIN = Seconds(0.5)


def find_report_interval(gateway: Gateway) -> Seconds:
    """Return the interval of a gateway's reports and of the updates."""
    paced = max(
        gateway.options.report_interval,
        gateway.count_gateways() / _REPORT_RATE,
    )
    return Seconds(min(paced, _MAX_REPORT_INTERVAL))


def find_batching_delay(gateway: Gateway) -> Seconds:
    """Return the time within which changes are sent in one update."""
    paced = gateway.count_gateways() / _CHANGE_RATE
    return Seconds(max(_MIN_BATCHING_DELAY, paced))


def size_hold(gateway: Gateway, keyed: KeyedControl) -> Seconds:
    """Return the hold that grants of a service should have."""
    options = gateway.options
    interval = _size_interval(gateway)
    usual = options.renewal_interval * _find_renewal_rate(gateway)
    excess = max(_count_ranges(gateway) - usual, 0)
    # The successor of a lost controller has to grant each partition once more
    # before the first of them lapses.
    takeover = excess * options.order_time
    sized = options.hold + interval - options.renewal_interval + takeover
    most = max(options.max_hold - _HOLD_MARGIN, options.hold)
    return Seconds(min(sized, most))


def find_renewal_interval(gateway: Gateway, hold: Seconds) -> Seconds:
    """Return the interval at which a grant with a given hold is renewed."""
    options = gateway.options
    # Time reserved to replace a lost controller or to repeat failed calls.
    lead = options.hold - options.renewal_interval
    part = options.renewal_interval / options.hold
    latest = max(hold - lead, hold * part)
    return Seconds(min(_size_interval(gateway), latest))


def _size_interval(gateway: Gateway) -> Seconds:
    needed = _count_ranges(gateway) / _find_renewal_rate(gateway)
    return Seconds(max(gateway.options.renewal_interval, needed))


def _find_renewal_rate(gateway: Gateway) -> float:
    """Return how many grants may be renewed per second."""
    return _RENEWAL_FRACTION / gateway.options.order_time


def _count_ranges(gateway: Gateway) -> int:
    return sum(
        len(keyed.partitions.ordered)
        for keyed in gateway.control.keyed.values()
    )


def find_hold_in_force(gateway: Gateway, keyed: KeyedControl) -> Seconds:
    """Return the hold of grants under the service's stored table."""
    return Seconds(min(size_hold(gateway, keyed), keyed.hold))


def bound_hold(gateway: Gateway, keyed: KeyedControl) -> Seconds:
    """Return the longest hold that the service's next table has to state.

    It covers the grants that this controller has made and will make, and those
    that an earlier one may have made to a server that has not answered yet.
    """
    sized = min(size_hold(gateway, keyed), gateway.options.max_hold)
    longest = max(sized, keyed.granted_hold)
    if any(partition.inherited for partition in keyed.partitions.ordered):
        longest = max(longest, keyed.inherited_hold)
    return Seconds(longest)


def count_free_calls(gateway: Gateway, calling: int) -> int:
    """Return how many more orders of one kind may be sent now."""
    options = gateway.options
    most = options.grant_timeout * _QUEUE_FRACTION / options.order_time
    return max(int(most) - calling, 0)


def find_renewal_slack(gateway: Gateway) -> Seconds:
    """Return how long a renewal may be delayed without risk to the grant."""
    # Half of the reserve, so that a failed call can still be repeated.
    options = gateway.options
    return Seconds((options.hold - options.renewal_interval) / 2)


def bound_moves(gateway: Gateway, servers: int) -> MoveBounds:
    """Return the limits of one round of moves, from the capacity for orders."""
    borne = _MAX_RENEWAL_INTERVAL * _find_renewal_rate(gateway)
    most = max(_FREE_RANGES, servers * _MAX_RANGES_PER_SERVER)
    ranges = max(min(borne, most), servers * _RANGES_PER_SERVER)
    return MoveBounds(
        moves=_scale_by_servers(gateway, servers, _MOVING_FRACTION, _MIN_MOVES),
        cuts=int(ranges) - _count_ranges(gateway),
    )


def count_changing(gateway: Gateway, servers: int) -> int:
    """Return how many partitions may be changing hands when new moves start."""
    return _scale_by_servers(
        gateway, servers, _CHANGING_FRACTION, _MIN_CHANGING
    )


def _scale_by_servers(
    gateway: Gateway, servers: int, part: float, least: int
) -> int:
    options = gateway.options
    time = options.balance_interval * (1 - _RENEWAL_FRACTION)
    affordable = time / options.order_time / _ORDERS_PER_MOVE
    return max(int(min(servers * part, affordable)), least)
