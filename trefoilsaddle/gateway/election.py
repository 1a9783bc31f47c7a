"""Follow the store's choice of the controller.

The controller is one of the members of a group of the store, the one that the
store gives the deciding partition to.  The choice only says who may try: what
the controller decides counts once the store has accepted its table, and a
table is accepted only behind the newest one.

Gateways join the group in the order of their speed: the fastest at once, each
other one when it has heard of no controller for as long as a faster one takes
to be chosen and heard of.  Once there is a controller, only those that it
names as its standbys stay members.

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

# A gateway of this speed waits for no faster one; in cores.
_AMPLE_SPEED = 2
# Longest wait for a faster gateway: the lease of a lost controller (1 s), an
# urgent interval, and 0.75 s to read, append and be read of, with round trips
# of 40 ms; with the silence of a lost link (1.4 s) below the 4 s within which
# keys are owned again (the users' aim and a lease).
_LONGEST_PATIENCE = Seconds(2)
# Gateways of one speed join one after another: one of them is heard of by
# most others within a part of this time.
_PATIENCE_SPREAD = Seconds(0.3)


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Keep this gateway a member, and learn whether it is chosen."""
    match event:
        case Started():
            gateway.link.led_at = now
            gateway.link.patience = _draw_patience(gateway)
            return _join(gateway, now)
        case TimerExpired(kind=TimerKind.join_group):
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
    gateway.link.newcomers.clear()
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
    wait = _find_wait(gateway, now)
    if wait > 0:
        return [SetTimer(TimerKind.join_group, wait)]
    timer = SetTimer(TimerKind.join_group, options.member_interval)
    if control.joining:
        return [timer]
    control.joining = True
    lease = options.member_lease
    if control.chosen:
        lease = options.controller_lease
    return [JoinGroup(control.generation, lease)]


def _draw_patience(gateway: Gateway) -> Seconds:
    lack = 1 - gateway.options.speed / _AMPLE_SPEED
    if lack <= 0:
        return Seconds(0)
    spread = gateway.random.uniform(0, _PATIENCE_SPREAD)
    return Seconds(lack * _LONGEST_PATIENCE + spread)


def _find_wait(gateway: Gateway, now: Seconds) -> Seconds:
    options = gateway.options
    if gateway.control.chosen:
        return Seconds(0)
    if gateway.configuration is None:
        # There is nothing to control yet.
        return options.urgent_interval
    if _stands_by(gateway):
        return Seconds(0)
    if is_linked(gateway, now):
        return options.member_interval
    link = gateway.link
    return Seconds(link.led_at + link.patience - now)


def _stands_by(gateway: Gateway) -> bool:
    standbys = gateway.link.standbys
    if standbys:
        return gateway.options.node in standbys
    return gateway.control.generation > 0


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
