"""Send requests without a break and judge what their callers were told."""

from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

import trio

from standins.audit import Violation, find_repeats, find_second_owners
from standins.caller import (
    Caller,
    CallerAnswer,
    CallerRequest,
    make_idempotency_key,
)
from standins.serverstate import Execution

ANSWERED = 'answered'
NOT_RUN = 'not-run'

_PAUSE = 0.05
_KEYS = 8


@dataclass(frozen=True, slots=True)
class Told:
    """Pair a request with what its caller was told."""

    request: CallerRequest
    answer: CallerAnswer


@dataclass(slots=True)
class Stream:
    """Send one request after the other, every other one unrepeatable."""

    # Streams of one service differ in their number.
    number: int
    service: str
    caller: Caller
    told: list[Told] = field(default_factory=list)
    stopping: bool = False

    async def run(self) -> None:
        """Send until stopped; wait for the last answer."""
        while not self.stopping:
            request = self._build_request(len(self.told))
            answer = await self.caller.send(request)
            self.told.append(Told(request, answer))
            await trio.sleep(_PAUSE)

    def _build_request(self, number: int) -> CallerRequest:
        key = number % _KEYS
        place = (self.service, str(self.number), str(number))
        path = '/'.join(('', *place))
        return CallerRequest(
            service=self.service,
            key=f'key-{key}',
            path=path,
            body=path.encode(),
            deadline=5,
            idempotent=number % 2 == 0,
            idempotency_key=make_idempotency_key(),
        )


def judge_told(
    told: Iterable[Told],
    executions: list[Execution],
) -> list[Violation]:
    """Compare what callers were told with what the servers ran."""
    known = list(told)
    counts = Counter(execution.call.path for execution in executions)
    violations = find_second_owners(executions)
    unrepeatable = [
        one.request.path for one in known if not one.request.idempotent
    ]
    violations.extend(find_repeats(executions, unrepeatable))
    for one in known:
        violations.extend(_judge_one(one, counts[one.request.path]))
    return violations


def _judge_one(told: Told, runs: int) -> Iterator[Violation]:
    path = told.request.path
    if told.answer.outcome == NOT_RUN and runs:
        yield Violation(f'{path} was told not run and ran {runs} times')
    if told.answer.outcome == ANSWERED:
        if not told.answer.echoes(told.request):
            yield Violation(f'{path} got the answer to another request')
        if not runs:
            yield Violation(f'{path} was answered and did not run')
