"""Put faults between the processes of a bench."""

from collections.abc import Callable
from dataclasses import dataclass

from tests.bench import (
    ENTRY,
    EPOCH,
    FIRST,
    HOP,
    OTHER_SERVER,
    SECOND,
    SERVER,
    SHARD,
    WALL,
    Bench,
    assign_role,
    assign_shard,
)
from trefoilsaddle.core.effects import Effect, RunAttempt, SendMessage
from trefoilsaddle.core.events import (
    AttemptVerdict,
    CallerLeft,
    MessageReceived,
    PeerLost,
)
from trefoilsaddle.core.messages import Forward, ForwardAnswer
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
)
from trefoilsaddle.results import ResultCode

NEXT_TERM = Epoch(Offset(8), 0)
NEXT_EPOCH = Epoch(Offset(9), 0)
# Longer than every deadline of the tests.
_LONG = 3.0

Step = Callable[[Effect], bool]
Action = Callable[[Bench, NodeId, Effect], bool]


def forwards(effect: Effect) -> bool:
    """Match a request on its way from the entry process."""
    if not isinstance(effect, SendMessage):
        return False
    return isinstance(effect.message, Forward)


def answers(effect: Effect) -> bool:
    """Match an answer on its way to the entry process."""
    if not isinstance(effect, SendMessage):
        return False
    return isinstance(effect.message, ForwardAnswer)


def runs(effect: Effect) -> bool:
    """Match a request on its way to the server."""
    return isinstance(effect, RunAttempt)


@dataclass(slots=True)
class Fault:
    """Act at a step, the first time or every time."""

    step: Step
    action: Action
    always: bool = False
    done: bool = False

    def __call__(self, bench: Bench, node_id: NodeId, effect: Effect) -> bool:
        """Return true to swallow the effect."""
        if not self.step(effect) or (self.done and not self.always):
            return False
        self.done = True
        return self.action(bench, node_id, effect)


def moment_of(bench: Bench) -> Moment:
    """Return the bench's time on a process with a true clock."""
    return Moment(Seconds(bench.now), Seconds(WALL + bench.now))


def lose(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Lose a message, or freeze the server before it runs a request."""
    return True


def run_and_freeze(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Run a request and never answer it."""
    assert isinstance(effect, RunAttempt)
    bench.record_run(node_id, effect)
    return True


def run_and_answer_late(
    bench: Bench,
    node_id: NodeId,
    effect: Effect,
) -> bool:
    """Run a request and answer it after every deadline."""
    assert isinstance(effect, RunAttempt)
    bench.record_run(node_id, effect)
    bench.end(node_id, effect, AttemptVerdict.answered, _LONG)
    return True


def delay(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Deliver a message after every deadline."""
    assert isinstance(effect, SendMessage)
    event = MessageReceived(node_id, effect.message)
    bench.schedule(_LONG, effect.node, event)
    return True


def duplicate(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Deliver a message several times, early and late."""
    assert isinstance(effect, SendMessage)
    event = MessageReceived(node_id, effect.message)
    for pause in (0, HOP, 4 * HOP, _LONG):
        bench.schedule(pause, effect.node, event)
    return False


def cut_before(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Lose a message with the connection that it was sent on."""
    bench.schedule(0, ENTRY, PeerLost(FIRST))
    bench.schedule(0, FIRST, PeerLost(ENTRY))
    return True


def cut_after(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Cut the connection while the request is on its further way."""
    bench.schedule(2 * HOP, ENTRY, PeerLost(FIRST))
    bench.schedule(2 * HOP, FIRST, PeerLost(ENTRY))
    return False


def refuse_connection(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Refuse the connection before a byte of the request has left."""
    assert isinstance(effect, SendMessage)
    assert isinstance(effect.message, Forward)
    unsent = (effect.message.attempt,)
    bench.schedule(0, ENTRY, PeerLost(FIRST, unsent))
    return True


def lose_dispatcher(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Lose the first dispatcher; the second takes its server over."""
    bench.nodes.pop(FIRST)
    bench.schedule(0, ENTRY, PeerLost(FIRST))
    take_over(bench)
    return True


def leave_caller(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Let the caller close its connection soon after a step."""
    bench.schedule(2 * HOP, ENTRY, CallerLeft(CallId(1)))
    return False


def move_away(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Move the shard to the second dispatcher's server."""
    move_shard(bench)
    return False


def take_over(bench: Bench) -> None:
    """Make the second dispatcher the one that serves the server."""
    assign_role(bench, SECOND, NEXT_TERM)
    adopt_shard(bench.nodes[SECOND], moment_of(bench), SHARD, fresh=False)


def move_shard(bench: Bench, *, hands_over: bool = True) -> None:
    """Move the shard as a planned move does."""
    assign_shard(bench, OTHER_SERVER, NEXT_EPOCH)
    handover = release_shard(bench.nodes[FIRST], SHARD, EPOCH)
    second = bench.nodes[SECOND]
    adopt_shard(second, moment_of(bench), SHARD, fresh=False)
    if hands_over:
        handle_handover(second, handover)


def park(bench: Bench, code: ResultCode) -> None:
    """Let the first dispatcher hold its authority back for a while."""
    bench.refusals[FIRST, SERVER] = code


@dataclass(frozen=True, slots=True)
class EndWith:
    """Let the server end each attempt in one way."""

    verdict: AttemptVerdict
    ran: bool

    def __call__(self, bench: Bench, node_id: NodeId, effect: Effect) -> bool:
        """Replace the server's usual answer."""
        assert isinstance(effect, RunAttempt)
        if self.ran:
            bench.record_run(node_id, effect)
        bench.end(node_id, effect, self.verdict)
        return True
