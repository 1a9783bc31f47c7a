"""Suspect processes before declaring them dead, allowing for local slowness."""

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
from trefoilsaddle.core.rumours import is_newer, record_update, refute_update
from trefoilsaddle.core.units import Moment, NodeId, Seconds

# Timeouts grow with the score, to at most four times their normal length.
_MAX_HEALTH_SCORE = 3
# Factor on the suspicion timeout of a process missing from the host list.
_UNLISTED_FACTOR = 0.5
# Time for which a dead process is kept in the list and probed occasionally.
_FORGET_TIME = Seconds(10 * 60)


def suspect_process(node: Node, moment: Moment, subject: NodeId) -> Effects:
    """Start to suspect a known process."""
    known = node.membership.processes.get(subject)
    if known is None or subject == node.options.node:
        return []
    return apply_update(node, moment, replace(known, health=Health.suspect))


def apply_update(node: Node, moment: Moment, update: Rumour) -> Effects:
    """Apply a membership update if it supersedes the known one."""
    membership = node.membership
    known = membership.processes.get(update.node)
    if not is_newer(update, known):
        return []
    if update.node == node.options.node:
        raise_health_score(node)
        refute_update(node, update)
        return []
    record_update(node, update)
    membership.dead_since.pop(update.node, None)
    if update.health is Health.suspect:
        return _begin_suspicion(node, moment, update.node)
    if update.health is Health.dead:
        membership.dead_since[update.node] = moment.monotonic
    return _end_suspicion(node, update.node)


def check_suspect(node: Node, moment: Moment, subject: NodeId) -> Effects:
    """Declare a suspected process dead, unless this process was paused."""
    due = node.membership.suspicions.get(subject)
    if due is None:
        return []
    if is_late(node, moment, due):
        record_own_pause(node)
        return _begin_suspicion(node, moment, subject)
    known = node.membership.processes[subject]
    dead = replace(known, health=Health.dead)
    line = WriteLogLine(Component.membership, f'process {subject} is dead')
    return [*apply_update(node, moment, dead), line]


def forget_dead(node: Node, moment: Moment) -> None:
    """Remove processes that have been dead for a long time."""
    membership = node.membership
    oldest = moment.monotonic - _FORGET_TIME
    configured = {peer.node for peer in node.options.peers}
    forgotten = [
        subject
        for subject, since in membership.dead_since.items()
        if since < oldest and subject not in configured
    ]
    for subject in forgotten:
        membership.dead_since.pop(subject)
        membership.processes.pop(subject)
        membership.sends_left.pop(subject, None)


def is_late(node: Node, moment: Moment, due: Seconds) -> bool:
    """Return whether a timer is so late that this process must have paused."""
    return moment.monotonic - due > node.options.pause_tolerance


def raise_health_score(node: Node) -> None:
    """Lengthen the timeouts for peers: this process may be the slow one."""
    membership = node.membership
    membership.health_score = min(
        membership.health_score + 1, _MAX_HEALTH_SCORE
    )


def record_own_pause(node: Node) -> None:
    """Set the longest timeouts for peers after a pause of this process."""
    node.membership.health_score = _MAX_HEALTH_SCORE


def lower_health_score(node: Node) -> None:
    """Shorten the timeouts for peers again after an answer in time."""
    membership = node.membership
    membership.health_score = max(membership.health_score - 1, 0)


def _begin_suspicion(node: Node, moment: Moment, subject: NodeId) -> Effects:
    membership = node.membership
    delay = node.options.suspicion_timeout * (1 + membership.health_score)
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
