"""Discrete-event simulation of many processes, with a seeded event queue.

Every process runs the product's reducer. The log, the network and the clocks
are simulated, and tests switch faults on and off.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial
from random import Random

from measure.platform import FakeLog
from measure.process import Process
from measure.schedule import Schedule
from trefoilsaddle.core.effects import (
    AppendRecords,
    CancelTimer,
    Effect,
    ListHosts,
    ReadLog,
    SendMessage,
    SetTimer,
    WriteLogLine,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import (
    Event,
    HostsListed,
    ListedHost,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    MessageReceived,
    PeerLost,
    Started,
    TimerKey,
)
from trefoilsaddle.core.messages import Message
from trefoilsaddle.core.node import Node, build_node
from trefoilsaddle.core.options import Options
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.results import ResultCode

_NEAR_DELAY = Seconds(0.001)
_FAR_DELAY = Seconds(0.02)
_LOG_TIMEOUT = Seconds(0.5)
_LOG_UNAVAILABLE = Failure(ResultCode.log_unavailable, 'the log is unavailable')


@dataclass(slots=True)
class Network:
    """Faults of the links between processes."""

    # Pairs of processes whose link is cut.
    cuts: set[frozenset[NodeId]] = field(default_factory=set)
    # Fraction of messages that are lost.
    loss: float = 0

    def cut(self, near: Iterable[NodeId], far: Iterable[NodeId]) -> None:
        """Cut all links between two groups of processes."""
        far_side = tuple(far)
        self.cuts.update(
            frozenset((one, other)) for one in near for other in far_side
        )

    def is_cut(self, one: NodeId, other: NodeId) -> bool:
        """Return whether the link between two processes is cut."""
        return frozenset((one, other)) in self.cuts


@dataclass(slots=True)
class Fleet:
    """Simulated processes with their log, network and event queue."""

    seed: int
    log: FakeLog = field(default_factory=FakeLog)
    network: Network = field(default_factory=Network)
    schedule: Schedule = field(default_factory=Schedule)
    processes: dict[NodeId, Process] = field(default_factory=dict)
    # Content of the host list.
    hosts: tuple[ListedHost, ...] = ()
    # Called for each message sent, with its sender and receiver.
    observe: Callable[[NodeId, NodeId, Message], None] | None = None
    # Called for effects that the fleet does not perform itself.
    perform_other: Callable[[Process, Effect], None] | None = None
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the random generator of the network."""
        self.random = Random(self.seed)

    def start(self, options: Options, rate: float = 1) -> Node:
        """Start a process, or restart it with an empty state."""
        process = Process(build_node(options), self.schedule, rate=rate)
        self.processes[options.node] = process
        self.deliver(process, Started())
        return process.node

    def run(self, duration: float) -> None:
        """Run the simulation for a duration in seconds."""
        self.schedule.run(duration)

    def deliver(self, process: Process, event: Event) -> None:
        """Deliver an event to a live process, or defer it while paused."""
        if not process.alive or self.processes[process.node_id] is not process:
            return
        if process.defer(partial(self.deliver, process, event)):
            return
        for effect in process.handle_event(event):
            self.perform(process, effect)

    def perform(self, process: Process, effect: Effect) -> None:
        """Carry out an effect of a process."""
        match effect:
            case SetTimer(timer, delay):
                self._set_timer(process, timer, delay)
            case CancelTimer(timer):
                process.timers.pop(timer, None)
            case SendMessage():
                self._send(process, effect)
            case ReadLog():
                self._read(process, effect)
            case AppendRecords():
                self._append(process, effect)
            case ListHosts():
                self._deliver_later(
                    process, HostsListed(self.hosts), _NEAR_DELAY
                )
            case _:
                self._perform_other(process, effect)

    def _perform_other(self, process: Process, effect: Effect) -> None:
        if isinstance(effect, WriteLogLine):
            process.log_lines.append(effect.sentence)
        elif self.perform_other is not None:
            self.perform_other(process, effect)

    def _set_timer(
        self,
        process: Process,
        timer: TimerKey,
        delay: Seconds,
    ) -> None:
        number = self.schedule.scheduled + 1
        expire = partial(self._expire, process, timer, number)
        process.start_timer(timer, delay, expire)

    def _expire(self, process: Process, timer: TimerKey, number: int) -> None:
        if process.defer(partial(self._expire, process, timer, number)):
            return
        expiry = process.end_timer(timer, number)
        if expiry is not None:
            self.deliver(process, expiry)

    def _send(self, process: Process, effect: SendMessage) -> None:
        sender = process.node_id
        if self.observe is not None:
            self.observe(sender, effect.node, effect.message)
        target = self.processes.get(effect.node)
        if self.network.is_cut(sender, effect.node):
            return
        if target is None or not target.alive:
            self._deliver_later(process, PeerLost(effect.node), _NEAR_DELAY)
            return
        if self.random.random() < self.network.loss:
            return
        region = process.node.options.region
        near = target.node.options.region == region
        received = MessageReceived(sender, effect.message)
        self._deliver_later(
            target, received, _NEAR_DELAY if near else _FAR_DELAY
        )

    def _read(self, process: Process, effect: ReadLog) -> None:
        sent = process.clock
        if self.log.faults.away or process.cut_from_log:
            self._deliver_later(
                process, LogReadFailed(_LOG_UNAVAILABLE), _LOG_TIMEOUT
            )
            return
        found = self.log.read(effect.start)
        answer = LogRead(found.entries, found.first, found.tail, sent)
        self._deliver_later(process, answer, self.log.faults.delay)

    def _append(self, process: Process, effect: AppendRecords) -> None:
        faults = self.log.faults
        record_ids = tuple(record.record_id for record in effect.records)
        failed = LogAppendFailed(record_ids, _LOG_UNAVAILABLE)
        if faults.away or process.cut_from_log or faults.lose_appends:
            self._deliver_later(process, failed, _LOG_TIMEOUT)
            return
        offset = self.log.append(effect.records)
        if faults.lose_replies:
            self._deliver_later(process, failed, _LOG_TIMEOUT)
            return
        appended = LogAppended(record_ids, offset)
        self._deliver_later(process, appended, faults.delay)

    def _deliver_later(
        self, process: Process, event: Event, delay: float
    ) -> None:
        self.schedule.add(delay, partial(self.deliver, process, event))
