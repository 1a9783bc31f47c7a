"""Estimate the load of each server as seen by this gateway.

A gateway sends only a small part of a server's requests. The controller sums up
the reports of all gateways and sends the totals to each; between two updates a
gateway adds the change of its own requests to the last total.
"""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds, ServiceName
from trefoilsaddle.gateway.loadreports import HeardLoad
from trefoilsaddle.gateway.peermessages import ServerUse
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.statements import LoadReport

# Weight of a new result in the moving average of failures.
_FAILURE_GAIN = 0.2
# Minimum interval between two reports.
_MIN_ELAPSED = Seconds(0.01)
# Time after a reset for which new connections to a service's servers are
# watched before a request is sent.
_RESET_MEMORY = Seconds(30)
# A failure costs this many times the service time.
_FAILURE_COST = 4


@dataclass(slots=True)
class Pool:
    """Hold a gateway's view of one incarnation of a server."""

    incarnation: ServerIncarnation
    service_time: Seconds
    # Requests of this gateway at the server.
    running: int = 0
    # Integral of `running` since the last report, in request-seconds.
    integral: float = 0
    changed_at: Seconds = Seconds(0)
    succeeded: int = 0
    failed: int = 0
    # Total time and number of the requests that did not wait.
    sampled: float = 0
    samples: int = 0
    # Mean number of requests of all gateways in the last update, and this
    # gateway's part of it.
    fleet_busy: float = 0
    own_at_update: float = 0
    updated_at: Seconds = Seconds(float('-inf'))
    # Mean of `running` in the last report.
    own_mean: float = 0
    failure_rate: float = 0
    # No request is sent before this time.
    blocked_until: Seconds = Seconds(0)
    # The server has reported that it is full; requests before this time are
    # refused at once.
    full_until: Seconds = Seconds(0)
    # The server wants no requests before this time.
    paused_until: Seconds = Seconds(0)
    # Last load that the server has reported, if it does.
    heard: HeardLoad | None = None

    def start_request(self, now: Seconds) -> None:
        """Record that a request was sent."""
        self._advance(now)
        self.running += 1

    def end_request(self, now: Seconds) -> None:
        """Record that a request has ended in any way."""
        self._advance(now)
        self.running -= 1

    def count_result(self, *, success: bool) -> None:
        """Record the success or failure of a request that ran."""
        if success:
            self.succeeded += 1
        else:
            self.failed += 1
        miss = 0 if success else 1
        self.failure_rate += (miss - self.failure_rate) * _FAILURE_GAIN

    def is_unused(self) -> bool:
        """Return whether nothing has happened since the last report."""
        ended = self.succeeded + self.failed
        return not (self.running or self.integral or ended or self.own_mean)

    def pop_mean(self, now: Seconds, elapsed: Seconds) -> float:
        """Return the mean of `running` since the last report, and reset it."""
        self._advance(now)
        self.own_mean = self.integral / max(elapsed, _MIN_ELAPSED)
        self.integral = 0
        return self.own_mean

    def add_sample(self, elapsed: Seconds) -> None:
        """Record the time of a request that found a free slot."""
        self.sampled += elapsed
        self.samples += 1

    def pop_use(self, mean: float) -> ServerUse:
        """Return the counts since the last report, and reset them."""
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
        """Apply the controller's total for the server."""
        self.fleet_busy = busy
        self.own_at_update = self.own_mean
        self.updated_at = now
        self.service_time = service_time

    def record_load(self, report: LoadReport, now: Seconds) -> None:
        """Record the load that an answer reports; its request has ended."""
        self.heard = HeardLoad(report, now, max(self.running - 1, 0))

    def find_slowness(self, now: Seconds) -> float:
        """Return by what factor work takes longer than usual."""
        return 1 if self.heard is None else self.heard.find_slowness(now)

    def expected_cost(self) -> float:
        """Return the expected time of a request, with a cost for failures."""
        weight = 1 + self.failure_rate * _FAILURE_COST
        return self.service_time * weight

    def _advance(self, now: Seconds) -> None:
        self.integral += self.running * max(now - self.changed_at, 0)
        self.changed_at = now


@dataclass(slots=True)
class Pools:
    """Hold the pools of all servers."""

    default_time: Seconds
    # Time after which the totals are too old to be used.
    update_lifetime: Seconds = Seconds(2)
    # Time of the last update; values that it omits have not changed.
    updated_at: Seconds = Seconds(float('-inf'))
    by_incarnation: dict[ServerIncarnation, Pool] = field(default_factory=dict)
    # Services whose servers reset connections when they are full, and those
    # whose servers say so instead.
    resetting: set[ServiceName] = field(default_factory=set)
    shedding: set[ServiceName] = field(default_factory=set)
    # Services whose servers report their load.
    reporting: set[ServiceName] = field(default_factory=set)
    # Time of the last request of a service whose connection was reset at once.
    reset_at: dict[ServiceName, Seconds] = field(default_factory=dict)

    def record_shed(self, service: ServiceName) -> None:
        """Record that a full server has said that it is full."""
        self.shedding.add(service)
        self.resetting.discard(service)

    def record_reset(self, service: ServiceName, now: Seconds) -> None:
        """Record that a server reset a connection soon after a request."""
        self.reset_at[service] = now

    def has_recent_reset(self, service: ServiceName, now: Seconds) -> bool:
        """Return whether servers of a service reset connections lately."""
        reset_at = self.reset_at.get(service)
        return reset_at is not None and now - reset_at < _RESET_MEMORY

    def find(self, incarnation: ServerIncarnation) -> Pool:
        """Return the pool of a server, created on first use."""
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
        """Estimate the number of requests at a server."""
        heard = pool.heard
        if heard is not None and heard.is_newer(pool.updated_at, now):
            return float(heard.count_others() + pool.running)
        if now - self.updated_at > self.update_lifetime:
            return float(pool.running * max(gateways, 1))
        others = max(pool.fleet_busy - pool.own_at_update, 0)
        return others + pool.running

    def remove_gone(self, known: set[ServerIncarnation]) -> bool:
        """Remove the pools of servers that are gone, unless they are in use.

        Returns whether none is left.
        """
        gone = set(self.by_incarnation).difference(known)
        idle = [
            incarnation
            for incarnation in gone
            if not self.by_incarnation[incarnation].running
        ]
        for incarnation in idle:
            self.by_incarnation.pop(incarnation)
        return len(idle) == len(gone)
