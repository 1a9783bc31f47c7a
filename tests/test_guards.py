"""Remove each guard of the at-most-once and fairness guarantees in turn.

Each scenario must pass with all guards and fail without its own.
"""

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
    """Hold a guard, its ineffective replacement and its scenario."""

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


def _do_nothing(*ignored: object, **named: object) -> None:
    """Return None, in place of a guard that may refuse or act."""


def _deny(*ignored: object) -> bool:
    return False


def _accept(*ignored: object) -> bool:
    return True


_GUARDS = MappingProxyType(
    {
        'floor': Guard(
            'outcomes.is_forgotten', _deny, scenarios.retry_after_loss
        ),
        'floor at first authority': Guard(
            'floors._takeover_floor',
            _floor_at_claim,
            scenarios.send_after_claim,
        ),
        'floor above callers ahead': Guard(
            'floors._takeover_floor',
            _floor_without_callers,
            scenarios.clocks_differ,
        ),
        "floors kept by a member's word": Guard(
            'floors._restore_floor', _do_nothing, scenarios.renew_confirmed
        ),
        'unseen take-overs': Guard(
            'floors._may_follow_others', _deny, scenarios.serve_before_renewal
        ),
        'renewed claims': Guard(
            'floors._apply_renewal', _do_nothing, scenarios.renew_claim
        ),
        'keys of the future': Guard(
            'outcomes.is_in_future', _deny, scenarios.future_key
        ),
        'handover by a member that followed nobody': Guard(
            'handovers._may_have_other_holder', _deny, scenarios.follow_unlogged
        ),
        'handover follows directly': Guard(
            'handovers._follows_directly', _accept, scenarios.stale_handover
        ),
        'sent at most once': Guard(
            'acceptance.register_key', _do_nothing, scenarios.retry_at_same
        ),
        'retry joins': Guard(
            'acceptance.find_leader', _do_nothing, scenarios.retry_while_running
        ),
        'reuse': Guard(
            'outcomes._fingerprint', lambda ticket: 0, scenarios.reuse_token
        ),
        'members of keys': Guard(
            'outcomes._member_of', lambda request: '', scenarios.share_token
        ),
        'memory': Guard(
            'floors.record_forgotten', _do_nothing, scenarios.retry_evicted
        ),
        'duplicates': Guard(
            'acceptance.is_duplicate', _deny, scenarios.late_duplicate
        ),
        'late answers': Guard(
            'routing._find_pending', _find_any, scenarios.late_answer
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
    """Build a bench that keeps few outcomes; the first dispatcher serves."""
    built = build_bench(build_configuration(idempotency_limit=10))
    for module in (acceptance, sending):
        monkeypatch.setattr(module, 'check_authority', built.check_authority)
    adopt_shard(built.nodes[FIRST], moment_of(built), SHARD, fresh=True)
    assign_role(built, SECOND, TERM, OTHER_SERVER)
    return built


@pytest.mark.parametrize('name', _GUARDS)
def test_promise_holds(bench: Bench, name: str) -> None:
    """Check that the scenario passes with every guard in place."""
    _GUARDS[name].scenario(bench)


@pytest.mark.parametrize('name', _GUARDS)
def test_guard_is_needed(
    bench: Bench,
    monkeypatch: pytest.MonkeyPatch,
    name: str,
) -> None:
    """Check that the scenario fails without its guard."""
    guard = _GUARDS[name]
    target = f'trefoilsaddle.core.{guard.target}'
    monkeypatch.setattr(target, guard.replacement)
    with pytest.raises(AssertionError):
        guard.scenario(bench)
