"""Decide which requests a server's queue takes, and which is sent next."""

from abc import ABC, abstractmethod

from trefoilsaddle.core.admission import (
    estimate_hold,
    estimate_wait,
    find_over_share,
    needed_time,
)
from trefoilsaddle.core.answers import refuse
from trefoilsaddle.core.calls import Answer
from trefoilsaddle.core.fairness import charge_shares, choose_rank
from trefoilsaddle.core.queues import ServerQueue
from trefoilsaddle.core.tickets import Ticket
from trefoilsaddle.core.units import Rank, Seconds
from trefoilsaddle.results import ResultCode


class Discipline(ABC):
    """Order the requests for one server."""

    @abstractmethod
    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Return a refusal, or None to let the request wait."""

    @abstractmethod
    def choose(self, queue: ServerQueue, now: Seconds) -> Ticket | None:
        """Take the next request to send out of the queue."""

    @abstractmethod
    def displace(self, queue: ServerQueue) -> Ticket | None:
        """Take out the request that gives way when the queue is too long."""

    @abstractmethod
    def estimate(
        self,
        queue: ServerQueue,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Estimate the wait of a rank's next request, to tell the senders."""

    def hold(self, queue: ServerQueue, rank: Rank, now: Seconds) -> Seconds:
        """Return how long a rank's queue will be too full for more."""
        return estimate_hold(queue, rank, now)

    def need(self, queue: ServerQueue, ticket: Ticket) -> Seconds:
        """Return the time that a request must have left to be sent."""
        return needed_time(queue, ticket)

    def allow(self, queue: ServerQueue, now: Seconds) -> int:
        """Return how many requests may be under way to the server."""
        return queue.pacing.current_limit(queue.rules.slots, now)


class RankDiscipline(Discipline):
    """Serve by rank, with guaranteed shares and a bound by deadline."""

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Refuse what cannot make its deadline."""
        request = ticket.request
        wait = estimate_wait(queue, request.rank, request.member, now)
        excess = wait + needed_time(queue, ticket) - ticket.remaining(now)
        if excess <= 0:
            return None
        return refuse(ResultCode.deadline_unreachable, Seconds(excess))

    def choose(self, queue: ServerQueue, now: Seconds) -> Ticket | None:
        """Take the most urgent, unless a lower rank's share is due."""
        if queue.pacing.stalled_since is not None:
            # What is sent to a frozen server may end as unknown.
            for probed in queue.ranks:
                probe = probed.pop_idempotent()
                if probe is not None:
                    return probe
        ranked = choose_rank(queue)
        if ranked is None:
            return None
        ticket = ranked.pop()
        charge_shares(queue, ranked, now)
        return ticket

    def displace(self, queue: ServerQueue) -> Ticket | None:
        """Take the newest request of the rank most over its share."""
        if queue.count_waiting() <= queue.rules.queue_limit:
            return None
        ranked = find_over_share(queue)
        return None if ranked is None else ranked.pop_newest()

    def estimate(
        self,
        queue: ServerQueue,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Estimate by what waits, the loads and the guaranteed shares."""
        return estimate_wait(queue, rank, None, now)
