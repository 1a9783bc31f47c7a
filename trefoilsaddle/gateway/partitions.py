"""Hold the controller's partitions, i.e. ranges of keys with their grants.

    free -> assigning -> granting -> held -> releasing -> free
                                       |         |
                                       +------> lapsing -> free

A partition is `free` only when no server can own its keys: the server has
released them, or its grant has lapsed by the slowest clock that the platform
allows, or the server is known to have restarted.  Only a free partition is
given to another server, and only by a table that the store has accepted.
"""

from bisect import bisect_right
from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum, unique

from trefoilsaddle.core.units import Seconds, ServerId
from trefoilsaddle.gateway.keys import Key, KeyRange, cut_range
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.table import Assignment, OwnerEntry

# A server's clock may run 2 % slow (the platform's bound), so that a grant
# lasts longer than its hold.
_SLOW_CLOCK_FACTOR = 1.02
# A call may arrive this long after it timed out: a congested link between
# regions has delayed one by 2.6 s.
MAX_CALL_DELAY = Seconds(2.6)


def find_grant_end(hold: Seconds, arrival: Seconds) -> Seconds:
    """Return the latest end of a grant that arrived by a given time."""
    return Seconds(arrival + hold * _SLOW_CLOCK_FACTOR)


def find_safe_hold(left: float) -> float:
    """Return the hold that ends within a time even if its call arrives late."""
    return (left - MAX_CALL_DELAY) / _SLOW_CLOCK_FACTOR


@unique
class PartitionState(Enum):
    """List the states of a partition."""

    free = 'free'
    assigning = 'assigning'
    granting = 'granting'
    held = 'held'
    releasing = 'releasing'
    lapsing = 'lapsing'


# States in which the stored table names the server as the holder.
_RECORDED = frozenset(PartitionState) - {
    PartitionState.free,
    PartitionState.assigning,
}
_GRANTED = frozenset((PartitionState.granting, PartitionState.held))


@dataclass(slots=True)
class Partition:
    """Hold one range of keys with its holder and the state of its grant."""

    keys: KeyRange
    state: PartitionState = PartitionState.free
    incarnation: ServerIncarnation | None = None
    fence: int = 0
    # Duration (hold) of the last grant.
    hold: Seconds = Seconds(0)
    # Latest end of the grants of this controller.
    granted_until: Seconds = Seconds(0)
    # Latest end of grants that earlier controllers have made or may still
    # renew.
    inherited_until: Seconds = Seconds(0)
    # Time until which an unanswered grant may still take effect.
    unanswered_until: Seconds = Seconds(0)
    # Handover reference that the last holder returned; empty if there is none.
    handover: str = ''
    # Holder that released the keys last; meaningful only while they are free.
    last_holder: ServerIncarnation | None = None
    # Server chosen to get the keys next, if any.
    target: ServerId | None = None
    # True while an order for the partition is unanswered.
    call_pending: bool = False
    # True while a grant is unanswered that was sent before the store came back.
    asked_before: bool = False
    next_call: Seconds = Seconds(0)
    failing_since: Seconds | None = None
    # True if the holder is believed to serve the keys.
    serving: bool = False
    # True once the holder is known to have restarted.
    restarted: bool = False
    # True until its holder has accepted a grant of this controller.
    inherited: bool = False
    # True if another controller's table names its holder as confirmed.
    imported: bool = False
    # True until its holder is granted the keys with a token of the present era.
    token_due: bool = False
    # Time at which the state was entered.
    since: Seconds = Seconds(0)
    # Time at which the keys became free; None once a holder has confirmed them.
    free_since: Seconds | None = None

    @property
    def granted(self) -> bool:
        """Return whether the grant is in force and renewed."""
        return self.state in _GRANTED

    @property
    def recorded(self) -> bool:
        """Return whether the stored table names the holder."""
        return self.state in _RECORDED

    @property
    def confirmed(self) -> bool:
        """Return whether no lost table can name another holder."""
        return self.imported or not self.inherited

    @property
    def held_until(self) -> Seconds:
        """Return the latest time at which the holder may own the keys."""
        return max(self.granted_until, self.inherited_until)

    def enter_state(self, state: PartitionState, now: Seconds) -> None:
        """Enter a state; the next order may be sent at once."""
        self.state = state
        self.since = now
        self.next_call = now
        self.failing_since = None

    def extend_hold(self, hold: Seconds, arrival: Seconds) -> None:
        """Record that a grant may have reached the holder by a given time."""
        until = find_grant_end(hold, arrival)
        self.granted_until = Seconds(max(self.granted_until, until))

    def shorten_inherited(self, until: Seconds) -> None:
        """Record an earlier end of the earlier controllers' grants."""
        self.inherited_until = Seconds(min(self.inherited_until, until))

    def record_unanswered(self) -> None:
        """Record that an unanswered grant may take effect late."""
        self.unanswered_until = self.granted_until

    def has_unanswered_grant(self, now: Seconds) -> bool:
        """Return whether an unanswered grant may still take effect."""
        return now < self.unanswered_until

    def set_free(self, now: Seconds, handover: str = '') -> None:
        """Record that no server can own the keys any more."""
        self.enter_state(PartitionState.free, now)
        if self.free_since is None:
            self.free_since = now
        self.incarnation = None
        self.handover = handover
        self.serving = False
        self.restarted = False
        self.inherited = False
        self.imported = False
        self.token_due = False
        self.granted_until = Seconds(0)
        self.inherited_until = Seconds(0)
        self.unanswered_until = Seconds(0)

    def matches(self, keys: KeyRange, fence: int) -> bool:
        """Return whether an order was for the partition in its current form."""
        return self.keys == keys and self.fence == fence


