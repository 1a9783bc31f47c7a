"""Test the relays of regions without the controller, and their members."""

from collections import Counter
from dataclasses import replace
from math import inf

import pytest

from measure.gatewayworld import World
from measure.worlddials import Dials
from measure.worldpeers import Peers
from measure.worldprocess import Process
from measure.worldstorecalls import StoreCalls
from tests.regionscenes import (
    WEST,
    RegionScene,
    build_regions,
    build_version,
    find_controller,
    replace_controller,
)
from trefoilsaddle.core.units import NodeId
from trefoilsaddle.gateway.effects import (
    AnnounceController,
    AskConfiguration,
    Effect,
    JoinGroup,
    ReadTopic,
    SendConfiguration,
)
from trefoilsaddle.gateway.peers import is_linked
from trefoilsaddle.gateway.table import GatewayAddress
from trefoilsaddle.gateway.takeover import take_over

_SCENE = RegionScene(east=6, west=8, servers=10, link_share=1_000_000)
_TAKEOVER_TIME = 3
_MAX_VERSION_AGE = 2.5
_LEAVING_TIME = 6
_FAST = 2
_PAUSE = 1.2
_FULL_UPDATE_TIME = 0.12
# Election delay of a gateway with one core, less the interval of updates.
_MIN_ELECTION_DELAY = 0.75


def _find_relay(world: World) -> Process:
    relays = [
        process
        for process in world.processes.values()
        if process.alive and process.gateway.is_relay()
    ]
    assert len(relays) == 1
    return relays[0]


def _list_members(world: World) -> list[Process]:
    relay = _find_relay(world)
    return [
        process
        for process in world.processes.values()
        if process.alive and process.linked == relay.node
    ]


_READ = StoreCalls.read
_JOIN = StoreCalls.join
_SEND_COPY = Peers.send_copy
_ANNOUNCE = Peers.announce
_LINK = getattr(Dials, '_link')


# Guards against requests that gateways of the other region handle by an old
# version (CONFIG), as all of them read the store over the full link once the
# controller is lost.
@pytest.mark.parametrize('calm', [0, 0.3, 0.6, 0.9])
def test_relay_reads_the_store_for_its_members(
    monkeypatch: pytest.MonkeyPatch, calm: float
) -> None:
    """Lose the controller: of the other region, only the relay reads."""
    world = build_regions(_SCENE)
    world.run(calm)
    relay = _find_relay(world)
    reads: Counter[NodeId] = Counter()

    def read(calls: StoreCalls, process: Process, effect: ReadTopic) -> None:
        if process.region == WEST:
            reads[process.node] += 1
        _READ(calls, process, effect)

    monkeypatch.setattr(StoreCalls, 'read', read)
    world.kill_gateway(find_controller(world).node)
    world.run(_TAKEOVER_TIME)
    assert reads.keys() == {relay.node}


# Guards against keys that wait for a slow controller in the other region, as the
# members of a relay joined the election before faster gateways were through.
@pytest.mark.parametrize('calm', [0.1, 0.3, 0.5, 0.7])
def test_slow_members_let_faster_gateways_be_elected(
    monkeypatch: pytest.MonkeyPatch, calm: float
) -> None:
    """Lose the controller: slow members wait for their election delay."""
    world = build_regions(_SCENE)
    world.run(calm)
    members = {process.node for process in _list_members(world)}
    lost_at = world.now
    joined: list[float] = []

    def join(calls: StoreCalls, process: Process, effect: JoinGroup) -> None:
        if process.node in members:
            joined.append(world.now - lost_at)
        _JOIN(calls, process, effect)

    monkeypatch.setattr(StoreCalls, 'join', join)
    world.kill_gateway(find_controller(world).node)
    world.run(_TAKEOVER_TIME)
    assert min(joined, default=inf) >= _MIN_ELECTION_DELAY


