"""Hold the controller's ranges of keys, each with the state of its grant.

    free -> assigning -> granting -> held -> releasing -> free
                                       |         |
                                       +------> lapsing -> free

A range is `free` only when no server can hold it: its server released it, or
its grant has lapsed by the slowest clock that the platform allows, or its
server is known to have started anew.  Only a free range is given to another
server, and only by a table that the store has accepted.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from enum import Enum, unique

from trefoilsaddle.core.units import Seconds, ServerId
from trefoilsaddle.gateway.keys import KeyRange, cut_range
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.table import Assignment, OwnerEntry

# The clock that measures a grant may run 2 % slow (the platform's bound).
_SLOW_CLOCK_FACTOR = 1.02
# A call that was given up may still arrive for so long: a choked link between
# regions has held one for 2.6 s.
MAX_CALL_DELAY = Seconds(2.6)


def find_grant_end(hold: Seconds, arrival: Seconds) -> Seconds:
    """Return the latest end of a grant that arrived by a time."""
    return Seconds(arrival + hold * _SLOW_CLOCK_FACTOR)


def find_safe_hold(left: float) -> float:
    """Return the hold that ends within a time, if its call is given up."""
    return (left - MAX_CALL_DELAY) / _SLOW_CLOCK_FACTOR


@unique
class PartitionState(Enum):
    """Name the states of a range."""

    free = 'free'
    assigning = 'assigning'
    granting = 'granting'
    held = 'held'
    releasing = 'releasing'
    lapsing = 'lapsing'


# States in which the table of the store names the server as the holder.
_RECORDED = frozenset(PartitionState) - {
    PartitionState.free,
    PartitionState.assigning,
}
_GRANTED = frozenset((PartitionState.granting, PartitionState.held))


@dataclass(slots=True)
class Partition:
    """Hold one range of keys with its holder."""

    keys: KeyRange
    state: PartitionState = PartitionState.free
    incarnation: ServerIncarnation | None = None
    fence: int = 0
    # Duration of the last grant.
    hold: Seconds = Seconds(0)
    # Latest end of what this controller has granted.
    granted_until: Seconds = Seconds(0)
    # The same of what earlier controllers may have granted or may yet renew.
    inherited_until: Seconds = Seconds(0)
    # Until when a grant without an answer may still be applied.
    unanswered_until: Seconds = Seconds(0)
    # Names what the last holder left; empty when it left nothing.
    handover: str = ''
    # Server that is to get the keys next, if one is chosen.
    target: ServerId | None = None
    # True while a call about the range is on its way.
    call_pending: bool = False
    next_call: Seconds = Seconds(0)
    failing_since: Seconds | None = None
    # True if the holder is believed to serve the keys.
    serving: bool = False
    # True once the holder is known to have started anew.
    restarted: bool = False
    # True until its holder has accepted a grant of this controller.
    inherited: bool = False
    # Since when the state is as it is.
    since: Seconds = Seconds(0)

    @property
    def granted(self) -> bool:
        """Tell whether the range is granted and renewed."""
        return self.state in _GRANTED

    @property
    def recorded(self) -> bool:
        """Tell whether the holder stands in the table."""
        return self.state in _RECORDED

    @property
    def held_until(self) -> Seconds:
        """Return the latest time at which the holder may hold the keys."""
        return max(self.granted_until, self.inherited_until)

    def enter_state(self, state: PartitionState, now: Seconds) -> None:
        """Change the state; the next call may be made at once."""
        self.state = state
        self.since = now
        self.next_call = now
        self.failing_since = None

    def extend_hold(self, hold: Seconds, arrival: Seconds) -> None:
        """Note that a grant may have reached the holder until a time."""
        until = find_grant_end(hold, arrival)
        self.granted_until = Seconds(max(self.granted_until, until))

    def shorten_inherited(self, until: Seconds) -> None:
        """Note that what earlier controllers granted ends sooner."""
        self.inherited_until = Seconds(min(self.inherited_until, until))

    def record_unanswered(self) -> None:
        """Note that a grant without an answer may be applied late."""
        self.unanswered_until = self.granted_until

    def has_unanswered_grant(self, now: Seconds) -> bool:
        """Tell whether a grant without an answer may still be applied."""
        return now < self.unanswered_until

    def set_free(self, now: Seconds, handover: str = '') -> None:
        """Note that no server can hold the keys any more."""
        self.enter_state(PartitionState.free, now)
        self.incarnation = None
        self.handover = handover
        self.serving = False
        self.restarted = False
        self.inherited = False
        self.granted_until = Seconds(0)
        self.inherited_until = Seconds(0)
        self.unanswered_until = Seconds(0)

    def matches(self, keys: KeyRange, fence: int) -> bool:
        """Tell whether a call was about the range as it is now."""
        return self.keys == keys and self.fence == fence


@dataclass(slots=True)
class Partitions:
    """Hold all ranges of a service in the order of their keys."""

    ordered: list[Partition] = field(default_factory=list)
    # Counts changes of who serves what.
    revision: int = 0

    def find(self, keys: KeyRange, fence: int) -> Partition | None:
        """Return the range that a call was about, if it still is there."""
        for partition in self.ordered:
            if partition.matches(keys, fence):
                return partition
        return None

    def split_off(self, partition: Partition, part: KeyRange) -> Partition:
        """Split a range, and return the part."""
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
        """Return the range that follows another one."""
        return self.ordered[self.ordered.index(partition) + 1]

    def list_entries(self) -> tuple[OwnerEntry, ...]:
        """Return who serves what, neighbours of one server joined."""
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
        """Return what the table is to say.

        Neighbours that one server holds are written as one range with the
        new table's fencing token.
        """
        rows: list[Assignment] = []
        last: Partition | None = None
        for partition in self.ordered:
            if partition.incarnation is None:
                last = None
                continue
            row = Assignment(
                partition.keys, partition.incarnation, partition.fence
            )
            if last is not None and _can_join(last, partition):
                keys = KeyRange(rows.pop().keys.first, partition.keys.last)
                row = Assignment(keys, partition.incarnation, fence)
            rows.append(row)
            last = partition
        return tuple(rows)

    def join_stored(
        self,
        rows: Iterable[Assignment],
        now: Seconds,
    ) -> None:
        """Join the neighbours that an accepted table has joined."""
        for row in rows:
            inside = [
                partition
                for partition in self.ordered
                if row.keys.overlaps(partition.keys)
            ]
            if len(inside) > 1 and _are_joinable(inside):
                self._join(inside, row, now)

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
    """Join neighbours that no server holds, unless they are meant apart."""
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
    )


def _can_join(left: Partition, right: Partition) -> bool:
    if left.failing_since is not None or right.failing_since is not None:
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


def _first_key(partition: Partition) -> int:
    return partition.keys.first
