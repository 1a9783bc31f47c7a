"""Define scenarios, each of which fails if its guard is removed."""

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
_UNLOGGED_TERM = Epoch(Offset(5), 1_000_000)
_LAST_EPOCH = Epoch(Offset(12), 0)
# Requests per second of the fake server: three slots, 0.01 s a request.
_CAPACITY = 300
# Seconds; much less than the wait behind one member's flood.
_SHORT_WAIT = 0.1


def retry_after_loss(bench: Bench) -> None:
    """Retry at the successor of a dispatcher that has sent the request."""
    bench.hook = Fault(answers, lose_dispatcher)
    _make_call(bench, 1)
    _make_call(bench, 2)
    assert bench.count_runs(_TOKEN) == 1


def retry_at_same(bench: Bench) -> None:
    """Retry at the dispatcher whose answer was lost."""
    bench.hook = Fault(answers, lose)
    _make_call(bench, 1)
    _make_call(bench, 2)
    assert bench.count_runs(_TOKEN) == 1


def retry_while_running(bench: Bench) -> None:
    """Retry while the first try is running; both get its answer."""
    for number in range(10, 20):
        _make_call(bench, number, token='')
    bench.call(1, build_request(_TOKEN))
    bench.run(0.005)
    bench.call(2, build_request(_TOKEN))
    bench.run()
    for number in (1, 2):
        answer = bench.last_answer(CallId(number))
        assert answer.outcome is Outcome.answered
    assert bench.count_runs(_TOKEN) == 1


def reuse_token(bench: Bench) -> None:
    """Use one token for two different requests."""
    _make_call(bench, 1)
    bench.call(2, build_request(_TOKEN, body=b'other'))
    bench.run()
    code = bench.last_answer(CallId(2)).code
    assert code is ResultCode.idempotency_key_reused


def send_after_claim(bench: Bench) -> None:
    """Let the former dispatcher send after its successor's claim."""
    bench.refusals[SECOND, SERVER] = ResultCode.owner_changing
    _claim_unnoticed(bench)
    bench.run(1)
    created = WALL + bench.now
    bench.hook = Fault(answers, lose)
    bench.call(1, build_request(_TOKEN, created=created))
    bench.run(1)
    # The lease expires; the successor may send.
    bench.refusals.clear()
    assign_role(bench, SECOND, NEXT_TERM)
    bench.call(2, build_request(_TOKEN, created=created))
    bench.run()
    assert bench.count_runs(_TOKEN) == 1


def _claim_unnoticed(bench: Bench) -> None:
    """Claim for the second dispatcher, unread by the two other processes."""
    views = [bench.nodes[name].view for name in (FIRST, ENTRY)]
    former = views[0].roles[SERVER]
    take_over(bench)
    for view in views:
        view.roles[SERVER] = former


def clocks_differ(bench: Bench) -> None:
    """Set the clocks of the caller and of the lost dispatcher ahead."""
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
    """Renew the holder's claim; it keeps serving and keeps its outcomes.

    The server does not check grants, so no dispatcher can serve it without
    the log.
    """
    unchecked = build_configuration(checks_grants=False)
    for node in bench.nodes.values():
        node.view.put_configuration(unchecked)
    bench.hook = Fault(answers, lose)
    bench.call(1, build_request(_TOKEN))
    # The request is at the server by then.
    bench.run(0.005)
    assign_role(bench, FIRST, NEXT_TERM)
    adopt_shard(bench.nodes[FIRST], moment_of(bench), SHARD, fresh=False)
    one = _make_call(bench, 2, token='made before the claim')
    other = _make_call(bench, 3)
    assert one.outcome is Outcome.answered
    assert other.outcome is Outcome.answered
    assert bench.count_runs(_TOKEN) == 1


def renew_confirmed(bench: Bench) -> None:
    """Renew a claim with a member's promise that no other has served."""
    _make_call(bench, 1, token='settles')
    created = WALL + bench.now
    duty = Duty(SERVER, NEXT_TERM, (), (), None, moment_of(bench).monotonic)
    duty.continuous = True
    node = bench.nodes[FIRST]
    node.duties.held[SERVER] = duty
    assign_role(bench, FIRST, NEXT_TERM)
    adopt_shard(node, moment_of(bench), SHARD, fresh=False)
    _call_created(bench, 2, created)
    assert bench.last_answer(CallId(2)).outcome is Outcome.answered


def serve_before_renewal(bench: Bench) -> None:
    """Let another dispatcher serve unnoticed before the holder's renewal."""
    _make_call(bench, 1, token='settles')
    _take_over_unlogged(bench)
    request = build_request(_TOKEN, created=WALL + bench.now)
    bench.call(3, request)
    bench.run(1)
    assert bench.last_answer(CallId(3)).outcome is Outcome.answered
    assign_role(bench, FIRST, NEXT_TERM)
    adopt_shard(bench.nodes[FIRST], moment_of(bench), SHARD, fresh=False)
    bench.call(4, request)
    bench.run(1)
    assert bench.count_runs(_TOKEN) == 1


def _take_over_unlogged(bench: Bench) -> None:
    """Let the second dispatcher take over without the log."""
    for name in (ENTRY, SECOND):
        view = bench.nodes[name].view
        view.roles[SERVER] = Role(SECOND, _UNLOGGED_TERM, (), TERM)
    adopt_shard(bench.nodes[SECOND], moment_of(bench), SHARD, fresh=False)
    _make_call(bench, 2, token='settles at the other one')


