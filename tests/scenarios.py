"""Play out what one guard each protects against; assert the promise."""

from dataclasses import dataclass

from tests.bench import (
    ENTRY,
    EPOCH,
    FIRST,
    MEMBER,
    OTHER_MEMBER,
    OTHER_SERVER,
    SECOND,
    SERVER,
    SHARD,
    SKEW,
    TERM,
    WALL,
    Bench,
    assign_role,
    assign_shard,
    build_configuration,
    build_request,
)
from tests.faults import (
    NEXT_EPOCH,
    NEXT_TERM,
    EndWith,
    Fault,
    answers,
    delay,
    duplicate,
    forwards,
    lose,
    lose_dispatcher,
    moment_of,
    run_and_freeze,
    runs,
    take_over,
)
from trefoilsaddle.core.calls import Answer
from trefoilsaddle.core.dispatching import count_running
from trefoilsaddle.core.dutystate import Duty, KnownTerm
from trefoilsaddle.core.effects import Effect
from trefoilsaddle.core.events import AttemptVerdict
from trefoilsaddle.core.messages import Handover
from trefoilsaddle.core.outcomes import (
    adopt_shard,
    handle_handover,
    release_shard,
)
from trefoilsaddle.core.units import (
    CallId,
    Epoch,
    MemberName,
    NodeId,
    Offset,
)
from trefoilsaddle.core.view import Role
from trefoilsaddle.results import Outcome, ResultCode

_TOKEN = 'token-1'
# Between the first term and the next one in the log.
_UNSEEN_TERM = Epoch(Offset(5), 1_000_000)
_LAST_EPOCH = Epoch(Offset(12), 0)
# Of the fake server: three slots, a hundredth of a second each.
_CAPACITY = 300
# Much less than the queue that one member's flood builds up.
_SHORT_WAIT = 0.1


def retry_after_loss(bench: Bench) -> None:
    """Retry with the successor of a dispatcher that has sent the work."""
    bench.hook = Fault(answers, lose_dispatcher)
    _ask(bench, 1)
    _ask(bench, 2)
    assert bench.count_runs(_TOKEN) == 1


def retry_at_same(bench: Bench) -> None:
    """Retry with the dispatcher whose answer was lost."""
    bench.hook = Fault(answers, lose)
    _ask(bench, 1)
    _ask(bench, 2)
    assert bench.count_runs(_TOKEN) == 1


def retry_while_running(bench: Bench) -> None:
    """Retry while the first try is at the server; both get its answer."""
    for number in range(10, 20):
        _ask(bench, number, token='')
    bench.call(1, build_request(_TOKEN))
    bench.run(0.005)
    bench.call(2, build_request(_TOKEN))
    bench.run()
    for number in (1, 2):
        answer = bench.last_answer(CallId(number))
        assert answer.outcome is Outcome.answered
    assert bench.count_runs(_TOKEN) == 1


def reuse_token(bench: Bench) -> None:
    """Use one token for two requests."""
    _ask(bench, 1)
    bench.call(2, build_request(_TOKEN, body=b'other'))
    bench.run()
    code = bench.last_answer(CallId(2)).code
    assert code is ResultCode.idempotency_key_reused


def former_sends_on(bench: Bench) -> None:
    """Let the former dispatcher send after its successor's claim."""
    bench.refusals[SECOND, SERVER] = ResultCode.owner_changing
    _claim_unnoticed(bench)
    bench.run(1)
    created = WALL + bench.now
    bench.hook = Fault(answers, lose)
    bench.call(1, build_request(_TOKEN, created=created))
    bench.run(1)
    # The lease runs out; the successor may send.
    bench.refusals.clear()
    assign_role(bench, SECOND, NEXT_TERM)
    bench.call(2, build_request(_TOKEN, created=created))
    bench.run()
    assert bench.count_runs(_TOKEN) == 1


def _claim_unnoticed(bench: Bench) -> None:
    """Let neither the former dispatcher nor the entry process read a claim."""
    views = [bench.nodes[name].view for name in (FIRST, ENTRY)]
    former = views[0].roles[SERVER]
    take_over(bench)
    for view in views:
        view.roles[SERVER] = former


def clocks_differ(bench: Bench) -> None:
    """Put the caller's and the lost dispatcher's clocks ahead."""
    bench.wall_offsets[FIRST] = SKEW
    created = WALL + 2 * SKEW
    bench.hook = Fault(answers, lose_dispatcher)
    bench.call(1, build_request(_TOKEN, created=created))
    bench.run(SKEW / 2)
    bench.call(2, build_request('sets the floor'))
    bench.run(SKEW)
    bench.call(3, build_request(_TOKEN, created=created))
    bench.run()
    assert bench.count_runs(_TOKEN) == 1


