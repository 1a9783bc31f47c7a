"""Search for schedules that run a request twice or give a wrong answer."""

from dataclasses import dataclass
from unittest.mock import patch

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from tests.bench import (
    ENTRY,
    FIRST,
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
    build_bench,
    build_configuration,
    build_request,
)
from tests.faults import (
    Action,
    EndWith,
    Fault,
    Step,
    answers,
    cut_after,
    cut_before,
    delay,
    duplicate,
    forwards,
    lose,
    run_and_answer_late,
    run_and_freeze,
    runs,
)
from trefoilsaddle.core import acceptance, sending
from trefoilsaddle.core.dispatching import count_running
from trefoilsaddle.core.events import AttemptVerdict, CallerLeft
from trefoilsaddle.core.outcomes import (
    adopt_shard,
    handle_handover,
    release_shard,
)
from trefoilsaddle.core.units import (
    CallId,
    Epoch,
    Moment,
    NodeId,
    Offset,
    Seconds,
    ServerId,
)
from trefoilsaddle.results import Outcome, ResultCode

_DEADLINE = 1.0
_TOKENS = st.integers(0, 3)
_FAULTS: tuple[tuple[Step, Action], ...] = (
    (forwards, lose),
    (forwards, delay),
    (forwards, duplicate),
    (forwards, cut_before),
    (forwards, cut_after),
    (answers, lose),
    (answers, delay),
    (answers, duplicate),
    (answers, cut_before),
    (runs, lose),
    (runs, run_and_freeze),
    (runs, run_and_answer_late),
    (runs, EndWith(AttemptVerdict.lost, ran=True)),
    (runs, EndWith(AttemptVerdict.cut_short, ran=True)),
    (runs, EndWith(AttemptVerdict.unsent, ran=False)),
    (runs, EndWith(AttemptVerdict.fenced, ran=False)),
    (runs, EndWith(AttemptVerdict.shed, ran=False)),
    (runs, EndWith(AttemptVerdict.expired, ran=False)),
)


@dataclass(frozen=True, slots=True)
class ExpectedCall:
    """Hold the properties of a call that its answer is checked against."""

    token: str
    body: bytes
    deadline: float


