"""Define the configuration that operators publish to gateways."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from trefoilsaddle.core.units import (
    Rank,
    RegionName,
    Seconds,
    ServiceName,
    Version,
)


@dataclass(frozen=True, slots=True)
class WeightedService:
    """Weight a service within a route."""

    service: ServiceName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Route requests of a host and path prefix to services."""

    name: str
    host: str
    prefix: str
    idempotent: bool
    # Priority of the requests; zero is the most urgent.
    rank: Rank
    # Latency goal: an answer within it has the request's full value.
    goal: Seconds
    # Longest time until the caller gets a final answer.
    timeout: Seconds
    # Maximum number of attempts for one request.
    attempts: int
    services: tuple[WeightedService, ...]
    # Regions whose servers may run the requests; empty if any may.
    regions: frozenset[RegionName] = frozenset()


@dataclass(frozen=True, slots=True)
class RankGoal:
    """Pair the rank of a route with its latency goal."""

    rank: Rank
    goal: Seconds


# Ranks and latency goals of the routes to each service.
_Goals = dict[ServiceName, set[RankGoal]]
# Regions of the routes to each service that are limited to some.
_Constraints = dict[ServiceName, set[frozenset[RegionName]]]


@dataclass(frozen=True, slots=True)
class ServiceRules:
    """Define how the servers of a service are used."""

    name: ServiceName
    # Connections that one server accepts from all gateways together.
    connections: int
    # True if each server serves only the keys that were granted to it.
    keyed: bool
    # Requests per second that a cold server tolerates; zero if not limited.
    cold_rate: float = 0
    # Path of the servers' health responses; empty if there is none.
    health_path: str = ''


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limit the size and duration of callers' requests."""

    header_bytes: int
    body_bytes: int
    header_timeout: Seconds
    idle_timeout: Seconds


@dataclass(frozen=True, slots=True)
class Configuration:
    """Hold one complete published version."""

    version: Version
    limits: CallerLimits
    # Routes by host, the longest prefix first.
    routes: Mapping[str, tuple[Route, ...]] = field(repr=False)
    services: Mapping[ServiceName, ServiceRules] = field(repr=False)
    # Ranks and latency goals of the routes to each service.
    goals: _Goals = field(repr=False, init=False, default_factory=dict)
    # Regions of the routes to each service that are limited to some.
    constraints: _Constraints = field(
        repr=False, init=False, default_factory=dict
    )
    # The configuration as the operator wrote it, for gateways that cannot reach
    # the store.
    encoded: bytes = field(repr=False, default=b'')

    def __post_init__(self) -> None:
        """Group the goals and regions of the routes by service."""
        for routes in self.routes.values():
            for route in routes:
                _add_goal(self.goals, route)
                _add_constraint(self.constraints, route)

    def find_goal(self, service: ServiceName) -> Seconds | None:
        """Return the shortest latency goal of a service's routes."""
        goals = self.goals.get(service, ())
        return min((entry.goal for entry in goals), default=None)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix."""
        for route in self.routes.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def _add_goal(goals: _Goals, route: Route) -> None:
    for part in route.services:
        if part.weight > 0:
            found = goals.setdefault(part.service, set())
            found.add(RankGoal(route.rank, route.goal))


def _add_constraint(constraints: _Constraints, route: Route) -> None:
    if not route.regions:
        return
    for part in route.services:
        if part.weight > 0:
            constraints.setdefault(part.service, set()).add(route.regions)
