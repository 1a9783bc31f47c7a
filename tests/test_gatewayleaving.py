"""Test that a server that says it leaves gets no new requests."""

from dataclasses import replace
from functools import partial

import pytest

from measure.gatewayworld import World
from measure.worldprocess import Process
from measure.worldservers import WorldServer
from tests.gatewayscenes import CATALOGUE, CHECKOUT, GATEWAYS, build_scene
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.keys import LAST_KEY
from trefoilsaddle.gateway.servers import Server, ServerRegistry
from trefoilsaddle.gateway.statements import ServerStatement

_LEAVING = ServerStatement(leaving=True, unlimited=True)
# Time after which a server that has said that it leaves gets no request from
# the gateway it told (`drain`, stated by the users).
_DRAIN = Seconds(2.5)
_LOAD_TIME = Seconds(8)


def _find_server(world: World, service: str) -> WorldServer:
    return next(
        server for server in world.servers if server.entry.service == service
    )


def _send_load(world: World, path: str) -> None:
    end = world.now + _LOAD_TIME
    keyed = path != '/pay/1'

    def send() -> None:
        step = len(world.results)
        key = step * 7919 % (LAST_KEY + 1) if keyed else None
        world.call(GATEWAYS[step % len(GATEWAYS)], path, key)
        if world.now < end:
            world.after(0.02, send)

    world.after(0.02, send)


# Guards against requests that a server turns away, or that it breaks off, as its
# entry still says that it is ready.
@pytest.mark.parametrize('path', ['/reads/1', '/pay/1'])
@pytest.mark.parametrize('store_down', [False, True])
def test_leaving_server_gets_no_late_request(
    path: str, *, store_down: bool
) -> None:
    """Send nothing once the answer is older than the time to drain."""
    world = build_scene()
    server = _find_server(world, CHECKOUT if path == '/pay/1' else CATALOGUE)
    _send_load(world, path)
    world.run(1)
    server.statement = _LEAVING
    server.arrivals.clear()
    world.faults.store_down = store_down
    for number in range(8):
        world.after(number * 0.87, partial(_write_ready, world, server))
    world.run(_LOAD_TIME)
    assert server.arrivals
    said_at = server.arrivals[0].at
    late = [
        arrival.at
        for arrival in server.arrivals
        if arrival.at > said_at + _DRAIN
    ]
    assert late == []


def _write_ready(world: World, server: WorldServer) -> None:
    sequence = server.entry.sequence + 1
    server.entry = replace(server.entry, sequence=sequence)
    if not world.faults.store_down:
        world.store.write_server(server.entry)


# Guards against gateways that each find out by a request of their own.
def test_other_gateways_are_told_of_a_leaving_server() -> None:
    """Tell the controller, and all others by it, although it says ready."""
    world = build_scene()
    server = _find_server(world, CHECKOUT)
    server.statement = _LEAVING
    for _ in range(8):
        world.call(GATEWAYS[0], '/pay/1')
    for number in range(6):
        world.after(number * 0.87, partial(_write_ready, world, server))
    world.run(6)
    assert [
        _find_entry(process, server).draining
        for process in world.processes.values()
    ] == [True, True, True]


def _find_entry(process: Process, server: WorldServer) -> Server:
    entry = process.gateway.find_server(server.entry.life.server)
    assert entry is not None
    return entry


# Guards against a server that gets no requests after it has started anew.
def test_new_incarnation_is_ready() -> None:
    """Use a server again that was started under the same ID."""
    world = build_scene()
    entry = _find_server(world, CHECKOUT).entry
    registry = world.processes[NodeId(GATEWAYS[0])].gateway.registry
    assert registry.record_leaving(entry.life, world.now)
    assert not registry.record_leaving(entry.life, world.now)
    registry.put(replace(entry, sequence=9), world.now)
    assert registry.servers[entry.life.server].draining
    later = replace(entry, life=replace(entry.life, born=2))
    registry.put(later, world.now)
    assert not registry.servers[entry.life.server].draining


# Guards against a server in use again because its entry lapsed and came back.
def test_leaving_is_remembered_without_an_entry() -> None:
    """Keep what a server said while its entry is gone."""
    world = build_scene()
    entry = _find_server(world, CHECKOUT).entry
    registry = ServerRegistry()
    registry.put(entry, Seconds(1))
    registry.record_leaving(entry.life, Seconds(1))
    registry.discard(entry.life.server)
    registry.put(replace(entry, sequence=7), Seconds(3))
    again = registry.servers[entry.life.server]
    assert again.draining
    assert not registry.may_serve(again, Seconds(3))
