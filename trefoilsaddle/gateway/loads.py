"""Measure load from gateways' reports, as exponentially decaying averages.

The controller keeps, for each key, the rate of its requests, and for each
server the mean number of requests at it and the mean time of a request.
"""

from dataclasses import dataclass, field
from math import exp

from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.keys import Key
from trefoilsaddle.gateway.peermessages import KeyCount, ServerUse
from trefoilsaddle.gateway.servers import Server, ServerIncarnation

# Time constant of a key's rate: the set of busy keys changes within seconds.
_KEY_TIME_CONSTANT = Seconds(1.5)
# Minimum time over which rates are measured; rates of a shorter time are too
# uncertain to be scaled up.
_MIN_AGE = Seconds(0.5)
# Keys below this rate, in requests per second, are removed.
_MIN_RATE = 0.02
# Time constant of a server's mean request time.
_SERVICE_TIME_CONSTANT = Seconds(4)
# Reports older than this are ignored; a sum over all reports is renewed at this
# interval, and follows new reports in between.
_MAX_REPORT_AGE = Seconds(1.2)
_SUM_INTERVAL = Seconds(0.2)


@dataclass(slots=True)
class KeyRates:
    """Hold the request rates of a service's keys, in requests per second."""

    # Time of the first report, None before it.
    started: Seconds | None = None
    rates: dict[Key, float] = field(default_factory=dict)
    decayed_at: Seconds = Seconds(0)

    def add(self, counts: tuple[KeyCount, ...], now: Seconds) -> None:
        """Add the requests counted in a report."""
        if self.started is None:
            self.started = now
        for count in counts:
            rate = self.rates.get(count.key, 0)
            self.rates[count.key] = rate + count.requests / _KEY_TIME_CONSTANT

    def read(self, now: Seconds) -> dict[Key, float]:
        """Return the rates, corrected for the time since the first report."""
        if self.started is None:
            return {}
        age = max(now - self.started, _MIN_AGE)
        seen = 1 - exp(-age / _KEY_TIME_CONSTANT)
        return {key: rate / seen for key, rate in self.rates.items()}

    def decay(self, now: Seconds) -> None:
        """Apply the decay since the last call."""
        if not self.decayed_at:
            self.decayed_at = now
            return
        part = exp((self.decayed_at - now) / _KEY_TIME_CONSTANT)
        self.decayed_at = now
        self.rates = {
            key: rate * part
            for key, rate in self.rates.items()
            if rate * part > _MIN_RATE
        }


@dataclass(slots=True)
class ServerMeasure:
    """Hold the load of one server as reported by all gateways."""

    # By gateway: the mean number of its requests and the time of the report.
    busy: dict[NodeId, tuple[float, Seconds]] = field(default_factory=dict)
    # Sum of `busy`, and the time at which outdated reports were left out.
    busy_sum: float = 0
    summed_at: Seconds = Seconds(float('-inf'))
    # Decaying sums: slot-seconds in use and the requests completed in them.
    work: float = 0
    done: float = 0
    succeeded: float = 0
    failed: float = 0
    updated: Seconds = Seconds(0)

    def total_busy(self, now: Seconds) -> float:
        """Return the mean number of requests at the server."""
        if now - self.summed_at > _SUM_INTERVAL:
            self._drop_outdated(now)
        return self.busy_sum

    def record_busy(self, node: NodeId, mean: float, now: Seconds) -> None:
        """Record the mean number of a gateway's requests."""
        known, _ = self.busy.get(node, (0, now))
        self.busy[node] = (mean, now)
        self.busy_sum += mean - known

    def count(self, use: ServerUse) -> None:
        """Add the successes and failures of a report."""
        self.succeeded += use.succeeded
        self.failed += use.failed

    def add_work(self, work: float, done: int) -> None:
        """Add the time that completed requests took."""
        self.work += work
        self.done += done

    def decay(self, now: Seconds) -> None:
        """Apply the decay since the last call."""
        part = exp((self.updated - now) / _SERVICE_TIME_CONSTANT)
        self.updated = now
        self.work *= part
        self.done *= part
        self.succeeded *= part
        self.failed *= part

    def _drop_outdated(self, now: Seconds) -> None:
        self.summed_at = now
        self.busy = {
            node: entry
            for node, entry in self.busy.items()
            if now - entry[1] <= _MAX_REPORT_AGE
        }
        self.busy_sum = sum(mean for mean, _ in self.busy.values())


@dataclass(frozen=True, slots=True)
class UseSample:
    """Pair the reported use of a server with the time that it covers."""

    use: ServerUse
    elapsed: Seconds


@dataclass(slots=True)
class ServerLoads:
    """Hold the measured loads of all servers."""

    default_time: Seconds
    measures: dict[ServerIncarnation, ServerMeasure] = field(
        default_factory=dict
    )

    def add_report(
        self,
        server: Server,
        node: NodeId,
        sample: UseSample,
        now: Seconds,
    ) -> None:
        """Add a gateway's report of a server."""
        use = sample.use
        measure = self.measures.setdefault(server.life, ServerMeasure())
        measure.decay(now)
        measure.record_busy(node, use.busy, now)
        total = measure.total_busy(now)
        measure.count(use)
        if total <= server.slots:
            # Only requests that found a free slot measure the work without
            # waiting.
            measure.add_work(use.sampled, use.samples)
            return
        # All slots are busy; requests beyond them wait.
        work = use.busy * sample.elapsed * server.slots / total
        measure.add_work(work, use.succeeded)

    def service_time(
        self, incarnation: ServerIncarnation, mean: Seconds
    ) -> Seconds:
        """Return a server's mean time; the overall mean is one sample."""
        measure = self.measures.get(incarnation)
        if measure is None:
            return mean
        return Seconds((measure.work + mean) / (measure.done + 1))

    def mean_time(self) -> Seconds:
        """Return the mean request time over all servers."""
        work = sum(measure.work for measure in self.measures.values())
        done = sum(measure.done for measure in self.measures.values())
        # One request of the default time avoids a division by zero.
        return Seconds((work + self.default_time) / (done + 1))

    def busy(self, incarnation: ServerIncarnation, now: Seconds) -> float:
        """Return the mean number of requests at a server."""
        measure = self.measures.get(incarnation)
        return 0 if measure is None else measure.total_busy(now)

    def failure_rate(self, incarnation: ServerIncarnation) -> float:
        """Return the fraction of a server's requests that failed."""
        measure = self.measures.get(incarnation)
        if measure is None:
            return 0
        return measure.failed / (measure.failed + measure.succeeded + 1)

    def remove_gone(self, known: set[ServerIncarnation]) -> None:
        """Remove the loads of servers that are gone."""
        for incarnation in set(self.measures).difference(known):
            self.measures.pop(incarnation)
