"""Inject faults into real processes and check the answers of callers.

The checks do not depend on timing; the timeouts only end a run that hangs.
"""

import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import pytest
import trio

from standins.fleet import Fleet, run_fleet
from standins.fleetplan import EXAMPLES, SERVICES
from standins.load import (
    ANSWERED,
    NOT_RUN,
    CallResult,
    Stream,
    find_call_violations,
)
from standins.processes import StartError
from standins.readiness import NotReadyError
from trefoilsaddle.core.records import Claim
from trefoilsaddle.programs.commandline import find_exit_code
from trefoilsaddle.results import ResultCode

# Timeout of all cases together, in seconds.
_LIVENESS_BOUND = 400
# Maximum number of deployments that run at the same time.
_DEPLOYMENTS = 4
# Seconds after which every lease and grant of the example files has lapsed.
_LAPSE = 8
_IN_FLIGHT = 0.2
# Enough that some requests are in a process when it is frozen or killed.
_STREAMS = 6
# A server that does not check grants: only the dispatcher's lease protects it.
_UNCHECKED = 'north-filings-1'
_ENTRY = 'north-entry-1'

Fault = Callable[[Fleet], Awaitable[None]]


async def _find_dispatcher(fleet: Fleet) -> str:
    """Return the current dispatcher of the server that checks no grants."""
    holders = [
        record.dispatcher
        for record in await fleet.services.read_records()
        if isinstance(record, Claim) and record.server == _UNCHECKED
    ]
    return holders[-1]


async def _kill_dispatcher(fleet: Fleet) -> None:
    await fleet.processes.kill(await _find_dispatcher(fleet))


async def _replace_dispatcher(fleet: Fleet) -> None:
    dispatcher = await _find_dispatcher(fleet)
    await fleet.processes.kill(dispatcher)
    await fleet.start_node(fleet.plan.find_node(dispatcher))


async def _freeze_dispatcher(fleet: Fleet) -> None:
    dispatcher = await _find_dispatcher(fleet)
    fleet.processes.send_signal(dispatcher, signal.SIGSTOP)
    await trio.sleep(_LAPSE)
    fleet.processes.send_signal(dispatcher, signal.SIGCONT)


async def _freeze_server(fleet: Fleet) -> None:
    server = 'north-catalogue-1'
    fleet.processes.send_signal(server, signal.SIGSTOP)
    await trio.sleep(_LAPSE)
    fleet.processes.send_signal(server, signal.SIGCONT)


async def _take_log_away(fleet: Fleet) -> None:
    await fleet.services.control_log(outage=True)
    await fleet.wait_until_ready()
    refused = await fleet.publish(
        EXAMPLES / 'base.yaml',
        '--expect',
        '1',
        '--timeout',
        '1',
    )
    await fleet.services.control_log(outage=False)
    assert refused.code == find_exit_code(ResultCode.log_unavailable)


async def _lose_log_replies(fleet: Fleet) -> None:
    await fleet.services.control_log(lost_replies=2)
    output = await fleet.publish(EXAMPLES / 'base.yaml', '--expect', '1')
    assert output.code == 0, output.text


async def _kill_dispatcher_without_log(fleet: Fleet) -> None:
    dispatcher = await _find_dispatcher(fleet)
    await fleet.services.control_log(outage=True)
    await fleet.processes.kill(dispatcher)
    await trio.sleep(_LAPSE)
    await fleet.services.control_log(outage=False)


async def _stop_dispatcher(fleet: Fleet) -> None:
    await _slow_servers(fleet)
    dispatcher = await _find_dispatcher(fleet)
    codes = await fleet.processes.stop([dispatcher])
    assert codes == {dispatcher: 0}


async def _stop_entry(fleet: Fleet) -> None:
    await _slow_servers(fleet)
    codes = await fleet.processes.stop([_ENTRY])
    assert codes == {_ENTRY: 0}
    await fleet.start_node(fleet.plan.find_node(_ENTRY))


async def _kill_entry(fleet: Fleet) -> None:
    await fleet.processes.kill(_ENTRY)
    await fleet.start_node(fleet.plan.find_node(_ENTRY))


async def _drain_server(fleet: Fleet) -> None:
    await fleet.services.control_server('north-catalogue-1', draining=True)


