"""Previous version of the queueing discipline, for comparison."""

from trefoilsaddle.core.answers import refuse
from trefoilsaddle.core.calls import Answer
from trefoilsaddle.core.disciplines import Discipline
from trefoilsaddle.core.queues import RankQueue, ServerQueue
from trefoilsaddle.core.tickets import Ticket
from trefoilsaddle.core.units import MemberName, Rank, Seconds
from trefoilsaddle.results import ResultCode

# Maximum credit or debt of a rank, in mean service times of its requests.
_MAX_CREDIT = 2.0
# Smallest fraction of the slots that an estimate assumes to be free.
_MIN_CAPACITY = 0.05


class PreviousDiscipline(Discipline):
    """Priority by rank with guaranteed shares; admission by deadline."""

    def admit(
        self,
        queue: ServerQueue,
        ticket: Ticket,
        now: Seconds,
    ) -> Answer | None:
        """Refuse a request that is estimated to miss its deadline."""
        request = ticket.request
        wait = estimate_wait(queue, request.rank, request.member, now)
        excess = wait + needed_time(queue, ticket) - ticket.remaining(now)
        if excess <= 0:
            return None
        return refuse(ResultCode.deadline_unreachable, Seconds(excess))

    def choose(self, queue: ServerQueue, now: Seconds) -> Ticket | None:
        """Remove the next request: by due share, else by urgency."""
        ranked = choose_rank(queue)
        if ranked is None:
            return None
        ticket = ranked.pop()
        charge_shares(queue, ranked, now)
        return ticket

    def displace(self, queue: ServerQueue) -> Ticket | None:
        """Remove the newest request of the least urgent rank over its share."""
        if queue.count_waiting() <= queue.rules.queue_limit:
            return None
        ranked = find_over_share(queue)
        return None if ranked is None else ranked.pop_newest()

    def hold(self, queue: ServerQueue, rank: Rank, now: Seconds) -> Seconds:
        """Report no hold to senders."""
        return Seconds(0)

    def required_time(self, queue: ServerQueue, ticket: Ticket) -> Seconds:
        """Require no time to be left when a request is sent."""
        return Seconds(0)

    def estimate(
        self,
        queue: ServerQueue,
        rank: Rank,
        now: Seconds,
    ) -> Seconds:
        """Estimate the wait from queue, loads and guaranteed shares."""
        return estimate_wait(queue, rank, None, now)


def needed_time(queue: ServerQueue, ticket: Ticket) -> Seconds:
    """Return the time that a request must have left when it is sent."""
    return Seconds(queue.rank_queue(ticket).service.mean)


def estimate_wait(
    queue: ServerQueue,
    rank: Rank,
    member: MemberName | None,
    now: Seconds,
) -> Seconds:
    """Estimate how long a member's next request of a rank waits."""
    pause = queue.pacing.pause_left(now)
    slots = max(min(queue.pacing.limit, queue.rules.slots), 1)
    ranked = queue.ranks[rank]
    ahead = ranked.count_ahead(member)
    more_urgent = queue.ranks[:rank]
    busy = len(queue.running) + ahead
    if busy + sum(other.size for other in more_urgent) < slots:
        return pause
    urgent = sum(_waiting_work(other) for other in more_urgent)
    own = (ahead + 1) * ranked.service.mean
    wait = own / (slots * _capacity_left(queue, rank, now)) + urgent / slots
    guaranteed = queue.rules.ranks[rank].share * slots
    if guaranteed > 0:
        wait = min(wait, own / guaranteed)
    return Seconds(pause + wait)


def find_over_share(queue: ServerQueue) -> RankQueue | None:
    """Return the least urgent rank that holds more than its share."""
    limit = queue.rules.queue_limit
    for ranked in reversed(queue.ranks):
        share = queue.rules.ranks[ranked.rank].share
        if ranked.size > share * limit:
            return ranked
    return None


def _waiting_work(ranked: RankQueue) -> float:
    return ranked.size * ranked.service.mean


def _capacity_left(queue: ServerQueue, rank: Rank, now: Seconds) -> float:
    """Return the fraction of the slots that other ranks leave to a rank."""
    slots = queue.rules.slots
    urgent = sum(queue.ranks[other].load.read(now) for other in range(rank))
    reserved = sum(
        queue.rules.ranks[ranked.rank].share
        for ranked in queue.ranks[rank + 1 :]
        if ranked.size
    )
    left = 1 - urgent / slots - reserved
    return max(left, queue.rules.ranks[rank].share, _MIN_CAPACITY)


def choose_rank(queue: ServerQueue) -> RankQueue | None:
    """Return the rank to serve next: a share that is due, else by urgency."""
    waiting = [ranked for ranked in queue.ranks if ranked.size]
    if not waiting:
        return None
    due = [ranked for ranked in waiting if ranked.credit >= ranked.service.mean]
    if due:
        return max(due, key=_credit_of)
    return waiting[0]


def charge_shares(queue: ServerQueue, served: RankQueue, now: Seconds) -> None:
    """Charge the server time of a request to the credits of the ranks.

    A rank without waiting requests accumulates no credit.
    """
    work = served.service.mean
    served.load.add(work, now)
    for ranked in queue.ranks:
        if not ranked.size and ranked is not served:
            ranked.credit = 0
            continue
        share = queue.rules.ranks[ranked.rank].share
        earned = ranked.credit + share * work
        if ranked is served:
            earned -= work
        bound = _MAX_CREDIT * ranked.service.mean
        ranked.credit = min(max(earned, -bound), bound)


def _credit_of(ranked: RankQueue) -> float:
    return ranked.credit
