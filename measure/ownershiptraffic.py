"""Simulated requests, sent as the queues would when authority allows it."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from measure.fleet import Fleet
from measure.ownershipscene import SERVICE, Scene
from measure.process import Process
from measure.serverlinks import FakeServer, ServerLinks
from standins.serverstate import Execution, NotRun, RunCall
from trefoilsaddle.core.authority import Authority, check_authority
from trefoilsaddle.core.events import AttemptEnded, AttemptVerdict
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import (
    AttemptId,
    Moment,
    Seconds,
    ServerId,
    ShardId,
)

# Longest delay between the decision to send and the sending, in seconds.
_MAX_SEND_DELAY = 0.01
# Attempt id that no queue knows, since the requests do not pass through queues.
_UNKNOWN = AttemptId(-1)


@dataclass(slots=True)
class Attempt:
    """Request of a dispatcher that has not ended."""

    process: Process
    server: ServerId
    shard: ShardId
    authority: Authority
    # By the clock of the simulation.
    deadline: float
    # By the clock of the dispatcher.
    local_deadline: Seconds
    open: bool = True


@dataclass(slots=True)
class Run:
    """Request that a server is running."""

    server: FakeServer
    attempt: Attempt
    execution: Execution


@dataclass(slots=True)
class Traffic:
    """All requests of a simulation."""

    scene: Scene
    fleet: Fleet
    links: ServerLinks
    servers: dict[ServerId, FakeServer]
    # Called with the shard whenever a server starts to run a request.
    check: Callable[[ShardId], None]
    attempts: list[Attempt] = field(default_factory=list)
    running: list[Run] = field(default_factory=list)
    # Start of the last request that ran, by shard.
    served: dict[ShardId, float] = field(default_factory=dict)
    served_by: dict[ShardId, ServerId] = field(default_factory=dict)

    def send_some(self, process: Process) -> None:
        """Send a request for each shard that a process may serve."""
        moment = Moment(process.clock, process.clock)
        for server in tuple(process.node.duties.held):
            for shard in self.scene.shard_ids:
                found = check_authority(process.node, moment, server, shard)
                if isinstance(found, Authority):
                    self._begin_attempt(process, server, shard, found)

    def count_running(
        self,
        node: Node,
        server: ServerId,
        shard: ShardId | None,
    ) -> int:
        """Return the number of a process's open attempts at a server."""
        return sum(
            attempt.process.node is node
            and attempt.server == server
            and shard in {None, attempt.shard}
            for attempt in self.attempts
        )

    def latest_deadline(self, node: Node, server: ServerId) -> Seconds:
        """Return the last deadline of a process's attempts, by its clock."""
        deadlines = [
            attempt.local_deadline
            for attempt in self.attempts
            if attempt.process.node is node and attempt.server == server
        ]
        return max(deadlines, default=Seconds(0))

    def _begin_attempt(
        self,
        process: Process,
        server: ServerId,
        shard: ShardId,
        authority: Authority,
    ) -> None:
        deadline = self.scene.deadline
        attempt = Attempt(
            process,
            server,
            shard,
            authority,
            self.fleet.schedule.now + deadline,
            Seconds(process.clock + deadline * 1.01),
        )
        self.attempts.append(attempt)
        delay = self.fleet.random.random() * _MAX_SEND_DELAY
        self.fleet.schedule.add(delay, partial(self._send_attempt, attempt))
        self.fleet.schedule.add(deadline, partial(self._end, attempt))

    def _send_attempt(self, attempt: Attempt) -> None:
        process = attempt.process
        if not process.alive or not attempt.open:
            return
        if process.defer(partial(self._send_attempt, attempt)):
            return
        if process.clock >= attempt.authority.send_before:
            self._end(attempt)
            return
        server = self.servers[attempt.server]
        run = partial(self._run_attempt, server, attempt)
        arrive = partial(server.receive, run, partial(self._end, attempt))
        self.links.carry_call(process.node_id, attempt.server, arrive)

    def _run_attempt(self, server: FakeServer, attempt: Attempt) -> None:
        call = RunCall(
            service=SERVICE,
            member='north',
            key='key',
            shard=attempt.shard,
            term=attempt.authority.term,
            epoch=attempt.authority.epoch,
            dispatcher=attempt.process.node_id,
            attempt='1',
            path='/',
            # Servers that honour deadlines count them from the sending, so the
            # time on the way is subtracted.
            remaining=Seconds(attempt.deadline - self.fleet.schedule.now),
        )
        started = server.state.begin(server.clock, call)
        if isinstance(started, NotRun):
            self._end(attempt)
            self._report_fence(attempt, started)
            return
        run = Run(server, attempt, started)
        self.running.append(run)
        self.served[attempt.shard] = self.fleet.schedule.now
        self.served_by[attempt.shard] = attempt.server
        self.check(attempt.shard)
        length = (started.due - started.started) / server.rate
        finish = partial(self._finish, run)
        self.fleet.schedule.add(length, finish)

    def _report_fence(self, attempt: Attempt, reason: NotRun) -> None:
        if reason is NotRun.fenced:
            verdict = AttemptVerdict.fenced
            ended = AttemptEnded(attempt.server, _UNKNOWN, verdict, None)
            self.fleet.deliver(attempt.process, ended)

    def _finish(self, run: Run) -> None:
        server, attempt = run.server, run.attempt
        if server.frozen:
            server.backlog.append(partial(self._finish, run))
            return
        server.state.finish(server.clock, run.execution)
        self.running.remove(run)
        if server.alive:
            end = partial(self._end, attempt)
            node = attempt.process.node_id
            self.links.carry_reply(node, attempt.server, end)

    def _end(self, attempt: Attempt) -> None:
        if attempt.open and not attempt.process.paused:
            attempt.open = False
            self.attempts.remove(attempt)
        elif attempt.open:
            attempt.process.defer(partial(self._end, attempt))
