"""Test that a request is answered although a step of the reducer has failed."""

from dataclasses import dataclass, field

import pytest
import trio

from measure.worldoptions import Machine, build_options, build_regions
from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName
from trefoilsaddle.gateway.effects import (
    CancelAttempts,
    DeliverAnswer,
    SendAttempt,
    SetCallTimer,
)
from trefoilsaddle.gateway.events import (
    AttemptEnded,
    CallerLeft,
    CallExpired,
    Event,
    RequestArrived,
)
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.state import build_gateway
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.platform.dialect import PlatformDialect
from trefoilsaddle.programs.containment import Containment
from trefoilsaddle.programs.gatewaycalls import GatewayCalls, Servers

_HEADERS = (
    (b'host', b'a'),
    (b'x-attempt-id', b'mine'),
    (b'x-deadline-ms', b'300'),
)
_REQUEST = HttpRequest(b'GET', b'/reads/1', _HEADERS)
_Kinds = tuple[type, ...]
_ANSWER = whole(b'whole', b'x-attempt-id: mine', b'x-upstream-seal: seal')


@dataclass(slots=True)
class _Reducer:
    """Send each request to one server; skip the events that fail."""

    server: ScriptedServer
    failing: _Kinds
    events: list[Event] = field(default_factory=list)
    calls: GatewayCalls = field(init=False)

    def feed(self, event: Event) -> None:
        """Perform what the reducer would decide, unless it fails."""
        self.events.append(event)
        if isinstance(event, self.failing):
            return
        match event:
            case RequestArrived():
                self.calls.set_timer(SetCallTimer(event.call, Seconds(0.3)))
                self.calls.send_attempt(self._build_attempt(event))
            case AttemptEnded():
                self.calls.deliver_answer(
                    DeliverAnswer(event.call, event.attempt)
                )
            case CallExpired():
                self.calls.cancel_attempts(CancelAttempts(event.call))

    def _build_attempt(self, event: RequestArrived) -> SendAttempt:
        life = ServerIncarnation(ServerId('i-1'), 1)
        server = Server(
            life,
            ServiceName('guide'),
            '127.0.0.1',
            self.server.port,
            ZoneName('a'),
            slots=3,
            draining=False,
            warm_up_left=Seconds(0),
        )
        return SendAttempt(
            event.call, 1, server, None, Seconds(0.3), idempotent=True
        )


def _build_calls(reducer: _Reducer, nursery: trio.Nursery) -> GatewayCalls:
    return GatewayCalls(
        build_gateway(build_options('g', 1, Machine(1), build_regions())),
        PlatformDialect(),
        reducer.feed,
        nursery,
        Containment(lambda line: None),
    )


_FAILING: dict[str, _Kinds] = {
    'none': (),
    'arrival': (RequestArrived,),
    'result': (AttemptEnded,),
    'arrival and expiry': (RequestArrived, CallExpired),
    'result and expiry': (AttemptEnded, CallExpired),
}


# Guards against a request that was passed on and whose connection is closed, or
# kept without an answer, because a step of the reducer failed unexpectedly.
@pytest.mark.parametrize('failing', _FAILING.values(), ids=_FAILING)
def test_failed_step_leaves_no_request_unanswered(
    failing: _Kinds,
) -> None:
    """Answer in the request's time, and promise nothing."""

    async def run() -> tuple[HttpAnswer | None, _Reducer]:
        server = ScriptedServer([Step(_ANSWER)])
        async with serve_script(server), trio.open_nursery() as nursery:
            reducer = _Reducer(server, failing)
            reducer.calls = _build_calls(reducer, nursery)
            with trio.fail_after(2):
                answer = await reducer.calls.answer(_REQUEST, Seconds(0))
            nursery.cancel_scope.cancel()
        return answer, reducer

    answer, reducer = trio.run(run)
    assert answer is not None
    expected = 504 if failing else 200
    assert answer.status == expected
    assert not reducer.calls.pending
    assert reducer.calls.servers.budget.held == 0
    # The reducer forgets a request that it has not ended itself.
    left = [event for event in reducer.events if isinstance(event, CallerLeft)]
    assert len(left) == int(bool(failing))


# Guards against a budget for answers that shrinks by each answer that comes as
# its request ends, until all answers count as too large.
@pytest.mark.parametrize('leaves_after', [1, 0.1], ids=['expires', 'leaves'])
def test_answer_that_comes_too_late_is_not_held(
    monkeypatch: pytest.MonkeyPatch, leaves_after: float
) -> None:
    """Release what an attempt has read after its request has ended."""

    async def exchange(*arguments: object) -> HttpAnswer:
        # The answer is whole in the step in which the request ends.
        with trio.CancelScope(shield=True):
            await trio.sleep(0.4)
        return HttpAnswer(200, (), b'whole')

    async def run() -> int:
        server = ScriptedServer([])
        async with trio.open_nursery() as nursery:
            reducer = _Reducer(server, (AttemptEnded,))
            reducer.calls = _build_calls(reducer, nursery)
            monkeypatch.setattr(Servers, 'exchange', exchange)
            with trio.move_on_after(leaves_after):
                await reducer.calls.answer(_REQUEST, Seconds(0))
        return reducer.calls.servers.budget.held

    assert trio.run(run) == 0
