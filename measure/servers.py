"""Simulated backend servers of the service measurements."""

from dataclasses import dataclass, field
from random import Random

from measure.idleness import IdleTime
from measure.scenes import SLOTS, FaultKind, Scene
from trefoilsaddle.core.events import AttemptVerdict

# A shedding server runs fewer requests at once, and refuses a fraction of the
# others too.
_SHED_LIMIT = 2
_SHED_FRACTION = 0.2
_SHED_TIME = 0.001
# Number of requests until a cold server is warm, and its initial slowdown.
_COLD_REQUESTS = 150
_COLD_FACTOR = 3
# Slowdown by each concurrent request while cold.
_COLD_CONTENTION = 0.7


@dataclass(frozen=True, slots=True)
class Ending:
    """Verdict and end time of a request at a server."""

    verdict: AttemptVerdict
    time: float


@dataclass(slots=True)
class FakeServer:
    """Server with a few slots and the fault of a scene."""

    scene: Scene
    random: Random
    idle: IdleTime = field(default_factory=IdleTime)
    running: int = 0
    runs: int = 0

    def start(self, now: float, service_time: float) -> Ending:
        """Start a request with a given service time, or shed it."""
        if self._sheds(now):
            return Ending(AttemptVerdict.shed, now + _SHED_TIME)
        self._change_running(now, 1)
        duration = service_time * self._slowdown()
        self.runs += 1
        return Ending(AttemptVerdict.answered, self._find_end(now, duration))

    def stop(self, now: float) -> None:
        """End a completed or cancelled request."""
        self._change_running(now, -1)

    def _change_running(self, now: float, change: int) -> None:
        if self._is_frozen(now):
            self.idle.record(now, 0)
        else:
            self.idle.record(now, SLOTS - self.running)
        self.running += change

    def _is_frozen(self, now: float) -> bool:
        if self.scene.fault is not FaultKind.freeze:
            return False
        return self.scene.begin <= now <= self.scene.end

    def _sheds(self, now: float) -> bool:
        if self.scene.fault is not FaultKind.shed:
            return False
        if not self.scene.begin <= now < self.scene.end:
            return False
        if self.running >= _SHED_LIMIT:
            return True
        return self.random.random() < _SHED_FRACTION

    def _slowdown(self) -> float:
        if self.scene.fault is not FaultKind.cold:
            return 1
        cold = max(1 - self.runs / _COLD_REQUESTS, 0)
        contention = 1 + _COLD_CONTENTION * cold * (self.running - 1)
        return (1 + _COLD_FACTOR * cold) * contention

    def _find_end(self, now: float, duration: float) -> float:
        """Return the end of a request, delayed by a freeze if there is one."""
        scene = self.scene
        end = now + duration
        if scene.fault is not FaultKind.freeze:
            return end
        if now >= scene.end or end < scene.begin:
            return end
        return scene.end + end - max(now, scene.begin)
