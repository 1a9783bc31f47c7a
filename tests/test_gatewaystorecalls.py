"""Test how often gateways call the store."""

import pytest

from measure.gatewayworld import World, build_world
from measure.worldprocess import Process
from measure.worldstorecalls import StoreCalls
from tests.gatewayscenes import CATALOGUE, build_configuration, build_scene
from trefoilsaddle.core.units import NodeId, Offset, Seconds, ServiceName
from trefoilsaddle.gateway.effects import ReadTopic, SetReady, SetTimer
from trefoilsaddle.gateway.events import (
    ConfigurationCopied,
    ControllerAnnounced,
    NewsReceived,
    ReadVerdict,
    Started,
    TimerExpired,
    TimerKind,
    Topic,
    TopicRead,
)
from trefoilsaddle.gateway.peermessages import (
    ControllerAnnouncement,
    News,
    OwnerNews,
)
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.state import Gateway, build_gateway
from trefoilsaddle.gateway.table import (
    GatewayAddress,
    OwnershipTable,
)

_ADDRESS = GatewayAddress(NodeId('gate-9'), 9, 'gate-9', 1)
_TABLE = OwnershipTable(
    ServiceName(CATALOGUE),
    _ADDRESS,
    sequence=1,
    resigned=False,
    assignments=(),
)


def test_store_is_read_little_before_the_first_configuration(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Wait for the first configuration, and read the other topics after it.

    Guards against three polls by each gateway while there is nothing to do.
    """
    reads: list[Topic] = []
    perform = StoreCalls.read

    def count(calls: StoreCalls, process: Process, effect: ReadTopic) -> None:
        reads.append(effect.topic)
        perform(calls, process, effect)

    monkeypatch.setattr(StoreCalls, 'read', count)
    world = World(build_world(build_configuration(), ()).random)
    world.add_server('guide-0', CATALOGUE)
    process = world.start_gateway('gate-1')
    world.run(5)
    assert set(reads) == {Topic.configuration}
    assert len(reads) <= 4
    world.store.write_configuration(build_configuration())
    world.run(2)
    assert process.gateway.ready


@pytest.mark.parametrize('topic', Topic)
@pytest.mark.parametrize(
    ('gateways', 'chosen', 'shortest', 'longest'),
    [
        (1, False, 0.3, 0.3),
        (12, False, 0.3, 0.3),
        (90, False, 0.7, 1.3),
        (90, True, 0.3, 0.3),
    ],
)
def test_reads_are_tried_again_at_a_bounded_rate(
    topic: Topic,
    gateways: int,
    shortest: float,
    longest: float,
    *,
    chosen: bool,
) -> None:
    """Spread the retries of many gateways, except the controller's.

    Guards against hundreds of refused calls per second in an outage.
    """
    gateway = build_scene().processes[NodeId('gate-2')].gateway
    gateway.link.gateways = gateways
    gateway.control.elected = chosen
    lost = TopicRead(
        topic,
        ReadVerdict.unavailable,
        whole=False,
        next_offset=Offset(1),
        entries=(),
        asked_at=Seconds(0),
    )
    pauses = [
        effect.delay
        for effect in reduce(gateway, Seconds(200), lost)
        if isinstance(effect, SetTimer) and effect.kind.name.startswith('read')
    ]
    assert len(pauses) == 1
    assert shortest <= pauses[0] <= longest


def _start_on_relay(gateway: Gateway, now: Seconds) -> None:
    reduce(gateway, now, Started())
    reduce(gateway, now, ConfigurationCopied(build_configuration()))
    announcement = ControllerAnnouncement(_ADDRESS, Offset(3), _TABLE.era)
    reduce(gateway, now, ControllerAnnounced(announcement))


@pytest.mark.parametrize('whole', [True, False])
def test_gateway_without_the_store_gets_ready_by_the_relay(
    *,
    whole: bool,
) -> None:
    """Become ready once the controller has sent its full state."""
    world = build_scene()
    options = world.processes[NodeId('gate-2')].gateway.options
    gateway = build_gateway(options)
    _start_on_relay(gateway, world.now)
    news = News(
        run=_ADDRESS.run,
        reporting=3,
        gateways=(),
        configuration=gateway.version,
        configuration_age=Seconds(0),
        servers_age=Seconds(0),
        servers_whole=whole,
        servers=(),
        removed=(),
        owners=(OwnerNews(_TABLE.service, Offset(3), (), _TABLE.era),),
        loads=(),
    )
    reduce(gateway, world.now, NewsReceived(news))
    effects = reduce(gateway, world.now, TimerExpired(TimerKind.review))
    assert (SetReady(ready=True) in effects) == whole


# Guards against a link between regions that is congested when all gateways read
# the tables of a new controller while they connect to it: its updates came 4 s
# late.
@pytest.mark.parametrize(('elapsed', 'reads'), [(0.5, False), (1.1, True)])
def test_tables_are_not_read_while_a_new_controller_may_answer(
    elapsed: float,
    *,
    reads: bool,
) -> None:
    """Give a new controller time for its first update."""
    world = build_scene()
    gateway = world.processes[NodeId('gate-2')].gateway
    gateway.topics[Topic.ownership].reading = False
    announcement = ControllerAnnouncement(_ADDRESS, Offset(99), gateway.era)
    reduce(gateway, world.now, ControllerAnnounced(announcement))
    now = Seconds(world.now + elapsed)
    checked = reduce(gateway, now, TimerExpired(TimerKind.read_ownership))
    assert any(isinstance(kind, ReadTopic) for kind in checked) == reads


# Guards against entries that a controller states to be recent although its last
# read has returned none.
@pytest.mark.parametrize('topic', list(Topic))
@pytest.mark.parametrize(
    ('verdict', 'counts'),
    [
        (ReadVerdict.records, True),
        (ReadVerdict.expired, False),
        (ReadVerdict.unavailable, False),
    ],
)
def test_only_a_read_that_returns_records_is_recent(
    topic: Topic,
    verdict: ReadVerdict,
    *,
    counts: bool,
) -> None:
    """Count the age of what is known from the last read that succeeded."""
    world = build_scene()
    gateway = world.processes[NodeId('gate-1')].gateway
    before = gateway.topics[topic].read_at
    read = TopicRead(
        topic,
        verdict,
        whole=False,
        next_offset=Offset(9),
        entries=(),
        asked_at=world.now,
        era=gateway.era,
    )
    reduce(gateway, world.now, read)
    expected = world.now if counts else before
    assert gateway.topics[topic].read_at == expected
