"""Hold the requests of a connection that are not answered yet, in their order.

Idempotent requests run side by side if only such requests precede them; any
other runs once all earlier answers are written, as one of them might close the
connection. The first request is run by the task that writes the answers.
"""

from abc import ABC, abstractmethod
from collections import deque
from dataclasses import dataclass, field
from math import inf

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.connectionend import ConnectionEnd, EndReason
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.requests import BadInput, ReceivedRequest
from trefoilsaddle.http.unanswered import UnansweredCount

# Limits on the unanswered requests of a connection, and on the bytes of their
# bodies; above them nothing more is read.
_MAX_UNANSWERED = 16
_MAX_UNANSWERED_BYTES = 262_144
# Time for which a caller waits if it does not tell.
_DEFAULT_PATIENCE = Seconds(10)
# Unanswered requests of all connections above which each connection reads only
# one at a time.
_MAX_UNANSWERED_BY_ALL = 1024


class CallerService(ABC):
    """Answer complete requests; implemented by the programs."""

    @abstractmethod
    def read_limits(self) -> CallerLimits:
        """Return the current limits on requests."""

    @abstractmethod
    def is_closing(self) -> bool:
        """Return whether connections are closed after their last answer."""

    @abstractmethod
    def is_idempotent(self, request: HttpRequest) -> bool:
        """Return whether a request may run while earlier ones do."""

    @abstractmethod
    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer a request that has waited; None closes the connection."""

    @abstractmethod
    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Build the answer to an invalid request."""

    def read_patience(self, request: HttpRequest) -> Seconds:
        """Return how long the caller waits for the answer to a request."""
        return _DEFAULT_PATIENCE

    def record_end(self, end: ConnectionEnd) -> None:
        """Take note of how a connection ended."""

    def record_refusal(self, bad: BadInput) -> None:
        """Take note of a request that was refused before it was complete."""


@dataclass(slots=True)
class Exchange:
    """Hold a request whose answer has not been written yet."""

    received: ReceivedRequest
    # None until it matters.
    idempotent: bool | None = None
    started: bool = False
    # Cancelled when the caller leaves.
    scope: trio.CancelScope = field(default_factory=trio.CancelScope)
    answer: HttpAnswer | None = None
    # Set once a request that ran ahead has its answer, and once it is written.
    answered: trio.Event = field(default_factory=trio.Event)
    written: trio.Event = field(default_factory=trio.Event)

    def release(self) -> None:
        """Release the room of the request's body."""
        if self.received.lease is not None:
            self.received.lease.close()

    def count_bytes(self) -> int:
        """Return the bytes of the request's body."""
        request = self.received.request
        return 0 if isinstance(request, BadInput) else len(request.body)

    async def run(self, service: CallerService, request: HttpRequest) -> None:
        """Have the request answered."""
        self.started = True
        waited = Seconds(trio.current_time() - self.received.at)
        with self.scope:
            self.answer = await service.answer(request, waited)

    async def run_ahead(
        self,
        service: CallerService,
        request: HttpRequest,
        budget: AnswerBudget,
    ) -> None:
        """Have the request answered, and hold the answer until it is written."""
        await self.run(service, request)
        self.answered.set()
        if self.answer is not None:
            with budget.hold(len(self.answer.body)):
                await self.written.wait()


@dataclass(slots=True)
class Pipeline:
    """Hold the unanswered requests of a connection."""

    service: CallerService
    budget: AnswerBudget
    # Counts the unanswered requests of all connections.
    count: UnansweredCount
    unanswered: deque[Exchange] = field(default_factory=deque)
    # True once the caller has closed the connection.
    left: bool = False

    @property
    def first(self) -> Exchange | None:
        """Return the request that is to be answered next."""
        return self.unanswered[0] if self.unanswered else None

    def add(self, received: ReceivedRequest, nursery: trio.Nursery) -> None:
        """Add a request, and start it if it may run ahead."""
        self.unanswered.append(Exchange(received))
        self.count.add()
        self._start_ahead(nursery)

    def remove_first(self, nursery: trio.Nursery) -> None:
        """Remove the request whose answer has been written."""
        exchange = self.unanswered.popleft()
        exchange.written.set()
        exchange.release()
        self.count.remove(1)
        self._start_ahead(nursery)

    def is_full(self) -> bool:
        """Return whether no more requests may be read."""
        if self.unanswered and self.count.count >= _MAX_UNANSWERED_BY_ALL:
            return True
        held = sum(exchange.count_bytes() for exchange in self.unanswered)
        return (
            len(self.unanswered) >= _MAX_UNANSWERED
            or held >= _MAX_UNANSWERED_BYTES
        )

    def has_others(self) -> bool:
        """Return whether requests wait behind the first one."""
        return len(self.unanswered) > 1

    def find_limit(self) -> float | None:
        """Return until when the last answer is wanted; None for a refusal."""
        exchange = self.first
        if exchange is None:
            # The request is not kept once its answer was written.
            return inf
        request = exchange.received.request
        if isinstance(request, BadInput):
            return None
        return exchange.received.at + self.service.read_patience(request)

    def leave(self) -> None:
        """Cancel all requests: the caller has closed the connection."""
        self.left = True
        for exchange in self.unanswered:
            exchange.scope.cancel()

    def close(self) -> None:
        """Remove all requests: the connection has ended."""
        self.count.remove(len(self.unanswered))
        for exchange in self.unanswered:
            exchange.release()
        self.unanswered.clear()

    def describe_end(self, reason: EndReason) -> ConnectionEnd:
        """Describe what the end of the connection leaves unanswered."""
        started = [
            exchange
            for exchange in self.unanswered
            if exchange.started and not exchange.written.is_set()
        ]
        now = trio.current_time()
        ages = [now - exchange.received.at for exchange in started]
        unwritten = sum(exchange.answer is not None for exchange in started)
        oldest = Seconds(max(ages, default=0))
        return ConnectionEnd(reason, len(started), unwritten, oldest)

    def _start_ahead(self, nursery: trio.Nursery) -> None:
        if len(self.unanswered) <= 1:
            return
        for exchange in self.unanswered:
            request = exchange.received.request
            if isinstance(request, BadInput):
                return
            if not self._is_idempotent(exchange, request):
                return
            if exchange is not self.first and not exchange.started:
                exchange.started = True
                nursery.start_soon(
                    exchange.run_ahead, self.service, request, self.budget
                )

    def _is_idempotent(self, exchange: Exchange, request: HttpRequest) -> bool:
        if exchange.idempotent is None:
            exchange.idempotent = self.service.is_idempotent(request)
        return exchange.idempotent
