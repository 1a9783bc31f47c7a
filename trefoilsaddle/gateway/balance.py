"""Choose which keys move to which server.

The use of a server is the rate of the requests for its keys over the rate
that its slots can serve.  A move takes a run of keys from one end of a range
of the busiest server to the least busy one, so that both come to the same
use; it is made only if the gain is worth the keys that change hands.
"""

from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, replace

from trefoilsaddle.core.units import Seconds, ServerId
from trefoilsaddle.gateway.keys import Key, KeyRange
from trefoilsaddle.gateway.partitions import Partition, PartitionState
from trefoilsaddle.gateway.servers import Server, ServerIncarnation

# Below this use requests hardly wait, so that nothing is moved.
_MIN_BUSY_USE = 0.6
# Least difference of use that is worth a move.
_MIN_USE_GAP = 0.15
# Ranges that a server may hold and still be given another; each is renewed by
# a call of its own, twice a second.
_MAX_RANGES = 12


@dataclass(frozen=True, slots=True)
class Capacity:
    """Say how many requests a second a server can serve."""

    server: Server
    rate: float
    # Part of the rate that is used as long as others have room.
    preference: float = 1


@dataclass(frozen=True, slots=True)
class Move:
    """Name keys of a range that are to go to another server."""

    partition: Partition
    keys: KeyRange
    target: ServerId


@dataclass(frozen=True, slots=True)
class MoveBounds:
    """Bound what one round of moves may do."""

    moves: int
    # Ranges that moves may add by cutting others.
    cuts: int


@dataclass(slots=True)
class _Utilisation:
    capacity: Capacity
    rate: float
    ranges: int
    moved: bool = False

    @property
    def use(self) -> float:
        """Return the part of the capacity that is in use."""
        return self.rate / self.capacity.rate

    @property
    def may_gain_range(self) -> bool:
        """Tell whether the server may hold one more range."""
        return self.ranges < _MAX_RANGES


def prefer_fast(capacities: list[Capacity], demand: float) -> list[Capacity]:
    """Count slow servers for less, unless the demand needs them all."""
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


# Use of all servers together at which slow ones count in full.
_FULL_COUNT_USE = 0.6


class KeyLoad:
    """Sum up the rates of keys over ranges."""

    def __init__(self, rates: dict[Key, float]) -> None:
        """Sort the keys once."""
        self.keys = sorted(rates)
        self.sums = [float(0)]
        for key in self.keys:
            self.sums.append(self.sums[-1] + rates[key])

    def total(self, keys: KeyRange) -> float:
        """Return the rate of a range."""
        first = bisect_left(self.keys, keys.first)
        after = bisect_right(self.keys, keys.last)
        return self.sums[after] - self.sums[first]

    def find_first_keys(self, keys: KeyRange, rate: float) -> KeyRange | None:
        """Return the first keys of a range, with at most a rate."""
        first = bisect_left(self.keys, keys.first)
        after = bisect_right(self.sums, self.sums[first] + rate) - 1
        if after >= len(self.keys):
            return keys
        last = self.keys[after] - 1
        if after <= first:
            return None
        return KeyRange(keys.first, Key(min(last, keys.last)))

    def find_last_keys(self, keys: KeyRange, rate: float) -> KeyRange | None:
        """Return the last keys of a range, with at most a rate."""
        after = bisect_right(self.keys, keys.last)
        first = bisect_left(self.sums, self.sums[after] - rate)
        if first >= after:
            return None
        # From behind the last key that stays.
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
    moves: list[Move] = []
    cuts = bounds.cuts
    while len(moves) < bounds.moves:
        move = _choose_move(partitions, load, uses, may_cut=cuts > 0)
        if move is None:
            break
        moves.append(move)
        cuts -= move.keys != move.partition.keys
    return moves


def choose_target(
    capacities: Iterable[Capacity],
    rates: dict[ServerIncarnation, float],
) -> Server | None:
    """Return the server that is to take a free range."""
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
    """Return the rate of the keys of each server."""
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
    partitions: Sequence[Partition],
    load: KeyLoad,
    uses: dict[ServerIncarnation, _Utilisation],
    *,
    may_cut: bool,
) -> Move | None:
    unmoved = [use for use in uses.values() if not use.moved]
    # A server that holds many ranges can still give keys away.
    targets = [use for use in unmoved if use.may_gain_range]
    if not targets:
        return None
    busiest = max(unmoved, key=lambda use: use.use)
    least = min(targets, key=lambda use: use.use)
    gap = busiest.use - least.use
    if busiest.use < _MIN_BUSY_USE or gap < _MIN_USE_GAP:
        return None
    busiest.moved = True
    # With this rate moved both servers have the same use.
    inverse = 1 / busiest.capacity.rate + 1 / least.capacity.rate
    movable = [
        partition for partition in partitions if _may_move(partition, busiest)
    ]
    cuts = [
        Move(partition, keys, least.capacity.server.life.server)
        for partition in movable
        for keys in _list_cuts(partition, load, gap / inverse)
        if may_cut or keys == partition.keys
    ]
    move = _choose_cut(cuts, load, gap / inverse)
    if move is not None:
        least.moved = True
        return move
    return _choose_move(partitions, load, uses, may_cut=may_cut)


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
    # Keys that change hands are cold for callers and priced by their number.
    fitting = [
        move
        for move in moves
        if load.total(move.keys) >= most * _NARROW_CUT_FRACTION
    ]
    return min(fitting, key=lambda move: move.keys.width)


# Part of the most that a move can relieve, for which a narrower one is taken.
_NARROW_CUT_FRACTION = 0.8
# A move of a smaller part of the wanted rate is not worth it.
_MIN_RATE_FRACTION = 0.15


def _may_move(partition: Partition, busiest: _Utilisation) -> bool:
    held = partition.state == PartitionState.held and not partition.call_pending
    return held and partition.incarnation == busiest.capacity.server.life


def _list_cuts(
    partition: Partition,
    load: KeyLoad,
    rate: float,
) -> list[KeyRange]:
    cuts = (
        load.find_first_keys(partition.keys, rate),
        load.find_last_keys(partition.keys, rate),
    )
    return [keys for keys in cuts if keys is not None]


def list_with_room(
    partitions: Sequence[Partition],
    capacities: Iterable[Capacity],
) -> list[Capacity]:
    """Return the servers that may take one more range."""
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
    """Return the requests a second that a server's slots can serve."""
    return server.slots / max(service_time, _MIN_SERVICE_TIME)


# Keeps a rate finite when times of zero were measured.
_MIN_SERVICE_TIME = Seconds(0.001)