async def _slow_servers(fleet: Fleet) -> None:
    """Keep requests in flight for longer than other processes take to stop."""
    async with trio.open_nursery() as nursery:
        for server in fleet.plan.servers:
            slow = partial(fleet.services.control_server, server.name, delay=1)
            nursery.start_soon(slow)
    await trio.sleep(_IN_FLIGHT)


_ANSWERED = frozenset((ANSWERED,))
# Some callers have to retry, but every caller knows if its request ran.
_UNCUT = frozenset((ANSWERED, NOT_RUN, 'refused'))
_ANY = frozenset((ANSWERED, NOT_RUN, 'unknown', 'refused', 'broken'))


@dataclass(frozen=True, slots=True)
class _Case:
    name: str
    fault: Fault
    # Outcomes that requests may have.
    allowed: frozenset[str] = _ANY


_CASES = (
    _Case('dispatcher killed', _kill_dispatcher),
    _Case('dispatcher killed and started again', _replace_dispatcher),
    _Case('dispatcher frozen and woken', _freeze_dispatcher),
    _Case('backend server frozen and woken', _freeze_server),
    _Case('log away', _take_log_away, _ANSWERED),
    _Case('replies of the log lost', _lose_log_replies, _ANSWERED),
    _Case('dispatcher killed, log away', _kill_dispatcher_without_log),
    _Case('dispatcher stopped', _stop_dispatcher, _UNCUT),
    _Case('entry process stopped', _stop_entry, _UNCUT),
    _Case('entry process killed', _kill_entry),
    _Case('backend server drained', _drain_server, _UNCUT),
)


@dataclass(slots=True)
class _Finding:
    violations: list[str] = field(default_factory=list)
    calls: list[CallResult] = field(default_factory=list)


@pytest.fixture(scope='module')
def findings(
    request: pytest.FixtureRequest,
    tmp_path_factory: pytest.TempPathFactory,
) -> dict[str, _Finding]:
    """Run the selected cases, several at a time since they mostly wait."""
    chosen = [test.name for test in request.session.items]
    cases = [
        case
        for case in _CASES
        if any(f'[{case.name}]' in name for name in chosen)
    ]
    return trio.run(_run_cases, cases, tmp_path_factory.mktemp('processes'))


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case.name)
def test_callers_are_told_the_truth(
    case: _Case,
    findings: dict[str, _Finding],
) -> None:
    """Serve requests again after a fault, with correct answers throughout."""
    finding = findings[case.name]
    assert not finding.violations
    assert finding.calls
    unwanted = [
        (one.answer.outcome, one.answer.code)
        for one in finding.calls
        if one.answer.outcome not in case.allowed
    ]
    assert not unwanted


async def _run_cases(cases: list[_Case], folder: Path) -> dict[str, _Finding]:
    finds: dict[str, _Finding] = {}
    limiter = trio.CapacityLimiter(_DEPLOYMENTS)
    with trio.move_on_after(_LIVENESS_BOUND):
        async with trio.open_nursery() as nursery:
            for number, case in enumerate(cases):
                place = folder / str(number)
                place.mkdir()
                finds[case.name] = _Finding(['the run timed out'])
                nursery.start_soon(_run_case, case, place, limiter, finds)
    return finds


async def _run_case(
    case: _Case,
    folder: Path,
    limiter: trio.CapacityLimiter,
    finds: dict[str, _Finding],
) -> None:
    async with limiter:
        try:
            finds[case.name] = await _bring_about(case, folder)
        except* (NotReadyError, StartError, AssertionError) as group:
            finds[case.name] = _Finding([repr(group.exceptions)])


async def _bring_about(case: _Case, folder: Path) -> _Finding:
    async with run_fleet(folder, ['north']) as fleet:
        await fleet.wait_for_claims()
        await fleet.wait_until_ready()
        streams = [
            Stream(number, service, fleet.caller(_ENTRY))
            for service in SERVICES
            for number in range(_STREAMS)
        ]
        async with trio.open_nursery() as nursery:
            for stream in streams:
                nursery.start_soon(stream.run)
            await case.fault(fleet)
            await fleet.wait_until_ready()
            for started in streams:
                started.stopping = True
        return await _judge(fleet, streams)


async def _judge(fleet: Fleet, streams: list[Stream]) -> _Finding:
    calls = [one for stream in streams for one in stream.calls]
    violations = find_call_violations(
        calls, await fleet.services.read_executions()
    )
    return _Finding([one.sentence for one in violations], calls)
