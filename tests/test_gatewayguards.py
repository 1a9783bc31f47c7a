"""Disable the code behind each rule, and see the rule's own test fail.

The code that keeps owners exclusive is covered by test_gatewayownership, as it
needs many seeds.
"""

from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

import pytest

from measure.gatewayworld import World
from tests import test_gatewayforwarding as forwardingtests
from tests import test_gatewayleaving as leavingtests
from tests import test_gatewaylimits as limittests
from tests import test_gatewaypauses as pausetests
from tests import test_gatewayrelay as relaytests
from tests import test_gatewaystop as stoptests
from tests import test_platformadapter as adaptertests
from tests.gatewayscenes import GATEWAYS, build_scene, list_unowned
from trefoilsaddle.core.units import NodeId, Seconds, ServiceName
from trefoilsaddle.gateway import (
    choosing,
    controller,
    forwarding,
    lifecycle,
    notices,
    peers,
    placing,
)
from trefoilsaddle.gateway import servers as servermodule
from trefoilsaddle.gateway.budget import ServiceBudget
from trefoilsaddle.gateway.configuration import Route
from trefoilsaddle.gateway.effects import (
    Component,
    Effects,
    EndCall,
    WriteDecision,
)
from trefoilsaddle.gateway.events import JoinEnded, RequestArrived
from trefoilsaddle.gateway.lapses import LapseWindow
from trefoilsaddle.gateway.limits import RateLimits
from trefoilsaddle.gateway.state import Gateway, OpenCall
from trefoilsaddle.platform import dialect, headers
from trefoilsaddle.results import ResultCode

_LONG = Seconds(99)
# Time to recover that is set for both sites (`recovery`).
_RECOVERY = Seconds(15)


def _defer_all(lapses: LapseWindow, now: Seconds) -> None:
    lapses.deferred_until = Seconds(now + _LONG)


def _reject_early(
    gateway: Gateway,
    event: RequestArrived,
    code: ResultCode,
    *,
    not_run: bool,
) -> Effects:
    denial = ResultCode.route_unknown
    return [EndCall(event.call, denial, not_run=False, retry_after=Seconds(0))]


def _shift_excess(gateway: Gateway, route: Route) -> ServiceName:
    choosing.choose_service(gateway, route)
    return route.services[-1].service


def _ignore_runs() -> property:
    return property(lambda call: False, lambda call, ran: None)


def _check_case(name: str) -> None:
    forwardingtests.test_outcome_is_reported_truthfully(
        forwardingtests._CASES[name]
    )


def _check_judged(name: str) -> None:
    adaptertests.test_answer_is_evaluated(adaptertests._ANSWERS[name])


def _check_recovery() -> None:
    world = build_scene()
    world.faults.store_down = True
    for name in GATEWAYS:
        world.start_gateway(name)
    _end_outage(world)
    _lose_store_when_elected(world)
    _end_outage(world)


def _lose_store_when_elected(world: World) -> None:
    first = world.find_controller()
    assert first is not None
    world.kill_gateway(first.gateway.options.node)
    world.faults.store_down = True
    last = world.processes[NodeId(GATEWAYS[-1])]
    elected = JoinEnded(
        answered=True,
        generation=world.store.generation,
        leads=True,
        asked_at=world.now,
    )
    world.feed(last, elected)
    world.kill_gateway(GATEWAYS[1])


def _end_outage(world: World) -> None:
    world.run(5)
    world.faults.store_down = False
    world.run(_RECOVERY)
    assert list_unowned(world) == []


def _ignore_pause(*arguments: object) -> WriteDecision:
    return WriteDecision(Component.forwarding, 'ignored')


def _skip_retry(gateway: Gateway, now: Seconds) -> Effects:
    return []


@dataclass(frozen=True, slots=True)
class _Guard:
    """Name the code to disable, and the test that then fails."""

    holder: object
    name: str
    instead: object
    check: Callable[[], None]


