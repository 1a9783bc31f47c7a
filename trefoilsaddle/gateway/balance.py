"""Choose the keys that move between servers to balance their load.

The utilisation of a server is the request rate of its keys over the rate that
its slots can serve. A move takes a run of keys from one end of a partition of
the busiest server to the least busy one, so that both get the same utilisation,
or so that the receiver is filled as far as the whole fleet has to be; a server
that is still too busy then gives keys to further servers in the same round. A
move is made only if the gain is worth the keys that change hands.
"""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from trefoilsaddle.core.units import Seconds, ServerId
from trefoilsaddle.gateway.keys import Key, KeyRange, cut_range
from trefoilsaddle.gateway.partitions import Partition, PartitionState
from trefoilsaddle.gateway.servers import Server, ServerIncarnation

# Nothing is moved below this utilisation, as requests hardly wait.
_MIN_BUSY_USE = 0.6
# Minimum difference of utilisation that is worth a move.
_MIN_USE_GAP = 0.15
# Utilisation up to which one move fills a server, unless the fleet's mean is
# higher: below `_MIN_BUSY_USE`, so that the keys need not move on.
_FILLED_USE = 0.5
# A server that holds this many partitions gets no more; each one is renewed by
# a call of its own, twice a second.
_MAX_RANGES = 12


@dataclass(frozen=True, slots=True)
class Capacity:
    """Give the request rate that a server can serve."""

    server: Server
    rate: float
    # Fraction of the rate that is used while other servers have room.
    preference: float = 1


@dataclass(frozen=True, slots=True)
class Move:
    """Describe keys of a partition that are to move to another server."""

    partition: Partition
    keys: KeyRange
    target: ServerId


@dataclass(frozen=True, slots=True)
class MoveBounds:
    """Limit one round of moves."""

    moves: int
    # Partitions that moves may add by splitting others.
    cuts: int


@dataclass(slots=True)
class _Remainder:
    """The keys of a partition that no move of this round has taken yet."""

    partition: Partition
    keys: KeyRange | None

    def remove(self, part: KeyRange) -> None:
        """Remove the keys of a move, which are at one end."""
        rest = [] if self.keys is None else cut_range(self.keys, part)
        self.keys = rest[0] if rest else None


@dataclass(slots=True)
class _Utilisation:
    capacity: Capacity
    rate: float
    ranges: int
    # True once the server has got keys in this round, or has none to give.
    done: bool = False

    @property
    def use(self) -> float:
        """Return the fraction of the capacity that is in use."""
        return self.rate / self.capacity.rate

    @property
    def may_gain_range(self) -> bool:
        """Return whether the server may hold one more partition."""
        return self.ranges < _MAX_RANGES


def prefer_fast(capacities: list[Capacity], demand: float) -> list[Capacity]:
    """Reduce the rates of slow servers, unless the demand needs them all."""
    whole = sum(entry.rate for entry in capacities)
    use = demand / whole if whole else 1
    need = min(max(use / _FULL_COUNT_USE, 0), 1)
    return [
        replace(
            entry,
            rate=entry.rate
            * (entry.preference + (1 - entry.preference) * need),
        )
        for entry in capacities
    ]


# Utilisation of all servers together at which slow ones count in full.
_FULL_COUNT_USE = 0.6


class KeyLoad:
    """Provide sums of the rates of keys over ranges."""

    def __init__(self, rates: dict[Key, float]) -> None:
        """Sort the keys and compute their prefix sums."""
        self.keys = sorted(rates)
        self.sums = [float(0)]
        for key in self.keys:
            self.sums.append(self.sums[-1] + rates[key])

    def total(self, keys: KeyRange) -> float:
        """Return the total rate of a range."""
        first = bisect_left(self.keys, keys.first)
        after = bisect_right(self.keys, keys.last)
        return self.sums[after] - self.sums[first]

    def find_first_keys(self, keys: KeyRange, rate: float) -> KeyRange | None:
        """Return the longest run of first keys with at most a given rate."""
        first = bisect_left(self.keys, keys.first)
        after = bisect_right(self.sums, self.sums[first] + rate) - 1
        if after >= len(self.keys):
            return keys
        last = self.keys[after] - 1
        if after <= first:
            return None
        return KeyRange(keys.first, Key(min(last, keys.last)))

    def find_last_keys(self, keys: KeyRange, rate: float) -> KeyRange | None:
        """Return the longest run of last keys with at most a given rate."""
        after = bisect_right(self.keys, keys.last)
        first = bisect_left(self.sums, self.sums[after] - rate)
        if first >= after:
            return None
        # Starts after the last key that stays.
        start = self.keys[first - 1] + 1 if first else keys.first
        return KeyRange(Key(max(start, keys.first)), keys.last)


def choose_moves(
    partitions: Sequence[Partition],
    load: KeyLoad,
    capacities: Iterable[Capacity],
    bounds: MoveBounds,
) -> list[Move]:
    """Choose the moves of one round."""
    uses = _measure_uses(partitions, load, capacities)
    remainders = [
        _Remainder(partition, partition.keys)
        for partition in partitions
        if _may_move(partition)
    ]
    moves: list[Move] = []
    cuts = bounds.cuts
    while len(moves) < bounds.moves:
        move = _choose_move(remainders, load, uses, may_cut=cuts > 0)
        if move is None:
            break
        moves.append(move)
        cuts -= move.keys != move.partition.keys
    return moves


