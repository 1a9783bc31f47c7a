"""Follow the store's choice of the controller.

Every gateway is a member of one group of the store, and the member that the
store gives the first partition to is the controller.  The choice only says
who may try: what the controller decides counts once the store has accepted
its table, and a table is accepted only behind the newest one.

A controller that cannot reach the store goes on renewing the grants that it
made, for at most `outage_tolerance`; it decides nothing new.  Its successor
allows for that time at servers that do not answer.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import (
    Effects,
    JoinGroup,
    Part,
    ReadTopic,
    SetTimer,
)
from trefoilsaddle.gateway.events import (
    Event,
    JoinEnded,
    LinkLost,
    Started,
    TimerExpired,
    TimerKind,
    Topic,
)
from trefoilsaddle.gateway.journal import note
from trefoilsaddle.gateway.peers import is_linked
from trefoilsaddle.gateway.state import Gateway


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Keep this gateway a member, and learn whether it is chosen."""
    match event:
        case Started() | TimerExpired(kind=TimerKind.join_group):
            return _join(gateway, now)
        case LinkLost():
            return [SetTimer(TimerKind.join_group, Seconds(0))]
        case JoinEnded():
            return _take_answer(gateway, now, event)
    return []


def step_down(gateway: Gateway, reason: str) -> Effects:
    """Stop deciding and renewing."""
    control = gateway.control
    if not control.leading and not control.chosen:
        return []
    control.leading = False
    control.chosen = False
    control.end = None
    control.keyed.clear()
    return [note(Part.ownership, 'controller part ended', reason=reason)]


def may_renew(gateway: Gateway, now: Seconds) -> bool:
    """Tell whether grants may still be renewed."""
    control = gateway.control
    age = now - control.confirmed_at
    return control.leading and age <= gateway.options.outage_tolerance


def _join(gateway: Gateway, now: Seconds) -> Effects:
    control = gateway.control
    options = gateway.options
    if gateway.stopping_since is not None:
        return []
    timer = SetTimer(TimerKind.join_group, options.member_interval)
    if control.joining:
        return [timer]
    control.joining = True
    lease = options.member_lease
    if control.chosen:
        lease = options.controller_lease
    return [JoinGroup(control.generation, lease)]


def _take_answer(gateway: Gateway, now: Seconds, event: JoinEnded) -> Effects:
    control = gateway.control
    control.joining = False
    effects: Effects = [
        SetTimer(TimerKind.join_group, _find_pause(gateway, now))
    ]
    if not event.answered:
        if control.leading and not may_renew(gateway, now):
            effects.extend(step_down(gateway, 'store away for too long'))
        return effects
    control.generation = event.generation
    if gateway.stopping_since is not None:
        return effects
    if not event.leads:
        effects.extend(step_down(gateway, 'the store chose another member'))
        return effects
    control.confirmed_at = event.asked_at
    if not control.chosen:
        control.chosen = True
        control.read_after = Seconds(now + gateway.options.retry_interval)
        effects.append(read_tables())
        line = note(
            Part.ownership,
            'chosen as controller',
            generation=event.generation,
        )
        effects.append(line)
    return [*effects, SetTimer(TimerKind.join_group, _find_pause(gateway, now))]


def read_tables() -> ReadTopic:
    """Read the newest table of each service."""
    return ReadTopic(Topic.ownership, None, Seconds(0))


def _find_pause(gateway: Gateway, now: Seconds) -> Seconds:
    options = gateway.options
    if gateway.control.chosen:
        return options.controller_interval
    if is_linked(gateway, now):
        return options.member_interval
    return options.urgent_interval