_GUARDS = {
    'REFUSED': _Guard(
        OpenCall,
        'may_have_run',
        _ignore_runs(),
        partial(_check_case, 'pay-shed-then-lost'),
    ),
    'TWICE': _Guard(
        OpenCall,
        'may_have_run',
        _ignore_runs(),
        partial(_check_case, 'pay-lost'),
    ),
    'REFUSED-of-a-server': _Guard(
        dialect,
        '_NOT_RUN_STATUSES',
        frozenset(),
        partial(_check_judged, '503-that-ran'),
    ),
    'MIXED': _Guard(
        dialect,
        '_is_authentic',
        lambda answer, request_id: True,
        partial(_check_judged, 'no-seal'),
    ),
    'UNASKED': _Guard(
        dialect,
        'drop_connection_headers',
        lambda headers: headers,
        adaptertests.test_attempt_carries_what_a_server_needs,
    ),
    'ROUTE': _Guard(
        dialect,
        '_REPLACED',
        frozenset((headers.REMAINING, headers.LENGTH)),
        adaptertests.test_server_is_named_once,
    ),
    'DENIED': _Guard(
        forwarding,
        'refuse_early',
        _reject_early,
        forwardingtests.test_request_before_a_configuration_is_not_run,
    ),
    'BUDGET': _Guard(
        ServiceBudget,
        'spend_retry',
        lambda budget, now, share: True,
        partial(forwardingtests.test_retries_stay_within_the_shared_budget, 3),
    ),
    'DRAIN-of-a-leaving-server': _Guard(
        servermodule.ServerRegistry,
        'record_leaving',
        lambda registry, incarnation, now: False,
        partial(
            leavingtests.test_leaving_server_gets_no_late_request,
            '/pay/1',
            store_down=False,
        ),
    ),
    'BUDGET-of-a-pause': _Guard(
        notices,
        '_pause_server',
        _ignore_pause,
        partial(pausetests.test_server_is_left_alone_for_the_pause, '/reads/1'),
    ),
    'LIMIT': _Guard(
        RateLimits,
        'find_wait',
        lambda *arguments: Seconds(0),
        partial(
            limittests.test_named_limit_is_kept_by_the_fleet,
            8,
            1,
            '/pay/1',
            limittests.do_nothing,
        ),
    ),
    'GONE': _Guard(
        forwarding,
        '_handle_caller_left',
        lambda gateway, now, call: [],
        forwardingtests.test_caller_that_leaves_cancels_its_attempt,
    ),
    'LOST': _Guard(
        lifecycle,
        'is_refusing',
        lambda gateway, now: False,
        partial(
            forwardingtests.test_stopping_gateway_sends_only_what_it_can_finish,
            3.3,
            0,
        ),
    ),
    'LOST-of-a-late-send': _Guard(
        choosing,
        'ends_in_time',
        lambda *arguments: True,
        partial(
            stoptests.test_stopping_gateway_sends_what_ends_in_time,
            stoptests.ARRIVALS['late at a slow server'],
            '/pay/1',
        ),
    ),
    'LOST-of-a-late-send-to-an-owner': _Guard(
        placing,
        'ends_in_time',
        lambda *arguments: True,
        partial(
            stoptests.test_stopping_gateway_sends_what_ends_in_time,
            stoptests.ARRIVALS['late at a slow server'],
            '/reads/1',
        ),
    ),
    'CONFIG': _Guard(
        peers,
        '_COPY_TIMEOUT',
        _LONG,
        partial(
            relaytests.test_newer_version_is_asked_for_and_then_read,
            0.9,
            reads=True,
        ),
    ),
    'DRAIN-of-an-owner': _Guard(
        servermodule,
        'MAX_DRAINING_USE',
        _LONG,
        partial(
            forwardingtests.test_leaving_owner_gets_no_late_request, 1.3, 0
        ),
    ),
    'DRAIN-of-a-removed-server': _Guard(
        LapseWindow,
        'defer_removals',
        _defer_all,
        partial(
            relaytests.test_removal_is_deferred_only_if_nobody_read,
            relayed=True,
            lapse=False,
            kept=False,
        ),
    ),
    'RECOVER': _Guard(controller, '_retry_read', _skip_retry, _check_recovery),
    'Duty': _Guard(
        forwarding,
        'choose_service',
        _shift_excess,
        forwardingtests.test_weights_are_kept_while_a_service_is_full,
    ),
}


@pytest.mark.parametrize('guard', _GUARDS.values(), ids=_GUARDS)
def test_disabled_guard_is_detected(
    guard: _Guard,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Pass with the code in place, and fail without it."""
    guard.check()
    monkeypatch.setattr(guard.holder, guard.name, guard.instead)
    with pytest.raises(AssertionError):
        guard.check()
