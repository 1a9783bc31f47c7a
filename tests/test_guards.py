"""Take out one guard after the other and see its promise broken."""

from collections.abc import Callable
from dataclasses import dataclass
from types import MappingProxyType

import pytest

from tests import scenarios
from tests.bench import (
    FIRST,
    OTHER_SERVER,
    SECOND,
    SHARD,
    SKEW,
    TERM,
    Bench,
    assign_role,
    build_bench,
    build_configuration,
)
from tests.faults import moment_of
from trefoilsaddle.core import acceptance, sending
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.outcomes import adopt_shard
from trefoilsaddle.core.queues import RankQueue, ServerQueue
from trefoilsaddle.core.routestate import PendingCall
from trefoilsaddle.core.tickets import Ticket
from trefoilsaddle.core.units import Moment, Seconds


@dataclass(frozen=True, slots=True)
class Guard:
    """Name what is taken out, and the scenario that shows it."""

    # Module and name below `trefoilsaddle.core`.
    target: str
    replacement: object
    scenario: Callable[[Bench], None]


def _find_any(node: Node, *ignored: object) -> PendingCall | None:
    return next(iter(node.routing.pending.values()), None)


def _choose_urgent(queue: ServerQueue) -> RankQueue | None:
    waiting = [ranked for ranked in queue.ranks if ranked.size]
    return waiting[0] if waiting else None


def _pop_oldest(ranked: RankQueue) -> Ticket | None:
    tickets = list(ranked.tickets())
    if not tickets:
        return None
    numbers = [ticket.number for ticket in tickets]
    oldest = tickets[numbers.index(min(numbers))]
    ranked.remove(oldest)
    return oldest


def _floor_without_callers(node: Node, moment: Moment) -> Seconds:
    return Seconds(moment.wall + SKEW)


def _floor_at_claim(node: Node, moment: Moment) -> Seconds:
    return Seconds(moment.wall - moment.monotonic + 2 * SKEW)


def _nothing(*ignored: object, **named: object) -> None:
    """Return None, as a guard that lets everything pass."""


def _deny(*ignored: object) -> bool:
    return False


def _confirm(*ignored: object) -> bool:
    return True


_GUARDS = MappingProxyType(
    {
        'floor': Guard(
            'outcomes.is_forgotten', _deny, scenarios.retry_after_loss
        ),
        'floor at first authority': Guard(
            'floors._takeover_floor',
            _floor_at_claim,
            scenarios.former_sends_on,
        ),
        'floor above callers ahead': Guard(
            'floors._takeover_floor',
            _floor_without_callers,
            scenarios.clocks_differ,
        ),
        "floors kept by a member's word": Guard(
            'floors._restore_floor', _nothing, scenarios.renew_assured
        ),
        'unseen take-overs': Guard(
            'floors._may_follow_others', _deny, scenarios.serve_between
        ),
        'renewed claims': Guard(
            'floors._follow_renewal', _nothing, scenarios.renew_claim
        ),
        'keys of the future': Guard(
            'outcomes.is_in_future', _deny, scenarios.future_key
        ),
        'handover by a member that followed nobody': Guard(
            'handovers._may_have_other_holder', _deny, scenarios.follow_unseen
        ),
        'handover follows directly': Guard(
            'handovers._follows_directly', _confirm, scenarios.stray_handover
        ),
        'sent at most once': Guard(
            'acceptance.register_key', _nothing, scenarios.retry_at_same
        ),
        'retry joins': Guard(
            'acceptance.find_leader', _nothing, scenarios.retry_while_running
        ),
        'reuse': Guard(
            'outcomes._fingerprint', lambda ticket: 0, scenarios.reuse_token
        ),
        'members of keys': Guard(
            'outcomes._member_of', lambda request: '', scenarios.members_tokens
        ),
        'memory': Guard(
            'floors.note_forgotten', _nothing, scenarios.forgotten_for_memory
        ),
        'duplicates': Guard(
            'acceptance.is_duplicate', _deny, scenarios.late_duplicate
        ),
        'late answers': Guard(
            'routing._find_attempt', _find_any, scenarios.late_answer
        ),
        'deadline': Guard(
            'dispatching.handle_deadline',
            lambda *ignored: [],
            scenarios.frozen_server,
        ),
        'shares': Guard(
            'disciplines.choose_rank', _choose_urgent, scenarios.urgent_flood
        ),
        'members take turns': Guard(
            'queues.RankQueue.pop', _pop_oldest, scenarios.member_flood
        ),
    }
)


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> Bench:
    """Build a bench with little memory; its first dispatcher serves."""
    built = build_bench(build_configuration(idempotency_limit=10))
    for module in (acceptance, sending):
        monkeypatch.setattr(module, 'check_authority', built.check_authority)
    adopt_shard(built.nodes[FIRST], moment_of(built), SHARD, fresh=True)
    assign_role(built, SECOND, TERM, OTHER_SERVER)
    return built


@pytest.mark.parametrize('name', _GUARDS)
def test_promise_holds(bench: Bench, name: str) -> None:
    """Keep the promise with every guard in place."""
    _GUARDS[name].scenario(bench)


@pytest.mark.parametrize('name', _GUARDS)
def test_guard_is_needed(
    bench: Bench,
    monkeypatch: pytest.MonkeyPatch,
    name: str,
) -> None:
    """Break the promise once the guard is out."""
    guard = _GUARDS[name]
    target = f'trefoilsaddle.core.{guard.target}'
    monkeypatch.setattr(target, guard.replacement)
    with pytest.raises(AssertionError):
        guard.scenario(bench)
