"""Estimate how long the work of a route takes at a server.

The mean that the controller tells for a server covers all requests to it.  A
service may run requests of several routes whose work differs, and a gateway
sends too few requests of one route to one server to know their time from these
alone.  So the told mean, scaled by how the route's work compares with all that
this gateway sends to the service, counts as a number of samples.
"""

from dataclasses import dataclass, field
from math import exp

from trefoilsaddle.core.units import Seconds, ServiceName
from trefoilsaddle.gateway.servers import Server, ServerIncarnation

# Time constant of the decay of a sample.  The work of a route changes rarely.
# A server that was measured while its neighbours slowed it down gets fewer
# requests, and few new samples: its own ones have to fade sooner.
_ROUTE_PERIOD = Seconds(60)
_SERVER_PERIOD = Seconds(20)
# Number of samples that the prior counts as: with a spread of the work as large as
# its mean, the mean of eight samples is off by a third.
_PRIOR_WEIGHT = 8
_MIN_TIME = Seconds(0.001)


@dataclass(slots=True)
class DecayedMean:
    """Hold a mean of samples whose weight decays over time."""

    period: Seconds
    total: float = 0
    weight: float = 0
    updated_at: Seconds = Seconds(0)

    def add(self, elapsed: Seconds, now: Seconds) -> None:
        """Add a sample."""
        fade = self._find_fade(now)
        self.total = self.total * fade + elapsed
        self.weight = self.weight * fade + 1
        self.updated_at = now

    def find(self, prior: float, now: Seconds) -> float:
        """Return the mean, in which the prior counts as some samples."""
        fade = self._find_fade(now)
        total = self.total * fade + prior * _PRIOR_WEIGHT
        return total / (self.weight * fade + _PRIOR_WEIGHT)

    def _find_fade(self, now: Seconds) -> float:
        return exp(-max(now - self.updated_at, 0) / self.period)


@dataclass(frozen=True, slots=True)
class RouteWork:
    """Name the requests of a route to a service."""

    route: str
    service: ServiceName


@dataclass(frozen=True, slots=True)
class ServerWork:
    """Name the requests of a route to a server."""

    work: RouteWork
    server: ServerIncarnation


@dataclass(slots=True)
class WorkEstimates:
    """Hold the times of requests that found a free slot."""

    services: dict[ServiceName, DecayedMean] = field(default_factory=dict)
    routes: dict[RouteWork, DecayedMean] = field(default_factory=dict)
    servers: dict[ServerWork, DecayedMean] = field(default_factory=dict)

    def add_sample(
        self, route: str, server: Server, elapsed: Seconds, now: Seconds
    ) -> None:
        """Record the time of a request that found a free slot."""
        service = server.service
        work = RouteWork(route, service)
        pair = ServerWork(work, server.life)
        means = (
            self.services.setdefault(service, DecayedMean(_ROUTE_PERIOD)),
            self.routes.setdefault(work, DecayedMean(_ROUTE_PERIOD)),
            self.servers.setdefault(pair, DecayedMean(_SERVER_PERIOD)),
        )
        for mean in means:
            mean.add(elapsed, now)

    def estimate(
        self, route: str, server: Server, told: Seconds, now: Seconds
    ) -> Seconds:
        """Return the expected time of a request that finds a free slot.

        `told` is the mean of the server's requests as the controller tells it.
        """
        work = RouteWork(route, server.service)
        prior = told * self._compare(work, now)
        measured = self.servers.get(ServerWork(work, server.life))
        if measured is None:
            return Seconds(prior)
        return Seconds(measured.find(prior, now))

    def keep_only(self, works: set[RouteWork]) -> None:
        """Forget routes and services that are not configured any more."""
        services = {work.service for work in works}
        for service in self.services.keys() - services:
            self.services.pop(service)
        for work in self.routes.keys() - works:
            self.routes.pop(work)
        for pair in list(self.servers):
            if pair.work not in works:
                self.servers.pop(pair)

    def remove_gone(self, known: set[ServerIncarnation]) -> None:
        """Remove the samples of servers that are gone."""
        for pair in list(self.servers):
            if pair.server not in known:
                self.servers.pop(pair)

    def _compare(self, work: RouteWork, now: Seconds) -> float:
        """Return a route's work as a multiple of its service's mean."""
        service = self.services.get(work.service)
        route = self.routes.get(work)
        if service is None or route is None:
            return 1
        mean = max(service.total / service.weight, _MIN_TIME)
        return route.find(mean, now) / mean
