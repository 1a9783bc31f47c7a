"""Hold what a dispatcher knows of the work at its servers."""

from dataclasses import dataclass, field

from trefoilsaddle.core.hotkeys import KeySketch
from trefoilsaddle.core.units import Seconds, ServerId, ShardId, ZoneName

NEVER = Seconds(float('-inf'))


@dataclass(slots=True)
class ShardWork:
    """Count the requests of one shard, older ones with less weight."""

    # Monotonic time at which the shard was first seen on the server.
    since: Seconds
    count: float = 0
    by_zone: dict[ZoneName, float] = field(default_factory=dict)


@dataclass(slots=True)
class ServerWork:
    """Hold the work that passes through this process to one server."""

    # Busy slots and waiting requests, averaged, over the slot count.
    utilisation: float = 0
    # Requests, older ones with less weight.
    count: float = 0
    shards: dict[ShardId, ShardWork] = field(default_factory=dict)
    sketch: KeySketch = field(default_factory=KeySketch)
    # No moves are begun before this monotonic time.
    quiet_until: Seconds = NEVER
    # Looks in a row at which a key of its own shard was not hot.
    cool_checks: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class PlacementState:
    """Hold the work at each server of this process."""

    servers: dict[ServerId, ServerWork] = field(default_factory=dict)
    reports: int = 0
