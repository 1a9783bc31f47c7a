"""Test that the log lines alone show the state of the ownership."""

from dataclasses import dataclass

import pytest

from measure.gatewayworld import World
from tests.gatewayscenes import CATALOGUE, build_scene
from trefoilsaddle.core.units import (
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ServiceName,
    ZoneName,
)
from trefoilsaddle.gateway.effects import Effects, LogValue, WriteDecision
from trefoilsaddle.gateway.events import (
    DumpRequested,
    ReadVerdict,
    TimerExpired,
    TimerKind,
    Topic,
    TopicRead,
)
from trefoilsaddle.gateway.granting import begin_release
from trefoilsaddle.gateway.keys import divide_keys
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import (
    Assignment,
    GatewayAddress,
    OwnershipTable,
)
from trefoilsaddle.gateway.watching import describe_spread
from trefoilsaddle.gatewaymetrics import GatewayMetrics
from trefoilsaddle.programs.looplag import LoopLag

_REVIEW = TimerExpired(TimerKind.review)
_UNSERVED = 'keys unserved'


def _find_controller(world: World) -> Gateway:
    process = world.find_controller()
    assert process is not None
    return process.gateway


def _find_lines(
    effects: Effects,
    event_name: str,
) -> list[dict[str, LogValue]]:
    return [
        {entry.name: entry.text for entry in effect.fields}
        for effect in effects
        if isinstance(effect, WriteDecision) and effect.event_name == event_name
    ]


def test_unserved_keys_are_logged_with_states() -> None:
    """Log keys that no server serves, with the states of their ranges."""
    world = build_scene()
    gateway = _find_controller(world)
    now = Seconds(world.now)
    assert not _find_lines(reduce(gateway, now, _REVIEW), _UNSERVED)
    keyed = gateway.control.keyed[ServiceName(CATALOGUE)]
    partition = keyed.partitions.ordered[0]
    begin_release(keyed, partition, now)
    line = _find_lines(reduce(gateway, now, _REVIEW), _UNSERVED)[0]
    assert (
        line['unserved_keys'] == partition.keys.last - partition.keys.first + 1
    )
    assert line['releasing'] == 1
    assert line['held'] == len(keyed.partitions.ordered) - 1
    dump = _find_lines(reduce(gateway, now, DumpRequested()), 'state dump')[0]
    assert '"unserved_keys"' in str(dump['state'])


@pytest.mark.parametrize(
    ('seconds', 'lines'),
    [(0.9, 1), (1.0, 2), (2.5, 3)],
    ids=['soon', 'a-second', 'longer'],
)
def test_unserved_keys_are_logged_once_a_second(
    seconds: float, lines: int
) -> None:
    """Log unserved keys at most once a second in a long outage."""
    world = build_scene()
    gateway = _find_controller(world)
    now = Seconds(world.now)
    keyed = gateway.control.keyed[ServiceName(CATALOGUE)]
    begin_release(keyed, keyed.partitions.ordered[0], now)
    reviews = int(seconds / 0.1) + 1
    effects: Effects = []
    for review in range(reviews):
        moment = Seconds(now + review * 0.1 + 0.0001)
        effects.extend(reduce(gateway, moment, _REVIEW))
    assert len(_find_lines(effects, _UNSERVED)) == lines


@pytest.mark.parametrize(
    ('holders', 'owners', 'widest'),
    [('', 0, 0), ('a', 1, 1), ('abcd', 4, 0.25), ('aaab', 2, 0.75)],
    ids=['empty', 'one-holds-all', 'even', 'uneven'],
)
def test_spread_of_a_table_is_logged(
    holders: str, owners: int, widest: float
) -> None:
    """Log the number of owners and the largest share in a table."""
    ranges = divide_keys(len(holders)) if holders else []
    rows = tuple(
        Assignment(keys, ServerIncarnation(ServerId(holder), 1), 1)
        for keys, holder in zip(ranges, holders, strict=True)
    )
    address = GatewayAddress(NodeId('gate-1'), 1, 'host', 1)
    table = OwnershipTable(
        ServiceName(CATALOGUE),
        address,
        sequence=1,
        resigned=False,
        hold=Seconds(2),
        assignments=rows,
    )
    assert describe_spread(table) == {'owners': owners, 'widest_share': widest}


@dataclass(frozen=True, slots=True)
class _Lag:
    """Describe the delays of the first review timers, 0.1 s apart."""

    late: float
    often: int
    total: int
    lines: int
    # Number of late timers that the lines report.
    told: int


_LAGS = {
    'in-time': _Lag(0.01, 20, 20, 0, 0),
    'late-once': _Lag(0.15, 1, 20, 1, 1),
    'late-always': _Lag(0.2, 9, 9, 1, 1),
    'late-for-long': _Lag(0.2, 25, 25, 3, 21),
}


@pytest.mark.parametrize('case', _LAGS.values(), ids=_LAGS)
def test_late_loop_is_logged_once_a_second(case: _Lag) -> None:
    """Log late reviews, to tell a slow loop from a slow server."""
    lines: Effects = []
    lag = LoopLag(GatewayMetrics(), lines.append, float)
    for number in range(case.total):
        late = case.late if number < case.often else 0
        now = 10 + number * 0.1 + 0.0001 * number
        lag.record_timer(TimerKind.review, now - late, now)
    told = _find_lines(lines, 'event loop is late')
    assert len(told) == case.lines
    assert sum(int(str(line['timers'])) for line in told) == case.told


def _read_servers(gateway: Gateway, now: Seconds, *, draining: int) -> Effects:
    entries = tuple(
        Server(
            ServerIncarnation(ServerId(f'new-{number}'), 1),
            ServiceName(CATALOGUE),
            'host',
            1,
            ZoneName('a'),
            slots=3,
            draining=number < draining,
            warm_up_left=Seconds(0),
        )
        for number in range(20)
    )
    read = TopicRead(
        Topic.servers,
        ReadVerdict.records,
        whole=False,
        next_offset=Offset(100),
        entries=entries,
        asked_at=now,
    )
    return reduce(gateway, now, read)


def test_servers_that_register_share_a_line() -> None:
    """Log one line for many new servers, not one each on every gateway."""
    world = build_scene()
    gateway = _find_controller(world)
    now = Seconds(world.now)
    first = _read_servers(gateway, now, draining=0)
    line = _find_lines(first, 'servers registered')[0]
    assert line['servers'] == 20
    assert not _find_lines(first, 'server changed')
    later = _read_servers(gateway, now, draining=2)
    assert len(_find_lines(later, 'server changed')) == 2
    assert not _find_lines(later, 'servers registered')
