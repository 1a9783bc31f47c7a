"""Estimate waits, to refuse requests that would miss their deadline."""

from trefoilsaddle.core.queues import RankQueue, ServerQueue
from trefoilsaddle.core.tickets import Ticket
from trefoilsaddle.core.units import MemberName, Rank, Seconds

# Least fraction of the slots that an estimate assumes a rank can use.
_MIN_CAPACITY_FRACTION = 0.05
# Fraction of a rank's waiting requests that must be served before senders
# may fill a full queue again.
_REFILL_FRACTION = 0.25
# Greatest fraction of a request's time, from arrival to deadline, that it
# is expected to run for.
_MAX_NEED_FRACTION = 0.25


def needed_time(queue: ServerQueue, ticket: Ticket) -> Seconds:
    """Return the remaining time that a request needs when it is sent.

    Bounded by a fraction of the request's whole time, so that requests are
    still sent, and measured, after the mean has become too high.
    """
    whole = ticket.deadline - ticket.arrived
    mean = queue.rank_queue(ticket).service.mean
    return Seconds(min(mean, whole * _MAX_NEED_FRACTION))


def estimate_wait(
    queue: ServerQueue,
    rank: Rank,
    member: MemberName | None,
    now: Seconds,
) -> Seconds:
    """Estimate the wait of a member's next request of a rank.

    Without a member, all waiting requests of the rank count as ahead of it.
    """
    if not queue.running and not queue.count_waiting():
        # A request must be sent to detect that a silent server answers again.
        return queue.pacing.pause_left(now)
    pause = queue.pacing.expected_silence(now)
    slots = queue.pacing.normal_limit(queue.rules.slots)
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


def estimate_hold(queue: ServerQueue, rank: Rank, now: Seconds) -> Seconds:
    """Estimate when a full queue has room again for several requests.

    Room for a single one is not enough: all senders get the estimate at
    about the same time, and a little late.
    """
    displaced = find_over_share(queue)
    full = queue.count_waiting() >= queue.rules.queue_limit
    if not full or displaced is None or rank < displaced.rank:
        return Seconds(0)
    ranked = queue.ranks[rank]
    if ranked.size <= queue.rules.ranks[rank].share * queue.rules.queue_limit:
        return Seconds(0)
    slots = queue.pacing.normal_limit(queue.rules.slots)
    work = _waiting_work(ranked) * _REFILL_FRACTION
    return Seconds(work / (slots * _capacity_left(queue, rank, now)))


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
    """Return the fraction of the slots that a rank can use.

    The load of more urgent ranks and the guaranteed shares of less urgent
    ranks with waiting requests are deducted.
    """
    slots = queue.rules.slots
    urgent = sum(queue.ranks[other].load.read(now) for other in range(rank))
    reserved = sum(
        queue.rules.ranks[ranked.rank].share
        for ranked in queue.ranks[rank + 1 :]
        if ranked.size
    )
    left = 1 - urgent / slots - reserved
    return max(left, queue.rules.ranks[rank].share, _MIN_CAPACITY_FRACTION)
