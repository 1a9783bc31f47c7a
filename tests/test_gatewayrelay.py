"""Test that a gateway without the store gets its state from the controller."""

from collections.abc import Iterable
from dataclasses import replace

import pytest

from measure.gatewayworld import World
from measure.worldprocess import Process
from tests.gatewayscenes import (
    GATEWAYS,
    build_configuration,
    build_scene,
)
from trefoilsaddle.core.units import (
    NodeId,
    Offset,
    Seconds,
    ServerId,
    Version,
)
from trefoilsaddle.gateway.effects import (
    AskConfiguration,
    Effects,
    ReadTopic,
    SendConfiguration,
    SendNews,
    SetTimer,
    WriteDecision,
)
from trefoilsaddle.gateway.events import (
    ConfigurationCopied,
    ConfigurationWanted,
    Event,
    NewsReceived,
    PeerLinked,
    ReadVerdict,
    TimerExpired,
    TimerKind,
    Topic,
    TopicRead,
)
from trefoilsaddle.gateway.lapses import LAPSE_GRACE
from trefoilsaddle.gateway.peermessages import News
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.servers import (
    ServerChange,
    ServerIncarnation,
    ServerRemoved,
)
from trefoilsaddle.gateway.state import Gateway

_LEAVING = ServerId('pay-0')
_STAYING = ServerId('pay-1')
_LAPSED = (ServerId('guide-0'), ServerId('guide-1'))
# Time in which servers' entries lapse for certain.
_AWAY = Seconds(11)
_READ = TimerKind.read_configuration
# Servers that leave one after the other; each changes the table.
_LEAVING_SERVERS = 8


def _find_member(world: World) -> Process:
    for name in GATEWAYS:
        process = world.processes[NodeId(name)]
        if not process.gateway.control.leading:
            return process
    raise AssertionError('every gateway leads')


def _build_member() -> tuple[World, Gateway]:
    world = build_scene()
    return world, _find_member(world).gateway


def _find_leader(world: World) -> Process:
    process = world.find_controller()
    assert process is not None
    return process


def _build_news(world: World, version: int) -> NewsReceived:
    run = _find_leader(world).gateway.options.run
    news = News(
        run=run,
        reporting=3,
        gateways=(),
        configuration=Version(version),
        configuration_age=Seconds(0),
        servers_age=Seconds(0),
        servers_whole=False,
        servers=(),
        removed=(),
        owners=(),
        loads=(),
    )
    return NewsReceived(news)


def _feed_news(world: World, version: int) -> Effects:
    gateway = _find_member(world).gateway
    return reduce(gateway, world.now, _build_news(world, version))


# Guards against a link between regions that is congested when every gateway
# reads a large configuration from the store, so that grants arrive seconds
# late.
@pytest.mark.parametrize(('elapsed', 'reads'), [(0.1, False), (0.9, True)])
def test_newer_version_is_asked_for_and_then_read(
    elapsed: float,
    *,
    reads: bool,
) -> None:
    """Ask the controller at once, and read the store if no copy arrives."""
    world = build_scene()
    first = _feed_news(world, 2)
    assert any(isinstance(kind, AskConfiguration) for kind in first)
    assert SetTimer(_READ, Seconds(0)) not in first
    gateway = _find_member(world).gateway
    # Its age alone is no reason to read.
    gateway.link.configuration_read_at = world.now
    world.now = Seconds(world.now + elapsed)
    checked = reduce(gateway, world.now, TimerExpired(_READ))
    assert any(isinstance(kind, ReadTopic) for kind in checked) == reads


def test_missing_copy_is_requested_again() -> None:
    """Ask the controller again while reading the store, whose calls may hang.

    Guards against a version that is not in force in time: calls to the store
    hung on a third of the machines.
    """
    world = build_scene()
    _feed_news(world, 2)
    world.now = Seconds(world.now + 0.4)
    assert _feed_news(world, 2) == []
    world.now = Seconds(world.now + 0.5)
    later = _feed_news(world, 2)
    assert any(isinstance(kind, AskConfiguration) for kind in later)
    assert SetTimer(_READ, Seconds(0)) in later


def test_controller_passes_its_configuration_on() -> None:
    """Send the configuration as written to a gateway that asks."""
    world = build_scene()
    gateway = _find_leader(world).gateway
    assert gateway.configuration is not None
    gateway.configuration = replace(gateway.configuration, encoded=b'text')
    node = NodeId(GATEWAYS[1])
    effects = reduce(gateway, world.now, ConfigurationWanted(node))
    assert SendConfiguration(node, b'text') in effects