def future_key(bench: Bench) -> None:
    """Use a key created too late for a successor's floor to cover it."""
    created = WALL + 4 * SKEW
    bench.hook = Fault(answers, lose_dispatcher)
    bench.call(1, build_request(_TOKEN, created=created))
    bench.run(SKEW / 2)
    bench.call(2, build_request(_TOKEN, created=created))
    bench.run()
    assert bench.count_runs(_TOKEN) <= 1


def stale_handover(bench: Bench) -> None:
    """Deliver a handover after another dispatcher has served the shard."""
    _make_call(bench, 1, token='settles')
    assign_shard(bench, OTHER_SERVER, NEXT_EPOCH)
    early = release_shard(bench.nodes[FIRST], SHARD, EPOCH)
    _adopt_with(bench, SECOND, early)
    created = WALL + bench.now
    bench.hook = Fault(answers, lose)
    _call_created(bench, 2, created)
    # The shard moves back without the second dispatcher's handover.
    assign_shard(bench, SERVER, _LAST_EPOCH)
    _adopt_with(bench, FIRST, early)
    _call_created(bench, 3, created)
    assert bench.count_runs(_TOKEN) == 1


def follow_unlogged(bench: Bench) -> None:
    """Take a role over after following another dispatcher without the log."""
    _make_call(bench, 1, token='settles')
    second = bench.nodes[SECOND]
    second.duties.known_terms[SERVER] = KnownTerm(
        _UNLOGGED_TERM,
        unlogged_term=_UNLOGGED_TERM,
    )
    created = WALL + bench.now
    handover = release_shard(bench.nodes[FIRST], SHARD, EPOCH)
    assign_role(bench, SECOND, NEXT_TERM)
    _adopt_with(bench, SECOND, handover)
    _call_created(bench, 2, created)
    # The dispatcher that it followed may have run the request.
    assert bench.last_answer(CallId(2)).outcome is Outcome.unknown


def _call_created(bench: Bench, number: int, created: float) -> None:
    bench.call(number, build_request(_TOKEN, created=created))
    bench.run()


def _adopt_with(bench: Bench, name: NodeId, handover: Handover) -> None:
    node = bench.nodes[name]
    adopt_shard(node, moment_of(bench), SHARD, fresh=False)
    handle_handover(node, handover)


def late_duplicate(bench: Bench) -> None:
    """Deliver a duplicate of a request that was answered as not run."""
    bench.hook = _Both(
        Fault(forwards, duplicate),
        Fault(runs, EndWith(AttemptVerdict.expired, ran=False)),
    )
    answer = _make_call(bench, 1)
    assert answer.outcome is Outcome.not_run
    bench.run()
    assert bench.count_runs(_TOKEN) == 0


def late_answer(bench: Bench) -> None:
    """Deliver an answer after its call has ended, while another waits."""
    bench.hook = Fault(answers, delay)
    bench.call(1, build_request(body=b'one'))
    bench.run(2.5)
    bench.hook = Fault(answers, lose)
    bench.call(2, build_request(body=b'two'))
    bench.run()
    assert bench.last_answer(CallId(2)).reply is None


def frozen_server(bench: Bench) -> None:
    """Freeze the server; its slot must be free again after the deadline."""
    bench.hook = Fault(runs, run_and_freeze, always=True)
    bench.call(1, build_request(remaining=1))
    bench.run(1)
    assert count_running(bench.nodes[FIRST], SERVER, None) == 0
    assert bench.last_answer(CallId(1)).outcome is Outcome.unknown


def urgent_flood(bench: Bench) -> None:
    """Flood with the most urgent rank; a lower rank must get its share."""
    _flood(bench, 0, MEMBER, 4 * _CAPACITY)
    _flood(bench, 2, MEMBER, _CAPACITY // 10)
    bench.run(2)
    served = [run for run in bench.ran if run.name.startswith('rank-2')]
    assert len(served) >= 0.9 * _CAPACITY / 10


def member_flood(bench: Bench) -> None:
    """Flood with one member's requests; another's must not wait long."""
    _flood(bench, 1, MEMBER, 4 * _CAPACITY)
    arrivals = _flood(bench, 1, OTHER_MEMBER, _CAPACITY // 10)
    bench.run(2)
    for call_id, arrived in arrivals.items():
        assert bench.last_answer(call_id).outcome is Outcome.answered
        waited = bench.answered_at[call_id] - arrived
        assert waited < _SHORT_WAIT


def share_token(bench: Bench) -> None:
    """Use the same token as two members for two requests."""
    _make_call(bench, 1)
    bench.call(2, build_request(_TOKEN, member=OTHER_MEMBER, body=b'other'))
    bench.run()
    reply = bench.last_answer(CallId(2)).reply
    assert reply is not None
    assert reply.body == b'other'


def retry_evicted(bench: Bench) -> None:
    """Retry a key whose outcome was evicted; it must not run again."""
    for number in range(1, 14):
        _make_call(bench, number, token=f'token-{number}')
    _make_call(bench, 14, token='token-1')
    assert bench.count_runs('token-1') == 1


@dataclass(frozen=True, slots=True)
class _Both:
    """Apply two faults to each effect."""

    one: Fault
    other: Fault

    def __call__(self, bench: Bench, node_id: NodeId, effect: Effect) -> bool:
        """Return true if either fault suppresses the effect."""
        swallowed = self.one(bench, node_id, effect)
        return self.other(bench, node_id, effect) or swallowed


def _make_call(bench: Bench, number: int, token: str = _TOKEN) -> Answer:
    bench.call(number, build_request(token))
    bench.run(2)
    return bench.last_answer(CallId(number))


def _flood(
    bench: Bench,
    rank: int,
    member: MemberName,
    rate: int,
) -> dict[CallId, float]:
    """Schedule calls evenly over a second; return their arrival times."""
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
