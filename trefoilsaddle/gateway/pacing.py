"""Pace the grants of a controller."""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.state import Gateway


def size_hold(gateway: Gateway, keyed: KeyedControl) -> Seconds:
    """Return the hold that grants of a service should have."""
    return gateway.options.hold


def find_hold_in_force(gateway: Gateway, keyed: KeyedControl) -> Seconds:
    """Return the hold that the service's stored table allows."""
    return Seconds(min(size_hold(gateway, keyed), keyed.hold))


def bound_hold(gateway: Gateway, keyed: KeyedControl) -> Seconds:
    """Return the longest hold that the service's next table has to state.

    It covers what this controller has granted and will grant, and what an
    earlier one may have granted to a server that has not answered yet.
    """
    sized = min(size_hold(gateway, keyed), gateway.options.longest_hold)
    longest = max(sized, keyed.granted_hold)
    if any(piece.inherited for piece in keyed.pieces.ordered):
        longest = max(longest, keyed.inherited_hold)
    return Seconds(longest)


# Time that an order takes up on the weakest machines (0.43 cores, of which a
# quarter is left for orders).  Measured at full speed: 0.4 ms for the call and
# 0.3 ms for the review of 97 ranges.
_ORDER_TIME = Seconds(0.007)
# Part of a call's time that may pass in the queue of this process; the rest is
# for the way between regions and for a busy server.
_QUEUE_PART = 0.35


def find_room(gateway: Gateway, calling: int) -> int:
    """Return how many more orders of a kind may be sent now."""
    most = gateway.options.grant_timeout * _QUEUE_PART / _ORDER_TIME
    return max(int(most) - calling, 0)


def find_renewal_slack(gateway: Gateway) -> Seconds:
    """Return how late a renewal may be sent without risk to the grant."""
    # Half, so that a call which fails can still be made again.
    options = gateway.options
    return Seconds((options.hold - options.renewal_interval) / 2)
