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
from trefoilsaddle.gateway.servers import ServerLife
from trefoilsaddle.gateway.table import Assignment, OwnerEntry

# The clock that measures a grant may run 2 % slow (the platform's bound).
_SLOW_CLOCK = 1.02
# A call that was given up may still arrive for so long: a choked link between
# regions has held one for 2.6 s.
LATEST_ARRIVAL = Seconds(2.6)


def find_end(hold: Seconds, arrival: Seconds) -> Seconds:
    """Return the latest end of a grant that arrived by a time."""
    return Seconds(arrival + hold * _SLOW_CLOCK)


def find_hold(left: float) -> float:
    """Return the hold that ends within a time, if its call is given up."""
    return (left - LATEST_ARRIVAL) / _SLOW_CLOCK


@unique
class PieceState(Enum):
    """Name the states of a range."""

    free = 'free'
    assigning = 'assigning'
    granting = 'granting'
    held = 'held'
    releasing = 'releasing'
    lapsing = 'lapsing'


# States in which the table of the store names the server as the holder.
_RECORDED = frozenset(PieceState) - {PieceState.free, PieceState.assigning}
_GRANTED = frozenset((PieceState.granting, PieceState.held))


@dataclass(slots=True)
class Piece:
    """Hold one range of keys with its holder."""

    keys: KeyRange
    state: PieceState = PieceState.free
    life: ServerLife | None = None
    fence: int = 0
    # Duration of the last grant.
    hold: Seconds = Seconds(0)
    # Latest end of what this controller has granted.
    granted_until: Seconds = Seconds(0)
    # The same of what earlier controllers may have granted or may yet renew.
    inherited_until: Seconds = Seconds(0)
    # Until when a grant without an answer may still be applied.
    doubted_until: Seconds = Seconds(0)
    # Names what the last holder left; empty when it left nothing.
    handover: str = ''
    # Server that is to get the keys next, if one is chosen.
    target: ServerId | None = None
    # True while a call about the range is on its way.
    calling: bool = False
    next_call: Seconds = Seconds(0)
    failing_since: Seconds | None = None
    # True if the holder is believed to serve the keys.
    serving: bool = False
    # True once the holder is known to have started anew.
    reborn: bool = False
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

    def enter(self, state: PieceState, now: Seconds) -> None:
        """Change the state; the next call may be made at once."""
        self.state = state
        self.since = now
        self.next_call = now
        self.failing_since = None

    def extend_hold(self, hold: Seconds, arrival: Seconds) -> None:
        """Note that a grant may have reached the holder until a time."""
        until = find_end(hold, arrival)
        self.granted_until = Seconds(max(self.granted_until, until))

    def shorten_inherited(self, until: Seconds) -> None:
        """Note that what earlier controllers granted ends sooner."""
        self.inherited_until = Seconds(min(self.inherited_until, until))

    def doubt_grant(self) -> None:
        """Note that a grant without an answer may be applied late."""
        self.doubted_until = self.granted_until

    def doubtful(self, now: Seconds) -> bool:
        """Tell whether a grant without an answer may still be applied."""
        return now < self.doubted_until

    def set_free(self, now: Seconds, handover: str = '') -> None:
        """Note that no server can hold the keys any more."""
        self.enter(PieceState.free, now)
        self.life = None
        self.handover = handover
        self.serving = False
        self.reborn = False
        self.inherited = False
        self.granted_until = Seconds(0)
        self.inherited_until = Seconds(0)
        self.doubted_until = Seconds(0)

    def answers_to(self, keys: KeyRange, fence: int) -> bool:
        """Tell whether a call was about the range as it is now."""
        return self.keys == keys and self.fence == fence


