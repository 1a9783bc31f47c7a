"""Soak gateways with returns of the store, restarts and stops that overlap.

The simulation raises as soon as two servers hold a key or a fencing token does
not rise.  More seeds: `TREFOIL_EXAMPLES=50`.
"""

import os
from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random

import pytest

from measure.gatewayworld import World, build_world
from measure.worldstore import StoreCopy
from tests.gatewayscenes import (
    CATALOGUE,
    CHECKOUT,
    GATEWAYS,
    build_configuration,
    list_unserved,
    send_moving_load,
)
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.events import StopRequested

_SEEDS = int(os.environ.get('TREFOIL_EXAMPLES', '8'))
_TROUBLED_TIME = Seconds(30)
_LOAD_INTERVAL = Seconds(0.05)
_MEAN_PAUSE = 1.5
# Longest time for which the store turns one gateway away, or two gateways do not
# reach each other.
_MAX_APART = 7.0
_MAX_OUTAGE = 2.0
# Number of copies, made one second apart, of which the store comes back from one.
_MAX_COPIES = 8
# Longest time until keys are owned again whose holders were unknown.
_MAX_UNOWNED_TIME = 33
_MOVING_TIME = Seconds(0.6)

_Trouble = Callable[[World, Random], None]


def _choose(world: World, random: Random) -> str:
    return random.choice(sorted(world.processes))


def _restart(world: World, random: Random) -> None:
    world.start_gateway(_choose(world, random))


def _stop(world: World, random: Random) -> None:
    name = _choose(world, random)
    process = world.processes[NodeId(name)]
    if process.alive:
        world.feed(process, StopRequested())
    world.after(random.uniform(0.3, 3), partial(_start, world, name))


def _start(world: World, name: str) -> None:
    world.start_gateway(name)


def _turn_away(world: World, random: Random) -> None:
    """Let the store turn a gateway away, the controller in most cases."""
    controller = world.find_controller()
    process = world.processes[NodeId(_choose(world, random))]
    if controller is not None and random.random() < 0.7:
        process = controller
    process.turned_away = True

    def end() -> None:
        process.turned_away = False

    world.after(random.uniform(1, _MAX_APART), end)


def _cut(world: World, random: Random) -> None:
    process = world.processes[NodeId(_choose(world, random))]
    process.peers_cut = True
    process.store_cut = random.random() < 0.5

    def heal() -> None:
        process.peers_cut = False
        process.store_cut = False

    world.after(random.uniform(1, _MAX_APART), heal)


_TROUBLES: tuple[_Trouble, ...] = (_restart, _stop, _turn_away, _cut)


def _soak(seed: int) -> World:
    random = Random(seed)
    world = build_world(build_configuration(), GATEWAYS, seed)
    copies = deque([world.store.copy()], _MAX_COPIES)
    for number in range(4):
        world.add_server(f'guide-{number}', CATALOGUE)
    world.add_server('pay-0', CHECKOUT)
    send_moving_load(world, random, _TROUBLED_TIME, _LOAD_INTERVAL)
    _plan_troubles(world, random)
    _plan_returns(world, random, copies)
    world.run(_TROUBLED_TIME + _MAX_APART)
    return world


def _plan_troubles(world: World, random: Random) -> None:
    moment = 2.0
    while moment < _TROUBLED_TIME:
        trouble = partial(random.choice(_TROUBLES), world, random)
        world.after(moment, trouble)
        moment += random.expovariate(1 / _MEAN_PAUSE)


def _plan_returns(
    world: World, random: Random, copies: deque[StoreCopy]
) -> None:
    def keep_copy() -> None:
        copies.append(world.store.copy())
        if world.now < end:
            world.after(1, keep_copy)

    def leave() -> None:
        world.faults.store_down = True
        world.after(random.uniform(0.1, _MAX_OUTAGE), come_back)

    def come_back() -> None:
        # The oldest one may be from before the first table.
        oldest = random.random() < 0.5
        copy = copies[0] if oldest else random.choice(tuple(copies))
        world.store.restore(copy)
        copies.clear()
        copies.append(world.store.copy())
        world.faults.store_down = False

    end = world.now + _TROUBLED_TIME
    world.after(0.5, keep_copy)
    world.after(random.uniform(3, _MAX_COPIES), leave)
    for _ in range(random.randint(0, 2)):
        world.after(random.uniform(_MAX_COPIES, _TROUBLED_TIME), leave)


# Guards against two owners after returns of the store that overlap with restarts,
# stops, partitions and refusals.
@pytest.mark.parametrize('seed', range(_SEEDS))
def test_keys_are_owned_once_through_overlapping_troubles(seed: int) -> None:
    """Keep one owner per key, and serve all keys once the troubles have ended."""
    world = _soak(seed)
    world.run(_MAX_UNOWNED_TIME)
    assert list_unserved(world, _MOVING_TIME) == []
