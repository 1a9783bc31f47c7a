"""Measure other disciplines against the one in use."""

from trefoilsaddle.core.answers import refuse
from trefoilsaddle.core.calls import Answer
from trefoilsaddle.core.disciplines import Discipline, RankDiscipline
from trefoilsaddle.core.queues import RankQueue, ServerQueue
from trefoilsaddle.core.tickets import Ticket
from trefoilsaddle.core.units import Rank, Seconds
from trefoilsaddle.results import ResultCode

# Weighs the queue against the cost of a refusal in the paper's rule.
_THRESHOLD_FACTOR = 10.0


class FifoDiscipline(Discipline):
    """Serve in the order of arrival, with a bound on the queue alone."""

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
        """Take the oldest."""
        heads = [
            (ticket.number, ranked)
            for ranked in queue.ranks
            for ticket in _list_heads(ranked)
        ]
        if not heads:
            return None
        number = min(head for head, _ in heads)
        return _take_number(queue, number)

    def displace(self, queue: ServerQueue) -> Ticket | None:
        """Let none give way."""

    def estimate(
        self,
        queue: ServerQueue,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Tell the senders nothing."""
        return Seconds(0)

    def hold(self, queue: ServerQueue, rank: Rank, now: Seconds) -> Seconds:
        """Tell the senders nothing."""
        return Seconds(0)

    def required_time(self, queue: ServerQueue, ticket: Ticket) -> Seconds:
        """Send as long as any time is left."""
        return Seconds(0)

    def concurrency_limit(self, queue: ServerQueue, now: Seconds) -> int:
        """Use every slot at all times."""
        return queue.rules.slots


class StrictDiscipline(FifoDiscipline):
    """Serve strictly by rank, with a bound on the queue alone."""

    def choose(self, queue: ServerQueue, now: Seconds) -> Ticket | None:
        """Take the oldest of the most urgent rank."""
        for ranked in queue.ranks:
            ticket = ranked.pop()
            if ticket is not None:
                return ticket
        return None

    def displace(self, queue: ServerQueue) -> Ticket | None:
        """Let the least urgent give way."""
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
        """Refuse nothing; the least urgent give way."""


class ThresholdDiscipline(FifoDiscipline):
    """Refuse when the queue exceeds V times the cost of a refusal.

    Neely and Wei's rule (eq. 9): first come, first served behind it.
    """

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Compare the queue with the worth of the request's rank."""
        return refuse_by_threshold(queue, ticket)


class RankedThresholdDiscipline(RankDiscipline):
    """Serve as the discipline in use does, behind the paper's rule."""

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Compare the queue with the worth of the request's rank."""
        return refuse_by_threshold(queue, ticket)

    def estimate(
        self,
        queue: ServerQueue,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Tell the senders nothing."""
        return Seconds(0)


class RankedBoundDiscipline(RankDiscipline):
    """Serve as the discipline in use does, behind a fixed bound."""

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Refuse nothing; the rank most over its share gives way."""

    def estimate(
        self,
        queue: ServerQueue,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Tell the senders nothing."""
        return Seconds(0)


def refuse_by_threshold(queue: ServerQueue, ticket: Ticket) -> Answer | None:
    """Return a refusal when the queue is above the rank's threshold."""
    worth = queue.rules.ranks[ticket.request.rank].worth
    if queue.count_waiting() <= _THRESHOLD_FACTOR * worth:
        return None
    return refuse(ResultCode.queue_full)


def _list_heads(ranked: RankQueue) -> list[Ticket]:
    return [queue[0] for queue in ranked.members.values()]


def _take_number(queue: ServerQueue, number: int) -> Ticket | None:
    for ranked in queue.ranks:
        for ticket in _list_heads(ranked):
            if ticket.number == number:
                ranked.remove(ticket)
                return ticket
    return None
