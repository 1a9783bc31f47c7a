"""Test what a gateway does with requests during a planned stop."""

from dataclasses import dataclass, replace

import pytest

from measure.gatewayworld import World
from tests.gatewayscenes import CATALOGUE, CHECKOUT, build_scene
from trefoilsaddle.core.units import CallId, NodeId, Seconds, ServiceName
from trefoilsaddle.gateway.effects import (
    Effects,
    EndCall,
    ExitProcess,
    SendAttempt,
)
from trefoilsaddle.gateway.events import (
    AttemptEnded,
    AttemptVerdict,
    Event,
    RequestArrived,
    RequestHead,
    StopRequested,
    TimerExpired,
    TimerKind,
)
from trefoilsaddle.gateway.keys import Key
from trefoilsaddle.gateway.placing import retry_parked
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import OwnerMap
from trefoilsaddle.programs.gatewaystatuses import find_refusal_status
from trefoilsaddle.results import ResultCode

_CALL = CallId(900)
_NODE = NodeId('gate-1')
_READ = '/reads/1'
_PAY = '/pay/1'
# Longer than the platform waits between SIGTERM and SIGKILL.
_PATIENCE = Seconds(8)
# Requests that earn more than one retry.
_EARNING = 20


def _find_gateway(world: World) -> Gateway:
    return world.processes[_NODE].gateway


def _build_patient_scene(patience: Seconds = _PATIENCE) -> World:
    """Build a scene in which requests may take longer than a stop."""
    world = build_scene()
    gateway = _find_gateway(world)
    configuration = gateway.configuration
    assert configuration is not None
    routes = tuple(
        replace(route, timeout=patience)
        for route in configuration.routes['shop.example']
    )
    gateway.configuration = replace(
        configuration, routes={'shop.example': routes}
    )
    return world


def _arrive(path: str, call: CallId = _CALL) -> RequestArrived:
    head = RequestHead('mine', 'shop.example', path, Key(7), _PATIENCE, 0)
    return RequestArrived(call, head)


def _reduce(world: World, event: Event) -> Effects:
    return reduce(_find_gateway(world), world.now, event)


def _advance(world: World, elapsed: float) -> None:
    """Let time pass without any event."""
    world.now = Seconds(world.now + elapsed)
    _find_gateway(world).pools.updated_at = world.now


def _earn_retries(world: World) -> None:
    gateway = _find_gateway(world)
    for name in (CATALOGUE, CHECKOUT):
        budget = gateway.find_budget(ServiceName(name))
        budget.requests.extend(world.now for _ in range(_EARNING))


def _set_servers(world: World, service_time: float, busy: float) -> None:
    gateway = _find_gateway(world)
    for server in gateway.registry.servers.values():
        pool = gateway.pools.find(server.life)
        pool.service_time = Seconds(service_time)
        pool.fleet_busy = busy


def _find(effects: Effects, kind: type) -> list[object]:
    return [effect for effect in effects if isinstance(effect, kind)]


def _assert_refused(effects: Effects) -> None:
    assert not _find(effects, SendAttempt)
    end = _find(effects, EndCall)[0]
    assert isinstance(end, EndCall)
    assert (end.code, end.not_run) == (ResultCode.stopping, True)
    assert 0 < end.retry_after < 1


@dataclass(frozen=True, slots=True)
class _Arrival:
    """Describe a request during a stop, and whether it is sent."""

    # Time since the stop began.
    elapsed: float
    # Mean time of a request, and the requests, at each server.
    service_time: float
    busy: float
    sent: bool
    patience: Seconds = _PATIENCE


ARRIVALS = {
    'early': _Arrival(0.5, 0.3, 2, sent=True),
    'late at a fast server': _Arrival(3.1, 0.2, 2, sent=True),
    'late at a slow server': _Arrival(3.1, 0.5, 2, sent=False),
    'late at a server with a free slot': _Arrival(3.1, 0.27, 2, sent=True),
    'late at a server with a queue': _Arrival(3.1, 0.27, 5, sent=False),
    'early at a very slow server': _Arrival(1, 1, 0, sent=False),
    'late, but ends by its own deadline': _Arrival(
        3.1, 0.5, 2, sent=True, patience=Seconds(2)
    ),
}


# Guards against payments that were taken 3.1 s after SIGTERM, sent with their
# whole time, and cut without an answer at 5.6 s.
@pytest.mark.parametrize('path', [_READ, _PAY])
@pytest.mark.parametrize('case', ARRIVALS.values(), ids=ARRIVALS)
def test_stopping_gateway_sends_what_ends_in_time(
    case: _Arrival, path: str
) -> None:
    """Send what a server can end before the exit, and refuse the rest."""
    world = _build_patient_scene(case.patience)
    _reduce(world, StopRequested())
    _advance(world, case.elapsed)
    _set_servers(world, case.service_time, case.busy)
    effects = _reduce(world, _arrive(path))
    if case.sent:
        assert len(_find(effects, SendAttempt)) == 1
    else:
        _assert_refused(effects)


_REFUSALS = (
    AttemptVerdict.shed,
    AttemptVerdict.refused,
    AttemptVerdict.unsent,
)


# Guards against requests that a first server refused, which were sent to a second
# one late in a stop and cut there.
@pytest.mark.parametrize('verdict', _REFUSALS)
@pytest.mark.parametrize(('elapsed', 'sent'), [(1, True), (4, False)])
def test_stopping_gateway_repeats_what_ends_in_time(
    verdict: AttemptVerdict, elapsed: float, *, sent: bool
) -> None:
    """Send a refused request again only if it can end before the exit."""
    world = _build_patient_scene()
    _reduce(world, StopRequested())
    _set_servers(world, 0.3, 1)
    assert _find(_reduce(world, _arrive(_PAY)), SendAttempt)
    _advance(world, elapsed)
    _earn_retries(world)
    effects = _reduce(world, AttemptEnded(_CALL, 1, verdict, 0))
    if sent:
        assert len(_find(effects, SendAttempt)) == 1
    else:
        _assert_refused(effects)


