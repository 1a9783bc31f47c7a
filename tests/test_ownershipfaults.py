"""Inject each fault, and pairs of faults, at each step of ownership."""

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from itertools import combinations

import pytest

from measure.ownershipbench import Bench, open_bench
from measure.ownershipfaults import (
    FAULTS,
    Fault,
    end_faults,
    find_holder,
    move_shards,
)
from measure.ownershipscene import Scene
from trefoilsaddle.core.dutystate import Duty, MoveStage
from trefoilsaddle.core.events import StopRequested

# Maximum wait for a step to be reached, and time between checks, in seconds.
_STEP_LIMIT = 6
_CHECK_INTERVAL = 0.001


@dataclass(frozen=True, slots=True)
class Step:
    """Name a step, its preparation and the condition that it is reached."""

    name: str
    prepare: Callable[[Bench], None]
    reached: Callable[[Bench], bool]


def _settle(bench: Bench) -> None:
    bench.run(1.8)


def _start(bench: Bench) -> None:
    bench.run(_CHECK_INTERVAL)


def _move(bench: Bench) -> None:
    _settle(bench)
    move_shards(bench, *bench.scene.server_ids[:2])


def _lose_server(bench: Bench) -> None:
    _settle(bench)
    bench.servers[bench.scene.server_ids[0]].stop()


def _lose_dispatcher(bench: Bench) -> None:
    _settle(bench)
    find_holder(bench).alive = False


def _lose_dispatcher_without_log(bench: Bench) -> None:
    _settle(bench)
    bench.fleet.log.faults.away = True
    bench.run(1)
    find_holder(bench).alive = False


def _lose_server_without_log(bench: Bench) -> None:
    _settle(bench)
    bench.fleet.log.faults.away = True
    bench.run(1)
    bench.servers[bench.scene.server_ids[0]].stop()


def _stop(bench: Bench) -> None:
    _settle(bench)
    bench.fleet.deliver(find_holder(bench), StopRequested())


def _find_duties(bench: Bench) -> list[Duty]:
    server = bench.scene.server_ids[0]
    return [
        process.node.duties.held[server]
        for process in bench.fleet.processes.values()
        if process.alive and server in process.node.duties.held
    ]


def _is_claiming(bench: Bench) -> bool:
    return any(
        process.node.duties.pending_claims
        for process in bench.fleet.processes.values()
        if process.alive
    )


def _is_granting(bench: Bench) -> bool:
    return any(not duty.grants.synced for duty in _find_duties(bench))


def _is_settled(bench: Bench) -> bool:
    return any(duty.grants.synced for duty in _find_duties(bench))


def _is_handing_over(bench: Bench) -> bool:
    return any(
        process.node.duties.handing_over
        for process in bench.fleet.processes.values()
    )


def _is_taken_over(bench: Bench) -> bool:
    return any(duty.provisional for duty in _find_duties(bench))


def _is_in_stage(stage: MoveStage, bench: Bench) -> bool:
    return any(
        move.stage is stage
        for duty in _find_duties(bench)
        for move in duty.moves.values()
    )


STEPS = (
    Step('claim', _start, _is_claiming),
    Step('grant', _start, _is_granting),
    Step('renew', _settle, _is_settled),
    Step('move-revoke', _move, partial(_is_in_stage, MoveStage.revoking)),
    Step('move-append', _move, partial(_is_in_stage, MoveStage.appending)),
    Step(
        'recover-server',
        _lose_server,
        partial(_is_in_stage, MoveStage.appending),
    ),
    Step('recover-dispatcher', _lose_dispatcher, _is_claiming),
    Step('take-over', _lose_dispatcher_without_log, _is_taken_over),
    Step(
        'move-without-log',
        _lose_server_without_log,
        partial(_is_in_stage, MoveStage.provisional),
    ),
    Step('stop', _stop, _is_handing_over),
)


def reach_step(bench: Bench, step: Step) -> None:
    """Prepare a step and run until it is reached."""
    step.prepare(bench)
    limit = bench.now + _STEP_LIMIT
    while not step.reached(bench):
        assert bench.now < limit, 'the step was never reached'
        bench.run(_CHECK_INTERVAL)


def run_trial(scene: Scene, step: Step, faults: tuple[Fault, ...]) -> None:
    """Inject faults at a step, end them, and check ownership afterwards."""
    with open_bench(scene) as bench:
        reach_step(bench, step)
        for fault in faults:
            fault.begin(bench)
            bench.run(0.4)
        bench.run(2)
        end_faults(bench)
        bench.run(5)
        if bench.find_unserved(bench.now - 1):
            # A whole claim set was lost, which an operator has to declare.
            _declare_lost(bench)
        assert not bench.violations
        assert not bench.find_unserved(bench.now - 1)


def _declare_lost(bench: Bench) -> None:
    scene = bench.scene
    version = find_holder(bench).node.view.version
    overlay = scene.overlay(lost=scene.zone_names)
    bench.fleet.log.append((scene.republish(version, overlay),))
    bench.run(8)


def _name(case: Step | Fault) -> str:
    return case.name


_CHECKED = Scene(seed=2, shards=4, pace=0.05)
_UNCHECKED = replace(_CHECKED, checks_grants=False)


@pytest.mark.parametrize('step', STEPS, ids=_name)
@pytest.mark.parametrize('fault', FAULTS, ids=_name)
def test_fault_at_step(step: Step, fault: Fault) -> None:
    """Keep one owner per shard, and serve every shard again afterwards."""
    run_trial(_CHECKED, step, (fault,))


@pytest.mark.parametrize('fault', FAULTS, ids=_name)
def test_fault_without_checks(fault: Fault) -> None:
    """Keep one owner per shard on servers that do not check grants."""
    run_trial(_UNCHECKED, STEPS[4], (fault,))


@pytest.mark.parametrize('pair', list(combinations(FAULTS[::3], 2)))
def test_pair_of_faults(pair: tuple[Fault, Fault]) -> None:
    """Keep one owner per shard when two faults overlap during a move."""
    run_trial(_CHECKED, STEPS[3], pair)
