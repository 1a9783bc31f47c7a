"""Let one process of a zone read the log for its peers.

The relay answers a request from a read that started after the request had
arrived, so that the requester may measure its lease from the send time of the
request.
"""

from dataclasses import replace

from trefoilsaddle.core.effects import Effects, SendMessage
from trefoilsaddle.core.events import LogRead
from trefoilsaddle.core.followstate import PeerRead, RelayRequest
from trefoilsaddle.core.hashing import rank_candidates
from trefoilsaddle.core.membership import live_dispatchers
from trefoilsaddle.core.messages import RelayEntries, RelayFailed, RelayRead
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.records import LogEntry, Snapshot
from trefoilsaddle.core.units import Moment, NodeId, Offset, Seconds

# Maximum number of entries that a relay keeps for peers that lag.
_MAX_RECENT = 512
# Time for which a failed relay is not used.
_SKIP_TIME = Seconds(5)
# Time allowed for a relay request in addition to two read intervals.
_RELAY_SLACK = Seconds(0.5)
_SEQUENCE_BITS = 32


def choose_relay(node: Node, moment: Moment) -> NodeId | None:
    """Return the process to read through, or None to read directly."""
    options = node.options
    skipped_until = node.following.relay.skipped_until
    candidates = [
        candidate
        for candidate in live_dispatchers(node, options.zone)
        if skipped_until.get(candidate, moment.monotonic) <= moment.monotonic
    ]
    if not candidates:
        return None
    ranked = rank_candidates(f'log-reader/{options.zone}', candidates)
    return None if ranked[0] == options.node else ranked[0]


def ask_relay(node: Node, moment: Moment, relay: NodeId) -> Effects:
    """Ask a relay for the entries after the last one applied."""
    state = node.following.relay
    if not state.next_sequence:
        # Distinguishes requests of this incarnation from those of earlier ones.
        state.next_sequence = node.random.getrandbits(_SEQUENCE_BITS) + 1
    state.request = RelayRequest(relay, state.next_sequence, moment.monotonic)
    state.next_sequence += 1
    start = Offset(node.view.applied + 1)
    return [SendMessage(relay, RelayRead(state.request.sequence, start))]


def compute_relay_timeout(node: Node) -> Seconds:
    """Return the time after which an unanswered relay counts as failed."""
    return Seconds(2 * node.options.log_interval + _RELAY_SLACK)


def skip_relay(node: Node, moment: Moment) -> None:
    """Drop the request in flight and avoid its relay for some time."""
    state = node.following.relay
    if state.request is None:
        return
    until = Seconds(moment.monotonic + _SKIP_TIME)
    state.skipped_until[state.request.relay] = until
    state.request = None


def handle_relay_read(node: Node, peer: NodeId, request: RelayRead) -> None:
    """Queue a peer's request for the next read that starts."""
    waiting = node.following.relay.waiting
    waiting[peer] = PeerRead(request.sequence, request.start)


def attach_waiting_reads(node: Node) -> None:
    """Attach all waiting requests to the read that starts now."""
    state = node.following.relay
    state.reading_for.update(state.waiting)
    state.waiting.clear()


def answer_reads(node: Node, event: LogRead) -> Effects:
    """Answer the requests attached to a read that reached the tail."""
    state = node.following.relay
    reading_for = state.reading_for
    state.reading_for = {}
    return [
        _answer_read(node, event, peer, request)
        for peer, request in reading_for.items()
    ]


def refuse_reads(node: Node) -> Effects:
    """Refuse the requests attached to a read that failed or found a gap."""
    state = node.following.relay
    reading_for = state.reading_for
    state.reading_for = {}
    return [
        SendMessage(peer, RelayFailed(request.sequence))
        for peer, request in reading_for.items()
    ]


def keep_recent(node: Node, entry: LogEntry) -> None:
    """Keep an entry for the requests of peers that lag."""
    recent = node.following.relay.recent
    if recent and recent[-1].offset + 1 != entry.offset:
        recent.clear()
    recent.append(_strip_snapshots(entry))
    if len(recent) > _MAX_RECENT:
        recent.popleft()


def _answer_read(
    node: Node,
    event: LogRead,
    peer: NodeId,
    request: PeerRead,
) -> SendMessage:
    recent = node.following.relay.recent
    oldest = recent[0].offset if recent else event.tail
    if request.start < min(oldest, event.tail):
        return SendMessage(peer, RelayFailed(request.sequence))
    entries = tuple(entry for entry in recent if entry.offset >= request.start)
    answer = RelayEntries(request.sequence, entries, event.first, event.tail)
    return SendMessage(peer, answer)


def _strip_snapshots(entry: LogEntry) -> LogEntry:
    """Drop snapshot texts, which peers that follow the log do not need."""
    records = tuple(
        replace(record, text='') if isinstance(record, Snapshot) else record
        for record in entry.records
    )
    return LogEntry(entry.offset, records)
