"""Append records until the log is seen to hold them.

A reply may be lost after the append has taken effect, so a record is
appended again with the same id; the view drops the second one.
"""

from itertools import islice

from trefoilsaddle.core.effects import AppendRecords, Effects, SetTimer
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.records import Record
from trefoilsaddle.core.units import Moment, RecordId, Seconds

# Most records that share one append.
_MOST_RECORDS = 64
# Least time between two appends of one process.
_APPEND_SPACING = Seconds(0.1)
# Time after a failed append until the next one.
_RETRY_DELAY = Seconds(0.5)
_TIMER = TimerKey(TimerKind.append)


def queue_records(
    node: Node,
    moment: Moment,
    records: tuple[Record, ...],
) -> Effects:
    """Queue records and append them as soon as the spacing allows."""
    outbox = node.following.outbox
    for record in records:
        outbox.setdefault(record.record_id, record)
    return flush_outbox(node, moment)


def flush_outbox(node: Node, moment: Moment) -> Effects:
    """Append what waits, unless an append is in flight or too close."""
    following = node.following
    pending = tuple(
        islice(
            (
                record
                for record_id, record in following.outbox.items()
                if record_id not in following.acknowledged
            ),
            _MOST_RECORDS,
        ),
    )
    if following.appending or not pending:
        return []
    wait = following.append_after - moment.monotonic
    if wait > 0:
        return [SetTimer(_TIMER, Seconds(wait))]
    following.appending = tuple(record.record_id for record in pending)
    _space_appends(node, moment, _APPEND_SPACING)
    return [AppendRecords(pending)]


def take_acknowledgement(
    node: Node,
    record_ids: tuple[RecordId, ...],
) -> None:
    """Note that the log holds some records; the view will show them."""
    node.following.appending = ()
    node.following.acknowledged.update(
        record_id
        for record_id in record_ids
        if record_id in node.following.outbox
    )


def take_failure(node: Node, moment: Moment) -> Effects:
    """Append again later: nobody knows whether it took effect."""
    node.following.appending = ()
    _space_appends(node, moment, _RETRY_DELAY)
    return [SetTimer(_TIMER, _RETRY_DELAY)]


def drop_seen(node: Node, records: tuple[Record, ...]) -> None:
    """Drop records that the log was seen to hold."""
    for record in records:
        node.following.outbox.pop(record.record_id, None)
        node.following.acknowledged.discard(record.record_id)


def _space_appends(node: Node, moment: Moment, spacing: Seconds) -> None:
    node.following.append_after = Seconds(moment.monotonic + spacing)
