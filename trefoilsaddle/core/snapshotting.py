"""Append a new snapshot well before the newest one expires from the log."""

from trefoilsaddle.core.effects import Effects, SetTimer
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.followstate import NEVER
from trefoilsaddle.core.hashing import rank_candidates
from trefoilsaddle.core.membership import live_dispatchers
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outbox import queue_records
from trefoilsaddle.core.records import Snapshot
from trefoilsaddle.core.snapshots import split_view
from trefoilsaddle.core.units import Moment, Seconds

SNAPSHOT_TIMER = TimerKey(TimerKind.snapshot)
# Time between two checks of the age of the newest snapshot.
_CHECK_INTERVAL = Seconds(1)
# Age at which a snapshot is replaced, as a fraction of the log's retention.
_MAX_AGE_FRACTION = 0.25
# Each candidate waits longer than the one ranked before it, by this fraction
# of the age limit.
_STAGGER_FRACTION = 0.1
# Number of processes that may append a snapshot.
_MAX_WRITERS = 5
# Maximum number of entries after a snapshot, which a new process has to read.
_MAX_ENTRIES = 5000
# Extra entries for each candidate after the first, so that the parts of an
# earlier candidate can arrive first.
_ENTRIES_STAGGER = 500


def check_snapshot(node: Node, moment: Moment) -> Effects:
    """Append a snapshot if one is due and it is this process's turn."""
    timer = SetTimer(SNAPSHOT_TIMER, _CHECK_INTERVAL)
    _watch_snapshot(node, moment)
    if _is_due(node, moment):
        parts = split_view(node.view)
        return [timer, *queue_records(node, moment, parts)]
    return [timer]


def _watch_snapshot(node: Node, moment: Moment) -> None:
    watch = node.following.snapshot_watch
    newest = node.view.snapshot.first_part
    if not watch.settled:
        # A process that has just started does not know the snapshot's age and
        # assumes half of the limit.
        half_age = node.options.log_retention * _MAX_AGE_FRACTION / 2
        watch.since = Seconds(moment.monotonic - half_age)
        watch.first_part = newest
        watch.settled = node.following.fresh_at > NEVER
    if newest != watch.first_part:
        watch.first_part = newest
        watch.since = moment.monotonic


def _is_due(node: Node, moment: Moment) -> bool:
    following = node.following
    if node.view.configuration is None or following.log_away:
        return False
    if following.catch_up is not None or _is_waiting(node):
        return False
    place = _find_place(node)
    if place is None:
        return False
    age = moment.monotonic - following.snapshot_watch.since
    limit = (
        node.options.log_retention
        * _MAX_AGE_FRACTION
        * (1 + place * _STAGGER_FRACTION)
    )
    if age >= limit or _is_expiring(node, place):
        return True
    lag = node.view.applied - node.view.snapshot.covers
    return lag > _MAX_ENTRIES + place * _ENTRIES_STAGGER


def _is_expiring(node: Node, place: int) -> bool:
    """Return whether the newest snapshot is among the oldest entries kept."""
    first = node.following.first
    if first <= 0:
        return False
    kept = node.view.applied - first
    oldest = kept * _MAX_AGE_FRACTION / (1 + place)
    return node.view.snapshot.first_part - first < oldest


def _is_waiting(node: Node) -> bool:
    return any(
        isinstance(record, Snapshot)
        for record in node.following.outbox.values()
    )


def _find_place(node: Node) -> int | None:
    """Return this process's rank among the candidates, or None if too low."""
    writers = rank_candidates('snapshot', live_dispatchers(node, None))
    if node.options.node not in writers[:_MAX_WRITERS]:
        return None
    return writers.index(node.options.node)
