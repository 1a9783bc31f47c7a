"""Measure the cost of a request on its path: `python -m measure.thinpath`.

Starts stand-ins, one entry process and one dispatcher on loopback, sends them
requests at a modest rate for a limited time, and prints the processor time per
request, the latency, and the memory when idle.
"""

from collections.abc import Iterable
from contextlib import AsyncExitStack
from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Annotated

import trio
from typer import Option, Typer, echo

from measure.callerload import Load, Tally, list_loads
from measure.usage import Usage, read_usage
from standins.caller import CallerRequest
from standins.fleet import Fleet
from standins.fleetplan import FleetPlan, plan_fleet

app = Typer(add_completion=False)

_SITE = 'north'
_ENTRY = 'north-entry-1'
_DISPATCHER = 'north-dispatcher-1'
_MEASURED = (_ENTRY, _DISPATCHER)
# Time for start-up work to finish before idle usage is measured.
_SETTLE_SECONDS = 3.0
_IDLE_SECONDS = 5.0
_MILLISECONDS = 1000
_PERCENT = 100
_MICROSECONDS = 1_000_000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Bench:
    """Load generator that also reads the usage of the measured processes."""

    def __init__(self, fleet: Fleet) -> None:
        """Use a running fleet."""
        self._processes = fleet.processes
        self._caller = fleet.caller(_ENTRY)

    def read_usages(self) -> dict[str, Usage]:
        """Read the usage of the measured processes."""
        running = self._processes.running
        return {name: read_usage(running[name].pid) for name in _MEASURED}

    async def drive(self, load: Load) -> Tally:
        """Send the requests of a phase at its rate, without awaiting answers."""
        tally = Tally()
        async with trio.open_nursery() as nursery:
            start = trio.current_time()
            for number, request in enumerate(load.list_requests()):
                due = start + number / load.rate
                nursery.start_soon(self._send_request, request, due, tally)
        return tally

    async def _send_request(
        self,
        request: CallerRequest,
        due: float,
        tally: Tally,
    ) -> None:
        await trio.sleep_until(due)
        answer = await self._caller.send(request)
        elapsed = trio.current_time() - due
        tally.add(f'{answer.outcome}/{answer.code}', elapsed)


def plan_bench() -> FleetPlan:
    """Reduce the example deployment to one site with one dispatcher."""
    plan = plan_fleet()
    nodes = tuple(plan.find_node(name) for name in _MEASURED)
    overlays = {_SITE: plan.overlays[_SITE]}
    return replace(plan, nodes=nodes, overlays=overlays)


async def measure(rate: float, seconds: float) -> None:
    """Run all phases and print their results."""
    with TemporaryDirectory() as folder:
        fleet = Fleet(plan_bench(), Path(folder))
        async with AsyncExitStack() as stack:
            stack.push_async_callback(fleet.aclose)
            await fleet.start()
            await _run_phases(Bench(fleet), list_loads(rate, seconds))
            await fleet.stop_nodes()


async def _run_phases(bench: Bench, loads: Iterable[Load]) -> None:
    await trio.sleep(_SETTLE_SECONDS)
    shares = await _report_idle(bench)
    waiting = iter(loads)
    load = next(waiting, None)
    while load is not None:
        await _report_load(bench, load, shares)
        load = next(waiting, None)


async def _report_idle(bench: Bench) -> dict[str, float]:
    """Print the idle usage; return the fraction of a core per process."""
    before = bench.read_usages()
    await trio.sleep(_IDLE_SECONDS)
    after = bench.read_usages()
    shares: dict[str, float] = {}
    for name, usage in after.items():
        used = usage.processor - before[name].processor
        share = used / _IDLE_SECONDS
        shares[name] = share
        resident = usage.resident
        echo(f'{name} when idle')
        echo(f'  {resident:.1f} MiB resident')
        percent = share * _PERCENT
        echo(f'  {percent:.2f}% of a core')
    return shares


async def _report_load(
    bench: Bench,
    load: Load,
    shares: dict[str, float],
) -> None:
    before = bench.read_usages()
    start = trio.current_time()
    tally = await bench.drive(load)
    elapsed = trio.current_time() - start
    after = bench.read_usages()
    echo(load.title)
    for name, usage in after.items():
        idle = shares[name] * elapsed
        used = usage.processor - before[name].processor - idle
        cost = used / tally.count * _MILLISECONDS
        echo(f'  {name}')
        echo(f'    {cost:.3f} ms of processor time per request, above idle')
    _report_tally(tally)


def _report_tally(tally: Tally) -> None:
    echo(f'  outcomes and codes: {tally.outcomes}')
    for percentile in _PERCENTILES:
        latency = tally.latency.get_value_at_percentile(percentile)
        milliseconds = latency * _MILLISECONDS / _MICROSECONDS
        echo(f'  {milliseconds:.2f} ms at percentile {percentile}')


_Rate = Annotated[float, Option(min=1, max=500, help='Requests per second.')]
_Duration = Annotated[float, Option(min=1, max=60, help='Seconds per phase.')]


@app.command()
def run_measurement(rate: _Rate = 100, seconds: _Duration = 10) -> None:
    """Measure processor time, latency and memory on loopback."""
    trio.run(measure, rate, seconds)


if __name__ == '__main__':
    app()
