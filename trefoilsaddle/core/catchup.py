"""Close a gap with a whole view, from a snapshot in the log or from a peer.

A gap means that entries between the last one applied and the oldest one kept
in the log have expired.  Entries after a gap are not applied until a view that
covers the gap has been found.  An older view never replaces a newer one.
"""

from trefoilsaddle.core.effects import (
    Component,
    CountMetric,
    Effects,
    SendMessage,
    SetTimer,
    WriteLogLine,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import LogRead, TimerKey, TimerKind
from trefoilsaddle.core.followstate import CatchUp
from trefoilsaddle.core.membership import live_processes
from trefoilsaddle.core.messages import StateRead, StateReply
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outbox import drop_settled_records
from trefoilsaddle.core.units import NO_OFFSET, NodeId, Offset, Seconds
from trefoilsaddle.core.view import LogView
from trefoilsaddle.core.viewtext import read_view, write_view

CATCH_UP_TIMER = TimerKey(TimerKind.catch_up)
# Time between two requests to peers while the log cannot be followed.
_ASK_INTERVAL = Seconds(1)
# A serialized view is reused until it lags behind by more entries than this.
_MAX_LAG = 1000


def begin_catch_up(node: Node, first: Offset) -> Effects:
    """Start scanning the log for a snapshot, and ask a peer for its view."""
    node.following.catch_up = CatchUp(first)
    return [CountMetric(Component.log_client, 'gaps'), *ask_peer(node)]


def continue_catch_up(node: Node, event: LogRead) -> Effects:
    """Collect snapshots of a read, and install the newest one at the tail."""
    catch_up = node.following.catch_up
    if catch_up is None:
        return []
    for entry in event.entries:
        catch_up.collector.collect(entry)
        catch_up.position = Offset(entry.offset + 1)
    if catch_up.position < event.tail:
        return []
    node.following.catch_up = None
    snapshot = catch_up.collector.newest
    if snapshot is not None and snapshot.applied + 1 >= event.first:
        return install_view(node, snapshot)
    return [CountMetric(Component.log_client, 'gaps_left')]


def install_view(node: Node, view: LogView) -> Effects:
    """Replace the view by a whole view, if that is newer."""
    if view.applied <= node.view.applied:
        return []
    node.view = view
    node.following.catch_up = None
    node.following.relay.recent.clear()
    view.mark_changed(view.roles)
    mark_view_changed(node)
    return [WriteLogLine(Component.log_client, 'installed a newer view')]


def mark_view_changed(node: Node) -> None:
    """Mark what has to be updated after a change of the view."""
    drop_settled_records(node)
    node.duties_stale = True
    node.ready_servers.update(node.view.changed_servers)
    node.view.changed_servers.clear()


def ask_peer(node: Node) -> Effects:
    """Ask a random peer, of the same zone if possible, for a newer view."""
    near = live_processes(node, node.options.zone)
    peers = near or live_processes(node, None)
    if not peers:
        return []
    exchange = node.following.exchange
    exchange.sequence += 1
    exchange.asked_peer = node.random.choice(peers)
    question = StateRead(exchange.sequence, node.view.applied)
    return [SendMessage(exchange.asked_peer, question)]


def ask_peer_again(node: Node) -> Effects:
    """Ask a peer periodically while the view is empty or the log unusable."""
    following = node.following
    timer = SetTimer(CATCH_UP_TIMER, _ASK_INTERVAL)
    is_new = node.view.applied == NO_OFFSET
    if is_new or following.log_away or following.catch_up is not None:
        return [timer, *ask_peer(node)]
    return [timer]


def handle_state_read(node: Node, peer: NodeId, question: StateRead) -> Effects:
    """Send a peer the view of this process, if it is newer than the peer's."""
    exchange = node.following.exchange
    applied = node.view.applied
    if applied <= question.applied:
        return []
    lag = applied - exchange.offset
    if exchange.offset <= question.applied or lag > _MAX_LAG:
        exchange.text = write_view(node.view)
        exchange.offset = applied
    answer = StateReply(question.sequence, exchange.offset, exchange.text)
    return [SendMessage(peer, answer)]


def handle_state_reply(node: Node, peer: NodeId, answer: StateReply) -> Effects:
    """Install a peer's view, if it was requested and is newer."""
    exchange = node.following.exchange
    expected = (exchange.asked_peer, exchange.sequence)
    if (peer, answer.sequence) != expected:
        return []
    exchange.asked_peer = None
    if answer.applied <= node.view.applied:
        return []
    view = read_view(answer.text)
    if isinstance(view, Failure):
        return [
            WriteLogLine(Component.log_client, 'a peer sent a malformed view')
        ]
    return install_view(node, view)
