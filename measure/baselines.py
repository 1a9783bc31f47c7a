"""Queueing disciplines to compare with the one in use."""

from trefoilsaddle.core.answers import refuse
from trefoilsaddle.core.calls import Answer
from trefoilsaddle.core.disciplines import Discipline, RankDiscipline
from trefoilsaddle.core.queues import RankQueue, ServerQueue
from trefoilsaddle.core.tickets import Ticket
from trefoilsaddle.core.units import Rank, Seconds
from trefoilsaddle.results import ResultCode

# Weight V of the cost of a refusal against the queue length, in the rule of
# Neely and Wei.
_THRESHOLD_FACTOR = 10.0


class FifoDiscipline(Discipline):
    """First come, first served, with a limit on the queue length only."""

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Refuse when the queue is full."""
        if queue.count_waiting() < queue.rules.queue_limit:
            return None
        return refuse(ResultCode.queue_full)

    def choose(self, queue: ServerQueue, now: Seconds) -> Ticket | None:
        """Remove and return the oldest request of all ranks."""
        heads = [
            (ticket.number, ranked)
            for ranked in queue.ranks
            for ticket in _list_heads(ranked)
        ]
        if not heads:
            return None
        number = min(head for head, _ in heads)
        return _remove_ticket(queue, number)

    def displace(self, queue: ServerQueue) -> Ticket | None:
        """Never displace a request."""

    def estimate(
        self,
        queue: ServerQueue,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Report no wait to senders."""
        return Seconds(0)

    def hold(self, queue: ServerQueue, rank: Rank, now: Seconds) -> Seconds:
        """Report no wait to senders."""
        return Seconds(0)

    def required_time(self, queue: ServerQueue, ticket: Ticket) -> Seconds:
        """Require no time to be left when a request is sent."""
        return Seconds(0)

    def concurrency_limit(self, queue: ServerQueue, now: Seconds) -> int:
        """Allow all slots of the server."""
        return queue.rules.slots


class StrictDiscipline(FifoDiscipline):
    """Strict priority by rank, with a limit on the queue length only."""

    def choose(self, queue: ServerQueue, now: Seconds) -> Ticket | None:
        """Remove and return the oldest request of the most urgent rank."""
        for ranked in queue.ranks:
            ticket = ranked.pop()
            if ticket is not None:
                return ticket
        return None

    def displace(self, queue: ServerQueue) -> Ticket | None:
        """Remove the newest request of the least urgent rank."""
        if queue.count_waiting() <= queue.rules.queue_limit:
            return None
        for ranked in reversed(queue.ranks):
            ticket = ranked.pop_newest()
            if ticket is not None:
                return ticket
        return None

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Admit every request; a full queue displaces the least urgent."""


class ThresholdDiscipline(FifoDiscipline):
    """Refuse when the queue exceeds V times the cost of a refusal.

    This is the rule of Neely and Wei (eq. 9); admitted requests are served
    first come, first served.
    """

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Refuse by the queue length and the worth of the request's rank."""
        return refuse_by_threshold(queue, ticket)


class RankedThresholdDiscipline(RankDiscipline):
    """Discipline in use, with admission by the rule of Neely and Wei."""

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Refuse by the queue length and the worth of the request's rank."""
        return refuse_by_threshold(queue, ticket)

    def estimate(
        self,
        queue: ServerQueue,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Report no wait to senders."""
        return Seconds(0)


class RankedBoundDiscipline(RankDiscipline):
    """Discipline in use, with a limit on the queue length as admission."""

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Admit every request; the rank most over its share is displaced."""

    def estimate(
        self,
        queue: ServerQueue,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Report no wait to senders."""
        return Seconds(0)


def refuse_by_threshold(queue: ServerQueue, ticket: Ticket) -> Answer | None:
    """Return a refusal when the queue is above the rank's threshold."""
    worth = queue.rules.ranks[ticket.request.rank].worth
    if queue.count_waiting() <= _THRESHOLD_FACTOR * worth:
        return None
    return refuse(ResultCode.queue_full)


def _list_heads(ranked: RankQueue) -> list[Ticket]:
    return [queue[0] for queue in ranked.members.values()]


def _remove_ticket(queue: ServerQueue, number: int) -> Ticket | None:
    for ranked in queue.ranks:
        for ticket in _list_heads(ranked):
            if ticket.number == number:
                ranked.remove(ticket)
                return ticket
    return None