def choose_target(
    capacities: Iterable[Capacity],
    rates: dict[ServerIncarnation, float],
) -> Server | None:
    """Return the server that is to get a free range."""
    fitting = [entry for entry in capacities if entry.rate > 0]
    if not fitting:
        return None
    least = min(
        fitting,
        key=lambda entry: (
            rates.get(entry.server.life, 0) / entry.rate,
            entry.server.life,
        ),
    )
    return least.server


def sum_rates(
    partitions: Iterable[Partition],
    load: KeyLoad,
) -> dict[ServerIncarnation, float]:
    """Return the total rate of each server's keys."""
    rates: dict[ServerIncarnation, float] = {}
    for partition in partitions:
        if partition.incarnation is not None:
            rate = rates.get(partition.incarnation, 0) + load.total(
                partition.keys
            )
            rates[partition.incarnation] = rate
    return rates


def _measure_uses(
    partitions: Sequence[Partition],
    load: KeyLoad,
    capacities: Iterable[Capacity],
) -> dict[ServerIncarnation, _Utilisation]:
    rates = sum_rates(partitions, load)
    counts = _count_ranges(partitions)
    return {
        entry.server.life: _Utilisation(
            entry,
            rates.get(entry.server.life, 0),
            counts.get(entry.server.life, 0),
        )
        for entry in capacities
        if entry.rate > 0
    }


def _choose_move(
    remainders: list[_Remainder],
    load: KeyLoad,
    uses: dict[ServerIncarnation, _Utilisation],
    *,
    may_cut: bool,
) -> Move | None:
    open_uses = [use for use in uses.values() if not use.done]
    # A server that holds too many partitions can still give keys away.
    targets = [use for use in open_uses if use.may_gain_range]
    if not targets:
        return None
    busiest = max(open_uses, key=lambda use: use.use)
    least = min(targets, key=lambda use: use.use)
    gap = busiest.use - least.use
    if busiest.use < _MIN_BUSY_USE or gap < _MIN_USE_GAP:
        return None
    rate = _find_rate_to_move(busiest, least, _find_filled_use(uses))
    own = [
        entry
        for entry in remainders
        if entry.partition.incarnation == busiest.capacity.server.life
    ]
    cuts = [
        Move(entry.partition, keys, least.capacity.server.life.server)
        for entry in own
        for keys in _list_cuts(entry.keys, load, rate)
        if may_cut or keys == entry.partition.keys
    ]
    move = _choose_cut(cuts, load, rate)
    if move is None:
        busiest.done = True
        return _choose_move(remainders, load, uses, may_cut=may_cut)
    least.done = True
    least.rate += load.total(move.keys)
    busiest.rate -= load.total(move.keys)
    _remove_moved(own, move)
    return move


def _remove_moved(remainders: list[_Remainder], move: Move) -> None:
    for entry in remainders:
        if entry.partition is move.partition:
            entry.remove(move.keys)


def _find_filled_use(uses: dict[ServerIncarnation, _Utilisation]) -> float:
    rate = sum(use.rate for use in uses.values())
    whole = sum(use.capacity.rate for use in uses.values())
    return max(rate / whole, _FILLED_USE)


def _find_rate_to_move(
    busiest: _Utilisation, least: _Utilisation, filled: float
) -> float:
    # Moving the rate `gap / inverse` gives both servers the same utilisation.
    gap = busiest.use - least.use
    inverse = 1 / busiest.capacity.rate + 1 / least.capacity.rate
    room = (filled - least.use) * least.capacity.rate
    return min(gap / inverse, room) if room > 0 else gap / inverse


def _choose_cut(
    moves: list[Move],
    load: KeyLoad,
    rate: float,
) -> Move | None:
    if not moves:
        return None
    most = max(load.total(move.keys) for move in moves)
    if most < rate * _MIN_RATE_FRACTION:
        return None
    # Moved keys are cold at their new server, so that the cost of a move grows
    # with the number of its keys.
    fitting = [
        move
        for move in moves
        if load.total(move.keys) >= most * _NARROW_CUT_FRACTION
    ]
    return min(fitting, key=lambda move: move.keys.width)


# Narrower moves are preferred if they relieve at least this fraction of the
# largest possible rate.
_NARROW_CUT_FRACTION = 0.8
# Minimum fraction of the wanted rate that a move has to relieve.
_MIN_RATE_FRACTION = 0.15


def _may_move(partition: Partition) -> bool:
    return partition.state == PartitionState.held and not partition.call_pending


def _list_cuts(
    keys: KeyRange | None,
    load: KeyLoad,
    rate: float,
) -> list[KeyRange]:
    if keys is None:
        return []
    cuts = (
        load.find_first_keys(keys, rate),
        load.find_last_keys(keys, rate),
    )
    return [part for part in cuts if part is not None]


def list_with_room(
    partitions: Sequence[Partition],
    capacities: Iterable[Capacity],
) -> list[Capacity]:
    """Return the servers that may get one more partition."""
    counts = _count_ranges(partitions)
    return [
        entry
        for entry in capacities
        if counts.get(entry.server.life, 0) < _MAX_RANGES
    ]


def _count_ranges(
    partitions: Iterable[Partition],
) -> Counter[ServerIncarnation]:
    return Counter(
        partition.incarnation
        for partition in partitions
        if partition.incarnation is not None
    )


def find_rate(server: Server, service_time: Seconds) -> float:
    """Return the request rate that a server's slots can serve."""
    return server.slots / max(service_time, _MIN_SERVICE_TIME)


# Keeps rates finite when a measured time is zero.
_MIN_SERVICE_TIME = Seconds(0.001)
