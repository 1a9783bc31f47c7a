"""Estimate waits, so that hopeless requests are refused at once."""

from trefoilsaddle.core.queues import RankQueue, ServerQueue
from trefoilsaddle.core.tickets import Ticket
from trefoilsaddle.core.units import MemberName, Rank, Seconds

# Least part of the slots that an estimate counts on.
_MIN_CAPACITY_FRACTION = 0.05
# Part of a full queue that drains before senders are to fill it again.
_REFILL_FRACTION = 0.25
# Largest part of a request's time that it is thought to run for.
_MAX_NEED_FRACTION = 0.25


def needed_time(queue: ServerQueue, ticket: Ticket) -> Seconds:
    """Return the time that a request must have left when it is sent.

    Never more than a part of its whole time, so that an estimate that has
    become too high is corrected by new measurements.
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
    """Estimate how long a member's next request of a rank waits."""
    if not queue.running and not queue.count_waiting():
        # Someone has to find out whether a silent server answers again.
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
    """Estimate when a full queue has room again for some of a rank.

    Not for just one: senders hear of it a little later, all at once.
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
    """Return the part of the slots that more urgent ranks leave."""
    slots = queue.rules.slots
    urgent = sum(queue.ranks[other].load.read(now) for other in range(rank))
    reserved = sum(
        queue.rules.ranks[ranked.rank].share
        for ranked in queue.ranks[rank + 1 :]
        if ranked.size
    )
    left = 1 - urgent / slots - reserved
    return max(left, queue.rules.ranks[rank].share, _MIN_CAPACITY_FRACTION)
