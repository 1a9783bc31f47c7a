"""Test what the controller sends to gateways, and how fast."""

from dataclasses import replace

import pytest

from measure.gatewayworld import World
from tests.gatewayscenes import GATEWAYS, build_scene
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.effects import Effects, ReadTopic, SendNews
from trefoilsaddle.gateway.events import (
    NewsReceived,
    PeerLinked,
    ReportReceived,
    TimerExpired,
    TimerKind,
    Topic,
)
from trefoilsaddle.gateway.peermessages import News, Report
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import GatewayAddress

_NEWCOMERS = 89
# Bits of a full update with 165 servers and 90 gateways.
_WHOLE_BITS = 68_000


def _find_leader(world: World) -> Gateway:
    process = world.find_controller()
    assert process is not None
    return process.gateway


def _link_all(gateway: Gateway, now: Seconds) -> list[NodeId | None]:
    sent: list[NodeId | None] = []
    for number in range(_NEWCOMERS):
        node = NodeId(f'new-{number}')
        sent.extend(_list_recipients(reduce(gateway, now, PeerLinked(node))))
    return sent


def _list_recipients(effects: Effects) -> list[NodeId | None]:
    return [
        effect.node
        for effect in effects
        if isinstance(effect, SendNews) and effect.news.servers_whole
    ]


# Speed of the controller in cores, link in Mbit/s, entries of a full update, and
# the full updates in a tenth of a second.
_PACES = (
    (0.43, 10, 255, 5),
    (0.43, 1000, 255, 5),
    (2.15, 200, 255, 28),
    (2.15, 200, 465, 15),
    (2.15, 10, 465, 3),
)


# Guards against hundreds of gateways that read the store again while they wait
# for a fast controller.
@pytest.mark.parametrize(('speed', 'link_rate', 'entries', 'most'), _PACES)
def test_full_updates_follow_the_machine(
    speed: float, link_rate: float, entries: int, most: int
) -> None:
    """Send as many full updates as the link and the processor bear."""
    world = build_scene()
    gateway = _find_leader(world)
    gateway.options = replace(gateway.options, speed=speed, link_rate=link_rate)
    address = gateway.own_address()
    listed = entries - len(gateway.registry.servers)
    gateway.link.known = {
        NodeId(f'known-{number}'): address for number in range(listed)
    }
    gateway.connected.awaiting_update = [
        NodeId(f'new-{number}') for number in range(60)
    ]
    gateway.connected.full_update_at = world.now
    effects = reduce(gateway, world.now, TimerExpired(TimerKind.review))
    assert len(_list_recipients(effects)) == most


@pytest.mark.parametrize(
    ('link_rate', 'within'),
    [(10, 1.4), (100, 1.2), (1000, 1.2)],
)
def test_full_updates_are_sent_in_groups(
    link_rate: float,
    within: float,
) -> None:
    """Fill at most half of a slow link with full updates.

    Guards against 89 such messages queued before the first grants.
    """
    world = build_scene()
    gateway = _find_leader(world)
    gateway.options = replace(gateway.options, link_rate=link_rate)
    most = link_rate * 1e6 * 0.1 / 2
    sent = _link_all(gateway, world.now)
    assert len(sent) * _WHOLE_BITS <= most
    now = world.now
    while now < world.now + within:
        now = Seconds(now + 0.1)
        effects = reduce(gateway, now, TimerExpired(TimerKind.review))
        step = _list_recipients(effects)
        assert len(step) * _WHOLE_BITS <= most
        sent.extend(step)
    assert sorted(map(str, sent)) == sorted(
        f'new-{number}' for number in range(_NEWCOMERS)
    )


@pytest.mark.parametrize('whole', [True, False])
def test_entries_are_read_until_a_full_update(*, whole: bool) -> None:
    """Rely on the controller's reads of the servers once all are known."""
    world = build_scene()
    leader = _find_leader(world)
    gateway = next(
        world.processes[NodeId(name)].gateway
        for name in GATEWAYS
        if world.processes[NodeId(name)].gateway is not leader
    )
    gateway.link.complete = False
    gateway.link.servers_read_at = None
    news = _build_news(world, gateway, whole=whole)
    reduce(gateway, world.now, NewsReceived(news))
    timer = TimerExpired(TimerKind.read_servers)
    effects = reduce(gateway, world.now, timer)
    reads = [kind for kind in effects if isinstance(kind, ReadTopic)]
    assert bool(reads) != whole
    assert all(read.topic == Topic.servers for read in reads)


def test_all_gateways_learn_an_address_sent_to_one() -> None:
    """Send a gateway's address to all, even if a new one has got it before.

    Guards against a successor that cannot announce itself to its predecessor,
    and has to wait until the predecessor's grants have lapsed for certain.
    """
    world = build_scene()
    gateway = _find_leader(world)
    node = NodeId('new-1')
    address = GatewayAddress(node, 1, 'new-1', 1)
    report = ReportReceived(Report(address, Seconds(0), (), ()))
    reduce(gateway, world.now, report)
    reduce(gateway, world.now, PeerLinked(NodeId('new-2')))
    now = Seconds(world.now + 1)
    effects = reduce(gateway, now, TimerExpired(TimerKind.review))
    news = [kind.news for kind in effects if isinstance(kind, SendNews)]
    sent = [
        peer for one in news if not one.servers_whole for peer in one.gateways
    ]
    assert address in sent


def _build_news(world: World, gateway: Gateway, *, whole: bool) -> News:
    servers = tuple(gateway.registry.servers.values())
    return News(
        run=_find_leader(world).options.run,
        reporting=3,
        gateways=(),
        configuration=gateway.version,
        configuration_age=Seconds(0),
        servers_age=Seconds(0),
        servers_whole=whole,
        servers=servers if whole else (),
        removed=(),
        owners=(),
        loads=(),
    )
