"""Define the view: the state that results from applying the log.

Every process applies the same records in the same order, so that two views
with the same `applied` offset are equal.  Only
`trefoilsaddle.core.application` changes a view; other modules read it.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from trefoilsaddle.core.configuration import (
    Configuration,
    ServerPolicy,
    ServicePolicy,
)
from trefoilsaddle.core.durations import Durations
from trefoilsaddle.core.hashing import hash_key
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    NO_OFFSET,
    Epoch,
    MemberName,
    NodeId,
    Offset,
    RecordId,
    RegionName,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    SiteName,
    Version,
    ZoneName,
)
from trefoilsaddle.results import ResultCode


@dataclass(frozen=True, slots=True)
class Ownership:
    """Hold the owner of a shard and the epoch of that ownership."""

    server: ServerId
    epoch: Epoch
    # Epoch that the last move replaced, and the term of the dispatcher that
    # moved the shard.  Used only to check handovers; not in snapshots.
    former_epoch: Epoch = field(default=FIRST_EPOCH, compare=False)
    former_term: Epoch = field(default=FIRST_EPOCH, compare=False)
    # True if the shard is known to have had no other owner before.
    first: bool = field(default=False, compare=False)


@dataclass(frozen=True, slots=True)
class Role:
    """Hold the only dispatcher that sends requests to a server."""

    dispatcher: NodeId
    term: Epoch
    claim_set: tuple[NodeId, ...]
    # Term that the claim replaced; not in snapshots.
    former_term: Epoch = field(default=FIRST_EPOCH, compare=False)


@dataclass(frozen=True, slots=True, order=True)
class HotKey:
    """Identify a key that has a shard of its own."""

    service: ServiceName
    key_hash: int


@dataclass(frozen=True, slots=True)
class Verdict:
    """Hold whether a record took effect, and the configuration version then."""

    offset: Offset
    accepted: bool
    version: Version
    # Reason why the record took no effect; `ok` if it did.
    code: ResultCode = ResultCode.ok


@dataclass(frozen=True, slots=True, order=True)
class SnapshotPosition:
    """Hold the log position of the newest complete snapshot."""

    covers: Offset = NO_OFFSET
    # Offset of its first part.
    first_part: Offset = NO_OFFSET


@dataclass(frozen=True, slots=True)
class OpenSnapshot:
    """Count the parts of a snapshot that is not complete yet."""

    first_part: Offset
    parts_seen: int


@dataclass(slots=True)
class LogView:
    """Hold the configuration, ownership and roles as of one log offset."""

    applied: Offset = NO_OFFSET
    configuration: Configuration | None = None
    # YAML text in force by site; None is the base file.
    documents: dict[SiteName | None, str] = field(default_factory=dict)
    # Version in which each document was last replaced.
    document_versions: dict[SiteName | None, Version] = field(
        default_factory=dict,
    )
    owners: dict[ShardId, Ownership] = field(default_factory=dict)
    roles: dict[ServerId, Role] = field(default_factory=dict)
    hot_keys: dict[HotKey, ShardId] = field(default_factory=dict)
    # Number of shards ever created for hot keys, so that no shard number is
    # reused.
    hot_shards_made: dict[ServiceName, int] = field(default_factory=dict)
    lost_zones: set[ZoneName] = field(default_factory=set)
    # Verdicts on recent records, by which duplicates are recognized.
    verdicts: dict[RecordId, Verdict] = field(default_factory=dict)
    snapshot: SnapshotPosition = SnapshotPosition()
    # Durations of the base files so far, oldest first.
    durations: tuple[Durations, ...] = ()
    # Incomplete snapshots, by name.
    open_snapshots: dict[str, OpenSnapshot] = field(default_factory=dict)
    # Indexes derived from the fields above; see `put_owner` and
    # `put_configuration`.
    server_index: dict[ServerId, ServerPolicy] = field(
        default_factory=dict,
        compare=False,
        repr=False,
    )
    zone_index: dict[ZoneName, list[ServerPolicy]] = field(
        default_factory=dict,
        compare=False,
        repr=False,
    )
    shard_index: dict[ServerId, dict[ShardId, None]] = field(
        default_factory=dict,
        compare=False,
        repr=False,
    )

    # Number of owned shards by service, including those of hot keys.
    owned_counts: dict[ServiceName, int] = field(
        default_factory=dict,
        compare=False,
        repr=False,
    )
    # Servers affected by records since `mark_view_changed` last ran.
    changed_servers: set[ServerId] = field(
        default_factory=set,
        compare=False,
        repr=False,
    )

    @property
    def version(self) -> Version:
        """Return the version in force; zero before the first."""
        if self.configuration is None:
            return Version(0)
        return self.configuration.version

    def server(self, server_id: ServerId) -> ServerPolicy | None:
        """Return the policy of a server, if it is configured."""
        return self.server_index.get(server_id)

    def servers(self) -> Iterator[ServerPolicy]:
        """Yield every configured server."""
        yield from self.server_index.values()

    def servers_in(self, zone: ZoneName) -> Iterator[ServerPolicy]:
        """Yield the servers of one availability zone."""
        yield from self.zone_index.get(zone, ())

    def is_zone_lost(self, zone: ZoneName) -> bool:
        """Return whether an operator or a record has declared a zone lost."""
        if zone in self.lost_zones:
            return True
        if self.configuration is None:
            return False
        sites = self.configuration.sites.values()
        return any(zone in site.lost_zones for site in sites)

    def shard_of(
        self,
        service: ServiceName,
        member: MemberName,
        key: bytes,
    ) -> ShardId | None:
        """Return the shard of a member's key."""
        return self.shard_of_hash(service, hash_key(service, member, key))

    def shard_of_hash(
        self,
        service: ServiceName,
        key_hash: int,
    ) -> ShardId | None:
        """Return the shard of a key, given its hash."""
        if self.hot_keys:
            hot_shard = self.hot_keys.get(HotKey(service, key_hash))
            if hot_shard is not None:
                return hot_shard
        return self.base_shard(service, key_hash)

    def base_shard(
        self,
        service: ServiceName,
        key_hash: int,
    ) -> ShardId | None:
        """Return the shard of a key by its hash, ignoring hot keys."""
        if self.configuration is None:
            return None
        policy = self.configuration.services.get(service)
        if policy is None:
            return None
        return ShardId(service, ShardNumber(key_hash % policy.shard_count))

    def region_of(self, zone: ZoneName) -> RegionName | None:
        """Return the region of a zone, if an overlay has the zone."""
        if self.configuration is None:
            return None
        for site in self.configuration.sites.values():
            if zone in site.zones:
                return site.region
        return None

    def shards_on(self, server_id: ServerId) -> Iterator[ShardId]:
        """Yield the shards that a server owns."""
        yield from self.shard_index.get(server_id, ())

    def count_shards(self, server_id: ServerId) -> int:
        """Count the shards that a server owns."""
        return len(self.shard_index.get(server_id, ()))

    def count_unowned(self, service: ServicePolicy) -> int:
        """Count the shards of a service without an owner, ignoring hot keys."""
        hot = sum(key.service == service.name for key in self.hot_keys)
        owned = self.owned_counts.get(service.name, 0) - hot
        return service.shard_count - owned

    def mark_changed(self, servers: Iterable[ServerId]) -> None:
        """Mark servers that a record affects; for `application` only."""
        self.changed_servers.update(servers)

    def put_owner(self, shard: ShardId, owner: Ownership | None) -> None:
        """Set or remove the owner of a shard; for `application` only."""
        former = self.owners.pop(shard, None)
        count = self.owned_counts.get(shard.service, 0)
        count += (owner is not None) - (former is not None)
        self.owned_counts[shard.service] = count
        if former is not None:
            self.changed_servers.add(former.server)
            self.shard_index[former.server].pop(shard)
            if not self.shard_index[former.server]:
                self.shard_index.pop(former.server)
        if owner is not None:
            self.changed_servers.add(owner.server)
            self.owners[shard] = owner
            self.shard_index.setdefault(owner.server, {})[shard] = None

    def put_configuration(self, configuration: Configuration) -> None:
        """Put a configuration in force; for `application` only."""
        self.configuration = configuration
        self.server_index = {
            policy.server_id: policy
            for site in configuration.sites.values()
            for policy in site.servers
        }
        self.zone_index = {}
        for server in self.server_index.values():
            self.zone_index.setdefault(server.zone, []).append(server)
        self.changed_servers.update(self.server_index)
