"""Define the ownership table as stored.

The store keeps one table for each key-divided service. A controller appends a
table on the condition that no other record was appended before it, so the
tables have one order, and the position of a table in the store is the fencing
token of the grants that it assigns.
"""

from bisect import bisect_right
from dataclasses import dataclass

from trefoilsaddle.core.units import NodeId, Offset, Seconds, ServiceName
from trefoilsaddle.gateway.keys import Key, KeyRange
from trefoilsaddle.gateway.servers import ServerIncarnation, ServerTag


@dataclass(frozen=True, slots=True)
class GatewayAddress:
    """Identify one incarnation of a gateway and its address for peers."""

    node: NodeId
    # Random number of the incarnation.
    run: int
    host: str
    port: int


@dataclass(frozen=True, slots=True)
class Assignment:
    """Assign a range of keys to one incarnation of a server."""

    keys: KeyRange
    life: ServerIncarnation
    # Fencing token of the grant.
    fence: int


@dataclass(frozen=True, slots=True)
class OwnershipTable:
    """Hold all assignments of a service, in the order of their keys."""

    service: ServiceName
    controller: GatewayAddress
    # Counts the tables of one controller, to recognize its own.
    sequence: int
    # True if the controller has resigned and renews no more grants.
    resigned: bool
    assignments: tuple[Assignment, ...]
    # Longest hold of the grants under this table; zero in records that do not
    # state it.
    hold: Seconds = Seconds(0)
    # Earlier controllers that may still renew grants at servers which have not
    # yet accepted a grant of this controller.
    predecessors: tuple[GatewayAddress, ...] = ()


@dataclass(frozen=True, slots=True)
class StoredTable:
    """Pair a table with its position in the store."""

    offset: Offset
    table: OwnershipTable


# Not frozen, as each update creates hundreds.
@dataclass(slots=True)
class OwnerEntry:
    """Name the server that owns a range of keys."""

    first: Key
    last: Key
    tag: ServerTag
    # False while the range changes hands or its server does not answer.
    serving: bool


class OwnerMap:
    """Look up the owner entry of a key."""

    def __init__(self, entries: tuple[OwnerEntry, ...]) -> None:
        """Index entries that are ordered by their keys."""
        self.entries = entries
        self._firsts = [entry.first for entry in entries]

    def find(self, key: Key) -> OwnerEntry | None:
        """Return the entry of a key, if it has an owner."""
        place = bisect_right(self._firsts, key) - 1
        if place < 0:
            return None
        entry = self.entries[place]
        return entry if key <= entry.last else None


def map_table(table: OwnershipTable) -> OwnerMap:
    """Build a map in which every assignment is being served."""
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
