"""Measure the time until a publication is in force in every process.

Run as `python -m measure.configuration [SIZE ...]`, in virtual time.
"""

import json
import sys
from collections.abc import Callable
from statistics import median

from measure.fleet import Fleet
from measure.layout import start_joined_fleet
from measure.report import write_row
from trefoilsaddle.core.records import Publication
from trefoilsaddle.core.relaying import choose_relay
from trefoilsaddle.core.units import (
    Moment,
    NodeId,
    RecordId,
    Seconds,
    Version,
)

_SIZES = (8, 64, 256)
_WARM_UP = 3
_STEP = 0.02
_MAX_WAIT = 10
_TRIALS = 10
_SLOW_LOG = Seconds(0.5)
_BASE = json.dumps(
    {
        'ranks': [{'name': 'urgent', 'target': 0.1}],
        'services': {'catalogue': {'shards': 16}},
        'members': ['north'],
    },
)


def _do_nothing(fleet: Fleet) -> None:
    """Cause no fault, for the baseline."""


def _kill_relays(fleet: Fleet) -> None:
    for process in _list_relays(fleet):
        fleet.processes[process].alive = False


def _pause_relays(fleet: Fleet) -> None:
    for process in _list_relays(fleet):
        fleet.processes[process].paused = True


def _slow_log(fleet: Fleet) -> None:
    fleet.log.faults.delay = _SLOW_LOG


def _lose_messages(fleet: Fleet) -> None:
    fleet.network.loss = 0.1


def _list_relays(fleet: Fleet) -> set[NodeId]:
    now = Seconds(fleet.schedule.now)
    relays = [
        choose_relay(process.node, Moment(now, now))
        for process in fleet.processes.values()
    ]
    return {relay for relay in relays if relay is not None}


_FAULTS: tuple[Callable[[Fleet], None], ...] = (
    _do_nothing,
    _kill_relays,
    _pause_relays,
    _slow_log,
    _lose_messages,
)


def measure_trial(
    size: int, seed: int, fault: Callable[[Fleet], None]
) -> float:
    """Return the seconds until every live process has applied a publication."""
    fleet = start_joined_fleet(size, seed)
    fleet.run(_WARM_UP + seed * _STEP)
    fault(fleet)
    record = Publication(RecordId('base'), Version(0), None, _BASE)
    fleet.log.append((record,))
    began = fleet.schedule.now
    while not _is_in_force(fleet) and fleet.schedule.now - began < _MAX_WAIT:
        fleet.run(_STEP)
    return fleet.schedule.now - began


def _is_in_force(fleet: Fleet) -> bool:
    return all(
        process.node.view.version == 1
        for process in fleet.processes.values()
        if process.alive and not process.paused
    )


def main() -> None:
    """Measure each fleet size and fault with several seeds."""
    sizes = [int(size) for size in sys.argv[1:]] or list(_SIZES)
    for size in sizes:
        for fault in _FAULTS:
            times = [
                measure_trial(size, seed, fault) for seed in range(_TRIALS)
            ]
            write_row(
                'publication in force everywhere',
                fault=fault.__name__.strip('_'),
                size=size,
                median_s=median(times),
                worst_s=max(times),
                trials=_TRIALS,
            )


if __name__ == '__main__':
    main()
