"""Divide free key ranges among servers in proportion to their capacity.

Keys without load count as well: they may be requested as soon as they have an
owner.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field

from trefoilsaddle.gateway.balance import (
    Capacity,
    KeyLoad,
    choose_target,
    list_with_room,
)
from trefoilsaddle.gateway.keys import ALL_KEYS, Key, KeyRange
from trefoilsaddle.gateway.partitions import Partition
from trefoilsaddle.gateway.servers import Server, ServerIncarnation

# Load of keys without requests, spread over all keys, as a fraction of the
# capacity: a tenth is small beside a busy key.
_IDLE_KEYS_FRACTION = 0.1
# Maximum number of mean shares that a server gets while others are suspected:
# within seconds either those answer or their entries lapse.
_MAX_SHARES = 3
# Minimum size of a part that is split off, as a fraction of a mean share.
_MIN_CUT_FRACTION = 0.5


@dataclass(slots=True)
class Division:
    """Track the weights of keys and servers while free ranges are assigned."""

    capacities: list[Capacity]
    load: KeyLoad
    # Number of registered servers, including suspected ones.
    servers: int
    # True while keys are left free rather than given to a full server.
    wait_for_suspected: bool = True
    # Total weight of the keys of each server.
    weights: dict[ServerIncarnation, float] = field(default_factory=dict)

    def count(self, partitions: Sequence[Partition]) -> None:
        """Add the weights of the keys that servers hold already."""
        for partition in partitions:
            if partition.incarnation is not None:
                self.add(partition.incarnation, partition.keys)

    def add(self, incarnation: ServerIncarnation, keys: KeyRange) -> None:
        """Add the weight of keys to a server."""
        self.weights[incarnation] = self.weights.get(
            incarnation, 0
        ) + self.weigh(keys)

    def weigh(self, keys: KeyRange) -> float:
        """Return the rate of keys, with a share for those without load."""
        whole = sum(entry.rate for entry in self.capacities)
        idle = whole * _IDLE_KEYS_FRACTION * keys.width / ALL_KEYS.width
        return self.load.total(keys) + idle

    def choose(self, partitions: Sequence[Partition]) -> Server | None:
        """Return the server that is to get keys, if any may."""
        room = list_with_room(partitions, self.capacities) or self.capacities
        server = choose_target(room, self.weights)
        if server is None:
            return None
        full = self._find_max_weight() <= self.weights.get(server.life, 0)
        waits = self.wait_for_suspected and self.servers > len(self.capacities)
        return None if full and waits else server

    def cut(self, keys: KeyRange, server: Server) -> KeyRange:
        """Return the first keys of a range, as many as a server should get."""
        fair = min(self._find_fair_weight(server), self._find_max_weight())
        left = fair - self.weights.get(server.life, 0)
        least = self._find_max_weight() / _MAX_SHARES * _MIN_CUT_FRACTION
        wanted = max(left, least)
        if self.weigh(keys) <= wanted + least:
            return keys
        return self._find_front(keys, wanted)

    def _find_front(self, keys: KeyRange, weight: float) -> KeyRange:
        low, high = keys.first, keys.last
        while low < high:
            middle = Key((low + high + 1) // 2)
            if self.weigh(KeyRange(keys.first, middle)) <= weight:
                low = middle
            else:
                high = Key(middle - 1)
        return KeyRange(keys.first, low)

    def _find_fair_weight(self, server: Server) -> float:
        whole = sum(entry.rate for entry in self.capacities)
        rate = sum(
            entry.rate
            for entry in self.capacities
            if entry.server.life == server.life
        )
        return self.weigh(ALL_KEYS) * rate / whole

    def _find_max_weight(self) -> float:
        servers = max(self.servers, len(self.capacities))
        return self.weigh(ALL_KEYS) * _MAX_SHARES / servers
