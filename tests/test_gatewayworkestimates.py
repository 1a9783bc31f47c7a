"""Test the estimates of a route's work at a server, and their use."""

from dataclasses import dataclass, replace

import pytest

from measure.gatewayworld import World
from tests.gatewayscenes import (
    CATALOGUE,
    CHECKOUT,
    GATEWAYS,
    build_configuration,
    build_route,
    build_scene,
)
from trefoilsaddle.core.units import (
    CallId,
    Seconds,
    ServerId,
    ServiceName,
    Version,
    ZoneName,
)
from trefoilsaddle.gateway.admission import (
    Demand,
    RateShare,
    ServerRoom,
    answers_in_time,
    find_admitted_depth,
)
from trefoilsaddle.gateway.admitting import find_wait_for_share
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.events import RequestHead
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.serviceshares import ServerGroup
from trefoilsaddle.gateway.state import Gateway, OpenCall
from trefoilsaddle.gateway.statedump import describe_gateway
from trefoilsaddle.gateway.workestimates import RouteWork, WorkEstimates

_NOW = Seconds(100)
_TOLD = Seconds(0.2)


def _build_server(name: str, service: str = CHECKOUT) -> Server:
    return Server(
        ServerIncarnation(ServerId(name), 1),
        ServiceName(service),
        '127.0.0.1',
        8080,
        ZoneName('a'),
        slots=6,
        draining=False,
        warm_up_left=Seconds(0),
    )


_FIRST = _build_server('s-1')
_SECOND = _build_server('s-2')


@dataclass(frozen=True, slots=True)
class _Samples:
    """Describe equal samples of a route at a server."""

    route: str
    server: Server
    elapsed: float
    count: int
    at: float = _NOW


def _fill(samples: tuple[_Samples, ...]) -> WorkEstimates:
    work = WorkEstimates()
    for sample in samples:
        for _ in range(sample.count):
            work.add_sample(
                sample.route,
                sample.server,
                Seconds(sample.elapsed),
                Seconds(sample.at),
            )
    return work


# Samples of two routes with equal numbers of requests, and the bounds of the
# estimate for the first route at the first server, whose told mean is 0.2 s.
_LONG_AND_SHORT = (
    _Samples('long', _SECOND, 0.3, 200),
    _Samples('short', _SECOND, 0.1, 200),
)
_ESTIMATES = {
    'told-mean-without-samples': ((), 'long', 0.2, 0.2),
    # The prior of a server without samples follows the route's work.
    'longer-than-the-mean': (_LONG_AND_SHORT, 'long', 0.28, 0.3),
    'shorter-than-the-mean': (_LONG_AND_SHORT, 'short', 0.1, 0.12),
    'route-without-samples': (_LONG_AND_SHORT, 'other', 0.2, 0.2),
    # A route with few samples is not far from the mean.
    'few-samples': (
        (
            _Samples('short', _SECOND, 0.1, 200),
            _Samples('long', _SECOND, 1, 1),
        ),
        'long',
        0.2,
        0.4,
    ),
    # The samples of the server itself replace the told mean.
    'samples-of-the-server': (
        (_Samples('long', _FIRST, 0.5, 200),),
        'long',
        0.48,
        0.5,
    ),
    'one-sample-of-the-server': (
        (_Samples('long', _FIRST, 1, 1), _Samples('long', _SECOND, 0.2, 200)),
        'long',
        0.2,
        0.3,
    ),
    # Old samples of a server that gets no requests fade.
    'old-samples-of-the-server': (
        (
            _Samples('long', _FIRST, 0.9, 50, 0),
            _Samples('long', _SECOND, 0.2, 200),
        ),
        'long',
        0.2,
        0.25,
    ),
    'samples-of-work-that-changed': (
        (
            _Samples('long', _FIRST, 0.9, 50, 0),
            _Samples('long', _FIRST, 0.3, 50),
        ),
        'long',
        0.25,
        0.35,
    ),
}


