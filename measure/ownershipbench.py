"""Simulate several dispatchers and servers and check exclusive ownership.

After each step at a server, no shard may be owned by two servers.  A server
that checks grants owns a shard by an unexpired grant, any other server by a
running request.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from unittest.mock import patch

from measure.fleet import Fleet
from measure.grantlinks import GrantLinks
from measure.ownershipscene import Scene
from measure.ownershiptraffic import Traffic
from measure.process import Process
from measure.serverlinks import FakeServer, ServerLinks
from standins.serverstate import ServerTraits
from trefoilsaddle.core import moves, recovery
from trefoilsaddle.core.effects import Effect, SendGrant
from trefoilsaddle.core.units import Epoch, Seconds, ServerId, ShardId

_MANY_SLOTS = 1000


@dataclass(slots=True)
class Bench:
    """Simulation of one scene, with the violations that were found."""

    scene: Scene
    fleet: Fleet = field(init=False)
    links: ServerLinks = field(init=False)
    traffic: Traffic = field(init=False)
    grants: GrantLinks = field(init=False)
    servers: dict[ServerId, FakeServer] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    starts: int = 0

    def __post_init__(self) -> None:
        """Start all processes and servers, and publish the configuration."""
        scene = self.scene
        self.fleet = Fleet(scene.seed)
        self.fleet.perform_other = self._perform
        schedule = self.fleet.schedule
        self.links = ServerLinks(schedule, self.fleet.random.random)
        parts = (scene, self.fleet, self.links, self.servers)
        self.traffic = Traffic(*parts, self._check_shard)
        self.grants = GrantLinks(*parts, self._check_all)
        for server in scene.server_ids:
            self._start_server(server)
        for publication in scene.publications():
            self.fleet.log.append((publication,))
        for index, _ in enumerate(scene.peers):
            self.fleet.start(scene.make_options(index), self._draw_rate())
        schedule.add(scene.pace, self._tick)

    @property
    def now(self) -> float:
        """Return the virtual time."""
        return self.fleet.schedule.now

    def run(self, duration: float) -> None:
        """Run the simulation for a duration in seconds."""
        self.fleet.run(duration)

    def process(self, index: int) -> Process:
        """Return a dispatcher by its index; replacements come last."""
        return tuple(self.fleet.processes.values())[index]

    def holder(self, server: ServerId) -> Process | None:
        """Return the live dispatcher with the greatest term for a server."""
        found: dict[Epoch, Process] = {}
        for process in self.fleet.processes.values():
            duty = process.node.duties.held.get(server)
            if process.alive and duty is not None:
                found[duty.term] = process
        return found[max(found)] if found else None

    def find_unserved(self, since: float) -> list[ShardId]:
        """Return the shards that no server has served since a time."""
        served = self.traffic.served
        return [
            shard
            for shard in self.scene.shard_ids
            if served.get(shard, -1) < since
        ]

    def replace_process(self, index: int) -> None:
        """Kill a process and start a new one with an empty state."""
        self.process(index).alive = False
        self.starts += 1
        options = self.scene.make_options(index, self.starts)
        self.fleet.start(options, self._draw_rate())

    def _start_server(self, server: ServerId) -> None:
        traits = ServerTraits(
            server,
            checks_grants=self.scene.checks_grants,
            slots=_MANY_SLOTS,
            service_time=Seconds(self.scene.service_time),
        )
        schedule = self.fleet.schedule
        rate = self._draw_rate()
        self.servers[server] = FakeServer(traits, schedule, rate)

    def _draw_rate(self) -> float:
        # Half the drift each, so that two clocks differ by the drift at most.
        drift = self.scene.drift / 2
        return 1 + self.fleet.random.uniform(-drift, drift)

    def _tick(self) -> None:
        self.fleet.schedule.add(self.scene.pace, self._tick)
        for process in tuple(self.fleet.processes.values()):
            if process.alive and not process.paused:
                self.traffic.send_some(process)

    def _perform(self, process: Process, effect: Effect) -> None:
        if isinstance(effect, SendGrant):
            self.grants.send(process, effect)

    def _check_all(self) -> None:
        for shard in self.scene.shard_ids:
            self._check_shard(shard)

    def _check_shard(self, shard: ShardId) -> None:
        owners = self._find_owners(shard)
        if len(owners) > 1:
            names = ' and '.join(sorted(owners))
            number = shard.number
            self.violations.append(f'{self.now}: {number} at {names}')

    def _find_owners(self, shard: ShardId) -> set[ServerId]:
        if self.scene.checks_grants:
            return {
                server_id
                for server_id, server in self.servers.items()
                if server.alive and server.state.owns(server.clock, shard)
            }
        return {
            run.attempt.server
            for run in self.traffic.running
            if run.attempt.shard == shard
            and run.server.alive
            and self.now < run.attempt.deadline
        }


@contextmanager
def open_bench(scene: Scene) -> Iterator[Bench]:
    """Start a simulation whose own requests replace those of the queues."""
    bench = Bench(scene)
    traffic = bench.traffic
    with (
        patch.object(moves, 'count_running', traffic.count_running),
        patch.object(recovery, 'latest_deadline', traffic.latest_deadline),
    ):
        yield bench
