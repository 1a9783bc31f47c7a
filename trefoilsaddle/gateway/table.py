"""Define the ownership table as stored.

The store keeps one table for each key-divided service. A controller appends a
table on the condition that no other record was appended before it, so the
tables of one era of the store have one order.  When the store comes back from a
copy, it gives offsets out again and its era rises: positions, and the fencing
tokens made from them, are ordered by the era first.
"""

from bisect import bisect_right
from dataclasses import dataclass

from trefoilsaddle.core.units import (
    NO_ERA,
    NO_OFFSET,
    NodeId,
    Offset,
    Seconds,
    ServiceName,
    StoreEra,
)
from trefoilsaddle.gateway.keys import Key, KeyRange
from trefoilsaddle.gateway.servers import ServerIncarnation, ServerTag


@dataclass(frozen=True, slots=True, order=True)
class TablePosition:
    """Locate a table in the store; later tables have greater positions."""

    era: StoreEra
    offset: Offset


NO_POSITION = TablePosition(NO_ERA, NO_OFFSET)


NOT_STATED = Seconds(-1)


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
    # True if no other server can hold the keys by a table that the store has
    # lost.
    confirmed: bool = False


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
    # Era in which the table was written; `NO_ERA` in records that do not state
    # it.
    era: StoreEra = NO_ERA
    # True while servers that the table does not name may hold keys, as the
    # tables that named them are lost.
    incomplete: bool = False
    # Time left, when an incomplete table was written, until no grant of a lost
    # table can be in force; negative in records that do not state it.
    unknown_left: Seconds = NOT_STATED
    # Time left until the grants of rows that are not confirmed have lapsed;
    # negative if this controller may renew them.
    lapsing_left: Seconds = NOT_STATED
    # Services whose keys had been granted as far as the controller knew, with
    # those of this table; empty in records that do not state it.
    divided: tuple[ServiceName, ...] = ()

    @property
    def provisional(self) -> bool:
        """Return whether the controller knows no holder and waits for them."""
        return self.incomplete and not self.assignments


@dataclass(frozen=True, slots=True)
class StoredTable:
    """Pair a table with its position in the store."""

    offset: Offset
    table: OwnershipTable

    @property
    def position(self) -> TablePosition:
        """Return the position among the tables of all eras."""
        return TablePosition(self.table.era, self.offset)


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
