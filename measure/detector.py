"""Imitate failure detection between processes that cannot talk."""

from dataclasses import dataclass, field, replace

from measure.fleet import Fleet
from measure.process import Process
from trefoilsaddle.core.events import TimerExpired, TimerKey, TimerKind
from trefoilsaddle.core.messages import Health
from trefoilsaddle.core.units import NodeId

# In seconds.
_DETECTION = 1


@dataclass(slots=True)
class Detector:
    """Tell each process which others are alive, a while late."""

    fleet: Fleet
    unseen: dict[tuple[NodeId, NodeId], float] = field(default_factory=dict)

    def look(self) -> None:
        """Compare every pair of processes."""
        processes = tuple(self.fleet.processes.values())
        for process in processes:
            for other in processes:
                if process is not other and process.alive:
                    self._compare(process, other)

    def _compare(self, process: Process, other: Process) -> None:
        pair = (process.node_id, other.node_id)
        cut = self.fleet.network.is_cut(*pair)
        if other.alive and not other.paused and not cut:
            self.unseen.pop(pair, None)
            self._set_health(process, other, Health.alive)
            return
        since = self.unseen.setdefault(pair, self.fleet.schedule.now)
        if self.fleet.schedule.now - since > _DETECTION and not process.paused:
            self._set_health(process, other, Health.dead)

    def _set_health(
        self,
        process: Process,
        other: Process,
        health: Health,
    ) -> None:
        known = process.node.membership.processes
        rumour = known.get(other.node_id)
        if rumour is None:
            sample = other.node.membership.processes[other.node_id]
            rumour = replace(sample, health=Health.suspect)
        if rumour.health is not health:
            known[other.node_id] = replace(rumour, health=health)
            wake = TimerExpired(TimerKey(TimerKind.claim))
            self.fleet.deliver(process, wake)
