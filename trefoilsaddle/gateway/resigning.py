"""Resign as the controller when the process stops.

The last table says that its controller renews no more grants, so none is sent
once that table is on its way.  Only this gateway may know the holders, when the
store has just come back from a copy: it asks them for confirmation, stores the
table again, and only then ends its part.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.assigning import append_table
from trefoilsaddle.gateway.calling import send_orders
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.effects import Effects, LeaveGroup
from trefoilsaddle.gateway.election import read_tables, step_down
from trefoilsaddle.gateway.granting import update_partition
from trefoilsaddle.gateway.restoring import awaits_confirmation, end_wait
from trefoilsaddle.gateway.state import Gateway

# Longest time to store the last table, before the process may exit.
_MAX_RESIGNING_TIME = Seconds(3)


def begin_resigning(gateway: Gateway, now: Seconds) -> Effects:
    """Store that this controller renews no more grants."""
    control = gateway.control
    if not control.leading:
        return [*step_down(gateway, 'the process stops'), LeaveGroup()]
    control.elected = False
    for keyed in control.keyed.values():
        keyed.table_due = True
    return [*continue_resigning(gateway, now), LeaveGroup()]


def continue_resigning(gateway: Gateway, now: Seconds) -> Effects:
    """Store the last tables, and step down once it is done."""
    control = gateway.control
    since = gateway.stopping_since
    if since is not None and now - since > _MAX_RESIGNING_TIME:
        return step_down(gateway, 'the process stops')
    effects: Effects = []
    if control.end is None and now >= control.read_after:
        control.read_after = Seconds(now + gateway.options.retry_interval)
        effects.append(read_tables())
    for keyed in control.keyed.values():
        effects.extend(_store_last(gateway, keyed, now))
    effects.extend(send_orders(gateway, now))
    if not any(service.table_due for service in control.keyed.values()):
        effects.extend(step_down(gateway, 'the process stops'))
    return effects


def _store_last(
    gateway: Gateway,
    keyed: KeyedControl,
    now: Seconds,
) -> Effects:
    effects: Effects = []
    if not keyed.resigned:
        for partition in list(keyed.partitions.ordered):
            effects.extend(update_partition(gateway, keyed, partition, now))
        end_wait(gateway, keyed, now)
    due = keyed.table_due and keyed.pending is None
    if not due or now < keyed.append_after or awaits_confirmation(keyed):
        return effects
    return [*effects, *append_table(gateway, keyed, now)]
