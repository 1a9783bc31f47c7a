"""Decide which requests a server's queue admits and which is sent next."""

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
    """Define a queue discipline for the requests to one server."""

    @abstractmethod
    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Return a refusal, or None to queue the request."""

    @abstractmethod
    def choose(self, queue: ServerQueue, now: Seconds) -> Ticket | None:
        """Remove and return the next request to send, if any."""

    @abstractmethod
    def displace(self, queue: ServerQueue) -> Ticket | None:
        """Remove and return a request to refuse if the queue is too long."""

    @abstractmethod
    def estimate(
        self,
        queue: ServerQueue,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Estimate the wait of a rank's next request, for the senders."""

    def hold(self, queue: ServerQueue, rank: Rank, now: Seconds) -> Seconds:
        """Return how long a rank's queue will stay full."""
        return estimate_hold(queue, rank, now)

    def required_time(self, queue: ServerQueue, ticket: Ticket) -> Seconds:
        """Return the remaining time that a request needs to be sent."""
        return needed_time(queue, ticket)

    def concurrency_limit(self, queue: ServerQueue, now: Seconds) -> int:
        """Return how many requests may be in flight to the server."""
        return queue.pacing.current_limit(queue.rules.slots, now)


class RankDiscipline(Discipline):
    """Serve by rank with guaranteed shares; admit by deadline."""

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Refuse a request that is expected to miss its deadline."""
        request = ticket.request
        wait = estimate_wait(queue, request.rank, request.member, now)
        excess = wait + needed_time(queue, ticket) - ticket.remaining(now)
        if excess <= 0:
            return None
        return refuse(ResultCode.deadline_unreachable, Seconds(excess))

    def choose(self, queue: ServerQueue, now: Seconds) -> Ticket | None:
        """Pop from the most urgent rank, unless a lower rank's share is due.

        While the server is stalled, prefer idempotent requests.
        """
        if queue.pacing.stalled_since is not None:
            # The outcome of a request to a frozen server may become unknown.
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
        """Pop the newest request of the least urgent rank over its share."""
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
        """Estimate from waiting requests, loads and guaranteed shares."""
        return estimate_wait(queue, rank, None, now)
