"""Define faults that tests inject between the processes of a bench."""

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
# Seconds; longer than every deadline in the tests.
_LONG = 3.0

Step = Callable[[Effect], bool]
Action = Callable[[Bench, NodeId, Effect], bool]


def forwards(effect: Effect) -> bool:
    """Match a request forwarded by the entry process."""
    if not isinstance(effect, SendMessage):
        return False
    return isinstance(effect.message, Forward)


def answers(effect: Effect) -> bool:
    """Match an answer sent to the entry process."""
    if not isinstance(effect, SendMessage):
        return False
    return isinstance(effect.message, ForwardAnswer)


def runs(effect: Effect) -> bool:
    """Match an attempt sent to the server."""
    return isinstance(effect, RunAttempt)


@dataclass(slots=True)
class Fault:
    """Apply an action at a step, the first time or every time."""

    step: Step
    action: Action
    always: bool = False
    done: bool = False

    def __call__(self, bench: Bench, node_id: NodeId, effect: Effect) -> bool:
        """Apply the action; return true to suppress the effect."""
        if not self.step(effect) or (self.done and not self.always):
            return False
        self.done = True
        return self.action(bench, node_id, effect)


def moment_of(bench: Bench) -> Moment:
    """Return the bench's time on a process with an exact wall clock."""
    return Moment(Seconds(bench.now), Seconds(WALL + bench.now))


def lose(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Lose a message, or freeze the server before it runs a request."""
    return True


def run_and_freeze(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Run a request without ever answering it."""
    assert isinstance(effect, RunAttempt)
    bench.record_run(node_id, effect)
    return True


def run_and_answer_late(
    bench: Bench,
    node_id: NodeId,
    effect: Effect,
) -> bool:
    """Run a request and answer it after all deadlines."""
    assert isinstance(effect, RunAttempt)
    bench.record_run(node_id, effect)
    bench.end(node_id, effect, AttemptVerdict.answered, _LONG)
    return True


def delay(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Deliver a message after all deadlines."""
    assert isinstance(effect, SendMessage)
    event = MessageReceived(node_id, effect.message)
    bench.schedule(_LONG, effect.node, event)
    return True


def duplicate(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Deliver a message several more times, early and late."""
    assert isinstance(effect, SendMessage)
    event = MessageReceived(node_id, effect.message)
    for pause in (0, HOP, 4 * HOP, _LONG):
        bench.schedule(pause, effect.node, event)
    return False


def cut_before(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Close the connection and lose the message sent on it."""
    bench.schedule(0, ENTRY, PeerLost(FIRST))
    bench.schedule(0, FIRST, PeerLost(ENTRY))
    return True


def cut_after(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Close the connection after the message has arrived."""
    bench.schedule(2 * HOP, ENTRY, PeerLost(FIRST))
    bench.schedule(2 * HOP, FIRST, PeerLost(ENTRY))
    return False


def refuse_connection(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Refuse the connection before any byte of the request is sent."""
    assert isinstance(effect, SendMessage)
    assert isinstance(effect.message, Forward)
    unsent = (effect.message.attempt,)
    bench.schedule(0, ENTRY, PeerLost(FIRST, unsent))
    return True


def lose_dispatcher(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Remove the first dispatcher; the second takes its server over."""
    bench.nodes.pop(FIRST)
    bench.schedule(0, ENTRY, PeerLost(FIRST))
    take_over(bench)
    return True


def disconnect_caller(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Close the caller's connection shortly after a step."""
    bench.schedule(2 * HOP, ENTRY, CallerLeft(CallId(1)))
    return False


def move_away(bench: Bench, node_id: NodeId, effect: Effect) -> bool:
    """Move the shard to the second dispatcher's server."""
    move_shard(bench)
    return False


def take_over(bench: Bench) -> None:
    """Give the role of the server to the second dispatcher."""
    assign_role(bench, SECOND, NEXT_TERM)
    adopt_shard(bench.nodes[SECOND], moment_of(bench), SHARD, fresh=False)


def move_shard(bench: Bench, *, hands_over: bool = True) -> None:
    """Move the shard to the other server, as a planned move does."""
    assign_shard(bench, OTHER_SERVER, NEXT_EPOCH)
    handover = release_shard(bench.nodes[FIRST], SHARD, EPOCH)
    second = bench.nodes[SECOND]
    adopt_shard(second, moment_of(bench), SHARD, fresh=False)
    if hands_over:
        handle_handover(second, handover)


def park(bench: Bench, code: ResultCode) -> None:
    """Let the first dispatcher's authority check fail with a code."""
    bench.refusals[FIRST, SERVER] = code


@dataclass(frozen=True, slots=True)
class EndWith:
    """End each attempt with a given verdict, run or not."""

    verdict: AttemptVerdict
    ran: bool

    def __call__(self, bench: Bench, node_id: NodeId, effect: Effect) -> bool:
        """End the attempt in place of the server's usual answer."""
        assert isinstance(effect, RunAttempt)
        if self.ran:
            bench.record_run(node_id, effect)
        bench.end(node_id, effect, self.verdict)
        return True
