"""Test that a service whose tables are lost is not taken for a new one.

The store comes back from a copy, and a gateway that has never known the lost
tables is elected.  The simulation raises as soon as two servers hold a key or a
fencing token does not rise.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random

import pytest

from measure.gatewayworld import World, build_world
from measure.worldprocess import Process
from measure.worldservers import OwnerError
from measure.worldstore import StoreCopy
from tests.gatewayscenes import (
    CATALOGUE,
    CHECKOUT,
    build_configuration,
    list_unowned,
    list_unserved,
    send_moving_load,
)
from trefoilsaddle.core.units import (
    NodeId,
    Seconds,
    StoreEra,
)
from trefoilsaddle.gateway.events import StopRequested, Topic
from trefoilsaddle.gateway.losttables import Novelty
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import OwnershipTable
from trefoilsaddle.results import ResultCode

_GATEWAYS = ('gate-1', 'gate-2')
_LATE_GATEWAY = 'gate-3'
_LOAD_TIME = Seconds(60)
_LOAD_INTERVAL = Seconds(0.02)
_OUTAGE = Seconds(1.5)
# Time for which the store turns the controller away from its return on.
_TURNED_AWAY = Seconds(7)
# Longest time until keys are owned again whose holders were unknown: the time
# for which a controller may renew without the store, a late call, the longest
# hold and a new division.
_MAX_UNOWNED_TIME = Seconds(33)

# Time for which a key may be without an owner while it changes hands.
_MOVING_TIME = Seconds(0.6)
# Time after the return in which a gateway that was restarted in the outage has
# connected to the controller.
_MAX_RESTART_TIME = Seconds(1.5)
# Least fraction of the keys that is held while a few change hands.
_MIN_HELD = 0.8
_UNKNOWN_OWNER = frozenset(
    (ResultCode.owner_unknown, ResultCode.owner_changing)
)
# Time within which keys are served again after a loss (stated by the users).
_RECOVERY_TIME = Seconds(3)
# Greatest difference of two runs that read the store at different moments.
_REVIEW_TIME = Seconds(0.4)


@dataclass(slots=True)
class _Scene:
    """Hold a system whose store is about to come back from a copy."""

    world: World
    copy: StoreCopy
    controller: str
    other: str

    def find(self, name: str) -> Process:
        """Return the newest incarnation of a gateway."""
        return self.world.processes[NodeId(name)]


_Trouble = Callable[[_Scene], None]


def _count_tables(world: World) -> int:
    return world.store.find_end(Topic.ownership)


def _run_until_stored(world: World, tables: int) -> None:
    end = world.now + _LOAD_TIME
    while _count_tables(world) < tables:
        assert world.now < end
        world.run(0.02)


# Tables that the store has when the copy is made; the second one is the first
# that names holders, and each later one moves keys.
_COPIES = {'before-the-first': 0, 'between': 3, 'after-the-last': 6}


def _build_scene(seed: int, tables: int, *, cut: bool = False) -> _Scene:
    world = build_world(build_configuration(), _GATEWAYS, seed)
    if cut:
        world.processes[NodeId(_GATEWAYS[1])].store_cut = True
    for number in range(4):
        world.add_server(f'guide-{number}', CATALOGUE)
    send_moving_load(world, Random(seed), _LOAD_TIME, _LOAD_INTERVAL)
    _run_until_stored(world, tables)
    copy = world.store.copy()
    _run_until_stored(world, _COPIES['after-the-last'])
    controller = world.find_controller()
    assert controller is not None
    other = next(name for name in _GATEWAYS if name != controller.node)
    return _Scene(world, copy, controller.node, other)


def _restore(scene: _Scene) -> None:
    """Bring the store back from the copy after an outage."""
    world = scene.world
    world.faults.store_down = True
    world.run(_OUTAGE)
    world.store.restore(scene.copy)
    world.faults.store_down = False


def _turn_away(scene: _Scene, *, answered: bool = True) -> None:
    """Serve the other gateways only for some time from the return on."""
    process = scene.find(scene.controller)

    def begin() -> None:
        process.turned_away = answered
        process.store_cut = not answered

    def end() -> None:
        process.turned_away = False
        process.store_cut = False

    scene.world.after(_OUTAGE - 0.001, begin)
    scene.world.after(_OUTAGE + _TURNED_AWAY, end)


def _restart_other(scene: _Scene) -> None:
    scene.world.start_gateway(scene.other)
    _turn_away(scene)


def _restart_other_unheard(scene: _Scene) -> None:
    scene.world.start_gateway(scene.other)
    _turn_away(scene, answered=False)


def _stop_controller(scene: _Scene) -> None:
    _restart_other(scene)
    process = scene.find(scene.controller)
    stop = partial(scene.world.feed, process, StopRequested())
    scene.world.after(_OUTAGE + 1, stop)


def _restart_both(scene: _Scene) -> None:
    scene.world.start_gateway(scene.other)
    scene.world.start_gateway(scene.controller)


def _restart_in_turn(scene: _Scene) -> None:
    _restart_other(scene)

    def restart() -> None:
        scene.world.start_gateway(scene.other)

    for delay in (2, 4, 6):
        scene.world.after(_OUTAGE + delay, restart)


def _return_twice(scene: _Scene) -> None:
    _restart_other(scene)
    world = scene.world

    def leave() -> None:
        world.faults.store_down = True

    def come_back() -> None:
        world.store.restore(scene.copy)
        world.faults.store_down = False

    world.after(_OUTAGE + 2, leave)
    world.after(_OUTAGE + 3, come_back)


def _start_late(scene: _Scene) -> None:
    scene.world.kill_gateway(scene.other)
    scene.world.start_gateway(_LATE_GATEWAY)
    _turn_away(scene)


def _start_apart(scene: _Scene) -> None:
    """Start a gateway that does not reach the others for some time."""
    _start_late(scene)
    process = scene.find(_LATE_GATEWAY)
    process.peers_cut = True

    def reconnect() -> None:
        process.peers_cut = False

    scene.world.after(_OUTAGE + _TURNED_AWAY, reconnect)


def _reconnect_other(scene: _Scene) -> None:
    process = scene.find(scene.other)

    def reconnect() -> None:
        process.store_cut = False

    scene.world.after(_OUTAGE, reconnect)
    _turn_away(scene)


_TROUBLES: dict[str, _Trouble] = {
    'restarted': _restart_other,
    'restarted-unheard': _restart_other_unheard,
    'controller-stopped': _stop_controller,
    'both-restarted': _restart_both,
    'restarted-in-turn': _restart_in_turn,
    'second-return': _return_twice,
    'started-late': _start_late,
    'started-apart': _start_apart,
}


# Guards against keys that are divided anew while a controller still renews their
# grants, as the store has lost every table.
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('tables', _COPIES.values(), ids=_COPIES)
@pytest.mark.parametrize('trouble', _TROUBLES.values(), ids=_TROUBLES)
def test_keys_are_owned_once_after_their_tables_are_lost(
    trouble: _Trouble,
    tables: int,
    seed: int,
) -> None:
    """Keep one owner per key although the elected gateway knows no table."""
    scene = _build_scene(seed, tables)
    trouble(scene)
    _restore(scene)
    scene.world.run(_TURNED_AWAY + _MAX_UNOWNED_TIME)
    assert list_unserved(scene.world, _MOVING_TIME) == []


def _count_unknown_owners(scene: _Scene, seconds: float) -> int:
    """Send requests to the restarted gateway for keys that a server holds.

    Return how many it refuses as it does not know the server.
    """
    world = scene.world
    calls = []
    for number in range(int(seconds * 10)):
        key = number * 7919 % 65_536
        if world.find_holders(key, CATALOGUE):
            calls.append(world.call(scene.other, '/reads/x', key))
        world.run(0.1)
    world.run(4)
    assert len(calls) > _MIN_HELD * seconds * 10
    codes = [world.results[call].code for call in calls]
    return sum(code in _UNKNOWN_OWNER for code in codes)


# Guards against keys that nobody serves, though a controller that the store turns
# away still renews their grants: a gateway that knows no table took over from it.
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('tables', _COPIES.values(), ids=_COPIES)
@pytest.mark.parametrize(
    'trouble',
    [_restart_other, _restart_other_unheard],
    ids=['restarted', 'restarted-unheard'],
)
def test_controller_that_is_turned_away_goes_on(
    trouble: _Trouble,
    tables: int,
    seed: int,
) -> None:
    """Serve all keys at the restarted gateway until the controller is back."""
    scene = _build_scene(seed, tables)
    trouble(scene)
    _restore(scene)
    scene.world.run(_MAX_RESTART_TIME)
    assert _count_unknown_owners(scene, _TURNED_AWAY + 4) == 0


# Guards against a gateway that takes the first start of the system for proof,
# though the store had tables before it was first reached.
@pytest.mark.parametrize('seed', [1, 2])
def test_gateway_that_was_cut_off_since_its_start_is_not_the_first(
    seed: int,
) -> None:
    """Keep one owner per key if the elected gateway reached no store before."""
    scene = _build_scene(seed, 0, cut=True)
    _reconnect_other(scene)
    _restore(scene)
    scene.world.run(_TURNED_AWAY + _MAX_UNOWNED_TIME)
    assert list_unserved(scene.world, _MOVING_TIME) == []


def _start_scene(seed: int, era: int) -> World:
    world = build_world(build_configuration(), _GATEWAYS, seed)
    world.store.era = StoreEra(era)
    for number in range(4):
        world.add_server(f'guide-{number}', CATALOGUE)
    return world


def _measure_unowned(world: World, service: str) -> float:
    """Run until all keys of a service are owned; return how long it took."""
    started = world.now
    while list_unowned(world, service):
        assert world.now - started < _MAX_UNOWNED_TIME
        world.run(0.05)
    return world.now - started


# Guards against a first start that waits for holders which cannot exist.
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('era', [2, 3, 70])
def test_first_start_on_a_restored_store_is_served_at_once(
    era: int,
    seed: int,
) -> None:
    """Own keys as soon as on a store that has never come back from a copy."""
    fresh, restored = _start_scene(seed, 1), _start_scene(seed, era)
    expected = _measure_unowned(fresh, CATALOGUE)
    assert _measure_unowned(restored, CATALOGUE) == expected


# Guards against a first start that waits for holders which cannot exist, as the
# store came back from a copy before any keys were granted.
@pytest.mark.parametrize('moment', [0.02, 0.05, 0.1, 0.3, 0.6, 0.9])
def test_return_before_the_first_grant_is_not_waited_out(moment: float) -> None:
    """Own keys in time if the store returns as the system starts."""
    world = _start_scene(1, 1)
    copy = world.store.copy()
    expected = _measure_unowned(_start_scene(1, 1), CATALOGUE)
    world.run(moment)
    world.store.restore(copy)
    assert _measure_unowned(world, CATALOGUE) <= expected + _RECOVERY_TIME


def _add_service(world: World) -> None:
    rules = build_configuration(version=2)
    services = {
        name: replace(service, keyed=True)
        for name, service in rules.services.items()
    }
    world.store.write_configuration(replace(rules, services=services))


def _play_added_service(seed: int, era: int, delay: float) -> float:
    """Return how long it takes to own the keys of a service added later."""
    scene = _build_scene(seed, _COPIES['between'])
    world = scene.world
    for number in range(3):
        world.add_server(f'pay-{number}', CHECKOUT)
    if era > 1:
        _restore(scene)
    world.run(delay)
    _add_service(world)
    return _measure_unowned(world, CHECKOUT)


# Guards against a service that waits for holders which cannot exist, as it was
# added after the store has come back.
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('delay', [2, 10, 40])
def test_service_that_is_added_after_the_return_is_served_at_once(
    delay: float,
    seed: int,
) -> None:
    """Own the keys of a new service as soon as without a return."""
    expected = _play_added_service(seed, 1, delay)
    measured = _play_added_service(seed, 2, delay)
    assert measured <= expected + _REVIEW_TIME


def _build_two_services(seed: int) -> _Scene:
    """Add a key-divided service after the copy was made."""
    scene = _build_scene(seed, _COPIES['between'])
    world = scene.world
    for number in range(3):
        world.add_server(f'pay-{number}', CHECKOUT)
    _add_service(world)
    _measure_unowned(world, CHECKOUT)
    # A new division of the keys differs from the present one.
    world.add_server('pay-3', CHECKOUT)
    world.run(0.5)
    return scene


# Guards against the keys of a service being divided anew, as the copy has tables
# of another service only.
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('trouble', _TROUBLES.values(), ids=_TROUBLES)
def test_added_service_is_owned_once_after_its_tables_are_lost(
    trouble: _Trouble,
    seed: int,
) -> None:
    """Keep one owner per key of a service that the copy does not have."""
    scene = _build_two_services(seed)
    trouble(scene)
    _restore(scene)
    scene.world.run(_TURNED_AWAY + _MAX_UNOWNED_TIME)
    assert list_unserved(scene.world, _MOVING_TIME) == []
    assert list_unowned(scene.world, CHECKOUT) == []


def _find_no_loss(*arguments: object) -> Novelty:
    return Novelty.first_start


def _ignore_time(gateway: Gateway, now: Seconds) -> bool:
    return gateway.options.first_start


def _count_as_complete(gateway: Gateway, table: OwnershipTable) -> bool:
    return True


def _build_cut_scene(seed: int) -> _Scene:
    return _build_scene(seed, 0, cut=True)


@pytest.mark.parametrize(
    ('guard', 'instead', 'build', 'trouble'),
    [
        (
            'takeover.find_novelty',
            _find_no_loss,
            partial(_build_scene, tables=0),
            _start_apart,
        ),
        (
            'eras.is_before_grants',
            _ignore_time,
            _build_cut_scene,
            _reconnect_other,
        ),
        (
            'losttables.is_complete',
            _count_as_complete,
            _build_two_services,
            _start_apart,
        ),
    ],
    ids=['any-service-is-new', 'start-at-any-time', 'any-table-is-complete'],
)
def test_disabled_guard_is_detected(
    guard: str,
    instead: Callable[..., object],
    build: Callable[[int], _Scene],
    trouble: _Trouble,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """See two owners once a guard is disabled."""
    monkeypatch.setattr(f'trefoilsaddle.gateway.{guard}', instead)
    scene = build(1)
    trouble(scene)
    _restore(scene)
    with pytest.raises(OwnerError):
        scene.world.run(_TURNED_AWAY + _MAX_UNOWNED_TIME)


# Guards against a controller that gives up the keys of all services, as one that
# was just added has no table yet when the store goes away.
@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('lost', [0, 1], ids=['unsent', 'answer-lost'])
def test_service_that_is_being_added_costs_no_other_its_keys(
    lost: float,
    seed: int,
) -> None:
    """Serve all keys soon after the return, and the added service as well."""
    scene = _build_scene(seed, _COPIES['between'])
    world = scene.world
    for number in range(3):
        world.add_server(f'pay-{number}', CHECKOUT)
    world.run(3)
    before = _count_tables(world)
    world.faults.refused_appends = 1 - lost
    world.faults.lost_appends = lost
    _add_service(world)
    world.run(0.6)
    assert world.find_controller() is scene.find(scene.controller)
    assert _count_tables(world) - before <= lost
    _restore(scene)
    world.faults.refused_appends = 0
    world.faults.lost_appends = 0
    world.run(_RECOVERY_TIME)
    assert list_unserved(world, _MOVING_TIME) == []
    assert list_unowned(world, CHECKOUT) == []
