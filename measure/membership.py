"""Measure cost, detection time and false positives of the membership protocol.

Run as `python -m measure.membership [SIZE ...]`.
"""

import sys
from collections import Counter
from dataclasses import dataclass, field
from statistics import median
from time import process_time

from measure.fleet import Fleet
from measure.layout import name_node, start_joined_fleet
from measure.process import Process
from measure.report import write_row
from trefoilsaddle.core.membership import health_of
from trefoilsaddle.core.messages import (
    Ack,
    Health,
    Message,
    Ping,
    PingRequest,
)
from trefoilsaddle.core.units import NodeId, ZoneName
from trefoilsaddle.wire.codec import encode_message

_SIZES = (8, 64, 256)
_SEED = 11
_WARM_UP = 5
_SPAN = 10
_FRAME_BYTES = 4
# Size of the TCP and IP headers, assuming one packet for each message.
_PACKET_BYTES = 40
_STEP = 0.05
_MAX_WAIT = float(15)
_PAUSES = (0.15, 0.5, 1, 3, 10)
_LOSSES = (0.01, 0.05, 0.2)
_MEMBERSHIP = (Ping, Ack, PingRequest)


@dataclass(slots=True)
class Traffic:
    """Numbers of messages and bytes by the kind of message."""

    messages: Counter[str] = field(default_factory=Counter)
    octets: Counter[str] = field(default_factory=Counter)

    def record(self, sender: NodeId, target: NodeId, message: Message) -> None:
        """Count a sent message."""
        kind = 'membership' if isinstance(message, _MEMBERSHIP) else 'log'
        self.messages[kind] += 1
        self.octets[kind] += len(encode_message(message)) + _FRAME_BYTES


@dataclass(slots=True)
class Detection:
    """Detection times of a dead process in its own zone and in all."""

    near: float = _MAX_WAIT
    far: float = _MAX_WAIT


def measure_cost(size: int) -> None:
    """Print the messages and bytes per process in an idle fleet."""
    fleet = start_joined_fleet(size, _SEED)
    fleet.run(_WARM_UP)
    traffic = Traffic()
    fleet.observe = traffic.record
    began = process_time()
    fleet.run(_SPAN)
    busy = process_time() - began
    share = 1 / (size * _SPAN)
    for kind in sorted(traffic.messages):
        messages = traffic.messages[kind] * share
        octets = traffic.octets[kind] * share
        write_row(
            f'cost {kind}',
            size=size,
            messages_per_s=messages,
            bytes_per_s=octets,
            with_headers=octets + _PACKET_BYTES * messages,
        )
    write_row('processor', size=size, core_with_harness=busy * share)


def measure_detection(size: int, trials: int) -> None:
    """Print the time until a silent process counts as dead."""
    near_times: list[float] = []
    far_times: list[float] = []
    for trial in range(trials):
        fleet = start_joined_fleet(size, _SEED + trial)
        fleet.run(_WARM_UP + trial / trials)
        victim = name_node(trial)
        fleet.processes[victim].paused = True
        found = _wait_for_detection(fleet, victim)
        near_times.append(found.near)
        far_times.append(found.far)
    _write_times('own zone', size, near_times)
    _write_times('all', size, far_times)


def _write_times(audience: str, size: int, times: list[float]) -> None:
    write_row(
        f'silent process dead to {audience}',
        size=size,
        median_s=median(times),
        worst_s=max(times),
        trials=len(times),
    )


def _wait_for_detection(fleet: Fleet, victim: NodeId) -> Detection:
    """Run until all other processes count a process as dead."""
    began = fleet.schedule.now
    found = Detection()
    others = [
        process
        for process in fleet.processes.values()
        if process.node_id != victim
    ]
    zone = _zone_of(fleet.processes[victim])
    neighbours = [each for each in others if _zone_of(each) == zone]
    while fleet.schedule.now - began < _MAX_WAIT:
        fleet.run(_STEP)
        elapsed = fleet.schedule.now - began
        if _all_count_dead(neighbours, victim):
            found.near = min(found.near, elapsed)
        if _all_count_dead(others, victim):
            found.far = elapsed
            break
    return found


def _zone_of(process: Process) -> ZoneName:
    return process.node.options.zone


def _all_count_dead(processes: list[Process], victim: NodeId) -> bool:
    return all(
        health_of(process.node, victim) is Health.dead for process in processes
    )


def measure_pauses(size: int) -> None:
    """Print false detections after pauses of some processes."""
    for pause in _PAUSES:
        fleet = start_joined_fleet(size, _SEED)
        fleet.run(_WARM_UP)
        victims = [name_node(index) for index in range(0, size, 8)]
        for victim in victims:
            fleet.processes[victim].paused = True
        fleet.run(pause)
        found = _count_deaths(fleet, set(victims))
        for victim in victims:
            fleet.processes[victim].resume()
        others = _watch_false_deaths(fleet, set(victims))
        write_row(
            'pause of every eighth process',
            size=size,
            pause_s=pause,
            found_dead=found,
            others_found_dead=others,
            dead_at_the_end=_count_deaths(fleet, set()),
        )


def measure_loss(size: int) -> None:
    """Print false detections while messages are lost."""
    for loss in _LOSSES:
        fleet = start_joined_fleet(size, _SEED)
        fleet.run(_WARM_UP)
        fleet.network.loss = loss
        write_row(
            'loss of messages',
            size=size,
            loss=loss,
            span_s=_SPAN,
            found_dead=_watch_false_deaths(fleet, set()),
        )


def _watch_false_deaths(fleet: Fleet, spared: set[NodeId]) -> int:
    dead: set[NodeId] = set()
    for _ in range(int(_SPAN / _STEP / 4)):
        fleet.run(_STEP * 4)
        dead |= _list_deaths(fleet)
    return len(dead - spared)


def _count_deaths(fleet: Fleet, among: set[NodeId]) -> int:
    deaths = _list_deaths(fleet)
    return len(deaths & among if among else deaths)


def _list_deaths(fleet: Fleet) -> set[NodeId]:
    return {
        name
        for process in fleet.processes.values()
        for name in process.node.membership.dead_since
    }


def main() -> None:
    """Run all measurements for each fleet size."""
    sizes = [int(size) for size in sys.argv[1:]] or list(_SIZES)
    for size in sizes:
        measure_cost(size)
        measure_detection(size, trials=8 if size <= 64 else 3)
        measure_pauses(size)
        measure_loss(size)


if __name__ == '__main__':
    main()
