"""Test that the retries of all gateways stay within the shared budget.

The limit is on the sum over the fleet, in any window: gateways that start, lose
the controller or are cut off must not take more than their part of it.
"""

from collections.abc import Callable
from dataclasses import replace
from functools import partial

import pytest

from measure.gatewayworld import build_world
from tests.fleetload import PLAIN_PATH, FleetLoad, name_gateways
from tests.gatewayscenes import CATALOGUE, CHECKOUT, build_configuration
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.options import GatewayOptions, RetryBudget

_RULES = RetryBudget(ratio=0.2, slack=64, window=Seconds(10))
# Time until the fleet has a controller, and from then to the end of the load.
_START_TIME = Seconds(6)
_LOAD_TIME = Seconds(20)


def _count_excess(load: FleetLoad) -> float:
    """Return by how much a window exceeds the limit at the most."""
    ended = [load.world.results[call] for call in load.sent]
    excess = -_RULES.slack
    requests = 0
    retries = 0
    first = 0
    for last in ended:
        requests += 1
        retries += max(last.attempts - 1, 0)
        while ended[first].sent <= last.sent - _RULES.window:
            requests -= 1
            retries -= max(ended[first].attempts - 1, 0)
            first += 1
        limit = _RULES.ratio * requests + _RULES.slack
        excess = max(excess, retries - limit)
    return excess


def _set_rules(options: GatewayOptions) -> GatewayOptions:
    return replace(options, retry_budget=_RULES)


def _build_load(gateways: int, rate: float) -> FleetLoad:
    names = name_gateways(gateways)
    world = build_world(build_configuration(), ())
    world.adjust = _set_rules
    for name in names:
        world.start_gateway(name)
    for number in range(12):
        server = world.add_server(f'pay-{number}', CHECKOUT)
        # Full from the start, whatever its entry says.
        server.entry = replace(server.entry, slots=0)
        server.queue_limit = 0
    world.add_server('guide-0', CATALOGUE)
    world.run(_START_TIME)
    return FleetLoad(world, names, PLAIN_PATH, rate)


def _restart_all_twice(load: FleetLoad) -> None:
    for moment in (6, 13):
        load.world.after(moment, partial(load.restart, load.names))


def _restart_all_often(load: FleetLoad) -> None:
    for moment in range(1, 20):
        load.world.after(moment, partial(load.restart, load.names))


def _restart_in_turn(load: FleetLoad) -> None:
    for number, name in enumerate(load.names):
        moment = 2 + 18 * number / len(load.names)
        load.world.after(moment, partial(load.restart, (name,)))


def _cut_half(load: FleetLoad) -> None:
    load.world.after(5, partial(load.cut_half, away=True))
    load.world.after(18, partial(load.cut_half, away=False))


def _lose_controller_and_store(load: FleetLoad) -> None:
    def lose() -> None:
        process = load.world.find_controller()
        assert process is not None
        load.world.faults.store_down = True
        load.world.start_gateway(process.gateway.options.node)

    load.world.after(5, lose)


def _do_nothing(load: FleetLoad) -> None:
    """Add no trouble."""


_TROUBLES: dict[str, Callable[[FleetLoad], None]] = {
    'none': _do_nothing,
    'all restart twice': _restart_all_twice,
    'all restart often': _restart_all_often,
    'restart in turn': _restart_in_turn,
    'half cut off': _cut_half,
    'controller and store lost': _lose_controller_and_store,
}


# Guards against gateways that each take the whole slack while they know of no
# others, and against retries that a restart forgets.
@pytest.mark.parametrize('trouble', _TROUBLES.values(), ids=_TROUBLES)
@pytest.mark.parametrize(('gateways', 'rate'), [(8, 100), (12, 40), (90, 100)])
def test_retries_of_the_fleet_stay_within_the_budget(
    trouble: Callable[[FleetLoad], None],
    gateways: int,
    rate: float,
) -> None:
    """Keep the retries of all gateways in any window below the limit."""
    load = _build_load(gateways, rate)
    trouble(load)
    load.begin(_LOAD_TIME)
    load.world.run(_LOAD_TIME + 2)
    assert _count_excess(load) <= 0


# Guards against a budget that is kept by making hardly any retries.
@pytest.mark.parametrize(('gateways', 'rate'), [(8, 100), (90, 300)])
def test_steady_fleet_uses_most_of_the_budget(
    gateways: int, rate: float
) -> None:
    """Make at least half of the retries that the requests earn."""
    load = _build_load(gateways, rate)
    load.begin(_LOAD_TIME)
    load.world.run(_LOAD_TIME + 2)
    earned = _RULES.ratio * rate * _RULES.window
    assert _count_excess(load) >= -earned / 2 - _RULES.slack
