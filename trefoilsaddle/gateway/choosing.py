"""Choose the service of a request and the server that runs it."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from trefoilsaddle.core.units import Seconds, ServiceName
from trefoilsaddle.gateway import slowstart
from trefoilsaddle.gateway.admission import (
    Demand,
    ServerRoom,
    answers_in_time,
    find_admitted_depth,
)
from trefoilsaddle.gateway.admitting import (
    build_demand,
    estimate_work,
    reports_load,
)
from trefoilsaddle.gateway.configuration import Route
from trefoilsaddle.gateway.lifecycle import find_exit_time
from trefoilsaddle.gateway.locality import (
    Distance,
    find_distance,
    is_allowed,
)
from trefoilsaddle.gateway.pools import Pool
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.sharing import find_wait_for_server
from trefoilsaddle.gateway.state import Gateway, OpenCall

# Costs of servers elsewhere, as times that are added to their own: for another
# region a round trip, and the price of the bytes.
_DISTANCE_COSTS: Mapping[Distance, Seconds] = MappingProxyType(
    {
        Distance.zone: Seconds(0),
        Distance.region: Seconds(0.01),
        Distance.elsewhere: Seconds(0.4),
    }
)
# Cost of another zone where servers report their load: what is known of them is
# exact enough to use the own zone as long as it answers as soon as that.
_REPORTING_ZONE_COST = Seconds(0.1)
# Jitter of the cost as a fraction, so that gateways which choose at the same
# moment choose differently.
_COST_JITTER = 0.25
# A server that has just started is slower by this factor.
_COLD_FACTOR = 2
# Fraction of the latency goal that the time at a server may take up.
_GOAL_FRACTION = 0.95
# Limits of the requests per slot at a server: the minimum keeps slots from
# idling, and a server sheds what exceeds its queue, the maximum.
_MIN_DEPTH = 2
_MAX_DEPTH = 4.2
# The same maximum for servers that reset connections when they are full, as the
# outcome of such a request is unknown: with the most urgent rank's share and
# requests of other gateways it stays below a queue of four per slot.
_MAX_DEPTH_RESETTING = 3
# Fraction of the depth that each rank may fill. The most urgent rank may exceed
# it: the requests that it displaces are worth less.
_RANK_FRACTIONS = (1.5, 1.0, 0.85)
# Longest time of a request at a server, as a multiple of its mean time.
_LONGEST_FACTOR = 9


@dataclass(frozen=True, slots=True)
class Candidate:
    """Pair a server with its estimated load and cost."""

    server: Server
    pool: Pool
    busy: float
    cost: float
    # Limit of the requests per slot at the server.
    max_depth: float = _MAX_DEPTH
    # The request, if the server reports its load.
    demand: Demand | None = None
    # Expected time of the request once it has a slot.
    own_time: Seconds = Seconds(0)

    @property
    def room(self) -> ServerRoom:
        """Return the server as admission sees it."""
        return ServerRoom(
            self.busy,
            self.server.slots,
            self.pool.service_time,
            self.own_time,
        )


def choose_service(gateway: Gateway, route: Route) -> ServiceName:
    """Return the next service of a route by smooth weighted round robin."""
    if len(route.services) == 1:
        return route.services[0].service
    turns = gateway.turns.setdefault(route.name, {})
    total = float(0)
    for entry in route.services:
        total += entry.weight
        turns[entry.service] = turns.get(entry.service, 0) + entry.weight
    chosen = max(
        (part.service for part in route.services),
        key=lambda service: turns[service],
    )
    turns[chosen] -= total
    return chosen


def choose_server(
    gateway: Gateway,
    call: OpenCall,
    servers: Iterable[Server],
    now: Seconds,
) -> Candidate | None:
    """Return the cheaper of servers drawn at random, if any has room."""
    reports = reports_load(gateway, call)
    groups: dict[Distance, list[Server]] = {
        distance: [] for distance in Distance
    }
    for server in servers:
        distance = find_distance(gateway, server)
        if distance == Distance.zone and not reports:
            distance = Distance.region
        groups[distance].append(server)
    sampled = [
        candidate
        for group in groups.values()
        for candidate in _sample_with_room(gateway, call, group, now)
    ]
    return min(sampled, key=lambda candidate: candidate.cost, default=None)


def list_candidates(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
) -> list[Candidate]:
    """Return the servers of a request's service that accept requests."""
    return [
        build_candidate(gateway, server, now, call)
        for server in list_open(gateway, call, now)
    ]


def list_open(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
) -> Iterator[Server]:
    """Yield the servers of a request's service that accept requests."""
    for server in gateway.registry.list_service(call.service):
        if _accepts_requests(gateway, call, server, now):
            yield server


def _accepts_requests(
    gateway: Gateway, call: OpenCall, server: Server, now: Seconds
) -> bool:
    if server.draining or not is_allowed(gateway, call.route, server):
        return False
    pool = gateway.pools.find(server.life)
    if now < max(pool.blocked_until, pool.full_until):
        return False
    return not find_wait_for_server(gateway, call, server.life, now)


