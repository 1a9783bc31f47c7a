"""Suspect processes before they count as dead, the own pace weighed first."""

from dataclasses import replace

from trefoilsaddle.core.effects import (
    CancelTimer,
    Component,
    Effects,
    SetTimer,
    WriteLogLine,
)
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.messages import Health, Rumour
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.rumours import is_newer, keep_rumour, refute_rumour
from trefoilsaddle.core.units import Moment, NodeId, Seconds

_MOST_SLOWNESS = 3
# A suspect that the host list does not name counts as dead this much sooner.
_UNLISTED_FACTOR = 0.5
# How long a dead process is remembered, and probed now and then.
_FORGET_TIME = Seconds(10 * 60)


def suspect_process(node: Node, moment: Moment, subject: NodeId) -> Effects:
    """Begin to suspect a process that is thought alive."""
    known = node.membership.processes.get(subject)
    if known is None or subject == node.options.node:
        return []
    return learn_rumour(node, moment, replace(known, health=Health.suspect))


def learn_rumour(node: Node, moment: Moment, rumour: Rumour) -> Effects:
    """Weigh a rumour and act on it."""
    membership = node.membership
    known = membership.processes.get(rumour.node)
    if not is_newer(rumour, known):
        return []
    if rumour.node == node.options.node:
        note_own_slowness(node)
        refute_rumour(node, rumour)
        return []
    keep_rumour(node, rumour)
    membership.deaths.pop(rumour.node, None)
    if rumour.health is Health.suspect:
        return _begin_suspicion(node, moment, rumour.node)
    if rumour.health is Health.dead:
        membership.deaths[rumour.node] = moment.monotonic
    return _end_suspicion(node, rumour.node)


def judge_suspect(node: Node, moment: Moment, subject: NodeId) -> Effects:
    """Declare a suspect dead, unless this process itself was paused."""
    due = node.membership.suspicions.get(subject)
    if due is None:
        return []
    if is_late(node, moment, due):
        note_own_pause(node)
        return _begin_suspicion(node, moment, subject)
    known = node.membership.processes[subject]
    dead = replace(known, health=Health.dead)
    line = WriteLogLine(Component.membership, f'process {subject} is dead')
    return [*learn_rumour(node, moment, dead), line]


def forget_dead(node: Node, moment: Moment) -> None:
    """Forget processes that have been dead for long."""
    membership = node.membership
    oldest = moment.monotonic - _FORGET_TIME
    configured = {peer.node for peer in node.options.peers}
    forgotten = [
        subject
        for subject, since in membership.deaths.items()
        if since < oldest and subject not in configured
    ]
    for subject in forgotten:
        membership.deaths.pop(subject)
        membership.processes.pop(subject)
        membership.spreading.pop(subject, None)


def is_late(node: Node, moment: Moment, due: Seconds) -> bool:
    """Tell from a timer's lateness whether this process was paused."""
    return moment.monotonic - due > node.options.pause_tolerance


def note_own_slowness(node: Node) -> None:
    """Take longer to judge others: this process may be the slow one."""
    membership = node.membership
    membership.own_slowness = min(membership.own_slowness + 1, _MOST_SLOWNESS)


def note_own_pause(node: Node) -> None:
    """Judge others as slowly as possible after an own pause."""
    node.membership.own_slowness = _MOST_SLOWNESS


def trust_self(node: Node) -> None:
    """Judge others sooner again after an answer in time."""
    membership = node.membership
    membership.own_slowness = max(membership.own_slowness - 1, 0)


def _begin_suspicion(node: Node, moment: Moment, subject: NodeId) -> Effects:
    membership = node.membership
    delay = node.options.suspicion_timeout * (1 + membership.own_slowness)
    if membership.listed and subject not in membership.listed:
        delay *= _UNLISTED_FACTOR
    due = Seconds(moment.monotonic + delay)
    membership.suspicions[subject] = due
    return [SetTimer(_name_timer(subject), Seconds(delay))]


def _end_suspicion(node: Node, subject: NodeId) -> Effects:
    if node.membership.suspicions.pop(subject, None) is None:
        return []
    return [CancelTimer(_name_timer(subject))]


def _name_timer(subject: NodeId) -> TimerKey:
    return TimerKey(TimerKind.suspicion, subject)
