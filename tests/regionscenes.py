"""Build simulated fleets in two regions, whose link has a rate and a queue."""

from dataclasses import dataclass, replace
from functools import partial
from random import Random

from measure.gatewayworld import World
from measure.worldlinks import Purpose, RegionLink, Route, build_parcel
from measure.worldoptions import REGION, ZONE, Machine
from measure.worldprocess import Process
from tests.gatewayscenes import CATALOGUE, build_configuration
from trefoilsaddle.core.units import NodeId, RegionName, Seconds, ZoneName
from trefoilsaddle.gateway.configuration import Configuration

WEST = RegionName('west')
WEST_ZONE = ZoneName('west-1')
ACROSS = Route(REGION, WEST)
# 30 Mbit/s for 90 gateways, as bytes per second for one gateway.
_LINK_SHARE = 30_000_000 / 8 / 90
# Fraction of the link that requests and answers take in a calm second.
_BACKGROUND_FRACTION = 0.32
_BACKGROUND_BYTES = 2_000
# Random text of this size deflates to 65 KB.
_CONFIGURATION_BYTES = 57_000
_SETTLING = Seconds(6)
_SLOW = 1.0
_FAST = 2.15


@dataclass(frozen=True, slots=True)
class RegionScene:
    """Define the size of a fleet in two regions; the store is in the east."""

    east: int = 16
    west: int = 16
    servers: int = 44
    background: float = _BACKGROUND_FRACTION
    # Bytes per second of the link for each gateway.
    link_share: float = _LINK_SHARE

    @property
    def rate(self) -> float:
        """Return the rate of the link between the regions."""
        return self.link_share * (self.east + self.west)


def build_version(version: int) -> Configuration:
    """Build a configuration with the size of a large site's."""
    encoded = Random(version).randbytes(_CONFIGURATION_BYTES).hex()
    return replace(build_configuration(version), encoded=encoded.encode())


def build_regions(scene: RegionScene) -> World:
    """Start a fleet in two regions and run it until it has settled."""
    world = World(Random(1))
    world.regions[WEST_ZONE] = WEST
    world.links.rate = scene.rate
    world.store.write_configuration(build_configuration())
    for number in range(scene.servers):
        zone = WEST_ZONE if number % 2 else ZONE
        world.add_server(f'guide-{number}', CATALOGUE, zone=zone)
    # Two thirds of the gateways of the east are fast, so that the controllers
    # are in the region of the store.
    for number in range(scene.east):
        speed = _SLOW if number % 3 == 2 else _FAST
        world.start_gateway(f'east-{number}', machine=Machine(speed))
    for number in range(scene.west):
        machine = Machine(_SLOW, WEST_ZONE)
        world.start_gateway(f'west-{number}', machine=machine)
    _send_background(world, scene)
    world.run(_SETTLING)
    return world


def find_link(world: World) -> RegionLink:
    """Return the link from the store's region to the other one."""
    return world.links.find(ACROSS)


def find_controller(world: World) -> Process:
    """Return the controller."""
    process = world.find_controller()
    assert process is not None
    return process


def replace_controller(world: World, *, refused: bool) -> Process:
    """Lose the controller, or have the store refuse it; await the next."""
    process = find_controller(world)
    if refused:
        process.store_cut = True
    else:
        world.kill_gateway(process.node)
    while not _is_replaced(world, process):
        world.run(0.05)
    return find_controller(world)


def _is_replaced(world: World, earlier: Process) -> bool:
    process = world.find_controller()
    return process is not None and process is not earlier


def list_late(world: World, version: int) -> list[NodeId]:
    """Return the live gateways without a version in force."""
    return [
        process.node
        for process in world.processes.values()
        if process.alive and process.gateway.version < version
    ]


def _send_background(world: World, scene: RegionScene) -> None:
    """Send answers to callers in the other region at a steady rate."""
    parcel = build_parcel(Purpose.background, _BACKGROUND_BYTES)
    world.links.carry(ACROSS, parcel, lambda: None)
    interval = _BACKGROUND_BYTES / (scene.rate * scene.background)
    world.after(interval, partial(_send_background, world, scene))
