"""Test that versions do not go back when the store comes back from a copy.

The store then has an older configuration until its operator has written the
newer one again.  Gateways that start meanwhile read the older one.
"""

from dataclasses import replace
from functools import partial

import pytest

from measure.gatewayworld import World
from measure.worldprocess import Process
from tests.gatewayscenes import GATEWAYS, build_configuration, build_scene
from trefoilsaddle.core.units import NodeId, Seconds, Version
from trefoilsaddle.gateway.effects import (
    AskConfiguration,
    Effects,
    SendConfiguration,
)
from trefoilsaddle.gateway.events import (
    ConfigurationWanted,
    ReportReceived,
    Topic,
)
from trefoilsaddle.gateway.peermessages import Report
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import GatewayAddress

# Time within which a version is in force at all gateways that are in touch.
_IN_FORCE = Seconds(2.5)
# Longest time until there is a controller after the loss of another one: the
# lease of a member, and the wait for tables that the store has lost.
_TAKEOVER = Seconds(8)
_STEP = Seconds(0.1)
_SHORT_STEP = Seconds(0.01)
_NEWER = 3
_OLDER = 2


def _lose_versions(world: World, outage: float = 1) -> None:
    """Let the store come back with the first version only."""
    copy = world.store.copy()
    world.store.write_configuration(build_configuration(_NEWER))
    world.run(3)
    world.faults.store_down = True
    world.run(outage)
    lost = world.store.roll_back(copy)
    world.store.write_again(Topic.servers, lost)


def _wait_for_controller(world: World) -> Process:
    end = world.now + _TAKEOVER
    process = world.find_controller()
    while process is None and world.now < end:
        world.run(_STEP)
        process = world.find_controller()
    assert process is not None
    return process


def _list_versions(world: World) -> set[int]:
    return {
        process.gateway.version
        for process in world.processes.values()
        if process.alive
    }


def _read_versions(world: World, names: tuple[str, ...]) -> list[int]:
    """Return the first versions that restarted gateways read."""
    gateways = [world.processes[NodeId(name)].gateway for name in names]
    while any(gateway.configuration is None for gateway in gateways):
        world.run(_SHORT_STEP)
    return [gateway.version for gateway in gateways]


def _restart(world: World, names: tuple[str, ...]) -> None:
    for name in names:
        world.start_gateway(name)


# Guards against a confirmed version that is not in force at a gateway which
# started when the store had an older one.
@pytest.mark.parametrize('late', [0.01, 1, 3])
def test_gateway_that_starts_gets_the_newest_version(late: float) -> None:
    """Get the version of the controller, not that of the store."""
    world = build_scene()
    _lose_versions(world)
    world.faults.store_down = False
    world.run(late)
    world.start_gateway('new-1')
    world.run(_IN_FORCE)
    assert _list_versions(world) == {_NEWER}


# Guards against a confirmed version that is not in force where the controller
# itself has read an older one.
@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('lost', [1, 2])
def test_controller_gets_the_newest_version_from_gateways(
    lost: int,
    seed: int,
) -> None:
    """Give all gateways the version that one of them has in force."""
    world = build_scene(seed)
    _lose_versions(world)
    names = tuple(sorted(GATEWAYS)[:lost])
    _restart(world, names)
    world.faults.store_down = False
    assert max(_read_versions(world, names)) < _NEWER
    controller = _wait_for_controller(world).gateway
    assert controller.options.node in names
    world.run(_IN_FORCE)
    assert _list_versions(world) == {_NEWER}


# Guards against a version that is taken back by an older one which its operator
# writes again later.
def test_older_version_that_is_written_again_replaces_nothing() -> None:
    """Keep the newest version, also at gateways that start afterwards."""
    world = build_scene()
    _lose_versions(world)
    world.store.write_configuration(build_configuration(_NEWER))
    world.store.write_configuration(build_configuration(_OLDER))
    _restart(world, ('gate-1',))
    world.faults.store_down = False
    _wait_for_controller(world)
    world.run(_IN_FORCE)
    assert _list_versions(world) == {_NEWER}


def test_version_that_follows_a_copy_is_in_force() -> None:
    """Put a further version in force at all gateways."""
    world = build_scene()
    _lose_versions(world)
    _restart(world, ('gate-1',))
    world.faults.store_down = False
    _wait_for_controller(world)
    later = build_configuration(_NEWER + 1)
    world.after(0.5, partial(world.store.write_configuration, later))
    world.run(0.5 + _IN_FORCE)
    assert _list_versions(world) == {_NEWER + 1}


def _find_member(world: World) -> Gateway:
    return next(
        process.gateway
        for process in world.processes.values()
        if not process.gateway.control.leading
    )


def _feed_report(world: World, node: str, version: int) -> Effects:
    gateway = _wait_for_controller(world).gateway
    address = GatewayAddress(NodeId(node), 1, node, 1)
    report = Report(
        address, Seconds(0.2), (), (), configuration=Version(version)
    )
    effects = reduce(gateway, world.now, ReportReceived(report))
    return [kind for kind in effects if isinstance(kind, AskConfiguration)]


@pytest.mark.parametrize('version', [0, 1])
def test_controller_asks_for_no_known_version(version: int) -> None:
    """Ask nothing if a report states no version, or one that is in force."""
    assert _feed_report(build_scene(), 'gate-9', version) == []


# Guards against a controller that is sent a copy by each gateway at once: 90
# copies of 65 KB fill the link between regions.
def test_controller_asks_one_gateway_at_a_time() -> None:
    """Ask another gateway only once the first copy is overdue."""
    world = build_scene()
    first = AskConfiguration(Version(1), NodeId('new-0'))
    assert _feed_report(world, 'new-0', 2) == [first]
    for number in range(1, 90):
        assert _feed_report(world, f'new-{number}', 2) == []
    world.now = Seconds(world.now + 0.9)
    again = AskConfiguration(Version(1), NodeId('new-7'))
    assert _feed_report(world, 'new-7', 2) == [again]
    assert _feed_report(world, 'new-8', 3) == []


def test_gateway_passes_its_configuration_to_the_controller() -> None:
    """Send the configuration as written to the controller that asks."""
    world = build_scene()
    gateway = _find_member(world)
    assert gateway.configuration is not None
    gateway.configuration = replace(gateway.configuration, encoded=b'text')
    effects = reduce(gateway, world.now, ConfigurationWanted(None))
    assert SendConfiguration(None, b'text') in effects
