"""Guarantee each lower rank its share of a server's time."""

from trefoilsaddle.core.queues import RankQueue, ServerQueue
from trefoilsaddle.core.units import Seconds

# Most requests that a share may be behind by.
_MAX_CREDIT = 2.0


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
    """Book the server time of one request on the ranks' shares.

    A rank that had nothing to wait for saves nothing up.
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
