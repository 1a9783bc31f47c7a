"""Names, zones and options of the processes in fleets of several sizes."""

from ipaddress import IPv4Address

from measure.fleet import Fleet
from trefoilsaddle.core.options import Options, Peer
from trefoilsaddle.core.rumours import describe_peer
from trefoilsaddle.core.units import (
    NodeId,
    RegionName,
    Seconds,
    SiteName,
    ZoneName,
)

# Fleets of at least this size have 22 zones in 6 regions, as in the users'
# requirements; smaller ones have 4 zones in 2 regions.
_LARGE = 256
_FIRST_PORT = 7000
_FIRST_HOST = int(IPv4Address('10.0.0.0'))


def name_zone(index: int, size: int) -> ZoneName:
    """Return the zone of a process; zones are assigned in turn."""
    zones = 22 if size >= _LARGE else 4
    number = index % zones
    return ZoneName(f'zone-{number}')


def name_region(index: int, size: int) -> RegionName:
    """Return the region of a process's zone."""
    zones, regions = (22, 6) if size >= _LARGE else (4, 2)
    number = index % zones % regions
    return RegionName(f'region-{number}')


def name_node(index: int) -> NodeId:
    """Return the name of a process."""
    return NodeId(f'node-{index}')


def make_peer(index: int, size: int) -> Peer:
    """Build the peer entry of one process of a fleet."""
    return Peer(
        node=name_node(index),
        zone=name_zone(index, size),
        host=str(IPv4Address(_FIRST_HOST + index)),
        port=_FIRST_PORT + index,
        dispatches=True,
    )


def make_options(index: int, size: int, seed: int) -> Options:
    """Build the options of one process, without peers."""
    peer = make_peer(index, size)
    region = name_region(index, size)
    return Options(
        node=peer.node,
        zone=peer.zone,
        region=region,
        site=SiteName(region),
        host=peer.host,
        port=peer.port,
        dispatches=True,
        peers=(),
        seed=seed * 10_000 + index,
        # Log traffic is measured separately; a long interval keeps it low.
        log_interval=Seconds(0.5),
    )


def start_joined_fleet(size: int, seed: int) -> Fleet:
    """Start a fleet in which every process already knows all others."""
    fleet = Fleet(seed=seed)
    peers = [make_peer(index, size) for index in range(size)]
    known = {peer.node: describe_peer(peer) for peer in peers}
    for index in range(size):
        options = make_options(index, size, seed)
        node = fleet.start(options)
        node.membership.processes.update(known)
        node.membership.known_to_peers = True
    return fleet
