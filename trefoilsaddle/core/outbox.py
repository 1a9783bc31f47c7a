"""Append records, with retries until the log is known to hold them.

A reply may be lost after the append has taken effect.  The record is appended
again with the same id if a newer read does not show it; the view ignores
duplicates.
"""

from itertools import islice

from trefoilsaddle.core.effects import AppendRecords, Effects, SetTimer
from trefoilsaddle.core.events import (
    LogAppended,
    LogAppendFailed,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.records import Record, Snapshot
from trefoilsaddle.core.units import Moment, Seconds

# Maximum number of records in one append.
_MAX_BATCH = 64
# Minimum time between two appends by one process.
_APPEND_INTERVAL = Seconds(0.1)
# Delay of the next append after a failed one.
_RETRY_DELAY = Seconds(0.5)
_TIMER = TimerKey(TimerKind.append)


def queue_records(
    node: Node,
    moment: Moment,
    records: tuple[Record, ...],
) -> Effects:
    """Queue records and append them as soon as the interval allows."""
    outbox = node.following.outbox
    for record in records:
        outbox.setdefault(record.record_id, record)
    return flush_outbox(node, moment)


def flush_outbox(node: Node, moment: Moment) -> Effects:
    """Append waiting records, unless an append is in flight or too recent."""
    following = node.following
    appends = following.appends
    if appends.appending or appends.failed_at >= following.fresh_at:
        return []
    batch = _choose_batch(node)
    if not batch:
        return []
    wait = appends.append_after - moment.monotonic
    if wait > 0:
        return [SetTimer(_TIMER, Seconds(wait))]
    appends.appending = tuple(record.record_id for record in batch)
    appends.append_after = Seconds(moment.monotonic + _APPEND_INTERVAL)
    return [AppendRecords(batch)]


def handle_acknowledgement(node: Node, event: LogAppended) -> None:
    """Record the offset of acknowledged records until the view has them."""
    following = node.following
    following.appends.appending = ()
    for record_id in event.record_ids:
        if record_id in following.outbox:
            following.appends.acknowledged[record_id] = event.offset
    drop_settled_records(node)


def handle_append_failure(
    node: Node,
    moment: Moment,
    event: LogAppendFailed,
) -> None:
    """Schedule another append, since the failed one may have taken effect."""
    appends = node.following.appends
    appends.appending = ()
    appends.failed_at = moment.monotonic
    appends.append_after = Seconds(moment.monotonic + _RETRY_DELAY)


def drop_settled_records(node: Node) -> None:
    """Drop queued records that the view shows to be in the log."""
    following = node.following
    settled = [
        record_id
        for record_id, record in following.outbox.items()
        if _is_settled(node, record)
    ]
    for record_id in settled:
        following.outbox.pop(record_id)
        following.appends.acknowledged.pop(record_id, None)


def _is_settled(node: Node, record: Record) -> bool:
    view = node.view
    if record.record_id in view.verdicts:
        return True
    if isinstance(record, Snapshot) and record.covers <= view.snapshot.covers:
        return True
    offset = node.following.appends.acknowledged.get(record.record_id)
    return offset is not None and offset <= view.applied


def _choose_batch(node: Node) -> tuple[Record, ...]:
    """Choose the oldest records; a snapshot part is appended alone and last."""
    following = node.following
    pending = [
        record
        for record in following.outbox.values()
        if record.record_id not in following.appends.acknowledged
    ]
    small = (record for record in pending if not isinstance(record, Snapshot))
    batch = tuple(islice(small, _MAX_BATCH))
    return batch or tuple(pending[:1])
