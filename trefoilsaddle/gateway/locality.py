"""Keep the requests of a route in the regions that it allows.

A request with regions is only sent to servers there, whatever the reason for
which a server is chosen.  The keys of a service are held where all routes to it
allow, so that an owner can serve the requests of each route.
"""

from enum import Enum, unique

from trefoilsaddle.core.units import RegionName, ServiceName, ZoneName
from trefoilsaddle.gateway.configuration import Configuration, Route
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.state import Gateway


@unique
class Distance(Enum):
    """List how far servers are from a gateway."""

    # In its availability zone, in its region, or farther away.
    zone = 'zone'
    region = 'region'
    elsewhere = 'elsewhere'


def find_distance(gateway: Gateway, server: Server) -> Distance:
    """Return how far a server is."""
    options = gateway.options
    if server.zone == options.zone:
        return Distance.zone
    if find_region(gateway, server.zone) == options.region:
        return Distance.region
    return Distance.elsewhere


def find_region(gateway: Gateway, zone: ZoneName) -> RegionName | None:
    """Return the region of an availability zone."""
    return gateway.options.regions.get(zone)


def is_allowed(gateway: Gateway, route: Route, server: Server) -> bool:
    """Return whether a server may run the requests of a route."""
    if not route.regions:
        return True
    return find_region(gateway, server.zone) in route.regions


def has_allowed_server(
    gateway: Gateway, route: Route, service: ServiceName
) -> bool:
    """Return whether a server of a service may run a route's new requests."""
    return any(
        not server.draining and is_allowed(gateway, route, server)
        for server in gateway.registry.list_service(service)
    )


def may_hold_keys(gateway: Gateway, server: Server) -> bool:
    """Return whether a server may hold keys of its service.

    If no server of the service is in a region that all routes allow, any may:
    the routes without regions are served then.
    """
    configuration = gateway.configuration
    if configuration is None:
        return True
    regions = _find_common_regions(configuration, server.service)
    if not regions or find_region(gateway, server.zone) in regions:
        return True
    return not any(
        find_region(gateway, other.zone) in regions and not other.draining
        for other in gateway.registry.list_service(server.service)
    )


def _find_common_regions(
    configuration: Configuration, service: ServiceName
) -> frozenset[RegionName]:
    constraints = configuration.constraints.get(service)
    if constraints is None:
        return frozenset()
    return frozenset.intersection(*constraints)
