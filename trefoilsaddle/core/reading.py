"""Read the log, directly or through the zone's relay, and apply its entries."""

from trefoilsaddle.core.application import apply_entry
from trefoilsaddle.core.catchup import (
    begin_catch_up,
    continue_catch_up,
    mark_view_changed,
)
from trefoilsaddle.core.effects import (
    Component,
    Effects,
    ReadLog,
    SetTimer,
    WriteLogLine,
)
from trefoilsaddle.core.events import (
    LogRead,
    LogReadFailed,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.messages import RelayEntries, RelayFailed
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.records import LogEntry
from trefoilsaddle.core.relaying import (
    answer_reads,
    ask_relay,
    attach_waiting_reads,
    choose_relay,
    compute_relay_timeout,
    keep_recent,
    refuse_reads,
    skip_relay,
)
from trefoilsaddle.core.units import Moment, NodeId, Offset, Seconds

READ_TIMER = TimerKey(TimerKind.log_read)
RELAY_TIMER = TimerKey(TimerKind.relay)
# A direct read in flight for longer than this counts as a log outage.
_OUTAGE_TIMEOUT = Seconds(1)
# A direct read in flight for longer than this is abandoned.
_READ_TIMEOUT = Seconds(10)
# Minimum time between two direct reads while the relay cannot read the log.
_AWAY_INTERVAL = Seconds(2)


def read_next(node: Node, moment: Moment) -> Effects:
    """Read through another process as the zone's relay, or else directly."""
    following = node.following
    if following.reading_since is not None or following.relay.waiting:
        return read_directly(node, moment)
    if following.relay.request is not None:
        return [SetTimer(READ_TIMER, node.options.log_interval)]
    relay = choose_relay(node, moment)
    if relay is None or following.catch_up is not None:
        return read_directly(node, moment)
    return [
        *ask_relay(node, moment, relay),
        SetTimer(RELAY_TIMER, compute_relay_timeout(node)),
        SetTimer(READ_TIMER, node.options.log_interval),
    ]


def read_directly(node: Node, moment: Moment) -> Effects:
    """Read the log without the relay, unless such a read is in flight."""
    following = node.following
    timer = SetTimer(READ_TIMER, node.options.log_interval)
    if following.reading_since is not None:
        return [timer, *_watch_slow_read(node, moment)]
    following.reading_since = moment.monotonic
    following.direct_read_at = moment.monotonic
    attach_waiting_reads(node)
    start = Offset(node.view.applied + 1)
    if following.catch_up is not None:
        start = following.catch_up.position
    return [ReadLog(start), timer]


def handle_read(node: Node, moment: Moment, event: LogRead) -> Effects:
    """Apply the entries of a direct read."""
    following = node.following
    following.reading_since = None
    following.first = max(following.first, event.first)
    effects = _end_outage(node)
    if following.catch_up is not None:
        applied = node.view.applied
        effects.extend(continue_catch_up(node, event))
        if following.catch_up is not None or node.view.applied > applied:
            effects.extend(read_directly(node, moment))
        return effects
    if event.first > node.view.applied + 1:
        effects.extend(begin_catch_up(node, event.first))
        effects.extend(refuse_reads(node))
        return [*effects, *read_directly(node, moment)]
    apply_entries(node, event.entries)
    if event.tail > node.view.applied + 1:
        return [*effects, *read_directly(node, moment)]
    effects.extend(answer_reads(node, event))
    _record_freshness(node, event.tail, event.sent)
    return effects


def handle_read_failure(node: Node, event: LogReadFailed) -> Effects:
    """Record a failed direct read as a log outage."""
    node.following.reading_since = None
    return [*refuse_reads(node), *_begin_outage(node)]


def handle_relay_entries(
    node: Node,
    moment: Moment,
    sender: NodeId,
    event: RelayEntries,
) -> Effects:
    """Apply the entries of a relay's answer, if it was requested."""
    relay = node.following.relay
    request = relay.request
    if request is None or (request.relay, request.sequence) != (
        sender,
        event.sequence,
    ):
        return []
    relay.request = None
    node.following.first = max(node.following.first, event.first)
    if event.first > node.view.applied + 1:
        return read_directly(node, moment)
    apply_entries(node, event.entries)
    _record_freshness(node, event.tail, request.sent_at)
    return _end_outage(node)


def replace_relay(node: Node, moment: Moment) -> Effects:
    """Read directly and stop using the relay, which did not answer."""
    if node.following.relay.request is None:
        return []
    skip_relay(node, moment)
    return read_directly(node, moment)


def handle_relay_failure(
    node: Node,
    moment: Moment,
    sender: NodeId,
    event: RelayFailed,
) -> Effects:
    """Read directly; at a limited rate if the log is unavailable here too."""
    following = node.following
    request = following.relay.request
    if request is None or (request.relay, request.sequence) != (
        sender,
        event.sequence,
    ):
        return []
    if not following.log_away:
        return replace_relay(node, moment)
    following.relay.request = None
    if moment.monotonic - following.direct_read_at < _AWAY_INTERVAL:
        return []
    return read_directly(node, moment)


def apply_entries(node: Node, entries: tuple[LogEntry, ...]) -> None:
    """Apply entries in sequence, and skip those after a hole."""
    changed = False
    for entry in entries:
        if entry.offset != node.view.applied + 1:
            continue
        apply_entry(node.view, entry)
        keep_recent(node, entry)
        changed = True
    if changed:
        mark_view_changed(node)


def _record_freshness(node: Node, tail: Offset, since: Seconds) -> None:
    """Record the send time of a read if it reached the tail of the log."""
    if tail == node.view.applied + 1:
        following = node.following
        following.fresh_at = max(following.fresh_at, since)


def _watch_slow_read(node: Node, moment: Moment) -> Effects:
    following = node.following
    if following.reading_since is None:
        return []
    elapsed = moment.monotonic - following.reading_since
    if elapsed > _READ_TIMEOUT:
        following.reading_since = None
    return _begin_outage(node) if elapsed > _OUTAGE_TIMEOUT else []


def _begin_outage(node: Node) -> Effects:
    if node.following.log_away:
        return []
    node.following.log_away = True
    node.duties_stale = True
    return [WriteLogLine(Component.log_client, 'the log cannot be read')]


def _end_outage(node: Node) -> Effects:
    if not node.following.log_away:
        return []
    node.following.log_away = False
    node.duties_stale = True
    return [WriteLogLine(Component.log_client, 'the log can be read again')]
