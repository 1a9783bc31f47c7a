"""Connect callers' requests and server attempts with the reducer."""

from collections.abc import Callable, Mapping
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from functools import partial
from types import MappingProxyType

import trio

from trefoilsaddle.core.units import CallId, Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.gateway.effects import (
    CancelAttempts,
    Component,
    DeliverAnswer,
    EndCall,
    SendAttempt,
    SetCallTimer,
    WriteDecision,
)
from trefoilsaddle.gateway.events import (
    AttemptEnded,
    AttemptVerdict,
    CallerLeft,
    CallExpired,
    Event,
    RequestArrived,
    RequestHead,
)
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.connectionend import ConnectionEnd, EndReason
from trefoilsaddle.http.exchange import AnswerMatcher
from trefoilsaddle.http.messages import Fault, HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.pool import ConnectionPool
from trefoilsaddle.http.progress import Progress
from trefoilsaddle.http.requests import BadInput
from trefoilsaddle.http.unanswered import UnansweredCount
from trefoilsaddle.ports import Dialect, RefusalText
from trefoilsaddle.programs.containment import Containment
from trefoilsaddle.programs.gatewaystatuses import find_refusal_status
from trefoilsaddle.results import ResultCode

# Limits until the first configuration has been read.
_FIRST_LIMITS = CallerLimits(
    header_bytes=16_384,
    body_bytes=67_108_864,
    header_timeout=Seconds(3),
    idle_timeout=Seconds(15),
)
_CONNECT_TIMEOUT = Seconds(0.5)
# Requests that are not idempotent reuse only connections idle for at most this
# long: the server may be closing one that was idle for longer.
_MAX_IDLE_NOT_IDEMPOTENT = Seconds(1)
_MAX_IDLE_IDEMPOTENT = Seconds(3)
# Shorter waits behind another request of the connection are ignored.
_MIN_WAIT = Seconds(0.001)
# Fraction of a server's connection limit that all gateways together may keep
# idle; the server accepts fewer connections while its queue is long.
_IDLE_FRACTION = 0.35

_FAULT_VERDICTS: Mapping[Fault, AttemptVerdict] = MappingProxyType(
    {
        Fault.unsent: AttemptVerdict.unsent,
        Fault.refused: AttemptVerdict.refused,
        Fault.lost: AttemptVerdict.lost,
        Fault.too_large: AttemptVerdict.too_large,
    }
)


def _count_nothing(kind: str, reason: str) -> None:
    """Keep no metrics."""


@dataclass(slots=True)
class _PendingCall:
    request: HttpRequest
    head: RequestHead
    # Releases the bytes of the stored answers when the request ends.
    held: ExitStack
    budget: AnswerBudget
    answer: HttpAnswer | None = None
    ended: trio.Event = field(default_factory=trio.Event)
    # Time at which the request expires, also if the reducer sets no timer.
    expires: float = field(init=False)
    answers: dict[int, HttpAnswer] = field(default_factory=dict)
    scopes: dict[int, trio.CancelScope] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.expires = trio.current_time() + self.head.remaining

    def store_answer(self, attempt: int, answer: HttpAnswer) -> None:
        """Store the answer of an attempt until the request has ended."""
        if self.ended.is_set():
            return
        self.answers[attempt] = answer
        self.held.enter_context(self.budget.hold(len(answer.body)))


@dataclass(slots=True)
class Servers:
    """Manage the connection pools of the servers."""

    gateway: Gateway
    pools: dict[ServerIncarnation, ConnectionPool] = field(default_factory=dict)
    # Limits the memory of the answers of all servers together.
    budget: AnswerBudget = field(default_factory=AnswerBudget)

    async def exchange(
        self,
        effect: SendAttempt,
        request: HttpRequest,
        matches: AnswerMatcher,
        progress: Progress,
    ) -> HttpAnswer | Fault:
        """Send a request to its server on a connection that is safe to use."""
        idle = (
            _MAX_IDLE_IDEMPOTENT
            if effect.idempotent
            else _MAX_IDLE_NOT_IDEMPOTENT
        )
        pool = self.find_pool(effect)
        return await pool.exchange(
            request,
            idle,
            matches,
            progress,
            settle=effect.settle,
            new=effect.new_connection,
        )

    def find_pool(self, effect: SendAttempt) -> ConnectionPool:
        """Return the pool of a server; drop the pools of lost servers."""
        server = effect.server
        pool = self.pools.get(server.life)
        if pool is None:
            self._drop_unknown()
            pool = ConnectionPool(
                server.host, server.port, _CONNECT_TIMEOUT, budget=self.budget
            )
            self.pools[server.life] = pool
        pool.max_idle_connections = self._count_idle(effect)
        return pool

    def _count_idle(self, effect: SendAttempt) -> int:
        configuration = self.gateway.configuration
        if configuration is None:
            return 1
        rules = configuration.services.get(effect.server.service)
        if rules is None:
            return 1
        shared = rules.connections * _IDLE_FRACTION
        return max(int(shared / self.gateway.count_gateways()), 1)

    def _drop_unknown(self) -> None:
        for incarnation in list(self.pools):
            if self.gateway.registry.find_incarnation(incarnation) is None:
                self.pools.pop(incarnation).close()


