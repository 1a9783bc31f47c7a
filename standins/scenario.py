"""End-to-end check of a deployment on loopback: `python -m standins.scenario`.

Starts stand-ins and programs, publishes the example files, sends requests of
every rank for each service and region, prints each result and a dump, stops
everything gracefully, and exits with 0 only if all results were right.
"""

import sys
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from tempfile import TemporaryDirectory

import trio
from typer import Typer, echo

from standins.audit import find_repeats, find_second_owners
from standins.caller import (
    CallerAnswer,
    CallerRequest,
    make_idempotency_key,
)
from standins.fleet import Fleet, run_fleet
from standins.fleetplan import SERVICES
from trefoilsaddle.results import ResultCode

app = Typer(add_completion=False)

# Timeout of the whole run, in seconds.
_RUN_TIMEOUT = 150.0
_RANKS = ('urgent', 'lookup', 'intake')
_ANSWERED = 'answered'
_NOT_RUN = 'not-run'
# Part of every key, to detect keys in dumps.
_KEY_MARKER = 'secret-handle'


@dataclass(frozen=True, slots=True)
class Step:
    """Request through one entry process, with the expected result."""

    title: str
    entry: str
    request: CallerRequest
    outcome: str = _ANSWERED
    code: ResultCode = ResultCode.ok


@dataclass(slots=True)
class Report:
    """Number of checks, and the titles of those that failed."""

    checks: int = 0
    faults: list[str] = field(default_factory=list)

    def record_check(self, title: str, *, passed: bool) -> None:
        """Record the result of a check and print it."""
        self.checks += 1
        mark = 'right' if passed else 'WRONG'
        echo(f'{mark}  {title}')
        if not passed:
            self.faults.append(title)


def list_steps(entries: list[str]) -> Iterator[Step]:
    """Return valid requests of every rank and service, and invalid ones."""
    for entry in entries:
        for service in SERVICES:
            for rank in _RANKS:
                yield from _list_rank(entry, service, rank)
        yield from _list_bad_input(entry)


def _list_rank(entry: str, service: str, rank: str) -> Iterator[Step]:
    title = f'{entry} {service} {rank}'
    place = f'{entry}-{service}-{rank}'
    request = CallerRequest(
        service=service,
        key=f'{_KEY_MARKER}-{place}',
        rank=rank,
        path=f'/lookups/{place}',
        body=place.encode(),
    )
    yield Step(f'{title} idempotent', entry, request)
    filing = CallerRequest(
        service=service,
        key=f'{_KEY_MARKER}-{place}',
        rank=rank,
        path=f'/once/{place}',
        body=place.encode(),
        idempotent=False,
        idempotency_key=make_idempotency_key(),
    )
    yield Step(f'{title} non-idempotent', entry, filing)
    yield Step(f'{title} repeated', entry, filing)


def _list_bad_input(entry: str) -> Iterator[Step]:
    cases = (
        ('key', ResultCode.key_missing),
        ('service', ResultCode.service_unknown),
        ('rank', ResultCode.rank_unknown),
        ('member', ResultCode.member_unknown),
        ('idempotency-key', ResultCode.idempotency_key_missing),
    )
    for name, code in cases:
        request = CallerRequest(
            service=SERVICES[0],
            key=_KEY_MARKER,
            idempotent=False,
            idempotency_key=make_idempotency_key(),
            omitted=(name,),
        )
        yield Step(f'{entry} without {name}', entry, request, _NOT_RUN, code)


async def run_scenario(folder: Path) -> Report:
    """Run a deployment, send all requests and check the results."""
    report = Report()
    echo('starting stand-ins and programs, publishing the files')
    async with run_fleet(folder) as fleet:
        entries = [node.name for node in fleet.plan.entries]
        paths = await _run_steps(fleet, entries, report)
        await _check_executions(fleet, paths, report)
        await _check_dumps(fleet, report)
        codes = await fleet.stop_nodes()
        for name, code in sorted(codes.items()):
            report.record_check(
                f'{name} stopped with code {code}', passed=code == 0
            )
    return report


async def _run_steps(
    fleet: Fleet,
    entries: list[str],
    report: Report,
) -> list[str]:
    paths = set()
    steps = list(list_steps(entries))
    steps.reverse()
    while steps:
        step = steps.pop()
        answer = await fleet.caller(step.entry).send(step.request)
        _check_answer(step, answer, report)
        if not step.request.idempotent and step.outcome == _ANSWERED:
            paths.add(step.request.path)
    return sorted(paths)


def _check_answer(step: Step, answer: CallerAnswer, report: Report) -> None:
    matches = (answer.outcome, answer.code) == (step.outcome, step.code)
    if step.outcome == _ANSWERED:
        matches = matches and answer.echoes(step.request)
    received = f'{answer.outcome} {answer.code} status {answer.status}'
    report.record_check(f'{step.title}: {received}', passed=matches)


async def _check_executions(
    fleet: Fleet,
    paths: list[str],
    report: Report,
) -> None:
    executions = await fleet.services.read_executions()
    ran = {execution.call.path for execution in executions}
    violations = find_repeats(executions, paths)
    violations.extend(find_second_owners(executions))
    for violation in violations:
        report.record_check(violation.sentence, passed=False)
    report.record_check(
        f'{len(paths)} non-idempotent requests ran once each',
        passed=not violations and ran.issuperset(paths),
    )


async def _check_dumps(fleet: Fleet, report: Report) -> None:
    table = await fleet.show_table()
    echo(table.text)
    report.record_check(
        'every process reports its version', passed=not table.code
    )
    entry, dispatcher = fleet.plan.entries[0], fleet.plan.dispatchers[0]
    entry_dump = await fleet.dump_state(entry.name)
    dump = await fleet.dump_state(dispatcher.name)
    echo(dump.text)
    shown = f'{entry_dump.text}{dump.text}'
    report.record_check(
        'the dumps contain no key', passed=_KEY_MARKER not in shown
    )
    report.record_check(
        'the dumps were written', passed=not (entry_dump.code or dump.code)
    )


async def _run_bounded(folder: Path) -> Report:
    with trio.fail_after(_RUN_TIMEOUT):
        return await run_scenario(folder)


@app.command()
def run_all() -> None:
    """Run the scenario once; exit with 0 only if all results were right."""
    with TemporaryDirectory() as folder:
        report = trio.run(_run_bounded, Path(folder))
    for fault in report.faults:
        echo(f'WRONG  {fault}', err=True)
    passed = report.checks - len(report.faults)
    echo(f'{passed} of {report.checks} checks were right')
    sys.exit(1 if report.faults else 0)


if __name__ == '__main__':
    app()
