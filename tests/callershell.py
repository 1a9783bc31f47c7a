"""Provide a fake reducer for tests of the callers' HTTP interface."""

from collections.abc import Callable
from dataclasses import dataclass, field

import trio

from tests.bench import build_configuration
from trefoilsaddle.core.calls import Answer, Call, Reply
from trefoilsaddle.core.configuration import Configuration
from trefoilsaddle.core.effects import AnswerCaller
from trefoilsaddle.core.events import CallArrived, CallerLeft, Event
from trefoilsaddle.programs.callers import Callers, CallShell
from trefoilsaddle.results import Outcome, ResultCode

WHOLE = Answer(Outcome.answered, ResultCode.ok, Reply(201, 'a/b', b'whole'))


@dataclass
class FakeShell(CallShell):
    """Answer calls with a preset answer in place of the reducer."""

    configuration: Configuration | None = field(
        default_factory=build_configuration,
    )
    # With None, calls stay unanswered.
    answer: Answer | None = WHOLE
    calls: list[Call] = field(default_factory=list)
    answered: list[Call] = field(default_factory=list)
    left: list[CallerLeft] = field(default_factory=list)
    refusals: list[ResultCode] = field(default_factory=list)
    changed: trio.Event = field(default_factory=trio.Event)

    def __post_init__(self) -> None:
        """Build the application under test."""
        self.app = Callers(self)

    def feed_event(self, event: Event) -> None:
        """Record an event and answer a call."""
        if isinstance(event, CallerLeft):
            self.left.append(event)
        elif isinstance(event, CallArrived):
            self.calls.append(event.call)
            if self.answer is not None:
                self.answer_call(event.call, self.answer)
        self.changed.set()
        self.changed = trio.Event()

    def answer_call(self, call: Call, answer: Answer) -> None:
        """Record a call as answered and deliver its answer."""
        self.answered.append(call)
        self.app.deliver_answer(AnswerCaller(call.call_id, answer))

    def read_configuration(self) -> Configuration | None:
        """Return the configuration in force."""
        return self.configuration

    def count_refusal(self, code: ResultCode) -> None:
        """Record a refusal."""
        self.refusals.append(code)

    async def wait_until(self, holds: Callable[[], object]) -> None:
        """Wait until a condition on the recorded events holds."""
        while not holds():
            await self.changed.wait()
