"""Measure service by rank in virtual time and print a Markdown table.

Usage: python -m measure.service [--seeds 1,2] [--scene NAME] [--policy NAME]
"""

from dataclasses import dataclass
from random import Random
from time import process_time

from typer import Typer, echo

from measure.baselines import (
    FifoDiscipline,
    RankedBoundDiscipline,
    RankedThresholdDiscipline,
    StrictDiscipline,
    ThresholdDiscipline,
)
from measure.previous import PreviousDiscipline
from measure.scenes import (
    DEADLINES,
    DEPLOYMENTS,
    RANK_NAMES,
    SCENES,
    SHARES,
    Deployment,
    Scene,
)
from measure.simulation import Simulation
from measure.tally import EndedCall, RankTally, find_longest_refusal
from trefoilsaddle.core.disciplines import Discipline, RankDiscipline
from trefoilsaddle.results import Outcome

_Policy = tuple[str, type[Discipline]]
POLICIES: tuple[_Policy, ...] = (
    ('fifo', FifoDiscipline),
    ('strict', StrictDiscipline),
    ('paper', ThresholdDiscipline),
    ('ours, fixed bound', RankedBoundDiscipline),
    ('ours, paper bound', RankedThresholdDiscipline),
    ('previous', PreviousDiscipline),
    ('ours', RankDiscipline),
)
_HEADER = (
    '| deployment | scene | policy | rank | p50 ms | p99 ms | served '
    '| refused | wrongly | unknown | late | longest refusal s | share kept '
    '| worth | in vain |'
)
_COLUMNS = 15

app = Typer(add_completion=False)


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of one scene under one policy."""

    tallies: tuple[RankTally, ...]
    kept: tuple[float, ...]
    worth: float
    wasted_forwards: int


@app.command()
def measure(
    seeds: str = '1',
    scene: str = '',
    policy: str = '',
) -> None:
    """Print one line per deployment, scene, policy and rank.

    Seeds are separated by commas; scenes are selected by a part of their name.
    """
    numbers = [int(seed) for seed in seeds.split(',')]
    started = process_time()
    echo(_HEADER)
    echo('|---' * _COLUMNS, nl=False)
    echo('|')
    for deployment in DEPLOYMENTS:
        for chosen in SCENES:
            if scene in chosen.name:
                _measure_scene(deployment, chosen, policy, numbers)
    spent = round(process_time() - started)
    echo(f'\nSeeds {seeds}; {spent} s of processor time.')


def measure_policy(
    deployment: Deployment,
    scene: Scene,
    discipline: type[Discipline],
    seeds: list[int],
) -> Figures:
    """Simulate a scene under a policy with each seed and sum the results."""
    tallies = tuple(RankTally() for _ in RANK_NAMES)
    kept: list[float] = [0 for _ in RANK_NAMES]
    wasted = 0
    for seed in seeds:
        simulation = Simulation(
            deployment,
            scene,
            discipline(),
            seed,
            Random(seed),
        )
        simulation.run()
        wasted += simulation.wasted_forwards
        _count_calls(simulation, tallies)
        for rank, former in enumerate(kept):
            share = _measure_share(simulation, rank) / len(seeds)
            kept[rank] = former + share
    worth = _sum_worth(deployment, tallies)
    return Figures(tallies, tuple(kept), worth, wasted)


def _sum_worth(
    deployment: Deployment,
    tallies: tuple[RankTally, ...],
) -> float:
    return sum(
        tally.served * each
        for tally, each in zip(tallies, deployment.worths, strict=True)
    )


def _measure_scene(
    deployment: Deployment,
    scene: Scene,
    only: str,
    seeds: list[int],
) -> None:
    for name, discipline in POLICIES:
        if only in {'', name}:
            figures = measure_policy(deployment, scene, discipline, seeds)
            _print_figures(
                f'| {deployment.name} | {scene.name} | {name}', figures
            )


def _count_calls(
    simulation: Simulation,
    tallies: tuple[RankTally, ...],
) -> None:
    deployment = simulation.deployment
    for service in deployment.services:
        for rank, tally in enumerate(tallies):
            calls = _list_calls(simulation, service.name, rank)
            for ended in calls:
                tally.add(ended, service.servers, DEADLINES[rank])
            tally.longest_refusal = max(
                tally.longest_refusal,
                find_longest_refusal(calls),
            )


def _list_calls(
    simulation: Simulation,
    service: str,
    rank: int,
) -> list[EndedCall]:
    """Return the calls that arrived during the scene's fault or flood."""
    scene = simulation.scene
    return [
        ended
        for ended in simulation.ended
        if ended.service == service
        and ended.rank == rank
        and scene.begin <= ended.arrived < scene.end
    ]


def _measure_share(simulation: Simulation, rank: int) -> float:
    """Return the smallest fraction of its due that a rank got at any server.

    Its due is the guaranteed share, or all of the rank's calls if fewer.
    """
    scene = simulation.scene
    duration = scene.end - scene.begin
    least = float('inf')
    for service in simulation.deployment.services:
        calls = _list_calls(simulation, service.name, rank)
        served = sum(ended.outcome is Outcome.answered for ended in calls)
        guaranteed = SHARES[rank] * service.capacity() * duration
        least = min(least, served / min(guaranteed, len(calls)))
    return least


def _print_figures(title: str, figures: Figures) -> None:
    for rank, tally in enumerate(figures.tallies):
        cells = [
            title,
            RANK_NAMES[rank],
            f'{tally.p50():.1f}',
            f'{tally.p99():.1f}',
            f'{tally.served:.0f}',
            f'{tally.refused:.0f}',
            f'{tally.avoidable:.0f}',
            f'{tally.unknown:.0f}',
            f'{tally.late:.0f}',
            f'{tally.longest_refusal:.2f}',
            f'{figures.kept[rank]:.2f}',
        ]
        if rank:
            cells.extend(('', ''))
        else:
            cells.append(f'{figures.worth:.0f}')
            cells.append(str(figures.wasted_forwards))
        echo(' | '.join(cells), nl=False)
        echo(' |')


if __name__ == '__main__':
    app()