@dataclass(slots=True)
class GatewayCalls(CallerService):
    """Answer callers' requests by the decisions of the reducer."""

    gateway: Gateway
    dialect: Dialect
    feed: Callable[[Event], None]
    nursery: trio.Nursery
    containment: Containment
    # Increments the counter of a kind of event, by its reason.
    count: Callable[[str, str], None] = _count_nothing
    servers: Servers = field(init=False)
    unanswered: UnansweredCount = field(default_factory=UnansweredCount)
    pending: dict[CallId, _PendingCall] = field(default_factory=dict)
    last_call: int = 0

    def __post_init__(self) -> None:
        """Start without connections to servers."""
        self.servers = Servers(self.gateway)

    def read_limits(self) -> CallerLimits:
        """Return the configured limits, or defaults before the first one."""
        configuration = self.gateway.configuration
        return _FIRST_LIMITS if configuration is None else configuration.limits

    def is_closing(self) -> bool:
        """Return whether the gateway is stopping."""
        return self.gateway.stopping_since is not None

    def is_idempotent(self, request: HttpRequest) -> bool:
        """Return whether a request may run more than once."""
        configuration = self.gateway.configuration
        head = self.dialect.read_head(request)
        if configuration is None or isinstance(head, BadInput):
            return False
        route = configuration.find_route(head.host, head.path)
        return route is not None and route.idempotent

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer a request that has waited; None closes the connection."""
        head = self.dialect.read_head(request)
        if isinstance(head, BadInput):
            return self.refuse(head)
        if waited > _MIN_WAIT:
            # The caller counts its time from when it sent the request.
            left = max(head.remaining - waited, 0)
            head = replace(head, remaining=Seconds(left))
        # Nothing is sent for a caller that has left meanwhile.
        await trio.lowlevel.checkpoint_if_cancelled()
        self.last_call += 1
        call = CallId(self.last_call)
        with ExitStack() as held:
            pending = _PendingCall(request, head, held, self.servers.budget)
            self.pending[call] = pending
            held.callback(_forget_call, self, call, pending)
            await _wait_for_end(self, call, pending)
        return pending.answer

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Build the answer to an invalid request."""
        text = RefusalText(bad.status, bad.retry_after, bad.code.name)
        return self.dialect.build_refusal(text, '')

    def read_patience(self, request: HttpRequest) -> Seconds:
        """Return how long the caller waits for the answer to a request."""
        head = self.dialect.read_head(request)
        return Seconds(0) if isinstance(head, BadInput) else head.remaining

    def record_end(self, end: ConnectionEnd) -> None:
        """Log an end that left requests unanswered or made room."""
        displaced = end.reason is EndReason.displaced
        if displaced:
            self.count('connection_closed', end.reason.name)
        if displaced or end.lost_bytes:
            self.containment.write(_build_end_line(end))

    def record_refusal(self, bad: BadInput) -> None:
        """Log and count a request that was refused while it arrived."""
        self.count('refused', bad.code.name)
        self.containment.write(
            log_event(
                Component.forwarding,
                'request refused as it arrived',
                reason=bad.code.name,
            )
        )

    def set_timer(self, effect: SetCallTimer) -> None:
        """Set the time at which a request expires."""
        pending = self.pending.get(effect.call)
        if pending is not None:
            pending.expires = trio.current_time() + effect.delay

    def send_attempt(self, effect: SendAttempt) -> None:
        """Start an attempt to send a request to a server."""
        pending = self.pending.get(effect.call)
        if pending is not None:
            # Created here, as the attempt may be cancelled before its task runs.
            pending.scopes[effect.attempt] = trio.CancelScope()
            self.nursery.start_soon(self._run_attempt, pending, effect)

    def cancel_attempts(self, effect: CancelAttempts) -> None:
        """Cancel the running attempts of a request."""
        pending = self.pending.get(effect.call)
        if pending is not None:
            _cancel_scopes(pending)

    def deliver_answer(self, effect: DeliverAnswer) -> None:
        """Answer a request with the server's answer to an attempt."""
        pending = self.pending.get(effect.call)
        if pending is not None:
            whole = pending.answers[effect.attempt]
            pending.answer = self.dialect.build_answer(whole)
            pending.ended.set()

    def end_call(self, effect: EndCall) -> None:
        """Answer a request by the gateway itself."""
        pending = self.pending.get(effect.call)
        if pending is None:
            return
        status = find_refusal_status(effect.code, not_run=effect.not_run)
        text = RefusalText(status, effect.retry_after, effect.code.name)
        request_id = pending.head.request_id
        pending.answer = self.dialect.build_refusal(text, request_id)
        pending.ended.set()

    async def _run_attempt(
        self,
        pending: _PendingCall,
        effect: SendAttempt,
    ) -> None:
        scope = pending.scopes[effect.attempt]
        ended = _build_lost(effect)
        with scope:
            try_once = partial(_try_once, self, pending)
            ended = await self.containment.call(try_once, effect, _build_lost)
        if not scope.cancelled_caught:
            self.feed(ended)


