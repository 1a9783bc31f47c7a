"""Guarantee each rank its share of a server's time."""

from trefoilsaddle.core.queues import RankQueue, ServerQueue
from trefoilsaddle.core.units import Seconds

# Bound of a rank's credit or debt, in mean service times.
_MAX_CREDIT = 2.0


def choose_rank(queue: ServerQueue) -> RankQueue | None:
    """Return the waiting rank whose share is most due, else the most urgent.

    A share is due if its credit covers a request.  None if no rank waits.
    """
    waiting = [ranked for ranked in queue.ranks if ranked.size]
    if not waiting:
        return None
    due = [ranked for ranked in waiting if ranked.credit >= ranked.service.mean]
    if due:
        return max(due, key=_credit_of)
    return waiting[0]


def charge_shares(queue: ServerQueue, served: RankQueue, now: Seconds) -> None:
    """Update the credit of every rank by the service time of one request.

    A rank with no waiting requests accumulates no credit.
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
