"""Test who gets keys when many servers, or the only one, do not answer."""

from random import Random

import pytest

from measure.gatewayworld import World
from tests.gatewayscenes import (
    CATALOGUE,
    GATEWAYS,
    build_scene,
    list_unowned,
)
from trefoilsaddle.core.units import Seconds, ServerId
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.suspicion import Suspicions

_SERVERS = 6
_LOST = ServerIncarnation(ServerId('lost'), 1)
_OTHER = ServerIncarnation(ServerId('other'), 1)
# Time limit: a hold of failed calls, the suspicion of the last servers tried,
# and a hold for each of two more that turn out to be lost.
_REGAINED = 12


# Guards against keys that stay at lost servers when more servers fail than
# confirm.
@pytest.mark.parametrize('lost', [1, 3, 4, 5])
def test_keys_of_lost_servers_go_to_those_that_answer(lost: int) -> None:
    """Assign all keys again, however many servers are lost."""
    world = build_scene(3, servers=_SERVERS)
    for server in world.servers[:lost]:
        server.cut = True
    world.run(_REGAINED)
    assert list_unowned(world) == []


# Guards against keys that stay at the only server that ever had any.
def test_keys_of_the_only_holder_go_to_an_idle_server() -> None:
    """Assign all keys again when their only holder is lost."""
    world = build_scene(3, servers=1)
    world.add_server('spare', CATALOGUE)
    world.run(1)
    world.servers[0].cut = True
    world.run(_REGAINED)
    assert list_unowned(world) == []


def _send_load(world: World, random: Random) -> None:
    key = random.randrange(ALL_KEYS.width)
    world.call(random.choice(GATEWAYS), '/reads/x', key)
    world.after(0.02, lambda: _send_load(world, random))


# Guards against a server that never gets keys again after a short
# disconnection.
def test_server_that_was_cut_off_gets_keys_again() -> None:
    """Assign keys to a server again once it can be reached."""
    world = build_scene(1, servers=_SERVERS)
    world.run(1)
    _send_load(world, Random(1))
    world.run(3)
    server = world.servers[2]
    server.cut = True
    world.run(5)
    server.cut = False
    world.run(6)
    other = world.servers[3]
    other.cut = True
    world.run(6)
    assert server.find_holdings(ALL_KEYS, world.now)


# Times of failed orders and the time up to which the server is suspected: a
# suspicion after an ended one, without a confirmed order in between, is longer.
_SUSPICIONS = (
    ((0, 0.4), 4.4),
    ((0, 0.4, 5), 13),
    ((0, 0.4, 5, 13.5), 29.5),
    ((0, 0.4, 5, 13.5, 30), 46),
)


# Guards against keys that are assigned to a lost server every few seconds.
@pytest.mark.parametrize(('failures', 'until'), _SUSPICIONS)
def test_lost_servers_are_tried_more_rarely(
    failures: tuple[float, ...], until: float
) -> None:
    """Double the time for which a server that fails again gets no keys."""
    suspicions = Suspicions()
    for failed_at in failures:
        suspicions.record_confirmed(_OTHER, Seconds(failed_at))
        suspicions.record_failed(_LOST, Seconds(0), Seconds(failed_at))
    assert suspicions.is_suspected(_LOST, Seconds(until - 0.01))
    assert not suspicions.is_suspected(_LOST, Seconds(until))


# Guards against a long exclusion of a server that works again.
def test_confirmed_order_restores_trust() -> None:
    """Start with the shortest suspicion after a confirmed order."""
    suspicions = Suspicions()
    for failed_at in (0, 0.4, 5):
        suspicions.record_confirmed(_OTHER, Seconds(failed_at))
        suspicions.record_failed(_LOST, Seconds(0), Seconds(failed_at))
    suspicions.record_confirmed(_LOST, Seconds(20))
    suspicions.suspect(_LOST, Seconds(21))
    assert not suspicions.is_suspected(_LOST, Seconds(25))