@dataclass(slots=True)
class Partitions:
    """Hold all partitions of a service in the order of their keys."""

    ordered: list[Partition] = field(default_factory=list)
    # Incremented whenever the owners or the served keys change.
    revision: int = 0

    def find(self, keys: KeyRange, fence: int) -> Partition | None:
        """Return the partition that an order was for, if it still exists."""
        if not self.ordered:
            return None
        partition = self.find_around(keys)
        return partition if partition.matches(keys, fence) else None

    def find_around(self, keys: KeyRange) -> Partition:
        """Return the partition that contains the first of some keys."""
        place = bisect_right(self.ordered, keys.first, key=_first_key) - 1
        return self.ordered[place]

    def split_off(self, partition: Partition, part: KeyRange) -> Partition:
        """Split a partition, and return the part with the given keys."""
        if partition.keys == part:
            return partition
        place = self.ordered.index(partition)
        split = replace(partition, keys=part)
        rest = [
            replace(partition, keys=keys)
            for keys in cut_range(partition.keys, part)
        ]
        parts = sorted((split, *rest), key=_first_key)
        before, after = self.ordered[:place], self.ordered[place + 1 :]
        self.ordered = [*before, *parts, *after]
        self.revision += 1
        return split

    def find_next(self, partition: Partition) -> Partition:
        """Return the partition that follows another one."""
        return self.ordered[self.ordered.index(partition) + 1]

    def list_entries(self) -> tuple[OwnerEntry, ...]:
        """Return the owner entries, with neighbours of one server joined."""
        entries: list[OwnerEntry] = []
        for partition in self.ordered:
            if partition.incarnation is None:
                continue
            keys = partition.keys
            tag = partition.incarnation.tag
            entry = OwnerEntry(keys.first, keys.last, tag, partition.serving)
            if entries and _joins(entries[-1], entry):
                entry = replace(entry, first=entries.pop().first)
            entries.append(entry)
        return tuple(entries)

    def list_assignments(self, fence: int) -> tuple[Assignment, ...]:
        """Return the rows of the next table.

        Neighbours that one server holds are written as one range with the new
        table's fencing token.
        """
        rows: list[Assignment] = []
        last: Partition | None = None
        for partition in self.ordered:
            if partition.incarnation is None:
                last = None
                continue
            row = Assignment(
                partition.keys,
                partition.incarnation,
                fence if partition.token_due else partition.fence,
                partition.confirmed,
            )
            if last is not None and _can_join(last, partition):
                keys = KeyRange(rows.pop().keys.first, partition.keys.last)
                row = replace(row, keys=keys, fence=fence)
            rows.append(row)
            last = partition
        return tuple(rows)

    def join_stored(
        self,
        rows: Iterable[Assignment],
        now: Seconds,
    ) -> None:
        """Join the partitions that an accepted table has joined."""
        for row in rows:
            inside = self._list_overlapping(row.keys)
            if len(inside) > 1 and _are_joinable(inside):
                self._join(inside, row, now)

    def _list_overlapping(self, keys: KeyRange) -> list[Partition]:
        after = bisect_right(self.ordered, keys.last, key=_first_key)
        first = bisect_right(self.ordered, keys.first, key=_first_key) - 1
        return [
            partition
            for partition in self.ordered[max(first, 0) : after]
            if keys.overlaps(partition.keys)
        ]

    def _join(
        self,
        inside: list[Partition],
        row: Assignment,
        now: Seconds,
    ) -> None:
        joined = replace(
            inside[0],
            keys=row.keys,
            fence=row.fence,
            granted_until=max(partition.granted_until for partition in inside),
            inherited_until=max(
                partition.inherited_until for partition in inside
            ),
        )
        joined.enter_state(PartitionState.granting, now)
        place = self.ordered.index(inside[0])
        rest = self.ordered[place + len(inside) :]
        self.ordered = [*self.ordered[:place], joined, *rest]


def join_free(partitions: Iterable[Partition]) -> list[Partition]:
    """Join free neighbours that have the same target and handover."""
    joined: list[Partition] = []
    for partition in partitions:
        last = joined[-1] if joined else None
        if last is not None and _are_alike(last, partition):
            last.keys = KeyRange(last.keys.first, partition.keys.last)
        else:
            joined.append(partition)
    return joined


def _are_alike(left: Partition, right: Partition) -> bool:
    return (
        left.state == right.state == PartitionState.free
        and left.target == right.target
        and left.handover == right.handover
        and left.inherited_until == right.inherited_until
    )


def _can_join(left: Partition, right: Partition) -> bool:
    if left.failing_since is not None or right.failing_since is not None:
        return False
    if left.inherited or right.inherited:
        # The holder has to confirm the token that it has.
        return False
    return (
        left.state == right.state == PartitionState.held
        and left.unanswered_until == right.unanswered_until
        and left.incarnation == right.incarnation
    )


def _are_joinable(partitions: list[Partition]) -> bool:
    return all(
        _can_join(left, right)
        and not left.call_pending
        and not right.call_pending
        for left, right in zip(partitions, partitions[1:], strict=False)
    )


def _joins(left: OwnerEntry, right: OwnerEntry) -> bool:
    return (
        left.tag == right.tag
        and left.serving == right.serving
        and left.last + 1 == right.first
    )


def _first_key(partition: Partition) -> Key:
    return partition.keys.first