@pytest.mark.parametrize(('copied', 'in_force'), [(3, 3), (1, 1), (0, 1)])
def test_copy_is_in_force_and_never_goes_back(
    copied: int,
    in_force: int,
) -> None:
    """Apply a newer configuration, and no older one."""
    world = build_scene()
    gateway = _find_member(world).gateway
    event = ConfigurationCopied(build_configuration(copied))
    reduce(gateway, world.now, event)
    assert gateway.version == in_force


def test_stale_entries_are_read_again_before_a_leaving_server_matters() -> None:
    """Read the servers' entries long before `drain`, 2.5 s, has passed.

    Guards against requests to a draining server: the controller's own reads
    hung, and a gateway relied on its updates for 2.5 s.
    """
    world = build_scene()
    gateway = _find_member(world).gateway
    effects = reduce(gateway, world.now, _build_news(world, 1))
    stopped = world.now
    elapsed = Seconds(0)
    while elapsed < 3:
        effects = reduce(
            gateway, world.now, TimerExpired(TimerKind.read_servers)
        )
        if any(isinstance(kind, ReadTopic) for kind in effects):
            break
        # The link is up, but its updates report no newer read of the entries.
        age = world.now - stopped
        news = replace(_build_news(world, 1).news, servers_age=Seconds(age))
        reduce(gateway, world.now, NewsReceived(news))
        timer = next(kind for kind in effects if isinstance(kind, SetTimer))
        world.now = Seconds(world.now + timer.delay)
        elapsed = Seconds(world.now - stopped)
    # A call that hangs takes 0.9 s, and one retry has to fit in.
    assert elapsed + 0.9 < 2.5


def _remove_after_outage(
    world: World,
    gateway: Gateway,
    names: Iterable[ServerId],
) -> list[ServerId]:
    """Fail a read, continue for a while, and read that servers are gone."""
    topic = Topic.servers
    offset = gateway.topics[topic].next_offset
    assert offset is not None
    lost = TopicRead(
        topic,
        ReadVerdict.unavailable,
        whole=False,
        next_offset=offset,
        entries=(),
        asked_at=world.now,
    )
    reduce(gateway, world.now, lost)
    world.now = Seconds(world.now + _AWAY)
    removed = tuple(ServerRemoved(name) for name in names)
    back = TopicRead(
        topic,
        ReadVerdict.records,
        whole=False,
        next_offset=offset,
        entries=removed,
        asked_at=world.now,
    )
    reduce(gateway, world.now, back)
    return list(gateway.registry.servers)


# Guards against use of a removed server: a gateway whose own reads had failed
# 11 s earlier, and which had since relied on updates, read the store again as it
# became the controller, deferred a removal that was 0.1 s old, and kept the
# draining server in use for 2.2 s.  Later, the same after an outage of the store in
# which no entry had lapsed.
@pytest.mark.parametrize(
    ('relayed', 'lapse', 'kept'),
    [
        (True, False, False),
        (False, True, True),
        (False, False, False),
    ],
)
def test_removal_is_deferred_only_if_nobody_read(
    *,
    relayed: bool,
    lapse: bool,
    kept: bool,
) -> None:
    """Defer removals after an outage in which entries have lapsed."""
    world, gateway = _build_member()
    if relayed:
        looked = Seconds(world.now + _AWAY - 1)
        news = replace(_build_news(world, 1).news, servers_age=Seconds(0))
        reduce(gateway, looked, NewsReceived(news))
    names = tuple(gateway.registry.servers) if lapse else (_LEAVING,)
    left = _remove_after_outage(world, gateway, names)
    assert (_LEAVING in left) == kept


def test_deferred_removal_is_marked_in_news() -> None:
    """Mark servers whose removal is deferred in the full update."""
    world = build_scene()
    gateway = _find_leader(world).gateway
    lapsed = set(gateway.registry.servers) - {_STAYING}
    _remove_after_outage(world, gateway, lapsed)
    effects = reduce(gateway, world.now, PeerLinked(NodeId(GATEWAYS[1])))
    news = next(kind.news for kind in effects if isinstance(kind, SendNews))
    assert set(news.doubted) == lapsed
    assert {entry.life.server for entry in news.servers} == {_STAYING}


@pytest.mark.parametrize('known', [True, False])
def test_deferred_removal_keeps_but_never_adds(*, known: bool) -> None:
    """Keep a known server whose removal is deferred, and add no unknown one."""
    world = build_scene()
    gateway = _find_member(world).gateway
    if not known:
        gateway.registry.remove(_LEAVING, world.now)
    servers = tuple(
        entry
        for name, entry in gateway.registry.servers.items()
        if name != _LEAVING
    )
    news = replace(
        _build_news(world, 1).news,
        servers_whole=True,
        servers=servers,
        doubted=(_LEAVING,),
    )
    reduce(gateway, world.now, NewsReceived(news))
    assert (_LEAVING in gateway.registry.servers) == known
    assert len(gateway.registry.servers) == len(servers) + known