def renew_claim(bench: Bench) -> None:
    """Let the holder claim again; it goes on serving and forgets nothing.

    The server checks no grants, so that nobody can serve it without the log.
    """
    unchecked = build_configuration(checks_grants=False)
    for node in bench.nodes.values():
        node.view.put_configuration(unchecked)
    bench.hook = Fault(answers, lose)
    bench.call(1, build_request(_TOKEN))
    # The request is at the server meanwhile.
    bench.run(0.005)
    assign_role(bench, FIRST, NEXT_TERM)
    adopt_shard(bench.nodes[FIRST], moment_of(bench), SHARD, fresh=False)
    one = _ask(bench, 2, token='made before the claim')
    other = _ask(bench, 3)
    assert one.outcome is Outcome.answered
    assert other.outcome is Outcome.answered
    assert bench.count_runs(_TOKEN) == 1


def renew_assured(bench: Bench) -> None:
    """Claim again with a member's word that nobody served in between."""
    _ask(bench, 1, token='settles')
    created = WALL + bench.now
    duty = Duty(SERVER, NEXT_TERM, (), (), None, moment_of(bench).monotonic)
    duty.continuous = True
    node = bench.nodes[FIRST]
    node.duties.held[SERVER] = duty
    assign_role(bench, FIRST, NEXT_TERM)
    adopt_shard(node, moment_of(bench), SHARD, fresh=False)
    _call_created(bench, 2, created)
    assert bench.last_answer(CallId(2)).outcome is Outcome.answered


def serve_between(bench: Bench) -> None:
    """Let another one serve unseen before the holder claims again."""
    _ask(bench, 1, token='settles')
    _take_over_unseen(bench)
    request = build_request(_TOKEN, created=WALL + bench.now)
    bench.call(3, request)
    bench.run(1)
    assert bench.last_answer(CallId(3)).outcome is Outcome.answered
    assign_role(bench, FIRST, NEXT_TERM)
    adopt_shard(bench.nodes[FIRST], moment_of(bench), SHARD, fresh=False)
    bench.call(4, request)
    bench.run(1)
    assert bench.count_runs(_TOKEN) == 1


def _take_over_unseen(bench: Bench) -> None:
    """Let the second dispatcher serve by the server's fence alone."""
    for name in (ENTRY, SECOND):
        view = bench.nodes[name].view
        view.roles[SERVER] = Role(SECOND, _UNSEEN_TERM, (), TERM)
    adopt_shard(bench.nodes[SECOND], moment_of(bench), SHARD, fresh=False)
    _ask(bench, 2, token='settles at the other one')


def future_key(bench: Bench) -> None:
    """Refuse a key that a successor's floor would not cover."""
    created = WALL + 4 * SKEW
    bench.hook = Fault(answers, lose_dispatcher)
    bench.call(1, build_request(_TOKEN, created=created))
    bench.run(SKEW / 2)
    bench.call(2, build_request(_TOKEN, created=created))
    bench.run()
    assert bench.count_runs(_TOKEN) <= 1


def stray_handover(bench: Bench) -> None:
    """Deliver a handover after another dispatcher has served the shard."""
    _ask(bench, 1, token='settles')
    assign_shard(bench, OTHER_SERVER, NEXT_EPOCH)
    early = release_shard(bench.nodes[FIRST], SHARD, EPOCH)
    _adopt_with(bench, SECOND, early)
    created = WALL + bench.now
    bench.hook = Fault(answers, lose)
    _call_created(bench, 2, created)
    # It moves back, but what the second one knows does not come along.
    assign_shard(bench, SERVER, _LAST_EPOCH)
    _adopt_with(bench, FIRST, early)
    _call_created(bench, 3, created)
    assert bench.count_runs(_TOKEN) == 1


def follow_unseen(bench: Bench) -> None:
    """Take a role over after having followed another one without the log."""
    _ask(bench, 1, token='settles')
    second = bench.nodes[SECOND]
    second.duties.known[SERVER] = KnownTerm(
        _UNSEEN_TERM,
        unlogged_term=_UNSEEN_TERM,
    )
    created = WALL + bench.now
    handover = release_shard(bench.nodes[FIRST], SHARD, EPOCH)
    assign_role(bench, SECOND, NEXT_TERM)
    _adopt_with(bench, SECOND, handover)
    _call_created(bench, 2, created)
    # Whom it followed may have run this.
    assert bench.last_answer(CallId(2)).outcome is Outcome.unknown


