"""Let one process of a zone read the log for its neighbours.

The relay answers an ask with a read that began after the ask had arrived,
so that the asker may count its lease from the moment it asked.
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

# Entries that a relay keeps for neighbours that lag.
_MAX_RECENT = 512
# How long a relay that failed is passed over.
_PASS_OVER_TIME = Seconds(5)
# Longest time that an ask takes at the relay, besides two read intervals.
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
    """Ask a relay for what follows the entries applied."""
    state = node.following.relay
    if not state.next_sequence:
        # Tells the asks of this run from those of an earlier one.
        state.next_sequence = node.random.getrandbits(_SEQUENCE_BITS) + 1
    state.request = RelayRequest(relay, state.next_sequence, moment.monotonic)
    state.next_sequence += 1
    start = Offset(node.view.applied + 1)
    return [SendMessage(relay, RelayRead(state.request.sequence, start))]


def compute_relay_timeout(node: Node) -> Seconds:
    """Return how long an ask may take before the relay counts as failed."""
    return Seconds(2 * node.options.log_interval + _RELAY_SLACK)


def skip_relay(node: Node, moment: Moment) -> None:
    """Drop the ask in flight and choose another relay for a while."""
    state = node.following.relay
    if state.request is None:
        return
    until = Seconds(moment.monotonic + _PASS_OVER_TIME)
    state.skipped_until[state.request.relay] = until
    state.request = None


def handle_relay_read(node: Node, peer: NodeId, request: RelayRead) -> None:
    """Keep an ask until the next read that begins."""
    waiting = node.following.relay.waiting
    waiting[peer] = PeerRead(request.sequence, request.start)


def attach_waiting_reads(node: Node) -> None:
    """Let the read that begins now serve every ask that has arrived."""
    state = node.following.relay
    state.reading_for.update(state.waiting)
    state.waiting.clear()


def answer_reads(node: Node, event: LogRead) -> Effects:
    """Answer the asks that a read to the tail was for."""
    state = node.following.relay
    reading_for = state.reading_for
    state.reading_for = {}
    return [
        _answer_read(node, event, peer, request)
        for peer, request in reading_for.items()
    ]


def refuse_reads(node: Node) -> Effects:
    """Tell every asker that the log could not be read."""
    state = node.following.relay
    reading_for = state.reading_for
    state.reading_for = {}
    return [
        SendMessage(peer, RelayFailed(request.sequence))
        for peer, request in reading_for.items()
    ]


def keep_recent(node: Node, entry: LogEntry) -> None:
    """Keep an entry for neighbours that lag."""
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
    """Drop the texts that no process that follows the log needs."""
    records = tuple(
        replace(record, text='') if isinstance(record, Snapshot) else record
        for record in entry.records
    )
    return LogEntry(entry.offset, records)
