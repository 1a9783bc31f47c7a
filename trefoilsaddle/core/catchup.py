"""Close a gap: take the view of a snapshot in the log, or of a peer.

A gap means that records between the last one applied and the oldest one kept
have expired.  Nothing read after it is applied until a whole view that
reaches over the gap has been found.  An older view never replaces a newer.
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
from trefoilsaddle.core.outbox import drop_settled
from trefoilsaddle.core.units import NO_OFFSET, NodeId, Offset, Seconds
from trefoilsaddle.core.view import LogView
from trefoilsaddle.core.viewtext import read_view, write_view

CATCH_UP_TIMER = TimerKey(TimerKind.catch_up)
# Time between two questions to peers while the log does not help.
_ASK_INTERVAL = Seconds(1)
# A written view is handed out again until it lags by more entries.
_MOST_LAG = 1000


def begin_catch_up(node: Node, first: Offset) -> Effects:
    """Search the log from its oldest entry, and ask a peer."""
    node.following.catch_up = CatchUp(first)
    return [CountMetric(Component.log_client, 'gaps'), *ask_peer(node)]


def continue_catch_up(node: Node, event: LogRead) -> Effects:
    """Look for the newest snapshot; take it once the tail is reached."""
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
    """Replace the view by a newer one."""
    if view.applied <= node.view.applied:
        return []
    node.view = view
    node.following.catch_up = None
    node.following.relay.recent.clear()
    view.touch(view.roles)
    note_change(node)
    return [WriteLogLine(Component.log_client, 'a newer view was taken over')]


def note_change(node: Node) -> None:
    """Let the other parts look at a changed view."""
    drop_settled(node)
    node.duties_stale = True
    node.ready_servers.update(node.view.touched)
    node.view.touched.clear()


def ask_peer(node: Node) -> Effects:
    """Ask a peer, of the same zone if possible, for a newer view."""
    near = live_processes(node, node.options.zone)
    peers = near or live_processes(node, None)
    if not peers:
        return []
    exchange = node.following.exchange
    exchange.sequence += 1
    exchange.asked = node.random.choice(peers)
    question = StateRead(exchange.sequence, node.view.applied)
    return [SendMessage(exchange.asked, question)]


def ask_peer_again(node: Node) -> Effects:
    """Ask on and on while the log does not help."""
    following = node.following
    timer = SetTimer(CATCH_UP_TIMER, _ASK_INTERVAL)
    is_new = node.view.applied == NO_OFFSET
    if is_new or following.log_away or following.catch_up is not None:
        return [timer, *ask_peer(node)]
    return [timer]


def answer_peer(node: Node, peer: NodeId, question: StateRead) -> Effects:
    """Hand out a view, if it is newer than the peer's."""
    exchange = node.following.exchange
    applied = node.view.applied
    if applied <= question.applied:
        return []
    lag = applied - exchange.offset
    if exchange.offset <= question.applied or lag > _MOST_LAG:
        exchange.text = write_view(node.view)
        exchange.offset = applied
    answer = StateReply(question.sequence, exchange.offset, exchange.text)
    return [SendMessage(peer, answer)]


def take_peer_view(node: Node, peer: NodeId, answer: StateReply) -> Effects:
    """Take a peer's view over, if it was asked for and is newer."""
    exchange = node.following.exchange
    expected = (exchange.asked, exchange.sequence)
    if (peer, answer.sequence) != expected:
        return []
    exchange.asked = None
    if answer.applied <= node.view.applied:
        return []
    view = read_view(answer.text)
    if isinstance(view, Failure):
        return [WriteLogLine(Component.log_client, 'A peer sent a bad view.')]
    return install_view(node, view)
