"""Lay out fleets of several sizes over regions and availability zones."""

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

# Fleets of at least this size have the regions and zones of the letter.
_LARGE = 256
_FIRST_PORT = 7000
_FIRST_HOST = int(IPv4Address('10.0.0.0'))


def name_zone(index: int, size: int) -> ZoneName:
    """Name the zone of a process; zones take turns."""
    zones = 22 if size >= _LARGE else 4
    number = index % zones
    return ZoneName(f'zone-{number}')


def name_region(index: int, size: int) -> RegionName:
    """Name the region of a process's zone."""
    zones, regions = (22, 6) if size >= _LARGE else (4, 2)
    number = index % zones % regions
    return RegionName(f'region-{number}')


def name_node(index: int) -> NodeId:
    """Name a process."""
    return NodeId(f'node-{index}')


def make_peer(index: int, size: int) -> Peer:
    """Describe one process of a fleet."""
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
        # Log traffic is measured apart; keep it out of the way.
        log_interval=Seconds(0.5),
    )


def start_acquainted(size: int, seed: int) -> Fleet:
    """Start a fleet in which every process knows every other one."""
    fleet = Fleet(seed=seed)
    peers = [make_peer(index, size) for index in range(size)]
    known = {peer.node: describe_peer(peer) for peer in peers}
    for index in range(size):
        options = make_options(index, size, seed)
        node = fleet.start(options)
        node.membership.processes.update(known)
        node.membership.known_to_peers = True
    return fleet
