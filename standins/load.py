"""Send a continuous load and check the answers against the executions."""

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

_SEND_INTERVAL = 0.05
_KEYS = 8


@dataclass(frozen=True, slots=True)
class CallResult:
    """Request of a caller and the answer that it got."""

    request: CallerRequest
    answer: CallerAnswer


@dataclass(slots=True)
class Stream:
    """Sequence of requests, of which every other one is non-idempotent."""

    # Distinguishes the streams of one service.
    number: int
    service: str
    caller: Caller
    calls: list[CallResult] = field(default_factory=list)
    stopping: bool = False

    async def run(self) -> None:
        """Send requests until `stopping` is set, and await the last answer."""
        while not self.stopping:
            request = self._build_request(len(self.calls))
            answer = await self.caller.send(request)
            self.calls.append(CallResult(request, answer))
            await trio.sleep(_SEND_INTERVAL)

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


def find_call_violations(
    calls: Iterable[CallResult],
    executions: list[Execution],
) -> list[Violation]:
    """Find answers that contradict the executions on the servers."""
    call_list = list(calls)
    counts = Counter(execution.call.path for execution in executions)
    violations = find_second_owners(executions)
    unrepeatable = [
        call.request.path for call in call_list if not call.request.idempotent
    ]
    violations.extend(find_repeats(executions, unrepeatable))
    for call in call_list:
        violations.extend(_check_call(call, counts[call.request.path]))
    return violations


def _check_call(call: CallResult, runs: int) -> Iterator[Violation]:
    path = call.request.path
    if call.answer.outcome == NOT_RUN and runs:
        yield Violation(f'{path} was answered as not run but ran {runs} times')
    if call.answer.outcome == ANSWERED:
        if not call.answer.echoes(call.request):
            yield Violation(f'{path} got the answer to another request')
        if not runs:
            yield Violation(f'{path} was answered but did not run')
