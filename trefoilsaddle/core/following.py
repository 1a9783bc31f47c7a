"""Follow the log: read, relay, append again, snapshot, catch up."""

from functools import singledispatch

from trefoilsaddle.core.application import apply_entry
from trefoilsaddle.core.effects import Effects, ReadLog, SetTimer
from trefoilsaddle.core.events import (
    Event,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    Started,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outbox import (
    drop_seen,
    flush_outbox,
    queue_records,
    take_acknowledgement,
    take_failure,
)
from trefoilsaddle.core.records import LogEntry, Record
from trefoilsaddle.core.units import Moment, Offset

_READ_TIMER = TimerKey(TimerKind.log_read)
_APPEND_TIMER = TimerKey(TimerKind.append)


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Take one event for the log client."""
    return _take_event(event, node, moment)


def append_records(
    node: Node,
    moment: Moment,
    records: tuple[Record, ...],
) -> Effects:
    """Queue records; they are appended until the log is seen to hold them."""
    return queue_records(node, moment, records)


@singledispatch
def _take_event(event: Event, node: Node, moment: Moment) -> Effects:
    return []


@_take_event.register
def _take_start(event: Started, node: Node, moment: Moment) -> Effects:
    return _begin_read(node, moment)


@_take_event.register
def _take_timer(event: TimerExpired, node: Node, moment: Moment) -> Effects:
    if event.timer == _READ_TIMER:
        return _begin_read(node, moment)
    if event.timer == _APPEND_TIMER:
        return flush_outbox(node, moment)
    return []


@_take_event.register
def _take_read(event: LogRead, node: Node, moment: Moment) -> Effects:
    following = node.following
    following.reading_since = None
    following.log_away = False
    _apply_entries(node, event.entries)
    if node.view.applied + 1 < event.tail:
        return _begin_read(node, moment)
    following.fresh_at = max(following.fresh_at, event.sent)
    return [
        SetTimer(_READ_TIMER, node.options.log_interval),
        *flush_outbox(node, moment),
    ]


@_take_event.register
def _take_read_failure(
    event: LogReadFailed,
    node: Node,
    moment: Moment,
) -> Effects:
    node.following.reading_since = None
    node.following.log_away = True
    node.reviewed = True
    return [SetTimer(_READ_TIMER, node.options.log_interval)]


@_take_event.register
def _take_append(event: LogAppended, node: Node, moment: Moment) -> Effects:
    take_acknowledgement(node, event.record_ids)
    return [*_begin_read(node, moment), *flush_outbox(node, moment)]


@_take_event.register
def _take_append_failure(
    event: LogAppendFailed,
    node: Node,
    moment: Moment,
) -> Effects:
    return take_failure(node, moment)


def _begin_read(node: Node, moment: Moment) -> Effects:
    if node.following.reading_since is not None:
        return []
    node.following.reading_since = moment.monotonic
    return [ReadLog(Offset(node.view.applied + 1))]


def _apply_entries(node: Node, entries: tuple[LogEntry, ...]) -> None:
    for entry in entries:
        if entry.offset != node.view.applied + 1:
            continue
        apply_entry(node.view, entry)
        drop_seen(node, entry.records)
        node.reviewed = True
    if node.reviewed:
        node.woken.update(node.view.roles)
