"""Check which gateway becomes the controller, and who stands by."""

import pytest

from measure.gatewayworld import World, build_world
from tests.gatewayscenes import CATALOGUE, build_configuration
from trefoilsaddle.core.units import NodeId, Seconds

_SLOW = 0.43
_FAST = 2.15
# Time in which keys are to be served again, and the controller's lease.
_AIM = 3 + 1


def _build_fleet(speeds: dict[str, float]) -> World:
    world = build_world(build_configuration(), ())
    for number in range(4):
        world.add_server(f'guide-{number}', CATALOGUE)
    for name, speed in speeds.items():
        world.start_gateway(name, speed)
    return world


def _name_controller(world: World) -> str:
    process = world.find_controller()
    return '' if process is None else process.gateway.options.node


def _mix(slow: int, fast: int) -> dict[str, float]:
    # Names of slow ones come first: the model chooses the first name.
    slower = dict.fromkeys(_list_names('gate-a', slow), _SLOW)
    return slower | dict.fromkeys(_list_names('gate-b', fast), _FAST)


def _list_names(prefix: str, count: int) -> list[str]:
    return [prefix + str(number).zfill(2) for number in range(count)]


@pytest.mark.parametrize(
    ('slow', 'fast', 'expected'),
    [(12, 2, 'gate-b'), (12, 0, 'gate-a'), (0, 8, 'gate-b')],
)
def test_fastest_gateway_becomes_the_controller(
    slow: int,
    fast: int,
    expected: str,
) -> None:
    """Leave the part to a fast gateway, where there is one.

    Guards against a controller on the weakest machine of the fleet.
    """
    world = _build_fleet(_mix(slow, fast))
    world.run(4)
    assert _name_controller(world).startswith(expected)


@pytest.mark.parametrize(
    ('lost', 'expected'),
    [(1, 'gate-b'), (2, 'gate-'), (3, 'gate-a')],
)
def test_any_number_of_fast_gateways_may_be_lost(
    lost: int,
    expected: str,
) -> None:
    """Let slower gateways step in when no fast one is left."""
    world = _build_fleet(_mix(5, 3))
    world.run(6)
    first = _name_controller(world)
    names = [first, *(name for name in _mix(0, 3) if name != first)]
    for name in names[:lost]:
        world.kill_gateway(name)
    world.run(_AIM)
    successor = _name_controller(world)
    assert successor.startswith(expected)
    assert successor not in names[:lost]


@pytest.mark.parametrize(('slow', 'fast'), [(0, 30), (30, 0), (20, 10)])
def test_few_gateways_stay_members(slow: int, fast: int) -> None:
    """Renew the membership of the controller and its standbys only.

    Guards against a store call of each gateway in each 0.8 s.
    """
    world = _build_fleet(_mix(slow, fast))
    world.run(6)
    since = world.now
    world.run(4)
    renewed = [
        name for name, kept in world.store.members.items() if kept.seen > since
    ]
    assert len(renewed) == 5
    assert any(_name_controller(world) in name for name in renewed)


def test_nobody_joins_before_there_is_a_configuration() -> None:
    """Join when there is something to control."""
    world = World(build_world(build_configuration(), ()).random)
    process = world.start_gateway('gate-1')
    world.run(5)
    assert not world.store.members
    world.store.write_configuration(build_configuration())
    world.run(Seconds(2))
    assert world.processes[NodeId('gate-1')].gateway.control.leading
    assert process.alive