@dataclass(slots=True)
class Pieces:
    """Hold all ranges of a service in the order of their keys."""

    ordered: list[Piece] = field(default_factory=list)
    # Counts changes of who serves what.
    change: int = 0

    def find(self, keys: KeyRange, fence: int) -> Piece | None:
        """Return the range that a call was about, if it still is there."""
        for piece in self.ordered:
            if piece.answers_to(keys, fence):
                return piece
        return None

    def cut_out(self, piece: Piece, part: KeyRange) -> Piece:
        """Split a range, and return the part."""
        if piece.keys == part:
            return piece
        place = self.ordered.index(piece)
        split = replace(piece, keys=part)
        rest = [
            replace(piece, keys=keys) for keys in cut_range(piece.keys, part)
        ]
        parts = sorted((split, *rest), key=_first_key)
        before, after = self.ordered[:place], self.ordered[place + 1 :]
        self.ordered = [*before, *parts, *after]
        self.change += 1
        return split

    def find_behind(self, piece: Piece) -> Piece:
        """Return the range that follows another one."""
        return self.ordered[self.ordered.index(piece) + 1]

    def list_entries(self) -> tuple[OwnerEntry, ...]:
        """Return who serves what, neighbours of one server joined."""
        entries: list[OwnerEntry] = []
        for piece in self.ordered:
            if piece.life is None:
                continue
            keys = piece.keys
            tag = piece.life.tag
            entry = OwnerEntry(keys.first, keys.last, tag, piece.serving)
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
        last: Piece | None = None
        for piece in self.ordered:
            if piece.life is None:
                last = None
                continue
            row = Assignment(piece.keys, piece.life, piece.fence)
            if last is not None and _can_join(last, piece):
                keys = KeyRange(rows.pop().keys.first, piece.keys.last)
                row = Assignment(keys, piece.life, fence)
            rows.append(row)
            last = piece
        return tuple(rows)

    def adopt_joined(
        self,
        rows: Iterable[Assignment],
        now: Seconds,
    ) -> None:
        """Join the neighbours that an accepted table has joined."""
        for row in rows:
            inside = [
                piece for piece in self.ordered if row.keys.overlaps(piece.keys)
            ]
            if len(inside) > 1 and _are_joinable(inside):
                self._join(inside, row, now)

    def _join(
        self,
        inside: list[Piece],
        row: Assignment,
        now: Seconds,
    ) -> None:
        joined = replace(
            inside[0],
            keys=row.keys,
            fence=row.fence,
            granted_until=max(piece.granted_until for piece in inside),
            inherited_until=max(piece.inherited_until for piece in inside),
        )
        joined.enter(PieceState.granting, now)
        place = self.ordered.index(inside[0])
        rest = self.ordered[place + len(inside) :]
        self.ordered = [*self.ordered[:place], joined, *rest]


def join_free(pieces: Iterable[Piece]) -> list[Piece]:
    """Join neighbours that no server holds, unless they are meant apart."""
    joined: list[Piece] = []
    for piece in pieces:
        last = joined[-1] if joined else None
        if last is not None and _are_alike(last, piece):
            last.keys = KeyRange(last.keys.first, piece.keys.last)
        else:
            joined.append(piece)
    return joined


def _are_alike(left: Piece, right: Piece) -> bool:
    return (
        left.state == right.state == PieceState.free
        and left.target == right.target
        and left.handover == right.handover
    )


def _can_join(left: Piece, right: Piece) -> bool:
    if left.failing_since is not None or right.failing_since is not None:
        return False
    return (
        left.state == right.state == PieceState.held
        and left.doubted_until == right.doubted_until
        and left.life == right.life
    )


def _are_joinable(pieces: list[Piece]) -> bool:
    return all(
        _can_join(left, right) and not left.calling and not right.calling
        for left, right in zip(pieces, pieces[1:], strict=False)
    )


def _joins(left: OwnerEntry, right: OwnerEntry) -> bool:
    return (
        left.tag == right.tag
        and left.serving == right.serving
        and left.last + 1 == right.first
    )


def _first_key(piece: Piece) -> int:
    return piece.keys.first
