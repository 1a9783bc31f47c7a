"""Handle the events of the log client: reads, relay, appends, snapshots."""

from functools import singledispatch

from trefoilsaddle.core.catchup import (
    CATCH_UP_TIMER,
    ask_peer_again,
    handle_state_read,
    handle_state_reply,
)
from trefoilsaddle.core.effects import Effects
from trefoilsaddle.core.events import (
    Event,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    MessageReceived,
    PeerLost,
    Started,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.messages import (
    Message,
    RelayEntries,
    RelayFailed,
    RelayRead,
    StateRead,
    StateReply,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outbox import (
    flush_outbox,
    handle_acknowledgement,
    handle_append_failure,
    queue_records,
)
from trefoilsaddle.core.reading import (
    READ_TIMER,
    RELAY_TIMER,
    handle_read,
    handle_read_failure,
    handle_relay_entries,
    handle_relay_failure,
    read_directly,
    read_next,
    replace_relay,
)
from trefoilsaddle.core.records import Record
from trefoilsaddle.core.relaying import handle_relay_read
from trefoilsaddle.core.snapshotting import SNAPSHOT_TIMER, check_snapshot
from trefoilsaddle.core.units import Moment, NodeId

_APPEND_TIMER = TimerKey(TimerKind.append)


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Handle one event that concerns the log client."""
    return _handle_event(event, node, moment)


def append_records(
    node: Node,
    moment: Moment,
    records: tuple[Record, ...],
) -> Effects:
    """Queue records for append, with retries until the log holds them."""
    return queue_records(node, moment, records)


@singledispatch
def _handle_event(event: Event, node: Node, moment: Moment) -> Effects:
    return []


@_handle_event.register
def _handle_start(event: Started, node: Node, moment: Moment) -> Effects:
    return [
        *read_directly(node, moment),
        *ask_peer_again(node),
        *check_snapshot(node, moment),
    ]


@_handle_event.register
def _handle_timer(event: TimerExpired, node: Node, moment: Moment) -> Effects:
    match event.timer:
        case timer if timer == READ_TIMER:
            return read_next(node, moment)
        case timer if timer == RELAY_TIMER:
            return replace_relay(node, moment)
        case timer if timer == _APPEND_TIMER:
            return flush_outbox(node, moment)
        case timer if timer == CATCH_UP_TIMER:
            return ask_peer_again(node)
        case timer if timer == SNAPSHOT_TIMER:
            return check_snapshot(node, moment)
    return []


@_handle_event.register
def _handle_read(event: LogRead, node: Node, moment: Moment) -> Effects:
    return [
        *handle_read(node, moment, event),
        *flush_outbox(node, moment),
    ]


@_handle_event.register
def _handle_read_failure(
    event: LogReadFailed,
    node: Node,
    moment: Moment,
) -> Effects:
    return handle_read_failure(node, event)


@_handle_event.register
def _handle_append(event: LogAppended, node: Node, moment: Moment) -> Effects:
    handle_acknowledgement(node, event)
    return [*read_directly(node, moment), *flush_outbox(node, moment)]


@_handle_event.register
def _handle_append_failure(
    event: LogAppendFailed,
    node: Node,
    moment: Moment,
) -> Effects:
    handle_append_failure(node, moment, event)
    return []


@_handle_event.register
def _handle_peer_loss(event: PeerLost, node: Node, moment: Moment) -> Effects:
    request = node.following.relay.request
    if request is None or request.relay != event.node:
        return []
    return replace_relay(node, moment)


@_handle_event.register
def _handle_received(
    event: MessageReceived,
    node: Node,
    moment: Moment,
) -> Effects:
    return _handle_message(event.message, node, moment, event.sender)


@singledispatch
def _handle_message(
    message: Message,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    return []


@_handle_message.register
def _handle_relay_read(
    message: RelayRead,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    handle_relay_read(node, sender, message)
    return []


@_handle_message.register
def _handle_relay_entries(
    message: RelayEntries,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    return [
        *handle_relay_entries(node, moment, sender, message),
        *flush_outbox(node, moment),
    ]


@_handle_message.register
def _handle_relay_failure(
    message: RelayFailed,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    return handle_relay_failure(node, moment, sender, message)


@_handle_message.register
def _handle_state_read(
    message: StateRead,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    return handle_state_read(node, sender, message)


@_handle_message.register
def _handle_state_reply(
    message: StateReply,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    return handle_state_reply(node, sender, message)
