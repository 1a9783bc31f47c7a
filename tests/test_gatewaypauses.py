"""Test that a server that asks for a pause gets no requests meanwhile."""

from dataclasses import replace

import pytest

from measure.gatewayworld import World
from measure.worldservers import WorldServer
from tests.gatewayscenes import CATALOGUE, CHECKOUT, GATEWAYS, build_scene
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.keys import LAST_KEY
from trefoilsaddle.gateway.statements import ServerStatement
from trefoilsaddle.results import ResultCode

# Time after the answer from which the pause binds, and the requests that may
# still arrive in it (stated by the users).
_BINDING_DELAY = Seconds(0.5)
_MAX_REQUESTS = 2
_PAUSE = Seconds(2.5)
_PAY = '/pay/1'
_READ = '/reads/1'


def _pause_servers(world: World, path: str) -> list[WorldServer]:
    """Let two servers of a service shed all requests and ask for a pause."""
    service = CHECKOUT if path == _PAY else CATALOGUE
    paused = [
        server for server in world.servers if server.entry.service == service
    ][:2]
    for server in paused:
        server.statement = ServerStatement(unlimited=True, pause=_PAUSE)
        server.entry = replace(server.entry, slots=0)
        server.queue_limit = 0
    return paused


def _send_load(world: World, path: str, seconds: float) -> None:
    for step in range(int(seconds * 50)):
        key = step * 7919 % (LAST_KEY + 1) if path == _READ else None
        world.call(GATEWAYS[step % len(GATEWAYS)], path, key)
        world.run(0.02)


def _count_in_pauses(server: WorldServer, sender: str) -> int:
    """Return the most requests of a gateway that arrive within a pause."""
    moments = [
        arrival.at for arrival in server.arrivals if arrival.sender == sender
    ]
    return max(
        (
            sum(at + _BINDING_DELAY < other < at + _PAUSE for other in moments)
            for at in moments
        ),
        default=0,
    )


# Guards against repeated requests to a server that asked to be left alone.
@pytest.mark.parametrize('path', [_PAY, _READ])
def test_server_is_left_alone_for_the_pause(path: str) -> None:
    """Send at most two requests from each gateway until the pause ends."""
    world = build_scene()
    paused = _pause_servers(world, path)
    _send_load(world, path, 8)
    for server in paused:
        counts = [_count_in_pauses(server, name) for name in GATEWAYS]
        assert server.arrivals
        assert max(counts) <= _MAX_REQUESTS


# Guards against callers that wait for a server that will not take them.
def test_caller_is_told_when_the_pause_ends() -> None:
    """Refuse at once, with about the time that is left of the pause."""
    world = build_scene()
    _pause_servers(world, _PAY)
    for _ in range(6):
        world.call(GATEWAYS[0], _PAY)
        world.run(0.1)
    call = world.call(GATEWAYS[0], _PAY)
    refused = world.results[call]
    assert refused.ended == world.now
    assert refused.code == ResultCode.server_limited
    assert refused.not_run
    assert 1 < refused.retry_after <= 3


def test_pause_ends_by_itself() -> None:
    """Use the server again after the pause, and another one in it."""
    world = build_scene()
    server = _pause_servers(world, _PAY)[0]
    gateway = world.processes[NodeId(GATEWAYS[0])].gateway
    pool = gateway.pools.find(server.entry.life)
    _send_load(world, _PAY, 1)
    assert world.now < pool.paused_until <= world.now + _PAUSE
    world.run(_PAUSE)
    assert pool.paused_until <= world.now
