"""Test which gateways become the controller and its standbys."""

import pytest

from measure.gatewayworld import World, build_world
from tests.gatewayscenes import CATALOGUE, build_configuration
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.effects import Effects, JoinGroup, SetTimer
from trefoilsaddle.gateway.events import JoinEnded, TimerExpired, TimerKind
from trefoilsaddle.gateway.reducer import reduce

_SLOW = 0.43
_FAST = 2.15
# Time within which keys have to be served again, and the controller's lease.
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


def _mix_speeds(slow: int, fast: int) -> dict[str, float]:
    # Slow gateways get the first names, as the model elects the first name.
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
    """Elect a fast gateway, where there is one.

    Guards against a controller on the weakest machine of the fleet.
    """
    world = _build_fleet(_mix_speeds(slow, fast))
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
    """Elect a slower gateway when no fast one is left."""
    world = _build_fleet(_mix_speeds(5, 3))
    world.run(6)
    first = _name_controller(world)
    names = [first, *(name for name in _mix_speeds(0, 3) if name != first)]
    for name in names[:lost]:
        world.kill_gateway(name)
    world.run(_AIM)
    successor = _name_controller(world)
    assert successor.startswith(expected)
    assert successor not in names[:lost]


@pytest.mark.parametrize(('slow', 'fast'), [(0, 30), (30, 0), (20, 10)])
def test_few_gateways_stay_members(slow: int, fast: int) -> None:
    """Renew only the memberships of the controller and its standbys.

    Guards against a store call of every gateway every 0.8 s.
    """
    world = _build_fleet(_mix_speeds(slow, fast))
    world.run(6)
    since = world.now
    world.run(4)
    renewed = [
        name
        for name, kept in world.store.members.items()
        if kept.renewed_at > since
    ]
    assert len(renewed) == 5
    assert any(_name_controller(world) in name for name in renewed)


def test_nobody_joins_before_there_is_a_configuration() -> None:
    """Join the group only once there is a configuration."""
    world = World(build_world(build_configuration(), ()).random)
    process = world.start_gateway('gate-1')
    world.run(5)
    assert not world.store.members
    world.store.write_configuration(build_configuration())
    world.run(Seconds(2))
    assert world.processes[NodeId('gate-1')].gateway.control.leading
    assert process.alive


@pytest.mark.parametrize('speed', [_SLOW, _FAST])
def test_gateways_connect_before_servers_register(speed: float) -> None:
    """Connect to the controller of a service that has no servers yet.

    Guards against gateways that poll the store until keys are first assigned.
    """
    world = build_world(build_configuration(), ())
    for name in _list_names('gate-', 6):
        world.start_gateway(name, speed)
    world.run(4)
    linked = [process.linked for process in world.processes.values()]
    assert linked.count(None) == 1
    assert set(linked) == {None, _name_controller(world)}


def _list_joins(effects: Effects) -> list[JoinGroup]:
    return [effect for effect in effects if isinstance(effect, JoinGroup)]


def test_unanswered_call_does_not_delay_the_next_one() -> None:
    """Join at each interval, as the lease is shorter than a call may take.

    Guards against a controller that loses the election by one lost answer.
    """
    world = _build_fleet(_mix_speeds(0, 3))
    world.run(4)
    process = world.find_controller()
    assert process is not None
    timer = TimerExpired(TimerKind.join_group)
    pause = process.gateway.options.controller_interval
    for _ in range(3):
        effects = reduce(process.gateway, world.now, timer)
        assert len(_list_joins(effects)) == 1
        assert SetTimer(TimerKind.join_group, pause) in effects


@pytest.mark.parametrize(('age', 'chosen'), [(0.5, True), (-0.1, False)])
def test_late_answer_does_not_undo_a_newer_one(
    age: float,
    *,
    chosen: bool,
) -> None:
    """Apply the answer to the call that was sent last."""
    world = _build_fleet(_mix_speeds(0, 3))
    world.run(4)
    process = world.find_controller()
    assert process is not None
    control = process.gateway.control
    late = JoinEnded(
        answered=True,
        generation=control.generation,
        leads=False,
        asked_at=Seconds(control.confirmed_at - age),
    )
    reduce(process.gateway, world.now, late)
    assert control.elected == chosen
