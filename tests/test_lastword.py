"""Check the word of a claim-set member that leaves, and who relies on it."""

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
from trefoilsaddle.core.leases import is_assured
from trefoilsaddle.core.messages import FINAL_PROMISE, Promise, PromiseRequest
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    NodeId,
    Offset,
    Seconds,
)

_UNSEEN_TERM = Epoch(Offset(5), 1_000_000)
_ONE = NodeId('one')
_OTHER = NodeId('other')
_STRANGER = NodeId('stranger')


@pytest.mark.parametrize(
    ('claim_set', 'words', 'assured'),
    [
        ((), {}, True),
        ((_ONE,), {}, False),
        ((_ONE,), {_ONE: FIRST_EPOCH}, True),
        ((_ONE,), {_ONE: TERM}, True),
        ((_ONE,), {_ONE: _UNSEEN_TERM}, False),
        ((_ONE,), {_STRANGER: FIRST_EPOCH}, False),
        ((_ONE, _OTHER), {_OTHER: FIRST_EPOCH}, True),
        ((_ONE, _OTHER), {_ONE: _UNSEEN_TERM}, False),
    ],
)
def test_one_word_is_enough(
    claim_set: tuple[NodeId, ...],
    words: dict[NodeId, Epoch],
    assured: bool,
) -> None:
    """Need the word of a member that has followed nobody since the term."""
    duty = Duty(SERVER, TERM, claim_set, (), None, Seconds(0))
    duty.last_words.update(words)
    assert is_assured(duty) is assured


def _list_promises(bench: Bench, sender: NodeId) -> list[Promise]:
    return [
        effect.message
        for node, effect in bench.effects
        if node == sender
        and isinstance(effect, SendMessage)
        and isinstance(effect.message, Promise)
    ]


def test_leaving_member_gives_its_word() -> None:
    """Tell the holder of each server that one may take over."""
    bench = build_bench()
    bench.feed(SECOND, Started())
    bench.feed(SECOND, StopRequested())
    words = _list_promises(bench, SECOND)
    assert [(word.sequence, word.server) for word in words] == [
        (FINAL_PROMISE, SERVER),
    ]
    assert words[0].unlogged_term == FIRST_EPOCH


@pytest.mark.parametrize(
    ('stopping', 'log_away', 'granted'),
    [(False, True, True), (False, False, False), (True, True, False)],
)
def test_member_keeps_its_last_word(
    stopping: bool,
    log_away: bool,
    granted: bool,
) -> None:
    """Follow nobody without the log after the last word."""
    bench = build_bench()
    node = bench.nodes[SECOND]
    bench.feed(SECOND, Started())
    node.following.log_away = log_away
    if stopping:
        bench.feed(SECOND, StopRequested())
    bench.effects.clear()
    request = PromiseRequest(SERVER, _UNSEEN_TERM, 1, Seconds(1))
    bench.feed(SECOND, MessageReceived(_ONE, request))
    promises = _list_promises(bench, SECOND)
    assert [promise.granted for promise in promises] == [granted]
    assert (node.duties.known[SERVER].unlogged_term > TERM) is granted


@pytest.mark.parametrize(
    ('unlogged', 'continuous'),
    [(FIRST_EPOCH, True), (TERM, True), (_UNSEEN_TERM, False)],
)
def test_holder_learns_that_nobody_served(
    unlogged: Epoch,
    continuous: bool,
) -> None:
    """Rely on a member's word that comes after the claim, too."""
    bench = build_bench()
    node = bench.nodes[FIRST]
    duty = Duty(SERVER, Epoch(Offset(9), 0), (), (), None, Seconds(0))
    duty.renewed_from = TERM
    duty.witnesses = (SECOND,)
    node.duties.held[SERVER] = duty
    word = Promise(
        SERVER,
        TERM,
        FINAL_PROMISE,
        granted=True,
        unlogged_term=unlogged,
    )
    bench.feed(FIRST, MessageReceived(ENTRY, word))
    assert not duty.continuous
    bench.feed(FIRST, MessageReceived(SECOND, word))
    assert duty.continuous is continuous
