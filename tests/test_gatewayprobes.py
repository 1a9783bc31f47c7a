"""Test the health probes of servers that may turn cold."""

from collections import Counter
from dataclasses import replace

import pytest
import trio

from measure.gatewayworld import World, build_world
from tests.gatewayscenes import CHECKOUT, GATEWAYS, build_configuration
from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.core.units import (
    NodeId,
    Seconds,
    ServerId,
    ServiceName,
    ZoneName,
)
from trefoilsaddle.gateway.effects import ProbeServer
from trefoilsaddle.gateway.events import ServerProbed, TimerExpired, TimerKind
from trefoilsaddle.gateway.options import ColdServerBound, GatewayOptions
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.slowstart import is_cold
from trefoilsaddle.platform.probes import PlatformProbes

_PAY = ServerId('pay-0')
_PATH = '/health'
_SERVERS = 20
_WARM_UP = Seconds(3)
_HOST = '127.0.0.1'


def _set_bound(options: GatewayOptions) -> GatewayOptions:
    return replace(options, cold_servers=ColdServerBound(1.5, 8))


def _build_scene(rate: float, path: str) -> World:
    configuration = build_configuration()
    service = ServiceName(CHECKOUT)
    rules = replace(
        configuration.services[service], cold_rate=rate, health_path=path
    )
    services = {**configuration.services, service: rules}
    world = build_world(replace(configuration, services=services), ())
    world.adjust = _set_bound
    for name in GATEWAYS:
        world.start_gateway(name)
    for number in range(_SERVERS):
        world.add_server(f'pay-{number}', CHECKOUT)
    world.add_server('guide-0', 'catalogue')
    world.run(6)
    return world


def _list_probed(world: World, seconds: float, node: str) -> list[ServerId]:
    """Return the servers that a gateway probes at the reviews of some time."""
    gateway = world.processes[NodeId(node)].gateway
    probed: list[ServerId] = []
    for step in range(round(seconds * 10)):
        now = Seconds(world.now + step / 10)
        effects = reduce(gateway, now, TimerExpired(TimerKind.review))
        probed.extend(
            effect.server.life.server
            for effect in effects
            if isinstance(effect, ProbeServer)
        )
    return probed


def _find_controller(world: World) -> str:
    process = world.find_controller()
    assert process is not None
    return process.node


# Guards against probes that cost servers more than one request a second, and
# against any for services that do not call for them.
@pytest.mark.parametrize(
    ('rate', 'path', 'leads', 'probes'),
    [
        (7.4, _PATH, True, 3),
        (7.4, _PATH, False, 0),
        (0, _PATH, True, 0),
        (7.4, '', True, 0),
    ],
)
def test_controller_probes_each_server_once_a_second(
    rate: float, path: str, probes: int, *, leads: bool
) -> None:
    """Probe the servers of services with a cold rate and a health path."""
    world = _build_scene(rate, path)
    node = _find_controller(world)
    if not leads:
        node = next(name for name in world.processes if name != node)
    counts = Counter(_list_probed(world, 3, node))
    # A probe at the end may fall into the next second.
    assert sum(counts.values()) in {_SERVERS * probes, _SERVERS * probes - 1}
    assert max(counts.values(), default=0) == probes


# Guards against a burst of probes once a second.
def test_probes_are_spread_over_the_second() -> None:
    """Send few probes with each review."""
    world = _build_scene(7.4, _PATH)
    node = _find_controller(world)
    counts: list[int] = []
    end = world.now + 0.95
    while world.now < end:
        counts.append(len(_list_probed(world, 0.1, node)))
        world.now = Seconds(world.now + 0.1)
    assert sum(counts) >= _SERVERS - 1
    assert max(counts) < _SERVERS / 2


# Guards against a sign that only the controller knows.
def test_cold_server_is_told_to_all_gateways() -> None:
    """Take a server to be cold everywhere after its health response."""
    world = _build_scene(7.4, _PATH)
    process = world.find_controller()
    assert process is not None
    world.feed(process, ServerProbed(ServerIncarnation(_PAY, 1), _WARM_UP))
    world.run(1)
    for other in world.processes.values():
        server = other.gateway.registry.servers[_PAY]
        assert is_cold(other.gateway, server, world.now)
    world.run(3)
    for other in world.processes.values():
        server = other.gateway.registry.servers[_PAY]
        assert not is_cold(other.gateway, server, world.now)


# Guards against the response of an earlier incarnation.
@pytest.mark.parametrize(('born', 'left'), [(0, _WARM_UP), (1, Seconds(0))])
def test_response_without_a_sign_changes_nothing(
    born: int, left: Seconds
) -> None:
    """Ignore other incarnations, and servers that are not cold."""
    world = _build_scene(7.4, _PATH)
    process = world.find_controller()
    assert process is not None
    world.feed(process, ServerProbed(ServerIncarnation(_PAY, born), left))
    server = process.gateway.registry.servers[_PAY]
    assert not is_cold(process.gateway, server, world.now)


async def _probe(steps: list[Step]) -> tuple[list[Seconds], ScriptedServer]:
    server = ScriptedServer(list(steps))
    async with serve_script(server):
        entry = Server(
            ServerIncarnation(_PAY, 1),
            ServiceName('pay'),
            _HOST,
            server.port,
            ZoneName('a'),
            slots=3,
            draining=False,
            warm_up_left=Seconds(0),
        )
        probes = PlatformProbes()
        ended = [
            await probes.probe(ProbeServer(entry, _PATH)) for _step in steps
        ]
        return [event.warm_up_left for event in ended], server


_NAMED = b'x-instance-id: pay-0'
_COLD = b'x-warmup-ms: 2500'
_BUSY = b'503 Service Unavailable'


# Guards against a sign that is missed while the server is full, is of another
# server at the address, or is no number.
@pytest.mark.parametrize(
    ('step', 'left'),
    [
        (Step(whole(b'', _NAMED, _COLD)), 2.5),
        (Step(whole(b'', _NAMED, _COLD, status=_BUSY)), 2.5),
        (Step(whole(b'', _NAMED)), 0),
        (Step(whole(b'', _COLD)), 0),
        (Step(whole(b'', b'x-instance-id: pay-1', _COLD)), 0),
        (Step(whole(b'', _NAMED, b'x-warmup-ms: -1')), 0),
        (Step(whole(b'', _NAMED, b'x-warmup-ms: inf')), 0),
        (Step(close=True), 0),
        (Step(silent=True), 0),
    ],
)
def test_health_response_is_decoded(step: Step, left: float) -> None:
    """Read the remaining warm-up time of the server that was asked."""
    ended, server = trio.run(_probe, [step])
    assert ended == [left]
    assert server.requests[0].startswith(b'GET /health HTTP/1.1')


def test_probes_use_one_connection() -> None:
    """Keep the connection to a server from one probe to the next."""
    step = Step(whole(b'', _NAMED, _COLD))
    ended, server = trio.run(_probe, [step, step, step])
    assert ended == [2.5, 2.5, 2.5]
    assert server.connections == 1
