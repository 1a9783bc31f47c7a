"""Hold who owns which keys, as the store keeps it.

The store keeps one table for each key-divided service.  A controller writes
a table on the condition that no other record was appended before it, so the
tables are in one order, and the position of a table in the store is the
fencing token of the grants that it decides.
"""

from bisect import bisect_right
from dataclasses import dataclass

from trefoilsaddle.core.units import NodeId, Offset, Seconds, ServiceName
from trefoilsaddle.gateway.keys import Key, KeyRange
from trefoilsaddle.gateway.servers import ServerIncarnation, ServerTag


@dataclass(frozen=True, slots=True)
class GatewayAddress:
    """Say which run of a gateway it is and where its peers reach it."""

    node: NodeId
    # Drawn at each start.
    run: int
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Assignment:
    """Assign a range of keys to one run of a server."""

    keys: KeyRange
    life: ServerIncarnation
    # Fencing token of the grant.
    fence: int


@dataclass(frozen=True, slots=True)
class OwnershipTable:
    """Hold all assignments of a service, in the order of their keys."""

    service: ServiceName
    controller: GatewayAddress
    # Counts the tables of one controller; tells its own from another's.
    sequence: int
    # True if the controller has stopped: it renews no grant any more.
    resigned: bool
    assignments: tuple[Assignment, ...]
    # Longest hold of the grants under it; zero in records that do not say.
    hold: Seconds = Seconds(0)
    # Earlier controllers that may renew grants at servers which have not yet
    # accepted one of this controller.
    predecessors: tuple[GatewayAddress, ...] = ()


@dataclass(frozen=True, slots=True)
class StoredTable:
    """Pair a table with its position in the store."""

    offset: Offset
    table: OwnershipTable


@dataclass(frozen=True, slots=True)
class OwnerEntry:
    """Tell entries who serves a range now."""

    first: Key
    last: Key
    tag: ServerTag
    # False while the range changes hands or its server does not answer.
    serving: bool


class OwnerMap:
    """Find the entry of a key."""

    def __init__(self, entries: tuple[OwnerEntry, ...]) -> None:
        """Take entries in the order of their keys."""
        self.entries = entries
        self._firsts = [entry.first for entry in entries]

    def find(self, key: Key) -> OwnerEntry | None:
        """Return the entry of a key, if any."""
        place = bisect_right(self._firsts, key) - 1
        if place < 0:
            return None
        entry = self.entries[place]
        return entry if key <= entry.last else None


def map_table(table: OwnershipTable) -> OwnerMap:
    """Build a map that takes each assignment as served."""
    return OwnerMap(
        tuple(
            OwnerEntry(
                row.keys.first,
                row.keys.last,
                row.life.tag,
                serving=True,
            )
            for row in table.assignments
        ),
    )
