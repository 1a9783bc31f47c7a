"""Measure for how long keys are not served after a loss.

    python -m measure.recovery [SEEDS]

The time from the loss until every shard has run a request again, in virtual
time.  Each dispatcher's and server's clock is off by up to half the drift.
"""

import sys
from collections.abc import Callable
from dataclasses import dataclass
from statistics import median

from measure.ownershipbench import Bench, open_bench
from measure.ownershipfaults import find_holder
from measure.ownershipscene import Scene
from trefoilsaddle.core.events import StopRequested

_SEEDS = 100
# In seconds.
_STEP = 0.02
_LIMIT = 12
_WARM_UP = 3
_OUTAGE = 2
_NONE = '-'
_COLUMNS = ('server checks', 'log', 'lost', 'median', 'worst', 'not served')


@dataclass(frozen=True, slots=True)
class Loss:
    """Named loss with the function that causes it."""

    name: str
    begin: Callable[[Bench], None]


def _lose_server(bench: Bench) -> None:
    bench.servers[bench.scene.server_ids[0]].stop()


def _lose_dispatcher(bench: Bench) -> None:
    find_holder(bench).alive = False


def _lose_both(bench: Bench) -> None:
    _lose_dispatcher(bench)
    _lose_server(bench)


def _stop_dispatcher(bench: Bench) -> None:
    bench.fleet.deliver(find_holder(bench), StopRequested())


_LOSSES = (
    Loss('none: stopped', _stop_dispatcher),
    Loss('server', _lose_server),
    Loss('dispatcher', _lose_dispatcher),
    Loss('both', _lose_both),
)


def measure_loss(scene: Scene, loss: Loss, *, away: bool) -> float | None:
    """Return the seconds without service, or None if service stays lost."""
    with open_bench(scene) as bench:
        # The random delay puts the loss anywhere between two renewals.
        bench.run(_WARM_UP + bench.fleet.random.random())
        bench.fleet.log.faults.away = away
        bench.run(_OUTAGE)
        loss.begin(bench)
        lost = bench.now
        bench.run(_STEP)
        begun = bench.now
        while bench.find_unserved(begun) and bench.now < lost + _LIMIT:
            bench.run(_STEP)
        if bench.violations:
            raise RuntimeError(bench.violations[0])
        return None if bench.find_unserved(begun) else bench.now - lost


def main() -> None:
    """Print one row for each kind of server, log state and loss."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else _SEEDS
    _write(_COLUMNS)
    for checks in (True, False):
        for away in (False, True):
            for loss in _LOSSES:
                _print_row(seeds, loss, checks=checks, away=away)


def _print_row(seeds: int, loss: Loss, *, checks: bool, away: bool) -> None:
    times = [
        measure_loss(
            Scene(seed=seed, shards=3, checks_grants=checks, pace=_STEP),
            loss,
            away=away,
        )
        for seed in range(seeds)
    ]
    served = [time for time in times if time is not None]
    cells = (
        'yes' if checks else 'no',
        'away' if away else 'up',
        loss.name,
        _format_time(median(served)) if served else _NONE,
        _format_time(max(served)) if served else _NONE,
        str(len(times) - len(served)),
    )
    _write(cells)


def _format_time(time: float) -> str:
    return f'{time:.2f}'


def _write(cells: tuple[str, ...]) -> None:
    row = ' | '.join(cells)
    sys.stdout.write(f'{row}\n')
    sys.stdout.flush()


if __name__ == '__main__':
    main()