@pytest.mark.parametrize(
    ('samples', 'route', 'least', 'most'), _ESTIMATES.values(), ids=_ESTIMATES
)
def test_estimate(
    samples: tuple[_Samples, ...], route: str, least: float, most: float
) -> None:
    """Combine the told mean, the route's work and the server's samples."""
    estimate = _fill(samples).estimate(route, _FIRST, _TOLD, _NOW)
    assert least - 0.001 <= estimate <= most + 0.001


# Guards against estimates that keep to what was told before the first update.
def test_prior_follows_the_told_mean() -> None:
    """Scale a newly told mean at a server without samples."""
    work = _fill(_LONG_AND_SHORT)
    slow = work.estimate('long', _FIRST, Seconds(0.4), _NOW)
    assert slow == pytest.approx(work.estimate('long', _FIRST, _TOLD, _NOW) * 2)


# Guards against state that grows with configurations and servers.
def test_state_is_bounded() -> None:
    """Forget routes, services and servers that are gone."""
    other = _build_server('s-3', CATALOGUE)
    work = _fill(
        (
            _Samples('long', _FIRST, 0.3, 2),
            _Samples('short', _FIRST, 0.3, 2),
            _Samples('short', _SECOND, 0.3, 2),
            _Samples('long', other, 0.3, 2),
        )
    )
    kept = RouteWork('short', ServiceName(CHECKOUT))
    work.keep_only({kept})
    assert set(work.services) == {kept.service}
    assert set(work.routes) == {kept}
    assert {pair.work for pair in work.servers} == {kept}
    work.remove_gone({_SECOND.life})
    assert {pair.server for pair in work.servers} == {_SECOND.life}
    work.keep_only(set())
    assert not (work.services or work.routes or work.servers)


_DEMAND = Demand(Seconds(0.8), Seconds(1.2))
# Time of the request itself at a server with a mean of 0.2 s, the requests there
# (six slots), the depth for it and whether it is answered in 1.2 s.
_ADMITTED = (
    (0.2, 5, 3, True),
    (0.4, 5, 2, True),
    (0.5, 5, 1.5, True),
    (1.21, 5, 1.5, True),
    (0.99, 6, 1.5, True),
    (1.19, 6, 1.5, False),
    (0.59, 23, 1.5, True),
    (0.61, 23, 1.5, False),
    (0.05, 30, 3, True),
)


# Guards against long requests that are sent and cut off by their timeout, and short
# ones that are refused, at servers with requests of both kinds.
@pytest.mark.parametrize(('own', 'busy', 'depth', 'sent'), _ADMITTED)
def test_admission_counts_the_request_itself(
    own: float, busy: float, depth: float, sent: bool
) -> None:
    """Wait for others by the server's mean, and add the request's own time."""
    room = ServerRoom(busy, 6, Seconds(0.2), Seconds(own))
    assert find_admitted_depth(_DEMAND, room) == pytest.approx(depth)
    assert answers_in_time(_DEMAND, room) == sent


def _build_world(*, reports: bool) -> World:
    world = build_scene()
    for server in world.servers:
        server.reports_load = reports
    return world


def _send(world: World) -> Gateway:
    for _ in range(20):
        world.call(GATEWAYS[0], '/pay/1')
        world.run(0.2)
    return _find_gateway(world)


def _find_gateway(world: World) -> Gateway:
    for process in world.processes.values():
        if process.gateway.options.node == GATEWAYS[0]:
            return process.gateway
    raise AssertionError('the gateway has ended')


def test_samples_are_recorded_where_servers_report_their_load() -> None:
    """Record the route's requests, and estimate the time of the next."""
    gateway = _send(_build_world(reports=True))
    work = RouteWork('pay', ServiceName(CHECKOUT))
    assert set(gateway.work.routes) == {work}
    assert {pair.server.server for pair in gateway.work.servers} == {
        'pay-0',
        'pay-1',
    }
    described = describe_gateway(gateway, _NOW)['work']
    assert [(row['service'], row['route']) for row in described] == [
        (CHECKOUT, 'pay')
    ]
    assert described[0]['mean'] > 0
    assert described[0]['samples'] > 1


