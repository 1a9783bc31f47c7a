"""Check the final promise of a leaving claim-set member and its use."""

import pytest

from tests.bench import (
    ENTRY,
    FIRST,
    SECOND,
    SERVER,
    TERM,
    Bench,
    build_bench,
)
from trefoilsaddle.core.dutystate import Duty
from trefoilsaddle.core.effects import SendMessage
from trefoilsaddle.core.events import MessageReceived, Started, StopRequested
from trefoilsaddle.core.leases import is_takeover_excluded
from trefoilsaddle.core.messages import FINAL_PROMISE, Promise, PromiseRequest
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    NodeId,
    Offset,
    Seconds,
)

_PROVISIONAL_TERM = Epoch(Offset(5), 1_000_000)
_ONE = NodeId('one')
_OTHER = NodeId('other')
_STRANGER = NodeId('stranger')


@pytest.mark.parametrize(
    ('claim_set', 'promises', 'excluded'),
    [
        ((), {}, True),
        ((_ONE,), {}, False),
        ((_ONE,), {_ONE: FIRST_EPOCH}, True),
        ((_ONE,), {_ONE: TERM}, True),
        ((_ONE,), {_ONE: _PROVISIONAL_TERM}, False),
        ((_ONE,), {_STRANGER: FIRST_EPOCH}, False),
        ((_ONE, _OTHER), {_OTHER: FIRST_EPOCH}, True),
        ((_ONE, _OTHER), {_ONE: _PROVISIONAL_TERM}, False),
    ],
)
def test_one_final_promise_is_enough(
    claim_set: tuple[NodeId, ...],
    promises: dict[NodeId, Epoch],
    excluded: bool,
) -> None:
    """Exclude take-overs by one member that has promised no later term."""
    duty = Duty(SERVER, TERM, claim_set, (), None, Seconds(0))
    duty.final_terms.update(promises)
    assert is_takeover_excluded(duty) is excluded


def _list_promises(bench: Bench, sender: NodeId) -> list[Promise]:
    return [
        effect.message
        for node, effect in bench.effects
        if node == sender
        and isinstance(effect, SendMessage)
        and isinstance(effect.message, Promise)
    ]


def test_leaving_member_sends_final_promises() -> None:
    """Send the holder of each server a final promise when a member stops."""
    bench = build_bench()
    bench.feed(SECOND, Started())
    bench.feed(SECOND, StopRequested())
    promises = _list_promises(bench, SECOND)
    assert [(promise.sequence, promise.server) for promise in promises] == [
        (FINAL_PROMISE, SERVER),
    ]
    assert promises[0].unlogged_term == FIRST_EPOCH


@pytest.mark.parametrize(
    ('stopping', 'log_away', 'granted'),
    [(False, True, True), (False, False, False), (True, True, False)],
)
def test_leaving_member_promises_nothing_more(
    stopping: bool,
    log_away: bool,
    granted: bool,
) -> None:
    """Refuse provisional terms after the final promise, or with the log."""
    bench = build_bench()
    node = bench.nodes[SECOND]
    bench.feed(SECOND, Started())
    node.following.log_away = log_away
    if stopping:
        bench.feed(SECOND, StopRequested())
    bench.effects.clear()
    request = PromiseRequest(SERVER, _PROVISIONAL_TERM, 1, Seconds(1))
    bench.feed(SECOND, MessageReceived(_ONE, request))
    promises = _list_promises(bench, SECOND)
    assert [promise.granted for promise in promises] == [granted]
    assert (node.duties.known_terms[SERVER].unlogged_term > TERM) is granted


@pytest.mark.parametrize(
    ('unlogged', 'continuous'),
    [(FIRST_EPOCH, True), (TERM, True), (_PROVISIONAL_TERM, False)],
)
def test_holder_confirms_continuity(
    unlogged: Epoch,
    continuous: bool,
) -> None:
    """Accept a final promise that arrives after the holder's new claim."""
    bench = build_bench()
    node = bench.nodes[FIRST]
    duty = Duty(SERVER, Epoch(Offset(9), 0), (), (), None, Seconds(0))
    duty.renewed_from = TERM
    duty.confirmed_members = (SECOND,)
    node.duties.held[SERVER] = duty
    promise = Promise(
        SERVER,
        TERM,
        FINAL_PROMISE,
        granted=True,
        unlogged_term=unlogged,
    )
    bench.feed(FIRST, MessageReceived(ENTRY, promise))
    assert not duty.continuous
    bench.feed(FIRST, MessageReceived(SECOND, promise))
    assert duty.continuous is continuous