def _call_created(bench: Bench, number: int, created: float) -> None:
    bench.call(number, build_request(_TOKEN, created=created))
    bench.run()


def _adopt_with(bench: Bench, name: NodeId, handover: Handover) -> None:
    node = bench.nodes[name]
    adopt_shard(node, moment_of(bench), SHARD, fresh=False)
    handle_handover(node, handover)


def late_duplicate(bench: Bench) -> None:
    """Deliver a request again after it was answered as not run."""
    bench.hook = _Both(
        Fault(forwards, duplicate),
        Fault(runs, EndWith(AttemptVerdict.expired, ran=False)),
    )
    answer = _ask(bench, 1)
    assert answer.outcome is Outcome.not_run
    bench.run()
    assert bench.count_runs(_TOKEN) == 0


def late_answer(bench: Bench) -> None:
    """Deliver an answer while another request of the caller waits."""
    bench.hook = Fault(answers, delay)
    bench.call(1, build_request(body=b'one'))
    bench.run(2.5)
    bench.hook = Fault(answers, lose)
    bench.call(2, build_request(body=b'two'))
    bench.run()
    assert bench.last_answer(CallId(2)).reply is None


def frozen_server(bench: Bench) -> None:
    """Free the slots of a frozen server by the deadline."""
    bench.hook = Fault(runs, run_and_freeze, always=True)
    bench.call(1, build_request(remaining=1))
    bench.run(1)
    assert count_running(bench.nodes[FIRST], SERVER, None) == 0
    assert bench.last_answer(CallId(1)).outcome is Outcome.unknown


def urgent_flood(bench: Bench) -> None:
    """Keep the lower ranks' shares in a flood of the most urgent."""
    _flood(bench, 0, MEMBER, 4 * _CAPACITY)
    _flood(bench, 2, MEMBER, _CAPACITY // 10)
    bench.run(2)
    served = [run for run in bench.ran if run.name.startswith('rank-2')]
    assert len(served) >= 0.9 * _CAPACITY / 10


def member_flood(bench: Bench) -> None:
    """Serve one member while another floods in."""
    _flood(bench, 1, MEMBER, 4 * _CAPACITY)
    arrivals = _flood(bench, 1, OTHER_MEMBER, _CAPACITY // 10)
    bench.run(2)
    for call_id, arrived in arrivals.items():
        assert bench.last_answer(call_id).outcome is Outcome.answered
        waited = bench.answered_at[call_id] - arrived
        assert waited < _SHORT_WAIT


def members_tokens(bench: Bench) -> None:
    """Keep two members' equal tokens apart."""
    _ask(bench, 1)
    bench.call(2, build_request(_TOKEN, member=OTHER_MEMBER, body=b'other'))
    bench.run()
    reply = bench.last_answer(CallId(2)).reply
    assert reply is not None
    assert reply.body == b'other'


def forgotten_for_memory(bench: Bench) -> None:
    """Tell a key from a token that was never sent, after an eviction."""
    for number in range(1, 14):
        _ask(bench, number, token=f'token-{number}')
    _ask(bench, 14, token='token-1')
    assert bench.count_runs('token-1') == 1


@dataclass(frozen=True, slots=True)
class _Both:
    """Apply two faults."""

    one: Fault
    other: Fault

    def __call__(self, bench: Bench, node_id: NodeId, effect: Effect) -> bool:
        """Return true if either swallows the effect."""
        swallowed = self.one(bench, node_id, effect)
        return self.other(bench, node_id, effect) or swallowed


def _ask(bench: Bench, number: int, token: str = _TOKEN) -> Answer:
    bench.call(number, build_request(token))
    bench.run(2)
    return bench.last_answer(CallId(number))


def _flood(
    bench: Bench,
    rank: int,
    member: MemberName,
    rate: int,
) -> dict[CallId, float]:
    """Let calls arrive evenly over a second; return when each does."""
    arrivals: dict[CallId, float] = {}
    for number in range(rate):
        request = build_request(
            member=member,
            rank=rank,
            body=f'rank-{rank} {member}'.encode(),
            remaining=1,
        )
        pause = number / rate
        arrivals[bench.schedule_call(pause, request)] = pause
    return arrivals
