"""Choose the service of a request, and the server that is to run it."""

from collections.abc import Iterator
from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds, ServiceName, ZoneName
from trefoilsaddle.gateway.configuration import Route
from trefoilsaddle.gateway.pools import Pool
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.state import Gateway, OpenCall

# Cost of a server elsewhere, as time that it would have to make up for.
_OTHER_ZONE_COST = Seconds(0.01)
# A round trip between regions and the price of the bytes.
_OTHER_REGION_COST = Seconds(0.4)
# Gateways that choose at the same moment are to differ: part of a cost.
_COST_JITTER = 0.25
# A server that has just started is this many times slower.
_COLD_FACTOR = 2
# Part of a goal that waiting at a server may take up.
_GOAL_FRACTION = 0.95
# Requests at a server per slot: at least, so that slots never idle, and at
# most, as a server sheds what is beyond its queue.
_MIN_DEPTH = 2
_MAX_DEPTH = 4.2
# Part of its depth that a rank may fill.  The most urgent may exceed it:
# what it displaces is worth less.
_RANK_FRACTIONS = (1.5, 1.0, 0.85)


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold a server with how busy it is thought to be."""

    server: Server
    pool: Pool
    busy: float
    cost: float


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
    now: Seconds,
) -> Candidate | None:
    """Return the better one of servers drawn at random, if any has room."""
    region = gateway.options.region
    near: list[Server] = []
    far: list[Server] = []
    for server in _list_open(gateway, call, now):
        inside = find_region(gateway, server.zone) == region
        (near if inside else far).append(server)
    sampled = [
        *_sample_with_room(gateway, call, near, now),
        *_sample_with_room(gateway, call, far, now),
    ]
    return min(sampled, key=lambda candidate: candidate.cost, default=None)


def list_candidates(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
) -> list[Candidate]:
    """Return the servers of a request's service that may be sent to."""
    return [
        build_candidate(gateway, server, now)
        for server in _list_open(gateway, call, now)
    ]


def _list_open(
    gateway: Gateway,
    call: OpenCall,
    now: Seconds,
) -> Iterator[Server]:
    for server in gateway.registry.list_service(call.service):
        if server.draining:
            continue
        pool = gateway.pools.find(server.life)
        if now >= max(pool.blocked_until, pool.full_until):
            yield server


# Gateways that each took the best server by the same told loads would all
# take the same one until the next news; the better of two spreads them.
_SAMPLE_SIZE = 2


def _sample_with_room(
    gateway: Gateway,
    call: OpenCall,
    servers: list[Server],
    now: Seconds,
) -> list[Candidate]:
    """Draw servers in proportion to their speed, until enough have room."""
    sampled: list[Candidate] = []
    for server in _shuffle_by_speed(gateway, servers):
        candidate = build_candidate(gateway, server, now)
        if has_room(call, candidate):
            sampled.append(candidate)
        if len(sampled) == _SAMPLE_SIZE:
            break
    return sampled


def _shuffle_by_speed(gateway: Gateway, servers: list[Server]) -> list[Server]:
    """Order servers at random, those with short times first more often."""
    ranks = {
        server.life: gateway.random.random()
        ** max(gateway.pools.find(server.life).expected_cost(), _MIN_TIME)
        for server in servers
    }
    return sorted(servers, key=lambda server: -ranks[server.life])


def build_candidate(
    gateway: Gateway, server: Server, now: Seconds
) -> Candidate:
    """Estimate when a server would answer one more request."""
    pool = gateway.pools.find(server.life)
    busy = gateway.pools.estimate_busy(pool, now, gateway.count_gateways())
    cost = pool.expected_cost()
    if is_cold(gateway, server, now):
        cost *= _COLD_FACTOR
    cost *= max(1, (busy + 1) / server.slots)
    cost *= 1 + gateway.random.random() * _COST_JITTER
    return Candidate(
        server, pool, busy, cost + _find_distance_cost(gateway, server)
    )


def has_room(
    call: OpenCall,
    candidate: Candidate,
) -> bool:
    """Tell whether a server would answer within the request's goal."""
    room = find_depth(call, candidate) * candidate.server.slots
    return candidate.busy + 1 <= max(room, 1)


def find_depth(call: OpenCall, candidate: Candidate) -> float:
    """Return how many requests a slot may hold, those waiting included."""
    time = max(candidate.pool.service_time, _MIN_TIME)
    depth = call.route.goal * _GOAL_FRACTION / time
    rank = min(call.route.rank, len(_RANK_FRACTIONS) - 1)
    depth = min(depth, _MAX_DEPTH) * _RANK_FRACTIONS[rank]
    return max(depth, _MIN_DEPTH)


def is_cold(gateway: Gateway, server: Server, now: Seconds) -> bool:
    """Tell whether a server still works slower after its start."""
    seen = gateway.registry.first_seen_at.get(server.life, now)
    return now < seen + server.warm_up_left


_MIN_TIME = Seconds(0.001)


def _find_distance_cost(gateway: Gateway, server: Server) -> Seconds:
    options = gateway.options
    if server.zone == options.zone:
        return Seconds(0)
    if find_region(gateway, server.zone) == options.region:
        return _OTHER_ZONE_COST
    return _OTHER_REGION_COST


def find_region(gateway: Gateway, zone: ZoneName) -> str | None:
    """Return the region of an availability zone."""
    return gateway.options.regions.get(zone)
