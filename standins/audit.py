"""Check executions: at most once each, and only one owner of a key at a time."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from itertools import pairwise

from standins.serverstate import Execution
from trefoilsaddle.core.units import FIRST_EPOCH


@dataclass(frozen=True, slots=True)
class Violation:
    """Description of one violated guarantee; it contains no key."""

    sentence: str


def find_repeats(
    executions: Iterable[Execution],
    paths: Iterable[str],
) -> list[Violation]:
    """Find non-idempotent requests, identified by path, that ran repeatedly."""
    counts = Counter(execution.call.path for execution in executions)
    return [
        Violation(f'{path} ran {counts[path]} times')
        for path in paths
        if counts[path] > 1
    ]


def find_second_owners(executions: Iterable[Execution]) -> list[Violation]:
    """Find keys run by two servers at once, and runs under outdated tokens."""
    by_key: dict[tuple[str, str, str], list[Execution]] = defaultdict(list)
    by_server: dict[str, list[Execution]] = defaultdict(list)
    for execution in sorted(executions, key=lambda run: run.started):
        call = execution.call
        by_key[call.service, call.member, call.key].append(execution)
        by_server[execution.server].append(execution)
    violations: list[Violation] = []
    for runs_of_key in by_key.values():
        violations.extend(_check_owners(runs_of_key))
    for runs_of_server in by_server.values():
        violations.extend(_check_terms(runs_of_server))
    return violations


def _check_owners(runs: list[Execution]) -> Iterator[Violation]:
    newest = FIRST_EPOCH
    for run in runs:
        if run.call.epoch < newest:
            yield Violation(f'{run.server} ran a request under an older epoch')
        newest = max(newest, run.call.epoch)
    for first, second in pairwise(runs):
        if first.server == second.server:
            continue
        if first.ended is None or second.started < first.ended:
            yield Violation(
                f'{first.server} and {second.server} ran one key at the same time',
            )


def _check_terms(runs: list[Execution]) -> Iterator[Violation]:
    for first, second in pairwise(runs):
        if second.call.term < first.call.term:
            yield Violation(
                f'{second.server} ran a request under an older term'
            )
