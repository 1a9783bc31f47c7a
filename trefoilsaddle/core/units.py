"""Define the identifier and unit types of the core's data classes.

Imports no other module of the core, so that every module can import it.
"""

from dataclasses import dataclass
from typing import NewType

Seconds = NewType('Seconds', float)
Offset = NewType('Offset', int)
# Number of the store's incarnation: it rises when the store comes back from a
# copy that lacks its newest records.
StoreEra = NewType('StoreEra', int)
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

# Unique within one incarnation of the process that created it.
CallId = NewType('CallId', int)
AttemptId = NewType('AttemptId', int)

NO_OFFSET = Offset(-1)
# Era of answers and tables that state none.
NO_ERA = StoreEra(-1)
FOREVER = Seconds(float('inf'))


@dataclass(frozen=True, slots=True, order=True)
class Epoch:
    """Order fencing tokens by the log position of their record."""

    offset: Offset
    sequence: int


# Lower than any epoch that a record can carry.
FIRST_EPOCH = Epoch(NO_OFFSET, 0)


@dataclass(frozen=True, slots=True, order=True)
class ShardId:
    """Identify one hash bucket of a service's keys."""

    service: ServiceName
    number: ShardNumber


@dataclass(frozen=True, slots=True)
class Moment:
    """Hold one instant as read from the process's two clocks."""

    # Never goes backwards; the only clock for leases and timeouts.
    monotonic: Seconds
    # Time of day; used for idempotency keys only.
    wall: Seconds