# If every gateway chose the best server by the same reported loads, all would
# choose the same one until the next update; choosing the better of two random
# servers spreads the requests.
_SAMPLE_SIZE = 2


def _sample_with_room(
    gateway: Gateway,
    call: OpenCall,
    servers: list[Server],
    now: Seconds,
) -> list[Candidate]:
    """Draw random servers, fast ones more often, until enough have room."""
    sampled: list[Candidate] = []
    for server in _shuffle_by_speed(gateway, servers):
        candidate = build_candidate(gateway, server, now, call)
        if has_room(call, candidate) and ends_in_time(
            gateway, call, candidate, now
        ):
            sampled.append(candidate)
        if len(sampled) == _SAMPLE_SIZE:
            break
    return sampled


def _shuffle_by_speed(gateway: Gateway, servers: list[Server]) -> list[Server]:
    """Order servers at random, fast ones more often first."""
    ranks = {
        server.life: gateway.random.random()
        ** max(gateway.pools.find(server.life).expected_cost(), _MIN_TIME)
        for server in servers
    }
    return sorted(servers, key=lambda server: -ranks[server.life])


def build_candidate(
    gateway: Gateway,
    server: Server,
    now: Seconds,
    call: OpenCall,
) -> Candidate:
    """Estimate the time after which a server would answer one more request."""
    pool = gateway.pools.find(server.life)
    busy = gateway.pools.estimate_busy(pool, now, gateway.count_gateways())
    cost = pool.expected_cost()
    if is_cold(gateway, server, now):
        cost *= _COLD_FACTOR
    cost *= max(1, (busy + 1) / server.slots) * pool.find_slowness(now)
    cost *= 1 + gateway.random.random() * _COST_JITTER
    resets = server.service in gateway.pools.resetting
    demand = None
    if reports_load(gateway, call):
        demand = build_demand(call, now)
    return Candidate(
        server,
        pool,
        busy,
        cost + _find_distance_cost(gateway, server, reports=demand is not None),
        _MAX_DEPTH_RESETTING if resets else _MAX_DEPTH,
        demand,
        estimate_work(gateway, call, server, now),
    )


def has_room(
    call: OpenCall,
    candidate: Candidate,
) -> bool:
    """Return whether a server would answer within the latency goal."""
    room = find_depth(call, candidate) * candidate.server.slots
    if candidate.busy + 1 > max(room, 1):
        return False
    return candidate.demand is None or answers_in_time(
        candidate.demand, candidate.room
    )


def ends_in_time(
    gateway: Gateway,
    call: OpenCall,
    candidate: Candidate,
    now: Seconds,
) -> bool:
    """Return whether a server is expected to answer before this process ends."""
    slots = candidate.server.slots
    waiting = max(candidate.busy + 1 - slots, 0) / slots
    mean = candidate.pool.service_time
    if is_cold(gateway, candidate.server, now):
        mean = Seconds(mean * _COLD_FACTOR)
    longest = Seconds(mean * (waiting + _LONGEST_FACTOR))
    return _exits_later(gateway, call, Seconds(now + longest))


def may_wait(gateway: Gateway, call: OpenCall, now: Seconds) -> bool:
    """Return whether an average server could still answer in time."""
    longest = gateway.pools.default_time * _LONGEST_FACTOR
    return _exits_later(gateway, call, Seconds(now + longest))


def _exits_later(gateway: Gateway, call: OpenCall, end: Seconds) -> bool:
    exit_time = find_exit_time(gateway)
    return exit_time is None or min(end, call.expires) <= exit_time


def find_depth(call: OpenCall, candidate: Candidate) -> float:
    """Return how many requests a slot may hold, including waiting ones."""
    if candidate.demand is not None:
        return find_admitted_depth(candidate.demand, candidate.room)
    time = max(candidate.pool.service_time, _MIN_TIME)
    depth = call.route.goal * _GOAL_FRACTION / time
    rank = min(call.route.rank, len(_RANK_FRACTIONS) - 1)
    depth = min(depth, candidate.max_depth) * _RANK_FRACTIONS[rank]
    return max(depth, _MIN_DEPTH)


def is_cold(gateway: Gateway, server: Server, now: Seconds) -> bool:
    """Return whether a server still works slower after its start."""
    if slowstart.is_cold(gateway, server, now):
        return True
    seen = gateway.registry.first_seen_at.get(server.life, now)
    return now < seen + server.warm_up_left


_MIN_TIME = Seconds(0.001)


def _find_distance_cost(
    gateway: Gateway, server: Server, *, reports: bool
) -> Seconds:
    distance = find_distance(gateway, server)
    if distance == Distance.region and reports:
        return _REPORTING_ZONE_COST
    return _DISTANCE_COSTS[distance]
