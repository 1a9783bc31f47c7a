"""Define the records of the platform's log.

The order of the log resolves every race.  A record takes effect only if its
condition holds when it is applied, and only once: after a lost reply the same
record is appended again with the same id.
`trefoilsaddle.logservice.recordcodec` encodes and decodes records.
"""

from dataclasses import dataclass

from trefoilsaddle.core.units import (
    Epoch,
    NodeId,
    Offset,
    RecordId,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    SiteName,
    Version,
    ZoneName,
)


@dataclass(frozen=True, slots=True)
class Publication:
    """Replace the base file or a site's overlay if its version is unchanged."""

    record_id: RecordId
    # Configuration version that the publisher has seen; zero for the first.
    expected: Version
    # None for the base file.
    site: SiteName | None
    # YAML text, validated before it is appended and when it is applied.
    document: str
    # True: the document is a merge patch (RFC 7386) of the one in force.
    merge: bool = False


@dataclass(frozen=True, slots=True)
class Placement:
    """Name the shards to place on one server."""

    server: ServerId
    shards: tuple[ShardNumber, ...]


@dataclass(frozen=True, slots=True)
class Assign:
    """Place the shards of a service that have never had an owner."""

    record_id: RecordId
    service: ServiceName
    placements: tuple[Placement, ...]


@dataclass(frozen=True, slots=True)
class Claim:
    """Make a dispatcher the only one that sends requests to a server."""

    record_id: RecordId
    server: ServerId
    # Term that the claim replaces; `FIRST_EPOCH` if there is none.
    expected: Epoch
    dispatcher: NodeId
    # The only dispatchers that may claim the server afterwards.
    claim_set: tuple[NodeId, ...]
    # None if the record's position is the term.  Otherwise the term that the
    # dispatcher already holds from a take-over during a log outage.
    provisional: Epoch | None


@dataclass(frozen=True, slots=True)
class MovedShard:
    """Name one shard of a move, its expected epoch and its target."""

    shard: ShardId
    expected: Epoch
    target: ServerId
    # Epoch already granted during a log outage, if any.
    provisional: Epoch | None


@dataclass(frozen=True, slots=True)
class Move:
    """Move shards off a server, under the term of its dispatcher."""

    record_id: RecordId
    server: ServerId
    # Term of the dispatcher that moves them.
    term: Epoch
    shards: tuple[MovedShard, ...]


@dataclass(frozen=True, slots=True)
class SplitKey:
    """Split a hot key off into a shard of its own on the same server."""

    record_id: RecordId
    server: ServerId
    term: Epoch
    parent: ShardId
    key_hash: int
    # False merges the key back, if both shards are on one server.
    active: bool


@dataclass(frozen=True, slots=True)
class LostZone:
    """Declare a zone lost, so that other zones may claim its servers."""

    record_id: RecordId
    zone: ZoneName
    # False withdraws the declaration.
    lost: bool


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Hold one part of a snapshot of the whole view after an offset.

    The record id is the snapshot's name, a slash and the part's number.
    """

    record_id: RecordId
    # Last offset that the snapshot covers.
    covers: Offset
    part: int
    parts: int
    text: str


def name_snapshot(record: Snapshot) -> str:
    """Return the name that all parts of one snapshot share."""
    name, _, _ = record.record_id.rpartition('/')
    return name


Record = Publication | Assign | Claim | Move | SplitKey | LostZone | Snapshot


@dataclass(frozen=True, slots=True)
class LogEntry:
    """Hold the records that one append has added to the log."""

    offset: Offset
    records: tuple[Record, ...]
