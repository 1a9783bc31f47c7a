"""Handle graceful shutdown and requests for state dumps."""

from functools import singledispatch

from trefoilsaddle.core.dumps import write_dump
from trefoilsaddle.core.effects import (
    Component,
    Effects,
    ExitProcess,
    SendMessage,
    SetTimer,
    WriteDump,
    WriteLogLine,
)
from trefoilsaddle.core.events import (
    DumpRequested,
    Event,
    MessageReceived,
    StopRequested,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.messages import DumpRead, DumpReply
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.stopping import has_roles
from trefoilsaddle.core.units import Moment, Seconds

# Time between two checks whether all requests in flight have ended.
_CHECK_INTERVAL = Seconds(0.1)
# How long a drained process goes on refusing late requests, from senders that
# do not know yet that it is stopping.
_LINGER_TIME = Seconds(0.5)
_CHECK_TIMER = TimerKey(TimerKind.stop, 'look')
_LIMIT_TIMER = TimerKey(TimerKind.stop, 'limit')


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Handle one event that stops the process or requests a dump."""
    return _handle_event(event, node, moment)


@singledispatch
def _handle_event(event: Event, node: Node, moment: Moment) -> Effects:
    return []


@_handle_event.register
def _handle_stop(event: StopRequested, node: Node, moment: Moment) -> Effects:
    if node.stopping:
        return []
    node.stopping = True
    node.duties_stale = True
    return [
        WriteLogLine(
            Component.lifecycle, 'stopping: waiting for requests in flight'
        ),
        SetTimer(_LIMIT_TIMER, node.options.stop_timeout),
        SetTimer(_CHECK_TIMER, _CHECK_INTERVAL),
    ]


@_handle_event.register
def _handle_timer(event: TimerExpired, node: Node, moment: Moment) -> Effects:
    if event.timer == _LIMIT_TIMER:
        sentence = 'stop timeout reached with requests still in flight'
        return [WriteLogLine(Component.lifecycle, sentence), ExitProcess()]
    if event.timer == _CHECK_TIMER:
        return _exit_when_drained(node, moment)
    return []


@_handle_event.register
def _handle_dump_request(
    event: DumpRequested,
    node: Node,
    moment: Moment,
) -> Effects:
    return [WriteDump(write_dump(node, moment))]


@_handle_event.register
def _handle_message(
    event: MessageReceived, node: Node, moment: Moment
) -> Effects:
    message = event.message
    if not isinstance(message, DumpRead):
        return []
    reply = DumpReply(message.sequence, write_dump(node, moment))
    return [SendMessage(event.sender, reply)]


def _exit_when_drained(node: Node, moment: Moment) -> Effects:
    # With no role left to hand over, new requests must be refused so that the
    # process can drain.
    node.refusing = not has_roles(node)
    if not _is_drained(node):
        node.drained_at = None
    elif node.drained_at is None:
        node.drained_at = moment.monotonic
    elif moment.monotonic >= node.drained_at + _LINGER_TIME:
        return [ExitProcess()]
    return [SetTimer(_CHECK_TIMER, _CHECK_INTERVAL)]


def _is_drained(node: Node) -> bool:
    in_flight = node.routing.pending or node.dispatching.tickets
    return node.refusing and not in_flight
