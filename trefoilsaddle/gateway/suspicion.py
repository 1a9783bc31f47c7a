"""Detect servers that do not answer orders.

A failed order counts against its server only if most orders to other servers at
the same time were confirmed: otherwise the fault is in this process or the
network, and the order is sent again. A single failed order is not enough, as it
may have been sent while this process was suspended.
"""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.servers import ServerIncarnation

# Time for which a suspected server gets no keys; its entry is removed by then
# if it is gone.
_SUSPICION_TIME = Seconds(4)
# A server that is suspected again without a confirmed order in between gets no
# keys for twice as long as before, up to this time.
_MAX_SUSPICION_TIME = Seconds(16)
_SUSPICION_GROWTH = 2
# Minimum time between two failed orders that make a server suspected: longer
# than a call lasts, so that the second one was sent after the first had ended.
_MIN_FAILING_TIME = Seconds(0.3)


@dataclass(frozen=True, slots=True)
class _Outcome:
    at: Seconds
    confirmed: bool
    # Time of the first failed order that counts against the server.
    failing_since: Seconds | None = None


@dataclass(frozen=True, slots=True)
class _Suspicion:
    until: Seconds
    length: Seconds


@dataclass(frozen=True, slots=True)
class OtherServers:
    """Count the other servers whose newest order succeeded or failed."""

    confirmed: int
    failed: int

    @property
    def is_reachable(self) -> bool:
        """Return whether this process' orders reach most servers."""
        return self.confirmed > 0 and self.confirmed >= self.failed


@dataclass(slots=True)
class Suspicions:
    """Hold the result of the newest order to each server."""

    outcomes: dict[ServerIncarnation, _Outcome] = field(default_factory=dict)
    # The newest suspicion of each server since its last confirmed order.
    suspected: dict[ServerIncarnation, _Suspicion] = field(default_factory=dict)

    def is_suspected(
        self, incarnation: ServerIncarnation, now: Seconds
    ) -> bool:
        """Return whether a server is suspected."""
        suspicion = self.suspected.get(incarnation)
        return suspicion is not None and now < suspicion.until

    def is_on_trial(self, incarnation: ServerIncarnation, now: Seconds) -> bool:
        """Return whether no order was confirmed since an ended suspicion."""
        suspicion = self.suspected.get(incarnation)
        return suspicion is not None and now >= suspicion.until

    def has_recent_failure(
        self, incarnation: ServerIncarnation, now: Seconds
    ) -> bool:
        """Return whether a recent failed order counts against a server."""
        last = self.outcomes.get(incarnation)
        if last is None or last.failing_since is None:
            return False
        # A server without keys gets no order that it could confirm.
        return now < last.at + _SUSPICION_TIME

    def count(self, now: Seconds) -> int:
        """Return the number of suspected servers."""
        return sum(
            now < suspicion.until for suspicion in self.suspected.values()
        )

    def record_confirmed(
        self, incarnation: ServerIncarnation, now: Seconds
    ) -> None:
        """Record a confirmed order, which ends the suspicion."""
        self.outcomes[incarnation] = _Outcome(now, confirmed=True)
        self.suspected.pop(incarnation, None)

    def record_failed(
        self,
        incarnation: ServerIncarnation,
        since: Seconds,
        now: Seconds,
    ) -> OtherServers:
        """Record a failed order; suspect its server if others answered."""
        others = self._count_others(incarnation, since)
        failing_since = (
            self._find_failing_since(incarnation, now)
            if others.is_reachable
            else None
        )
        self.outcomes[incarnation] = _Outcome(
            now, confirmed=False, failing_since=failing_since
        )
        silent = (
            failing_since is not None
            and now - failing_since >= _MIN_FAILING_TIME
        )
        if silent or self.is_on_trial(incarnation, now):
            self.suspect(incarnation, now)
        return others

    def suspect(self, incarnation: ServerIncarnation, now: Seconds) -> None:
        """Suspect a server, so that it gets no keys for a time."""
        length = self._find_length(incarnation, now)
        self.suspected[incarnation] = _Suspicion(Seconds(now + length), length)

    def remove_gone(self, known: set[ServerIncarnation]) -> None:
        """Remove the results of servers that are gone."""
        for incarnation in set(self.outcomes).difference(known):
            self.outcomes.pop(incarnation)
            self.suspected.pop(incarnation, None)

    def _find_length(
        self, incarnation: ServerIncarnation, now: Seconds
    ) -> Seconds:
        last = self.suspected.get(incarnation)
        if last is None:
            return _SUSPICION_TIME
        if now < last.until:
            return last.length
        longer = last.length * _SUSPICION_GROWTH
        return Seconds(min(longer, _MAX_SUSPICION_TIME))

    def _find_failing_since(
        self, incarnation: ServerIncarnation, now: Seconds
    ) -> Seconds:
        last = self.outcomes.get(incarnation)
        if last is None or last.failing_since is None:
            return now
        return last.failing_since

    def _count_others(
        self, incarnation: ServerIncarnation, since: Seconds
    ) -> OtherServers:
        recent = [
            outcome.confirmed
            for other, outcome in self.outcomes.items()
            if other != incarnation and outcome.at >= since
        ]
        confirmed = sum(recent)
        return OtherServers(confirmed, len(recent) - confirmed)
