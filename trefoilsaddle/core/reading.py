"""Read the log, directly or through the zone's relay, and apply entries."""

from trefoilsaddle.core.application import apply_entry
from trefoilsaddle.core.catchup import (
    begin_catch_up,
    continue_catch_up,
    note_change,
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
    ask_relay,
    begin_serving,
    choose_relay,
    keep_recent,
    measure_relay_timeout,
    pass_over_relay,
    refuse_asks,
    serve_asks,
)
from trefoilsaddle.core.units import Moment, NodeId, Offset, Seconds

READ_TIMER = TimerKey(TimerKind.log_read)
RELAY_TIMER = TimerKey(TimerKind.relay)
# A direct read that takes longer than this counts as an outage.
_READ_PATIENCE = Seconds(1)
# A direct read that takes longer than this is given up.
_READ_TIMEOUT = Seconds(10)
# Time between two direct reads while the relay finds the log away.
_AWAY_INTERVAL = Seconds(2)


def read_next(node: Node, moment: Moment) -> Effects:
    """Read through the zone's relay if there is one, else directly."""
    following = node.following
    if following.reading_since is not None or following.relay.waiting:
        return read_directly(node, moment)
    if following.relay.ask is not None:
        return [SetTimer(READ_TIMER, node.options.log_interval)]
    relay = choose_relay(node, moment)
    if relay is None or following.catch_up is not None:
        return read_directly(node, moment)
    return [
        *ask_relay(node, moment, relay),
        SetTimer(RELAY_TIMER, measure_relay_timeout(node)),
        SetTimer(READ_TIMER, node.options.log_interval),
    ]


def read_directly(node: Node, moment: Moment) -> Effects:
    """Read the log itself, unless a read is in flight."""
    following = node.following
    timer = SetTimer(READ_TIMER, node.options.log_interval)
    if following.reading_since is not None:
        return [timer, *_watch_slow_read(node, moment)]
    following.reading_since = moment.monotonic
    following.direct_at = moment.monotonic
    begin_serving(node)
    start = Offset(node.view.applied + 1)
    if following.catch_up is not None:
        start = following.catch_up.position
    return [ReadLog(start), timer]


def take_read(node: Node, moment: Moment, event: LogRead) -> Effects:
    """Apply what a direct read has brought."""
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
        effects.extend(refuse_asks(node))
        return [*effects, *read_directly(node, moment)]
    apply_entries(node, event.entries)
    if event.tail > node.view.applied + 1:
        return [*effects, *read_directly(node, moment)]
    effects.extend(serve_asks(node, event))
    _note_fresh(node, event.tail, event.sent)
    return effects


def take_read_failure(node: Node, event: LogReadFailed) -> Effects:
    """Note that the log is away."""
    node.following.reading_since = None
    return [*refuse_asks(node), *_begin_outage(node)]


def take_relayed(
    node: Node,
    moment: Moment,
    sender: NodeId,
    event: RelayEntries,
) -> Effects:
    """Apply what a relay has brought, if it was asked for."""
    relay = node.following.relay
    ask = relay.ask
    if ask is None or (ask.relay, ask.sequence) != (sender, event.sequence):
        return []
    relay.ask = None
    node.following.first = max(node.following.first, event.first)
    if event.first > node.view.applied + 1:
        return read_directly(node, moment)
    apply_entries(node, event.entries)
    _note_fresh(node, event.tail, ask.asked_at)
    return _end_outage(node)


def replace_relay(node: Node, moment: Moment) -> Effects:
    """Read directly, since the relay did not answer."""
    if node.following.relay.ask is None:
        return []
    pass_over_relay(node, moment)
    return read_directly(node, moment)


def take_relay_failure(
    node: Node,
    moment: Moment,
    sender: NodeId,
    event: RelayFailed,
) -> Effects:
    """Read directly, but seldom while this process finds the log away too."""
    following = node.following
    ask = following.relay.ask
    if ask is None or (ask.relay, ask.sequence) != (sender, event.sequence):
        return []
    if not following.log_away:
        return replace_relay(node, moment)
    following.relay.ask = None
    if moment.monotonic - following.direct_at < _AWAY_INTERVAL:
        return []
    return read_directly(node, moment)


def apply_entries(node: Node, entries: tuple[LogEntry, ...]) -> None:
    """Apply the entries that follow the last one applied."""
    changed = False
    for entry in entries:
        if entry.offset != node.view.applied + 1:
            continue
        apply_entry(node.view, entry)
        keep_recent(node, entry)
        changed = True
    if changed:
        note_change(node)


def _note_fresh(node: Node, tail: Offset, since: Seconds) -> None:
    """Count freshness, unless the read was stale or fell short."""
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
    return _begin_outage(node) if elapsed > _READ_PATIENCE else []


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