# Guards against requests that are handled by an old version (CONFIG) at the
# members of a relay that has heard of a newer version and does not get it.
def test_relay_does_not_vouch_for_an_old_version(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Keep a version from the relay; its members read it themselves."""
    world = build_regions(_SCENE)
    relay = _find_relay(world)
    members = _list_members(world)
    relay.store_cut = True

    def send(peers: Peers, process: Process, effect: Effect) -> None:
        linked = process.linked == relay.node or process is relay
        if not linked and relay.node != _find_target(effect):
            _SEND_COPY(peers, process, effect)

    monkeypatch.setattr(Peers, 'send_copy', send)
    world.store.write_configuration(build_version(2))
    world.run(_MAX_VERSION_AGE)
    late = [member.node for member in members if member.gateway.version < 2]
    assert late == []


def _find_target(effect: Effect) -> NodeId | None:
    if isinstance(effect, (AskConfiguration, SendConfiguration)):
        return effect.node
    return None


def _is_linked_to(world: World, process: Process, other: Process) -> bool:
    gateway = process.gateway
    known = gateway.link.address == other.gateway.own_address()
    return known and is_linked(gateway, world.now)


# Guards against keys whose requests go to former owners, as the members of a
# relay that does not find the new controller forgot that it had announced
# itself.
def test_members_leave_a_relay_that_misses_the_controller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Change the controller behind a relay's back; its members find it."""
    world = build_regions(_SCENE)
    relay = _find_relay(world)
    members = _list_members(world)
    former = find_controller(world)
    relay.store_cut = True

    def announce(
        peers: Peers, process: Process, effect: AnnounceController
    ) -> None:
        if effect.address.node not in {relay.node, former.node}:
            _ANNOUNCE(peers, process, effect)

    monkeypatch.setattr(Peers, 'announce', announce)
    controller = replace_controller(world, refused=True)
    world.run(_TAKEOVER_TIME)
    lost = [
        member.node
        for member in members
        if not _is_linked_to(world, member, controller)
    ]
    assert lost == []


# Guards against keys whose requests go to former owners at all members of a
# relay that is cut from the controller and reaches its members.
def test_members_leave_a_relay_that_is_cut_from_the_controller(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Cut a relay from the controller only; its members connect to that."""
    world = build_regions(_SCENE)
    relay = _find_relay(world)
    members = _list_members(world)
    controller = find_controller(world)

    def link(
        dials: Dials, process: Process, address: GatewayAddress | None
    ) -> None:
        far = address == controller.gateway.own_address()
        if not (far and process is relay):
            _LINK(dials, process, address)

    monkeypatch.setattr(Dials, '_link', link)
    world.dials.lose_link(relay)
    world.run(_LEAVING_TIME)
    lost = [
        member.node
        for member in members
        if not _is_linked_to(world, member, controller)
    ]
    assert lost == []


# Guards against requests to a server that has left (DRAIN), as a relay that
# became the controller forgot what its members still had to be told.
def test_members_learn_removals_when_their_relay_takes_over() -> None:
    """Remove a server just before a relay becomes the controller."""
    world = build_regions(_SCENE)
    relay = _find_relay(world).gateway
    members = _list_members(world)
    name = min(relay.registry.servers)
    # The update that tells of it is delayed, as changes are batched.
    relay.registry.discard(name)
    take_over(relay, world.now)
    world.run(_FULL_UPDATE_TIME)
    knowing = [
        member.node
        for member in members
        if name in member.gateway.registry.servers
    ]
    assert knowing == []


# Guards against keys whose requests go to former owners at a gateway that the
# store refuses and that stays with the former controller: that passes its
# reports on, so that the new one does not announce itself to it.
def test_former_controller_tells_of_the_new_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Change the controller without an announcement to a refused gateway."""
    world = build_regions(_SCENE)
    former = find_controller(world)
    refused = next(
        process
        for process in world.processes.values()
        if process.linked == former.node
        and process.region != WEST
        and process.gateway.options.speed < _FAST
    )
    refused.store_cut = True

    def announce(
        peers: Peers, process: Process, effect: AnnounceController
    ) -> None:
        if effect.address.node != refused.node:
            _ANNOUNCE(peers, process, effect)

    monkeypatch.setattr(Peers, 'announce', announce)
    controller = replace_controller(world, refused=True)
    world.run(_TAKEOVER_TIME)
    assert _is_linked_to(world, refused, controller)


# Guards against requests to a server that has left (DRAIN) at the members of a
# relay that once was told that the server's entry may only have lapsed.
def test_relay_tells_of_a_server_that_was_doubted() -> None:
    """Have a doubted server come back, and then drain."""
    world = build_regions(_SCENE)
    relay = _find_relay(world).gateway
    members = _list_members(world)
    server = world.servers[0]
    relay.link.deferred = frozenset((server.entry.life.server,))
    world.run(_PAUSE)
    server.entry = replace(server.entry, sequence=2)
    world.store.write_server(server.entry)
    world.run(_PAUSE)
    world.drain_server(server)
    world.run(_PAUSE)
    name = server.entry.life.server
    unaware = [
        member.node
        for member in members
        if not member.gateway.registry.servers[name].draining
    ]
    assert unaware == []
