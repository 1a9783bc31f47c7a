"""Define the state from which a dispatcher decides on placement."""

from dataclasses import dataclass, field

from trefoilsaddle.core.hotkeys import KeySketch
from trefoilsaddle.core.units import Seconds, ServerId, ShardId, ZoneName

NEVER = Seconds(float('-inf'))


@dataclass(slots=True)
class ShardStats:
    """Hold decaying request counts of one shard."""

    # Monotonic time at which the shard was first seen on the server.
    since: Seconds
    count: float = 0
    by_zone: dict[ZoneName, float] = field(default_factory=dict)


@dataclass(slots=True)
class ServerStats:
    """Hold the load that this process sends to one server."""

    # Average of (busy slots + waiting requests) / slot count.
    utilisation: float = 0
    # Decaying count of requests.
    count: float = 0
    shards: dict[ShardId, ShardStats] = field(default_factory=dict)
    sketch: KeySketch = field(default_factory=KeySketch)
    # Monotonic time before which no moves are started.
    quiet_until: Seconds = NEVER
    # Consecutive checks at which a split key was cool, by key hash.
    cool_checks: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class PlacementState:
    """Hold the load of each server that this process dispatches to."""

    servers: dict[ServerId, ServerStats] = field(default_factory=dict)
    reports: int = 0
