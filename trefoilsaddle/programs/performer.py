"""Reduce events and perform the effects, on one loop and one thread."""

from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from functools import partial
from types import MappingProxyType
from typing import Any

from trio import Event as Signal
from trio import Nursery

from trefoilsaddle.backend.client import BackendClient
from trefoilsaddle.clock import Clock
from trefoilsaddle.core.effects import (
    AnswerCaller,
    AppendRecords,
    CancelAttempt,
    CancelTimer,
    CountMetric,
    Effect,
    ExitProcess,
    ListHosts,
    ReadLog,
    RunAttempt,
    SendGrant,
    SendMessage,
    SetTimer,
    WriteDump,
    WriteLogLine,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import (
    Event,
    HostListFailed,
    HostsListed,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    MessageReceived,
    Occurrence,
    PeerLost,
    TimerExpired,
    TimerKey,
)
from trefoilsaddle.core.messages import Message
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.reducer import reduce
from trefoilsaddle.core.units import NodeId
from trefoilsaddle.logs import ShellPart, write_line
from trefoilsaddle.metrics import Metrics
from trefoilsaddle.platform.hostlist import HostList
from trefoilsaddle.platform.logclient import LogClient
from trefoilsaddle.programs.timers import Timers
from trefoilsaddle.results import ResultCode
from trefoilsaddle.traces import Recorder
from trefoilsaddle.wire.peers import Address, PeerListener, Peers


@dataclass(frozen=True, slots=True)
class Tools:
    """Hold what a process performs its effects with."""

    clock: Clock
    log: LogClient
    hosts: HostList
    backends: BackendClient
    metrics: Metrics
    recorder: Recorder


class Performer(PeerListener):
    """Feed events to the reducer and perform what it asks for."""

    def __init__(self, node: Node, tools: Tools, nursery: Nursery) -> None:
        """Perform in a nursery that lives as long as the process."""
        self.node = node
        self.exited = Signal()
        self._tools = tools
        self._nursery = nursery
        self._timers = Timers(tools.clock)
        self._events: deque[Event] = deque()
        self._reducing = False
        self._peers: Peers | None = None
        self._actions = self._list_actions()

    def attach_peers(self, peers: Peers) -> None:
        """Send messages through the connections to peers."""
        self._peers = peers

    def attach_action(
        self,
        effect_class: type[Effect],
        perform: Callable[[Any], None],
    ) -> None:
        """Perform one kind of effect in a way of the program's own."""
        self._actions = MappingProxyType(
            {**self._actions, effect_class: perform},
        )

    def feed_event(self, event: Event) -> None:
        """Reduce an event and perform its effects.

        An effect may cause an event at once, for instance when a queue to a
        peer is full; it is reduced after the effects of the first one.
        """
        self._events.append(event)
        if self._reducing:
            return
        self._reducing = True
        while self._events:
            self._reduce_event(self._events.popleft())
        self._reducing = False

    async def run_timers(self) -> None:
        """Feed the timers that have run out."""
        await self._timers.run(self._expire_timer)

    def find_address(self, node: NodeId) -> Address | None:
        """Return where a process listens, by rumour or by the settings."""
        rumour = self.node.membership.processes.get(node)
        if rumour is not None:
            return Address(rumour.host, rumour.port)
        for peer in self.node.options.peers:
            if peer.node == node:
                return Address(peer.host, peer.port)
        return None

    def receive_message(self, sender: NodeId, message: Message) -> None:
        """Feed a message of an authenticated peer."""
        self.feed_event(MessageReceived(sender, message))

    def lose_peer(self, node: NodeId) -> None:
        """Feed the loss of a connection."""
        self.feed_event(PeerLost(node))

    def count_failure(self, code: ResultCode) -> None:
        """Count a connection that was refused."""
        self._tools.metrics.count(f'{ShellPart.wire.value}.{code.name}')

    def _reduce_event(self, event: Event) -> None:
        occurrence = Occurrence(self._tools.clock.read_moment(), event)
        self._tools.recorder.record(self.node, occurrence)
        for effect in reduce(self.node, occurrence):
            self._actions[type(effect)](effect)

    def _expire_timer(self, timer: TimerKey) -> None:
        self.feed_event(TimerExpired(timer))

    def _list_actions(self) -> Mapping[type, Callable[[Any], None]]:
        actions: dict[type, Callable[[Any], None]] = {
            SendMessage: self._send_message,
            SetTimer: self._set_timer,
            CancelTimer: self._cancel_timer,
            WriteLogLine: self._write_log_line,
            CountMetric: self._count_metric,
            WriteDump: _write_dump,
            ExitProcess: self._exit_process,
            AnswerCaller: _ignore_answer,
            CancelAttempt: self._tools.backends.cancel_attempt,
        }
        for effect_class, perform in self._list_exchanges().items():
            actions[effect_class] = partial(self._nursery.start_soon, perform)
        return MappingProxyType(actions)

    def _list_exchanges(self) -> dict[type, Callable[[Any], Awaitable[None]]]:
        return {
            ReadLog: self._read_log,
            AppendRecords: self._append_records,
            ListHosts: self._list_hosts,
            SendGrant: self._send_grant,
            RunAttempt: self._run_attempt,
        }

    def _send_message(self, effect: SendMessage) -> None:
        if effect.node == self.node.options.node:
            self.receive_message(effect.node, effect.message)
        elif self._peers is not None:
            self._peers.send_message(effect.node, effect.message)

    def _set_timer(self, effect: SetTimer) -> None:
        self._timers.start(effect.timer, effect.delay)

    def _cancel_timer(self, effect: CancelTimer) -> None:
        self._timers.cancel(effect.timer)

    def _write_log_line(self, effect: WriteLogLine) -> None:
        write_line(effect.part, effect.sentence)

    def _count_metric(self, effect: CountMetric) -> None:
        name = f'{effect.part.value}.{effect.name}'
        self._tools.metrics.count(name, effect.amount)

    def _exit_process(self, effect: ExitProcess) -> None:
        self.exited.set()

    async def _read_log(self, effect: ReadLog) -> None:
        sent = self._tools.clock.read_monotonic()
        page = await self._tools.log.read(effect.start)
        if isinstance(page, Failure):
            self.feed_event(LogReadFailed(page))
            return
        if page.refused:
            self._tools.metrics.count('log.refused_entries', page.refused)
        self.feed_event(LogRead(page.entries, page.first, page.tail, sent))

    async def _append_records(self, effect: AppendRecords) -> None:
        record_ids = tuple(record.record_id for record in effect.records)
        offset = await self._tools.log.append(effect.records)
        if isinstance(offset, Failure):
            self.feed_event(LogAppendFailed(record_ids, offset))
        else:
            self.feed_event(LogAppended(record_ids, offset))

    async def _list_hosts(self, effect: ListHosts) -> None:
        hosts = await self._tools.hosts.read()
        if isinstance(hosts, Failure):
            self.feed_event(HostListFailed(hosts))
        else:
            self.feed_event(HostsListed(hosts))

    async def _send_grant(self, effect: SendGrant) -> None:
        self.feed_event(await self._tools.backends.send_grant(effect))

    async def _run_attempt(self, effect: RunAttempt) -> None:
        self.feed_event(await self._tools.backends.run_attempt(effect))


def _ignore_answer(effect: AnswerCaller) -> None:
    """Drop an answer: this process has no callers."""


def _write_dump(effect: WriteDump) -> None:
    write_line(ShellPart.programs, effect.text)