# Guards against requests that waited for an owner of their key, were sent late in
# a stop and cut.
@pytest.mark.parametrize(('elapsed', 'sent'), [(1, True), (3.1, False)])
def test_stopping_gateway_sends_parked_requests_in_time(
    elapsed: float, *, sent: bool
) -> None:
    """Refuse a parked request that its new owner could not end in time."""
    world = _build_patient_scene()
    gateway = _find_gateway(world)
    owners = gateway.owners[ServiceName(CATALOGUE)]
    known = owners.owners
    _reduce(world, StopRequested())
    _advance(world, elapsed)
    owners.owners = OwnerMap(())
    assert not _reduce_and_list_ends(world, _arrive(_READ))
    _advance(world, 0.3)
    _set_servers(world, 0.4, 1)
    owners.owners = known
    effects = retry_parked(gateway, world.now)
    if sent:
        assert len(_find(effects, SendAttempt)) == 1
    else:
        _assert_refused(effects)


# Guards against a wait for an owner after which there is no time left to serve.
def test_stopping_gateway_parks_only_what_could_end() -> None:
    """Refuse at once what an average server could not end any more."""
    world = _build_patient_scene()
    _reduce(world, StopRequested())
    assert _find(_reduce(world, _arrive(_READ)), SendAttempt)
    _find_gateway(world).owners[ServiceName(CATALOGUE)].owners = OwnerMap(())
    _advance(world, 4.9)
    _earn_retries(world)
    moved = AttemptEnded(_CALL, 1, AttemptVerdict.misdirected, 0)
    _assert_refused(_reduce(world, moved))


def _reduce_and_list_ends(world: World, event: Event) -> list[object]:
    return _find(_reduce(world, event), EndCall)


# Time from SIGTERM until its handling, and from then until a review; whether the
# process exits, and with it a request that a server still runs.
_LATE_SIGNALS = (
    (0, 5.5, False),
    (0, 5.7, True),
    (0.6, 4.9, False),
    (0.6, 5.1, True),
)


# Guards against a process that is killed with its last answers unwritten, as a
# busy loop handled SIGTERM late and counted the whole grace from then on.
@pytest.mark.parametrize(('late', 'elapsed', 'exits'), _LATE_SIGNALS)
def test_exit_counts_from_the_signal(
    late: float, elapsed: float, *, exits: bool
) -> None:
    """Exit before SIGKILL however late the signal was handled."""
    world = _build_patient_scene()
    sent = world.now
    _advance(world, late)
    _reduce(world, StopRequested(sent))
    assert _find(_reduce(world, _arrive(_PAY)), SendAttempt)
    _advance(world, elapsed)
    effects = _reduce(world, TimerExpired(TimerKind.review))
    assert bool(_find(effects, ExitProcess)) == exits
    assert _find_gateway(world).stopping_since == sent + late


# Guards against a request that a late loop sends for longer than the process
# may run.
@pytest.mark.parametrize(('late', 'sent'), [(0, True), (0.8, False)])
def test_late_signal_leaves_less_time_to_send(
    late: float, *, sent: bool
) -> None:
    """Count from the signal what a request may take."""
    world = _build_patient_scene()
    signal = world.now
    _advance(world, late)
    _reduce(world, StopRequested(signal))
    _advance(world, 3.1)
    _set_servers(world, 0.25, 0)
    effects = _reduce(world, _arrive(_PAY))
    assert bool(_find(effects, SendAttempt)) == sent


# Guards against orders at the end of a stop whose connection closes without an
# answer, which a caller's HTTP library may send again.
@pytest.mark.parametrize(
    ('path', 'parked', 'status'),
    [(_PAY, False, 502), (_READ, False, 502), (_READ, True, 503)],
)
def test_end_of_a_stop_answers_what_is_open(
    path: str, status: int, *, parked: bool
) -> None:
    """Tell callers whether a request that is open at the exit may have run."""
    world = _build_patient_scene()
    gateway = _find_gateway(world)
    known = gateway.owners[ServiceName(CATALOGUE)].owners
    if parked:
        gateway.owners[ServiceName(CATALOGUE)].owners = OwnerMap(())
    _reduce(world, _arrive(path))
    gateway.owners[ServiceName(CATALOGUE)].owners = known
    assert (_CALL in gateway.parked) == parked
    _reduce(world, StopRequested())
    _advance(world, 5.7)
    effects = _reduce(world, TimerExpired(TimerKind.review))
    end = _find(effects, EndCall)[0]
    assert isinstance(end, EndCall)
    assert end.code == ResultCode.stopping
    assert find_refusal_status(end.code, not_run=end.not_run) == status


@pytest.mark.parametrize('elapsed', [5.7, 5.9])
def test_process_is_told_once_to_exit(elapsed: float) -> None:
    """Leave some time for the last answers, also if the loop is late."""
    world = _build_patient_scene()
    _reduce(world, StopRequested())
    _reduce(world, _arrive(_PAY))
    _advance(world, elapsed)
    effects = _reduce(world, TimerExpired(TimerKind.review))
    end = _find(effects, ExitProcess)[0]
    assert isinstance(end, ExitProcess)
    assert 0 < end.patience < 0.2
    _advance(world, 0.1)
    again = _reduce(world, TimerExpired(TimerKind.review))
    assert not _find(again, ExitProcess)