# Guards against servers that are lost although their entries only lapsed: a gateway
# heard from a controller that the store was back, and then read it itself.  Later,
# the same although it was told an older list by the next controller in between.
@pytest.mark.parametrize('outdated', [True, False])
def test_removal_is_deferred_after_news_of_the_return(
    *, outdated: bool
) -> None:
    """Keep what may have lapsed, no matter who read the store first."""
    world, gateway = _build_member()
    known = gateway.registry.servers
    lapsed = set(known) - {_STAYING}
    world.now = Seconds(world.now + _AWAY)
    reduce(gateway, world.now, _build_news(world, 1))
    news = replace(
        _build_news(world, 1).news,
        servers_whole=True,
        servers=tuple(known.values()) if outdated else (known[_STAYING],),
        doubted=() if outdated else tuple(lapsed),
        servers_age=Seconds(2 * _AWAY if outdated else 0),
    )
    reduce(gateway, world.now, NewsReceived(news))
    read = TopicRead(
        Topic.servers,
        ReadVerdict.records,
        whole=True,
        next_offset=Offset(99),
        entries=(known[_STAYING],),
        asked_at=world.now,
    )
    reduce(gateway, world.now, read)
    assert known.keys() > lapsed


# Guards against requests to a server that had left: the controller had decided on
# its removal, and another gateway deferred it again.
def test_removal_by_the_controller_is_not_deferred_again() -> None:
    """Remove at once what the controller has removed."""
    world, gateway = _build_member()
    gateway.registry.lapses.defer_removals(world.now)
    news = replace(_build_news(world, 1).news, removed=(_LEAVING,))
    reduce(gateway, world.now, NewsReceived(news))
    assert _LEAVING not in gateway.registry.servers


# Guards against a server that had left and got requests for seconds: its removal
# was deferred by a gateway that then relied on the controller, as seen on
# qurum-drawers-grown, trouble-1 (DRAIN).
def test_deferred_removal_ends_without_a_read() -> None:
    """Remove a server whose removal was deferred, also without own reads."""
    world = build_scene()
    process = _find_member(world)
    registry = process.gateway.registry
    registry.lapses.deferred_until = Seconds(world.now + LAPSE_GRACE)
    assert not registry.remove(_LEAVING, world.now)
    world.faults.store_down = True
    world.run(LAPSE_GRACE + 0.2)
    assert _LEAVING not in registry.servers


def _feed_member(world: World, entry: ServerChange) -> Process:
    """Feed a gateway that does not lead a read of one entry; return it."""
    process = _find_member(world)
    read = TopicRead(
        Topic.servers,
        ReadVerdict.records,
        whole=False,
        next_offset=Offset(99),
        entries=(entry,),
        asked_at=world.now,
    )
    world.feed(process, read)
    return process


# Guards against a server that had left and got requests from gateways which the
# store turned away together with the controller, while others could read it.
@pytest.mark.parametrize('drains', [True, False])
def test_departure_is_told_to_gateways_without_the_store(
    *, drains: bool
) -> None:
    """Have the controller pass on what a gateway has read."""
    world = build_scene()
    leader = _find_leader(world)
    server = leader.gateway.registry.servers[_LEAVING]
    entry = (
        replace(server, draining=True) if drains else ServerRemoved(_LEAVING)
    )
    world.faults.store_down = True
    reader = _feed_member(world, entry)
    world.run(0.6)
    for process in world.processes.values():
        if process is not reader:
            assert process.gateway.registry.servers[_LEAVING].draining
    assert leader.gateway.control.leading
    world.run(4)
    assert not reader.gateway.departed


# Bound of the large site: a server gets no requests this long after the store has
# taken its leaving.
_DRAIN = Seconds(4)


# Guards against requests to a server that left just before an outage, as seen on
# kb-gateway-large, trouble-1 (DRAIN).
def test_server_that_left_before_an_outage_is_not_kept() -> None:
    """Keep entries that may have lapsed, but none that was removed before."""
    world = build_scene()
    gateway = _find_leader(world).gateway
    world.run(1)
    world.store.remove_server(_LEAVING)
    left_at = world.now
    world.faults.store_down = True
    world.run(3.2)
    world.faults.store_down = False
    world.run(left_at + _DRAIN - world.now)
    assert _LEAVING not in gateway.registry.servers


