"""Measure the path of a request: `python -m measure.thinpath`.

Starts stand-ins, one entry process and one dispatcher on loopback, drives
them at a modest rate for a bounded time, and prints processor time for each
request, latency, and memory at rest.
"""

from dataclasses import replace
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Annotated

import trio
from typer import Option, Typer, echo

from measure.callerload import SERVICE, Load, Tally, list_loads
from measure.usage import Usage, read_usage
from standins.caller import Caller, CallerRequest
from standins.fleetplan import EXAMPLES, FleetPlan, plan_fleet
from standins.processes import Processes, wait_for_port
from standins.services import OutsideServices

app = Typer(add_completion=False)

_SITE = 'north'
_ENTRY = 'north-entry-1'
_DISPATCHER = 'north-dispatcher-1'
_MEASURED = (_ENTRY, _DISPATCHER)
_PROGRAMS = 'trefoilsaddle.programs'
_READY_TIMEOUT = 60.0
# Lets start-up work end before the idle use is read.
_SETTLE_SECONDS = 3.0
_IDLE_SECONDS = 5.0
_MILLISECONDS = 1000
_PERCENT = 100
_MICROSECONDS = 1_000_000
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


class Bench:
    """Run one entry process, one dispatcher and the stand-ins of a site."""

    def __init__(self, plan: FleetPlan, folder: Path) -> None:
        """Start nothing yet."""
        self._plan = plan
        self._processes = Processes(folder)
        entry = plan.find_node(_ENTRY)
        self._caller = Caller(entry.callers or 0)

    async def start(self) -> None:
        """Start everything and wait until a request is answered."""
        await OutsideServices(self._plan, self._processes).start()
        await self._start_program(_DISPATCHER, 'dispatcher')
        await self._start_program(_ENTRY, 'entry')
        await self._publish_files()
        with trio.fail_after(_READY_TIMEOUT):
            await self._caller.insist(CallerRequest(SERVICE, 'ready'))

    async def stop(self) -> None:
        """Stop everything gracefully."""
        await self._caller.aclose()
        await self._processes.stop((_ENTRY,))
        await self._processes.stop((_DISPATCHER,))
        await self._processes.stop_all()

    def read_usages(self) -> dict[str, Usage]:
        """Read the usage of the measured processes."""
        running = self._processes.running
        return {name: read_usage(running[name].pid) for name in _MEASURED}

    async def drive(self, load: Load) -> Tally:
        """Send a phase's requests at its rate, whatever the answers take."""
        tally = Tally()
        async with trio.open_nursery() as nursery:
            start = trio.current_time()
            for number, request in enumerate(load.list_requests()):
                due = start + number / load.rate
                nursery.start_soon(self._ask, request, due, tally)
        return tally

    async def _ask(
        self,
        request: CallerRequest,
        due: float,
        tally: Tally,
    ) -> None:
        await trio.sleep_until(due)
        answer = await self._caller.send(request)
        elapsed = trio.current_time() - due
        tally.add(f'{answer.outcome}/{answer.code}', elapsed)

    async def _start_program(self, name: str, program: str) -> None:
        node = self._plan.find_node(name)
        folder = self._processes.folder
        settings = self._plan.write_node_settings(node, folder)
        await self._processes.start(
            name,
            f'{_PROGRAMS}.{program}',
            ('--settings', str(settings)),
        )
        await wait_for_port(node.port)

    async def _publish_files(self) -> None:
        await self._publish(EXAMPLES / 'base.yaml')
        overlay = self._plan.write_overlay(_SITE, self._processes.folder)
        await self._publish(overlay, '--site', _SITE)

    async def _publish(self, path: Path, *options: str) -> None:
        folder = self._processes.folder
        settings = self._plan.write_operator_settings(folder)
        arguments = ['publish', str(path), '--expect', '0', *options]
        arguments.extend(('--settings', str(settings)))
        output = await self._processes.run(f'{_PROGRAMS}.publish', arguments)
        if output.code:
            raise RuntimeError(output.text)


def plan_bench() -> FleetPlan:
    """Reduce the examples' deployment to one site and one dispatcher."""
    plan = plan_fleet()
    nodes = tuple(plan.find_node(name) for name in _MEASURED)
    overlays = {_SITE: plan.overlays[_SITE]}
    return replace(plan, nodes=nodes, overlays=overlays)


async def measure(rate: float, seconds: float) -> None:
    """Run every phase and print what it took."""
    with TemporaryDirectory() as folder:
        bench = Bench(plan_bench(), Path(folder))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_run_bench, bench, rate, seconds, nursery)


async def _run_bench(
    bench: Bench,
    rate: float,
    seconds: float,
    nursery: trio.Nursery,
) -> None:
    await bench.start()
    await trio.sleep(_SETTLE_SECONDS)
    shares = await _report_idle(bench)
    loads = iter(list_loads(rate, seconds))
    load = next(loads, None)
    while load is not None:
        await _report_load(bench, load, shares)
        load = next(loads, None)
    await bench.stop()
    nursery.cancel_scope.cancel()


async def _report_idle(bench: Bench) -> dict[str, float]:
    """Print and return which share of a core each process uses at rest."""
    before = bench.read_usages()
    await trio.sleep(_IDLE_SECONDS)
    after = bench.read_usages()
    shares: dict[str, float] = {}
    for name, usage in after.items():
        used = usage.processor - before[name].processor
        share = used / _IDLE_SECONDS
        shares[name] = share
        resident = usage.resident
        echo(f'{name} at rest')
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
        echo(f'    {cost:.3f} ms of processor a request, above rest')
    _report_tally(tally)


def _report_tally(tally: Tally) -> None:
    echo(f'  outcomes and codes: {tally.outcomes}')
    for percentile in _PERCENTILES:
        latency = tally.latency.get_value_at_percentile(percentile)
        milliseconds = latency * _MILLISECONDS / _MICROSECONDS
        echo(f'  {milliseconds:.2f} ms or less: {percentile} in 100')


_Rate = Annotated[float, Option(min=1, max=500, help='Requests a second.')]
_Duration = Annotated[float, Option(min=1, max=60, help='Seconds a phase.')]


@app.command()
def run_measurement(rate: _Rate = 100, seconds: _Duration = 10) -> None:
    """Measure processor time, latency and memory on loopback."""
    trio.run(measure, rate, seconds)


if __name__ == '__main__':
    app()