class AtMostOnce(RuleBasedStateMachine):
    """Retry calls while messages, servers and dispatchers fail."""

    def __init__(self) -> None:
        """Build a bench whose first dispatcher serves a fresh shard."""
        super().__init__()
        self.bench = build_bench(build_configuration(idempotency_limit=1))
        self.patches = [
            patch.object(
                module,
                'check_authority',
                self.bench.check_authority,
            )
            for module in (acceptance, sending)
        ]
        for active in self.patches:
            active.start()
        self.expected: dict[CallId, ExpectedCall] = {}
        self.created: dict[str, float] = {}
        self.calls = 0
        self.offset = 10
        # Dispatcher that serves, and the one that has claimed to succeed it.
        self.serving = FIRST
        self.claimant: NodeId | None = None
        assign_role(self.bench, SECOND, TERM, OTHER_SERVER)
        _adopt(self.bench, FIRST, fresh=True)

    def teardown(self) -> None:
        """Check that every call has been answered in time."""
        self.bench.run(2 * _DEADLINE)
        for active in self.patches:
            active.stop()
        for call_id, expected in self.expected.items():
            assert len(self.bench.answers[call_id]) == 1
            assert self.bench.answered_at[call_id] <= expected.deadline

    @rule(
        number=_TOKENS,
        ahead=st.sampled_from((-0.2, 0, 0.04)),
        body=st.sampled_from((b'', b'', b'another')),
    )
    def call(self, number: int, ahead: float, body: bytes) -> None:
        """Make a call, retry one, or reuse its token for another request."""
        token = f'token-{number}'
        self.created.setdefault(token, WALL + self.bench.now + ahead)
        self._make_call(token, body or token.encode())

    @rule(number=st.integers(1, 40))
    def leave(self, number: int) -> None:
        """Close a caller's connection; it needs no answer then."""
        call_id = CallId(number)
        if call_id in self.expected and call_id not in self.bench.answers:
            self.bench.feed(ENTRY, CallerLeft(call_id))
            self.expected.pop(call_id)

    @rule(fault=st.sampled_from(_FAULTS))
    def fail(self, fault: tuple[Step, Action]) -> None:
        """Inject a fault at the next message or attempt of a kind."""
        step, action = fault
        self.bench.hook = Fault(step, action)

    @rule(pause=st.sampled_from((0.001, 0.005, 0.02, 0.3, 1.2)))
    def wait(self, pause: float) -> None:
        """Process events for a while."""
        self.bench.run(pause)

    @rule(
        node=st.sampled_from((FIRST, SECOND)),
        offset=st.sampled_from((-SKEW / 2, 0, SKEW / 2)),
    )
    def set_clock(self, node: NodeId, offset: float) -> None:
        """Set a dispatcher's wall clock within the allowed skew."""
        self.bench.wall_offsets[node] = offset

    @rule()
    @precondition(lambda machine: machine.claimant is None)
    def claim(self) -> None:
        """Claim for the other dispatcher; the former one may still send."""
        self.claimant = SECOND if self.serving == FIRST else FIRST
        self.bench.refusals[self.claimant, SERVER] = ResultCode.owner_changing
        former = self.bench.nodes[self.serving].view
        kept = former.roles[SERVER]
        assign_role(self.bench, self.claimant, self._next_epoch())
        former.roles[SERVER] = kept
        _adopt(self.bench, self.claimant, fresh=False)

    @rule(hands_over=st.booleans())
    @precondition(lambda machine: machine.claimant is not None)
    def finish_claim(self, hands_over: bool) -> None:
        """End the former dispatcher's lease; the claimant serves from now."""
        assert self.claimant is not None
        nodes = self.bench.nodes
        former = nodes[self.serving]
        claimant = nodes[self.claimant]
        former.view.roles[SERVER] = claimant.view.roles[SERVER]
        epoch = former.view.owners[SHARD].epoch
        handover = release_shard(former, SHARD, epoch)
        self.bench.refusals.clear()
        self.serving = self.claimant
        self.claimant = None
        if hands_over:
            handle_handover(claimant, handover)

    @rule(hands_over=st.booleans(), late=st.booleans())
    @precondition(lambda machine: machine.claimant is None)
    def move(self, hands_over: bool, late: bool) -> None:
        """Move the shard to the other server, if none of its requests runs."""
        nodes = self.bench.nodes
        owner = nodes[ENTRY].view.owners[SHARD]
        target = OTHER_SERVER if owner.server == SERVER else SERVER
        source = nodes[_holder(self.serving, owner.server)]
        if count_running(source, owner.server, SHARD):
            return
        assign_shard(self.bench, target, self._next_epoch())
        name = _holder(self.serving, target)
        if late:
            _adopt(self.bench, name, fresh=False)
        handover = release_shard(source, SHARD, owner.epoch)
        if hands_over:
            handle_handover(nodes[name], handover)
        if not late:
            _adopt(self.bench, name, fresh=False)

    @invariant()
    def runs_once(self) -> None:
        """Check that no token has run twice."""
        names = [run.name for run in self.bench.ran]
        assert len(names) == len(set(names))

    @invariant()
    def answers_match_runs(self) -> None:
        """Check outcomes against the runs, and replies against the calls."""
        ran = {run.call_id for run in self.bench.ran}
        for call_id, expected in self.expected.items():
            for answer in self.bench.answers.get(call_id, ()):
                if answer.outcome is Outcome.not_run:
                    assert call_id not in ran
                if answer.reply is not None:
                    assert answer.reply.body == expected.body

    def _make_call(self, token: str, body: bytes) -> None:
        request = build_request(
            token,
            body=body,
            created=self.created[token],
            remaining=_DEADLINE,
        )
        self.calls += 1
        call_id = CallId(self.calls)
        deadline = self.bench.now + _DEADLINE
        self.expected[call_id] = ExpectedCall(token, body, deadline)
        self.bench.call(call_id, request)

    def _next_epoch(self) -> Epoch:
        self.offset += 1
        return Epoch(Offset(self.offset), 0)


def _holder(serving: NodeId, server: ServerId) -> NodeId:
    return serving if server == SERVER else SECOND


def _adopt(bench: Bench, name: NodeId, *, fresh: bool) -> None:
    wall = WALL + bench.now + bench.wall_offsets.get(name, 0)
    moment = Moment(Seconds(bench.now), Seconds(wall))
    adopt_shard(bench.nodes[name], moment, SHARD, fresh=fresh)


TestAtMostOnce = AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    settings.get_profile('fixed'),
    max_examples=60,
    stateful_step_count=30,
)