def _list_checkout(gateway: Gateway) -> list[Server]:
    return list(gateway.registry.list_service(ServiceName(CHECKOUT)))


def _add_work(gateway: Gateway, elapsed: float, now: Seconds) -> None:
    for server in _list_checkout(gateway):
        for _ in range(200):
            gateway.work.add_sample('pay', server, Seconds(elapsed), now)


# Time of earlier requests of the route, the mean that the servers are told to have,
# and whether a request whose caller waits for 1 s is sent.
@pytest.mark.parametrize(
    ('elapsed', 'told', 'sent'),
    [(0.15, 0.15, True), (1.5, 0.15, False), (0.15, 1.5, True)],
)
def test_request_that_cannot_end_in_time_is_refused(
    elapsed: float, told: float, sent: bool
) -> None:
    """Compare the time left with the route's work, not with the told mean."""
    world = _build_world(reports=True)
    gateway = _send(world)
    _add_work(gateway, elapsed, world.now)
    for server in _list_checkout(gateway):
        pool = gateway.pools.find(server.life)
        pool.service_time = Seconds(told)
        # No slot is free.
        pool.fleet_busy = server.slots
        pool.heard = None
    call = world.call(GATEWAYS[0], '/pay/1', None, Seconds(1))
    assert (call in gateway.calls) == sent
    assert world.results[call].not_run != sent


# Time of earlier requests of the route, and whether a request has to wait for this
# gateway's part of the room while servers hold one and a half requests per slot.
@pytest.mark.parametrize(('elapsed', 'waits'), [(0.15, False), (0.4, True)])
def test_room_for_requests_follows_their_work(
    elapsed: float, waits: bool
) -> None:
    """Count less room for requests that leave less time to wait."""
    world = _build_world(reports=True)
    gateway = _send(world)
    _add_work(gateway, elapsed, world.now)
    servers = _list_checkout(gateway)
    for server in servers:
        pool = gateway.pools.find(server.life)
        pool.service_time = Seconds(0.15)
        pool.fleet_busy = server.slots * 1.5
    call = _open_call(gateway, world.now)
    gateway.shares.rates[ServerGroup(call.service, frozenset())] = RateShare(
        0, world.now
    )
    wait = find_wait_for_share(gateway, call, servers, world.now)
    assert bool(wait) == waits


def _open_call(gateway: Gateway, now: Seconds) -> OpenCall:
    configuration = gateway.configuration
    assert configuration is not None
    route = configuration.find_route('shop.example', '/pay/1')
    assert route is not None
    head = RequestHead('1', route.host, '/pay/1', None, Seconds(2), 0)
    return OpenCall(
        CallId(1),
        head,
        route,
        ServiceName(CHECKOUT),
        now,
        Seconds(now + route.timeout),
    )


# Guards against a changed behaviour of services without load reports.
def test_services_without_reports_are_served_as_before() -> None:
    """Record nothing."""
    gateway = _send(_build_world(reports=False))
    assert not gateway.work.routes
    assert not gateway.work.servers


def _drop_route(version: int) -> Configuration:
    configuration = build_configuration(version)
    renamed = build_route('buy', '/pay/', CHECKOUT, idempotent=False)
    return replace(
        configuration,
        version=Version(version),
        routes={'shop.example': (renamed,)},
    )


def test_samples_end_with_their_route_and_server() -> None:
    """Forget a server that is gone, and a route that is not configured."""
    world = _build_world(reports=True)
    gateway = _send(world)
    gone = next(
        server
        for server in world.servers
        if server.entry.life.server == 'pay-0'
    )
    world.crash_server(gone)
    world.store.remove_server(ServerId('pay-0'))
    world.run(4)
    assert {pair.server.server for pair in gateway.work.servers} == {'pay-1'}
    world.store.write_configuration(_drop_route(2))
    world.run(4)
    assert not gateway.work.routes
    assert not gateway.work.servers
