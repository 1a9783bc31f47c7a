"""Decide whether missing entries may still belong to live servers.

An entry that is removed just after the store was unreachable may have lapsed
only for that reason: it stays in use for `LAPSE_GRACE` after the store is back,
unless it appears again in that time.  Live servers write equally often, so an
outage in which entries lapse removes many: if few are missing afterwards, their
servers have left.

A store that came back from a copy of itself lacks the entries that were added
after the copy was made, until their servers write again.
"""

from collections.abc import Collection
from dataclasses import dataclass

from trefoilsaddle.core.units import Seconds, ServerId

# Entries that lapsed while the store was unreachable are back within two
# seconds (stated by the users).
LAPSE_GRACE = Seconds(2.2)

# Heartbeat intervals from the last read of the entries until an entry can
# lapse.
_MIN_LAPSE_HEARTBEATS = 2
# Minimum fraction of the entries that is missing after an outage in which
# entries lapsed.  If fewer have lapsed, the other servers suffice until they
# are back within a heartbeat.
_MIN_LAPSED_FRACTION = 0.25
# Maximum age of a copy from which the store comes back.
_MAX_COPY_AGE = Seconds(15)


@dataclass(slots=True)
class LapseWindow:
    """Hold the time in which removals are deferred."""

    # Time until which removals are deferred.
    deferred_until: Seconds = Seconds(0)
    # True until the first entries after an outage show whether any have lapsed.
    undecided: bool = False
    # Time of the last known read before the outage.
    outage_after: Seconds = Seconds(0)
    # Time until which the removal of recently added entries is deferred, as the
    # store came back from a copy, and the time since which they were added.
    restored_until: Seconds = Seconds(0)
    copied_after: Seconds = Seconds(0)
    # Time of the newest known read of the entries.
    read_at: Seconds | None = None

    def record_read(
        self,
        asked_at: Seconds,
        answered_at: Seconds,
        heartbeat: Seconds,
    ) -> None:
        """Record a read of the entries by any gateway."""
        last = self.read_at
        self.read_at = Seconds(max(asked_at, last or 0))
        if last is None:
            return
        # The last heartbeat came up to one interval before the last read, and
        # an entry lapses after three: nothing lapses while other gateways can
        # still read the store.
        if answered_at - last >= _MIN_LAPSE_HEARTBEATS * heartbeat:
            self.outage_after = last
            self.defer_removals(answered_at)

    def defer_removals(self, now: Seconds) -> None:
        """Defer removals after an outage in which entries may have lapsed."""
        self.deferred_until = Seconds(now + LAPSE_GRACE)
        self.undecided = True

    def review_missing(
        self,
        known: Collection[ServerId],
        missing: Collection[ServerId],
        asked_at: Seconds,
    ) -> None:
        """Defer no removals if few entries are missing after an outage."""
        if not self.undecided or asked_at <= self.outage_after:
            return
        self.undecided = False
        lapsed = set(known).intersection(missing)
        if len(lapsed) < _MIN_LAPSED_FRACTION * len(known):
            self.deferred_until = Seconds(0)

    def record_restore(self, now: Seconds) -> None:
        """Record that the store came back from a copy of itself."""
        self.restored_until = Seconds(now + LAPSE_GRACE)
        self.copied_after = Seconds(now - _MAX_COPY_AGE)

    def find_end(self, added_at: Seconds) -> Seconds:
        """Return the time until which a missing entry is kept."""
        if added_at < self.copied_after:
            return self.deferred_until
        return Seconds(max(self.deferred_until, self.restored_until))
