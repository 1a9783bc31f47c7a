"""Name the identifiers and units that the core's data classes are built of.

Every module imports these; this module imports none.
"""

from dataclasses import dataclass
from typing import NewType

Seconds = NewType('Seconds', float)
Offset = NewType('Offset', int)
Version = NewType('Version', int)
RecordId = NewType('RecordId', str)

RegionName = NewType('RegionName', str)
ZoneName = NewType('ZoneName', str)
SiteName = NewType('SiteName', str)
NodeId = NewType('NodeId', str)
ServerId = NewType('ServerId', str)
ServiceName = NewType('ServiceName', str)
MemberName = NewType('MemberName', str)

# Position of a rank in the base file; zero is the most urgent.
Rank = NewType('Rank', int)

# Number of a shard within its service.
ShardNumber = NewType('ShardNumber', int)

# Unique within the process that made it, for its whole run.
CallId = NewType('CallId', int)
AttemptId = NewType('AttemptId', int)

NO_OFFSET = Offset(-1)
FOREVER = Seconds(float('inf'))


@dataclass(frozen=True, slots=True, order=True)
class Epoch:
    """Order fencing tokens by the log position that they stem from."""

    offset: Offset
    sequence: int


# Older than any epoch that a record can carry.
FIRST_EPOCH = Epoch(NO_OFFSET, 0)


@dataclass(frozen=True, slots=True, order=True)
class ShardId:
    """Identify one hash bucket of a service's keys."""

    service: ServiceName
    number: ShardNumber


@dataclass(frozen=True, slots=True)
class Moment:
    """Give one instant on the process's two clocks."""

    # Never set back; the only clock for leases and timeouts.
    monotonic: Seconds
    # Time of day; used for idempotency keys only.
    wall: Seconds
