"""Know how busy each server is: own requests, and what the fleet reports.

A gateway sees a small part of a server's work.  The controller sums up the
reports of all gateways and tells each the total; between two such totals the
change of the own requests is added.
"""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.peermessages import ServerUse
from trefoilsaddle.gateway.servers import ServerIncarnation

# Part that one new result has in the estimate of failures.
_FAILURE_GAIN = 0.2
# Reports are never closer together.
_MIN_ELAPSED = Seconds(0.01)
# Failures count as much as if each took so many times the service time.
_FAILURE_COST = 4


@dataclass(slots=True)
class Pool:
    """Hold what a gateway knows of one run of a server."""

    incarnation: ServerIncarnation
    service_time: Seconds
    # Own requests that are at the server.
    running: int = 0
    # Sum of running over time since the last report, in request-seconds.
    integral: float = 0
    changed_at: Seconds = Seconds(0)
    succeeded: int = 0
    failed: int = 0
    # Times of requests that did not wait, and how many they were.
    sampled: float = 0
    samples: int = 0
    # Mean total at the server as last told, and the own part of it.
    fleet_busy: float = 0
    own_at_update: float = 0
    updated_at: Seconds = Seconds(float('-inf'))
    # Last report's own mean.
    own_mean: float = 0
    failure_rate: float = 0
    # Nothing is sent before this time.
    blocked_until: Seconds = Seconds(0)
    # The server has said that it is full; what comes before this time is
    # refused at once.
    full_until: Seconds = Seconds(0)

    def start_request(self, now: Seconds) -> None:
        """Count a request that is sent."""
        self._advance(now)
        self.running += 1

    def end_request(self, now: Seconds) -> None:
        """Count a request that has ended, however."""
        self._advance(now)
        self.running -= 1

    def count_result(self, *, success: bool) -> None:
        """Learn from the answer to a request that ran."""
        if success:
            self.succeeded += 1
        else:
            self.failed += 1
        miss = 0 if success else 1
        self.failure_rate += (miss - self.failure_rate) * _FAILURE_GAIN

    def pop_mean(self, now: Seconds, elapsed: Seconds) -> float:
        """Return the mean of running since the last report; start anew."""
        self._advance(now)
        self.own_mean = self.integral / max(elapsed, _MIN_ELAPSED)
        self.integral = 0
        return self.own_mean

    def add_sample(self, elapsed: Seconds) -> None:
        """Learn from the time of a request that found a free slot."""
        self.sampled += elapsed
        self.samples += 1

    def pop_use(self, mean: float) -> ServerUse:
        """Sum up what was counted since the last report; start anew."""
        use = ServerUse(
            self.incarnation.tag,
            mean,
            self.succeeded,
            self.failed,
            Seconds(self.sampled),
            self.samples,
        )
        self.succeeded = 0
        self.failed = 0
        self.sampled = 0
        self.samples = 0
        return use

    def apply_load(
        self,
        busy: float,
        service_time: Seconds,
        now: Seconds,
    ) -> None:
        """Take the controller's total."""
        self.fleet_busy = busy
        self.own_at_update = self.own_mean
        self.updated_at = now
        self.service_time = service_time

    def expected_cost(self) -> float:
        """Return the time of a request, failures counted in."""
        weight = 1 + self.failure_rate * _FAILURE_COST
        return self.service_time * weight

    def _advance(self, now: Seconds) -> None:
        self.integral += self.running * max(now - self.changed_at, 0)
        self.changed_at = now


@dataclass(slots=True)
class Pools:
    """Hold the pools of all servers."""

    default_time: Seconds
    # Time after which a total is too old to count on.
    update_lifetime: Seconds = Seconds(2)
    # Time of the last news; what it left out has not changed.
    updated_at: Seconds = Seconds(float('-inf'))
    by_incarnation: dict[ServerIncarnation, Pool] = field(default_factory=dict)

    def find(self, incarnation: ServerIncarnation) -> Pool:
        """Return the pool of a server, a new one at need."""
        pool = self.by_incarnation.get(incarnation)
        if pool is None:
            pool = Pool(incarnation, self.default_time)
            self.by_incarnation[incarnation] = pool
        return pool

    def estimate_busy(
        self,
        pool: Pool,
        now: Seconds,
        gateways: int,
    ) -> float:
        """Estimate how many requests are at a server."""
        if now - self.updated_at > self.update_lifetime:
            return float(pool.running * max(gateways, 1))
        others = max(pool.fleet_busy - pool.own_at_update, 0)
        return others + pool.running

    def forget(self, known: set[ServerIncarnation]) -> None:
        """Drop the pools of servers that are gone and idle."""
        gone = [
            incarnation
            for incarnation, pool in self.by_incarnation.items()
            if incarnation not in known and not pool.running
        ]
        for incarnation in gone:
            self.by_incarnation.pop(incarnation)
