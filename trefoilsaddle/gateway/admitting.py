"""Apply the admission of requests to services whose servers report their load."""

from collections.abc import Iterable

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.admission import (
    Capacity,
    Demand,
    ServerRoom,
    Standing,
    find_admitted_depth,
)
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.serviceshares import ServerGroup
from trefoilsaddle.gateway.state import Gateway, OpenCall
from trefoilsaddle.gateway.workestimates import RouteWork

# Routes of which the longest time is kept; names may change with each version.
_MAX_ROUTES = 4096
# Time that callers who return have lost at least; others differ by less.
_MIN_RETURN_TIME = Seconds(0.08)


def find_standing(gateway: Gateway, call: OpenCall) -> Standing:
    """Rank a request; record how long its caller waits."""
    name = call.route.name
    rank = call.route.rank
    left = call.head.remaining
    longest = max(gateway.longest_left.get(name, left), left)
    gateway.longest_left[name] = longest
    configuration = gateway.configuration
    goals = (
        ()
        if configuration is None
        else configuration.goals.get(call.service, ())
    )
    return Standing(
        yields=any(entry.rank < rank for entry in goals),
        precedes=any(entry.rank > rank for entry in goals),
        returned=left < longest - _MIN_RETURN_TIME,
    )


def reports_load(gateway: Gateway, call: OpenCall) -> bool:
    """Return whether the servers of a request's service report their load."""
    return call.service in gateway.pools.reporting


def build_demand(call: OpenCall, now: Seconds) -> Demand:
    """Describe a request."""
    left = Seconds(call.expires - now)
    return Demand(call.route.goal, left, call.standing)


def record_work(
    gateway: Gateway,
    call: OpenCall,
    server: Server,
    elapsed: Seconds,
    now: Seconds,
) -> None:
    """Record the time of a request that found a free slot."""
    if reports_load(gateway, call):
        gateway.work.add_sample(call.route.name, server, elapsed, now)


def estimate_work(
    gateway: Gateway, call: OpenCall, server: Server, now: Seconds
) -> Seconds:
    """Return the expected time of a request that finds a free slot."""
    told = gateway.pools.find(server.life).service_time
    if not reports_load(gateway, call):
        return told
    return gateway.work.estimate(call.route.name, server, told, now)


def find_wait_for_share(
    gateway: Gateway,
    call: OpenCall,
    servers: Iterable[Server],
    now: Seconds,
) -> Seconds:
    """Return the time until this gateway may send a request, by its part."""
    pools = gateway.pools
    if now - pools.updated_at > pools.update_lifetime:
        return Seconds(0)
    demand = build_demand(call, now)
    capacity = Capacity()
    for server in servers:
        pool = gateway.pools.find(server.life)
        room = ServerRoom(
            pool.fleet_busy,
            server.slots,
            pool.service_time,
            estimate_work(gateway, call, server, now),
        )
        capacity = capacity.add(room, find_admitted_depth(demand, room))
    share = gateway.shares.find_rate(_find_group(call))
    part = gateway.shares.find_demand(call.service)
    rate = capacity.find_rate() * part.find(gateway.count_gateways())
    admitted = share.admit(demand, rate, now)
    if admitted or not capacity.is_scarce():
        return Seconds(0)
    return Seconds(share.find_wait(demand, rate))


def spend_share(gateway: Gateway, call: OpenCall) -> None:
    """Record that a request is sent."""
    if reports_load(gateway, call):
        gateway.shares.find_rate(_find_group(call)).spend()


def update_demands(gateway: Gateway) -> None:
    """Measure this gateway's part of the requests by the newest reports."""
    if not gateway.pools.reporting or gateway.configuration is None:
        return
    services = gateway.configuration.services.keys()
    gateway.shares.keep_only(set(services))
    if len(gateway.longest_left) > _MAX_ROUTES:
        gateway.longest_left.clear()
    gateway.work.keep_only(_list_works(gateway.configuration))
    for service in gateway.pools.reporting & services:
        pools = [
            gateway.pools.find(server.life)
            for server in gateway.registry.list_service(service)
        ]
        own = sum(pool.own_mean for pool in pools)
        fleet = sum(pool.fleet_busy for pool in pools)
        gateway.shares.find_demand(service).add(own, fleet)


def _list_works(configuration: Configuration) -> set[RouteWork]:
    works: set[RouteWork] = set()
    for routes in configuration.routes.values():
        for route in routes:
            works.update(
                RouteWork(route.name, part.service) for part in route.services
            )
    return works


def _find_group(call: OpenCall) -> ServerGroup:
    return ServerGroup(call.service, call.route.regions)