# Guards against requests to a server that left just before an outage in which half
# of the other entries lapsed, as seen on kb-gateway-large, trouble-1 (DRAIN).
@pytest.mark.parametrize('read', [True, False])
def test_server_that_left_before_entries_lapsed_is_not_kept(
    *,
    read: bool,
) -> None:
    """Keep entries that may have lapsed, but none that was removed before."""
    world = build_scene()
    world.run(1)
    world.store.remove_server(_LEAVING)
    left_at = world.now
    world.faults.store_down = True
    if read:
        _feed_member(world, ServerRemoved(_LEAVING))
    world.run(3.2)
    for name in _LAPSED:
        world.store.remove_server(name)
    world.faults.store_down = False
    world.run(left_at + _DRAIN - world.now)
    for process in world.processes.values():
        known = process.gateway.registry.servers
        assert _LEAVING not in known
        assert known.keys() >= set(_LAPSED)


def test_fresh_news_saves_reads_of_the_store() -> None:
    """Leave reads of the configuration to the controller, if recent."""
    world = build_scene()
    _feed_news(world, 1)
    gateway = _find_member(world).gateway
    effects = reduce(gateway, world.now, TimerExpired(_READ))
    assert not any(isinstance(kind, ReadTopic) for kind in effects)
    world.now = Seconds(world.now + 3)
    effects = reduce(gateway, world.now, TimerExpired(_READ))
    assert any(isinstance(kind, ReadTopic) for kind in effects)


def _list_lines(effects: Effects) -> list[str]:
    sentences = [
        effect.event_name
        for effect in effects
        if isinstance(effect, WriteDecision)
    ]
    return [line for line in sentences if line.startswith('server')]


@pytest.mark.parametrize(
    ('count', 'whole', 'lines'),
    [
        (165, True, ['servers told']),
        (165, False, ['servers changed']),
        (1, False, ['server changed']),
        (0, False, []),
    ],
)
def test_servers_of_one_update_are_one_line(
    count: int,
    lines: list[str],
    *,
    whole: bool,
) -> None:
    """Log one line for a list of servers, and one for each change.

    Guards against a line for each server on every gateway at the start.
    """
    world = build_scene()
    gateway = _find_member(world).gateway
    known = next(iter(gateway.registry.servers.values()))
    servers = tuple(
        replace(known, life=ServerIncarnation(ServerId(f'new-{number}'), 1))
        for number in range(count)
    )
    news = _build_news(world, 1).news
    event = NewsReceived(replace(news, servers=servers, servers_whole=whole))
    assert _list_lines(reduce(gateway, world.now, event)) == lines


def test_servers_that_are_read_together_are_one_line() -> None:
    """Log one line for a complete list that was read from the store."""
    world = build_scene()
    gateway = _find_member(world).gateway
    entries = tuple(gateway.registry.servers.values())
    gateway.registry.keep_only((), world.now)
    event = TopicRead(
        Topic.servers,
        ReadVerdict.records,
        whole=True,
        next_offset=Offset(9),
        entries=entries,
        asked_at=world.now,
    )
    assert _list_lines(reduce(gateway, world.now, event)) == ['servers read']


# Guards against a link between regions that is congested when all gateways lose
# their controller and read everything that servers wrote since their last read.
@pytest.mark.parametrize(('age', 'whole'), [(2, False), (4, True)])
def test_old_read_of_servers_starts_over(age: float, *, whole: bool) -> None:
    """Read the newest entries rather than all records of a long time."""
    world = build_scene()
    gateway = _find_member(world).gateway
    state = gateway.topics[Topic.servers]
    state.read_at = world.now
    state.reading = False
    gateway.link.news_at = None
    now = Seconds(world.now + age)
    effects = reduce(gateway, now, TimerExpired(TimerKind.read_servers))
    reads = [kind for kind in effects if isinstance(kind, ReadTopic)]
    assert [read.offset is None for read in reads] == [whole]


def _record_table_reads(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    sizes: list[int] = []
    feed = World.feed

    def record(world: World, process: Process, event: Event) -> None:
        if isinstance(event, TopicRead) and event.topic == Topic.ownership:
            sizes.append(len(event.entries))
        feed(world, process, event)

    monkeypatch.setattr(World, 'feed', record)
    return sizes


# Guards against a link between regions that was congested for 5 s when all
# gateways lost their controller and each read all tables since its last read:
# a grant arrived 3.1 s after it had timed out (OWNER), and a configuration was
# in force 0.3 s too late (CONFIG).
def test_lost_controller_does_not_cost_the_history_of_tables(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Read the newest table, however many the lost controller has stored."""
    world = build_scene(servers=_LEAVING_SERVERS + 4)
    for server in world.servers[:_LEAVING_SERVERS]:
        world.drain_server(server)
        world.run(1)
    stored = world.store.find_end(Topic.ownership)
    assert stored > _LEAVING_SERVERS
    sizes = _record_table_reads(monkeypatch)
    name = _find_leader(world).gateway.options.node
    world.kill_gateway(name)
    world.run(4)
    assert _find_leader(world).gateway.options.node != name
    assert sizes
    assert max(sizes) <= 2
