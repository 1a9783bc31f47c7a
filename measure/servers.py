"""Imitate backend servers in virtual time."""

from dataclasses import dataclass, field
from random import Random

from measure.idleness import IdleTime
from measure.scenes import SLOTS, Scene, Trouble
from trefoilsaddle.core.events import AttemptVerdict

# A server that sheds takes fewer requests at once, and refuses some anyway.
_SHED_LIMIT = 2
_SHED_FRACTION = 0.2
_SHED_TIME = 0.001
# Requests until a cold server is warm, and how slow it is at first.
_COLD_REQUESTS = 150
_COLD_FACTOR = 3
# How much each request under way slows the others while cold.
_COLD_CONTENTION = 0.7


@dataclass(frozen=True, slots=True)
class Ending:
    """Say how and when a request at a server ends."""

    verdict: AttemptVerdict
    time: float


@dataclass(slots=True)
class FakeServer:
    """Run requests on a few slots, as one scene wants it."""

    scene: Scene
    random: Random
    idle: IdleTime = field(default_factory=IdleTime)
    running: int = 0
    runs: int = 0

    def start(self, now: float, needs: float) -> Ending:
        """Begin to run a request that needs some seconds."""
        if self._sheds(now):
            return Ending(AttemptVerdict.shed, now + _SHED_TIME)
        self._change_running(now, 1)
        duration = needs * self._coldness()
        self.runs += 1
        return Ending(AttemptVerdict.answered, self._thaw(now, duration))

    def stop(self, now: float) -> None:
        """End a request that has run or was cancelled."""
        self._change_running(now, -1)

    def _change_running(self, now: float, change: int) -> None:
        if self._is_frozen(now):
            self.idle.note(now, 0)
        else:
            self.idle.note(now, SLOTS - self.running)
        self.running += change

    def _is_frozen(self, now: float) -> bool:
        if self.scene.trouble is not Trouble.freeze:
            return False
        return self.scene.begin <= now <= self.scene.end

    def _sheds(self, now: float) -> bool:
        if self.scene.trouble is not Trouble.shed:
            return False
        if not self.scene.begin <= now < self.scene.end:
            return False
        if self.running >= _SHED_LIMIT:
            return True
        return self.random.random() < _SHED_FRACTION

    def _coldness(self) -> float:
        if self.scene.trouble is not Trouble.cold:
            return 1
        cold = max(1 - self.runs / _COLD_REQUESTS, 0)
        contention = 1 + _COLD_CONTENTION * cold * (self.running - 1)
        return (1 + _COLD_FACTOR * cold) * contention

    def _thaw(self, now: float, duration: float) -> float:
        """Return when a request ends that a freeze may hold up."""
        scene = self.scene
        end = now + duration
        if scene.trouble is not Trouble.freeze:
            return end
        if now >= scene.end or end < scene.begin:
            return end
        return scene.end + end - max(now, scene.begin)
