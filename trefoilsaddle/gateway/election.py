"""Take part in the election of the controller.

The controller is the member of a group of the store that holds the partition
which decides the election.  The election is advisory: a decision of the
controller takes effect once the store has accepted its table, and a table is
accepted only directly after the newest one.

Gateways join the group in the order of their speed: the fastest at once, each
other one when it has heard of no controller for as long as a faster one needs
to be elected and to send its first update.  Once there is a controller, only
the standbys that it names remain members.

A controller that cannot reach the store continues to renew the grants that it
has made, for at most `outage_tolerance`, but makes no new ones.  Its successor
allows for that time at servers that do not answer.
"""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import (
    Component,
    Effects,
    JoinGroup,
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
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.peers import drop_peers, is_linked
from trefoilsaddle.gateway.state import Gateway

# A gateway with this speed, in cores, joins without delay.
_FULL_SPEED = 2
# Longest wait for a faster gateway: the lease of a lost controller (1 s), an
# urgent interval, and 0.75 s to read, append and be read, with round trips of
# 40 ms. Together with the detection of a lost link (1.4 s) this is below the 4
# s within which keys have to be owned again (required by the users, plus a
# lease).
_MAX_ELECTION_DELAY = Seconds(2)
# Gateways of the same speed join at random times within this interval, so that
# most of them hear of a controller before they join.
_ELECTION_JITTER = Seconds(0.3)
# Age of the store's last answer up to which it is considered reachable.
_MAX_STORE_AGE = Seconds(0.8)


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Maintain the group membership and handle its results."""
    match event:
        case Started():
            gateway.link.controller_seen_at = now
            gateway.link.election_delay = _draw_election_delay(gateway)
            return _join(gateway, now)
        case TimerExpired(kind=TimerKind.join_group):
            return _join(gateway, now)
        case LinkLost():
            return [SetTimer(TimerKind.join_group, Seconds(0))]
        case JoinEnded():
            return _handle_join_ended(gateway, now, event)
    return []


def step_down(gateway: Gateway, reason: str) -> Effects:
    """Stop acting as the controller."""
    control = gateway.control
    if not control.leading and not control.elected:
        return []
    dropped = drop_peers(gateway) if control.leading else []
    control.leading = False
    control.elected = False
    control.end = None
    control.outdated_since = None
    control.keyed.clear()
    line = log_event(
        Component.ownership, 'controller part ended', reason=reason
    )
    return [line, *dropped]


def may_renew(gateway: Gateway, now: Seconds) -> bool:
    """Return whether grants may still be renewed."""
    control = gateway.control
    age = now - control.confirmed_at
    return control.leading and age <= gateway.options.outage_tolerance


def is_store_reachable(gateway: Gateway, now: Seconds) -> bool:
    """Return whether the store has lately confirmed this controller."""
    return now - gateway.control.confirmed_at <= _MAX_STORE_AGE


def holds_unstored(gateway: Gateway, now: Seconds) -> bool:
    """Return whether this controller renews grants that the store has lost."""
    return may_renew(gateway, now) and any(
        keyed.renewal_end is not None
        for keyed in gateway.control.keyed.values()
    )


def is_restoring(gateway: Gateway) -> bool:
    """Return whether the store may lack tables that only this gateway has."""
    return gateway.control.leading and any(
        (
            keyed.table_due
            or (keyed.restored and keyed.unknown_until is not None)
        )
        and any(partition.granted for partition in keyed.partitions.ordered)
        for keyed in gateway.control.keyed.values()
    )


def _join(gateway: Gateway, now: Seconds) -> Effects:
    control = gateway.control
    options = gateway.options
    if gateway.stopping_since is not None:
        return []
    wait = _find_join_delay(gateway, now)
    if wait > 0:
        return [SetTimer(TimerKind.join_group, wait)]
    if control.elected:
        # A call that is not answered in time must not delay the next one, as
        # the lease is shorter than a call may take.
        timer = SetTimer(TimerKind.join_group, options.controller_interval)
        return [JoinGroup(control.generation, options.controller_lease), timer]
    timer = SetTimer(TimerKind.join_group, options.member_interval)
    if control.joining:
        return [timer]
    control.joining = True
    return [JoinGroup(control.generation, options.member_lease)]


def _draw_election_delay(gateway: Gateway) -> Seconds:
    lack = 1 - gateway.options.speed / _FULL_SPEED
    if lack <= 0:
        return Seconds(0)
    spread = gateway.random.uniform(0, _ELECTION_JITTER)
    return Seconds(lack * _MAX_ELECTION_DELAY + spread)


def _find_join_delay(gateway: Gateway, now: Seconds) -> Seconds:
    options = gateway.options
    if gateway.control.elected:
        return Seconds(0)
    if gateway.configuration is None:
        # Nothing can be controlled before the first configuration.
        return options.urgent_interval
    if _is_standby(gateway):
        return Seconds(0)
    if is_linked(gateway, now):
        return options.member_interval
    link = gateway.link
    return Seconds(link.controller_seen_at + link.election_delay - now)


def _is_standby(gateway: Gateway) -> bool:
    standbys = gateway.link.standbys
    if standbys:
        return gateway.options.node in standbys
    return gateway.control.generation > 0


def _handle_join_ended(
    gateway: Gateway, now: Seconds, event: JoinEnded
) -> Effects:
    control = gateway.control
    control.joining = False
    if event.asked_at < control.confirmed_at:
        # A later call has already been answered.
        return []
    effects: Effects = []
    if not control.elected:
        # The next call of an elected member is already scheduled.
        pause = _find_join_interval(gateway, now)
        effects.append(SetTimer(TimerKind.join_group, pause))
    if not event.answered or gateway.is_outdated(event.era):
        return [*effects, *_check_renewing(gateway, now)]
    control.generation = event.generation
    if gateway.stopping_since is not None:
        return effects
    if not event.leads:
        return [*effects, *_handle_deposed(gateway, now)]
    control.confirmed_at = event.asked_at
    if control.elected:
        return effects
    return [*effects, *_handle_elected(gateway, now, event.generation)]


def _check_renewing(gateway: Gateway, now: Seconds) -> Effects:
    if gateway.control.leading and not may_renew(gateway, now):
        return step_down(gateway, 'store unreachable for too long')
    return []


def _handle_deposed(gateway: Gateway, now: Seconds) -> Effects:
    if is_restoring(gateway) and may_renew(gateway, now):
        # Only this gateway knows the tables that the store has lost: it stores
        # them before it steps down.
        gateway.control.elected = False
        return []
    return step_down(gateway, 'the store chose another member')


def _handle_elected(gateway: Gateway, now: Seconds, generation: int) -> Effects:
    options = gateway.options
    gateway.control.elected = True
    gateway.control.read_after = Seconds(now + options.retry_interval)
    line = log_event(
        Component.ownership,
        'chosen as controller',
        generation=generation,
    )
    timer = SetTimer(TimerKind.join_group, options.controller_interval)
    return [read_tables(), line, timer]


def read_tables() -> ReadTopic:
    """Return the read of the newest table of each service."""
    return ReadTopic(Topic.ownership, None, Seconds(0))


def _find_join_interval(gateway: Gateway, now: Seconds) -> Seconds:
    options = gateway.options
    if is_linked(gateway, now):
        return options.member_interval
    return options.urgent_interval