async def _wait_for_end(
    calls: GatewayCalls, call: CallId, pending: _PendingCall
) -> None:
    calls.feed(RequestArrived(call, pending.head))
    if pending.ended.is_set():
        return
    with trio.move_on_at(pending.expires):
        await pending.ended.wait()
    if not pending.ended.is_set():
        calls.feed(CallExpired(call))
    if not pending.ended.is_set():
        _give_up(calls, call, pending)


async def _try_once(
    calls: GatewayCalls, pending: _PendingCall, effect: SendAttempt
) -> AttemptEnded:
    dialect = calls.dialect
    request_id = pending.head.request_id
    matches = partial(dialect.matches, request_id=request_id)
    progress = Progress()
    answer = await calls.servers.exchange(
        effect,
        dialect.build_attempt(pending.request, effect),
        matches,
        progress,
    )
    head = progress.head
    statement = None
    if head is not None and matches(head):
        statement = dialect.read_statement(head)
    call, attempt = effect.call, effect.attempt
    if not isinstance(answer, HttpAnswer):
        verdict = _FAULT_VERDICTS[answer]
        return AttemptEnded(call, attempt, verdict, 0, statement)
    pending.store_answer(attempt, answer)
    verdict = dialect.evaluate_answer(answer, request_id)
    return AttemptEnded(call, attempt, verdict, answer.status, statement)


def _build_lost(effect: SendAttempt) -> AttemptEnded:
    return AttemptEnded(effect.call, effect.attempt, AttemptVerdict.lost, 0)


def _build_end_line(end: ConnectionEnd) -> WriteDecision:
    return log_event(
        Component.forwarding,
        'connection of a caller ended',
        reason=end.reason.value,
        unanswered=end.unanswered,
        unwritten=end.unwritten,
        oldest=round(end.oldest, 3),
        undelivered='unknown' if end.undelivered is None else end.undelivered,
        discarded=end.discarded,
    )


def _forget_call(
    calls: GatewayCalls, call: CallId, pending: _PendingCall
) -> None:
    """Report to the reducer if the caller leaves before the answer."""
    calls.pending.pop(call)
    pending.ended.set()
    if pending.answer is None:
        calls.feed(CallerLeft(call))
        _cancel_scopes(pending)


def _give_up(calls: GatewayCalls, call: CallId, pending: _PendingCall) -> None:
    # A step of the reducer has failed: the request may have run.
    _cancel_scopes(pending)
    calls.feed(CallerLeft(call))
    code = ResultCode.deadline_passed
    calls.end_call(EndCall(call, code, not_run=False, retry_after=Seconds(0)))


def _cancel_scopes(pending: _PendingCall) -> None:
    for scope in pending.scopes.values():
        scope.cancel()
