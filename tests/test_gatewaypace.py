"""Test that the cost of a controller follows what changes.

Pattern: hundreds of gateways and servers of which few change at a time, as on
kb-gateway-large.
"""

from collections import Counter
from dataclasses import replace
from typing import Any

import pytest

from measure.controllercost import MeasuredWorld, run_fleet
from tests.gatewayscenes import CATALOGUE, GATEWAYS, build_scene
from trefoilsaddle.core.units import NodeId, Seconds, ServiceName
from trefoilsaddle.gateway import controller
from trefoilsaddle.gateway.events import OrderEnded, OrderVerdict
from trefoilsaddle.gateway.loads import ServerMeasure
from trefoilsaddle.gateway.pacing import (
    find_batching_delay,
    find_report_interval,
)
from trefoilsaddle.gateway.peers import build_report
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.state import Gateway

_SERVICE = ServiceName(CATALOGUE)


def _find_controller() -> Gateway:
    process = build_scene().find_controller()
    assert process is not None
    return process.gateway


def _build_ended(gateway: Gateway, verdict: OrderVerdict) -> OrderEnded:
    partition = gateway.control.keyed[_SERVICE].partitions.ordered[0]
    assert partition.incarnation is not None
    return OrderEnded(
        _SERVICE,
        partition.keys,
        partition.incarnation,
        partition.fence,
        release=False,
        verdict=verdict,
        handover='',
    )


# Whether the holder served the keys before, and whether all partitions are
# looked at.
_ENDED = (
    (True, OrderVerdict.done, False),
    (True, OrderVerdict.rejected, False),
    (False, OrderVerdict.done, True),
)


# Guards against a look at all partitions at the end of each renewal.
@pytest.mark.parametrize(('serving', 'verdict', 'looks'), _ENDED)
def test_renewal_looks_at_its_own_partition(
    monkeypatch: pytest.MonkeyPatch,
    verdict: OrderVerdict,
    *,
    serving: bool,
    looks: bool,
) -> None:
    """Review all partitions only if a renewal has changed something."""
    gateway = _find_controller()
    ended = _build_ended(gateway, verdict)
    gateway.control.keyed[_SERVICE].partitions.ordered[0].serving = serving
    calls: Counter[str] = Counter()

    def count(*arguments: Any) -> list[Any]:
        calls['update'] += 1
        return []

    monkeypatch.setattr(controller, 'update_partition', count)
    reduce(gateway, Seconds(101), ended)
    assert bool(calls['update']) == looks


# Gateways that report, the interval of their reports, and the shortest time
# between two updates.
_PACES = (
    (1, 0.2, 0.04),
    (12, 0.2, 0.04),
    (90, 0.2, 0.045),
    (195, 0.433, 0.0975),
    (2000, 0.5, 1),
)


@pytest.mark.parametrize(('gateways', 'interval', 'delay'), _PACES)
def test_messages_are_paced_by_the_fleet(
    gateways: int, interval: float, delay: float
) -> None:
    """Bound the messages of a controller, however many gateways there are."""
    gateway = _find_controller()
    gateway.link.gateways = gateways
    assert find_report_interval(gateway) == pytest.approx(interval, abs=0.001)
    assert find_batching_delay(gateway) == pytest.approx(delay, abs=0.001)


def _sum_cost(world: MeasuredWorld, kind: str) -> int:
    return world.costs[('controller', kind)].events


def test_controller_gets_no_more_reports_from_a_larger_fleet() -> None:
    """Have twice as many gateways report half as often."""
    reports = [
        _sum_cost(run_fleet(gateways), 'ReportReceived')
        for gateways in (90, 180)
    ]
    assert reports[1] < reports[0] * 1.1


def test_report_lists_the_servers_in_use() -> None:
    """Leave out servers without requests, and each mean after it was sent."""
    gateway = _find_controller()
    servers = list(gateway.registry.servers.values())
    for server in servers:
        gateway.pools.find(server.life)
    pool = gateway.pools.find(servers[0].life)
    build_report(gateway, Seconds(200))
    pool.start_request(Seconds(200))
    tags = [
        [use.tag for use in build_report(gateway, Seconds(moment)).uses]
        for moment in (201, 202)
    ]
    tag = servers[0].life.tag
    assert tags == [[tag], [tag]]
    pool.end_request(Seconds(202))
    assert build_report(gateway, Seconds(203)).uses == ()
    assert pool.own_mean == 0


# Times of a gateway's reports of 1, 2 and 3 requests, the time of the question,
# and the sum.
_SUMS = (
    ((0, 0.2, 0.4), 0.4, 3),
    ((0, 0.2, 0.4), 1.7, 0),
    ((0, 0, 0), 1, 3),
)


@pytest.mark.parametrize(('moments', 'asked', 'total'), _SUMS)
def test_sum_follows_the_reports(
    moments: tuple[float, ...], asked: float, total: float
) -> None:
    """Add the newest report of each gateway, unless it is outdated."""
    measure = ServerMeasure()
    for mean, moment in enumerate(moments, start=1):
        measure.record_busy(NodeId('gate'), mean, Seconds(moment))
        measure.total_busy(Seconds(moment))
    assert measure.total_busy(Seconds(asked)) == pytest.approx(total)


def test_pools_of_servers_that_left_are_removed() -> None:
    """Forget a server that has left once no request is at it."""
    world = build_scene()
    gateway = world.processes[NodeId(GATEWAYS[0])].gateway
    server = next(iter(gateway.registry.servers.values()))
    gone = replace(server.life, born=0)
    gateway.pools.find(gone).start_request(world.now)
    gateway.registry.departures += 1
    world.run(1)
    assert gone in gateway.pools.by_incarnation
    gateway.pools.find(gone).end_request(world.now)
    world.run(1)
    assert gone not in gateway.pools.by_incarnation
