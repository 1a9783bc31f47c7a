"""Hold what the log says, as far as a process has applied it.

Every process applies the same records in the same order, so that two views
with the same `applied` offset are equal.  `trefoilsaddle.core.application`
changes a view; everything else reads it.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field

from trefoilsaddle.core.configuration import Configuration, ServerPolicy
from trefoilsaddle.core.hashing import hash_key
from trefoilsaddle.core.units import (
    NO_OFFSET,
    Epoch,
    MemberName,
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
class Ownership:
    """Say which server owns a shard, and since which epoch."""

    server: ServerId
    epoch: Epoch


@dataclass(frozen=True, slots=True)
class Role:
    """Say which dispatcher alone sends work to a server."""

    dispatcher: NodeId
    term: Epoch
    claim_set: tuple[NodeId, ...]


@dataclass(frozen=True, slots=True)
class HotKey:
    """Identify a key that has a shard of its own."""

    service: ServiceName
    key_hash: int


@dataclass(frozen=True, slots=True)
class Verdict:
    """Say whether a record took effect, and in which version."""

    offset: Offset
    accepted: bool
    version: Version


@dataclass(slots=True)
class LogView:
    """Hold configuration, ownership and roles after one log offset."""

    applied: Offset = NO_OFFSET
    configuration: Configuration | None = None
    # Accepted YAML text by site; None is the base file's.
    documents: dict[SiteName | None, str] = field(default_factory=dict)
    owners: dict[ShardId, Ownership] = field(default_factory=dict)
    roles: dict[ServerId, Role] = field(default_factory=dict)
    hot_keys: dict[HotKey, ShardId] = field(default_factory=dict)
    lost_zones: set[ZoneName] = field(default_factory=set)
    # Ids applied of late, so that a record appended twice acts once.
    verdicts: dict[RecordId, Verdict] = field(default_factory=dict)

    def server(self, server_id: ServerId) -> ServerPolicy | None:
        """Return the policy of a server, if an overlay names it."""
        for policy in self.servers():
            if policy.server_id == server_id:
                return policy
        return None

    def servers(self) -> Iterator[ServerPolicy]:
        """Yield every server that the overlays name."""
        if self.configuration is None:
            return
        for site in self.configuration.sites.values():
            yield from site.servers

    def shard_of(
        self,
        service: ServiceName,
        member: MemberName,
        key: bytes,
    ) -> ShardId | None:
        """Return the shard that a member's key falls into."""
        if self.configuration is None:
            return None
        policy = self.configuration.services.get(service)
        if policy is None:
            return None
        key_hash = hash_key(service, member, key)
        hot_shard = self.hot_keys.get(HotKey(service, key_hash))
        if hot_shard is not None:
            return hot_shard
        return ShardId(service, ShardNumber(key_hash % policy.shard_count))

    def shards_on(self, server_id: ServerId) -> Iterator[ShardId]:
        """Yield the shards that a server owns."""
        for shard, owner in self.owners.items():
            if owner.server == server_id:
                yield shard
