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
