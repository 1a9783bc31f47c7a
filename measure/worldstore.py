"""Simulated store of the platform: topics, conditional appends and a group."""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import (
    Offset,
    Seconds,
    ServerId,
    StoreEra,
    ZoneName,
)
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import AppendTable
from trefoilsaddle.gateway.events import (
    AppendVerdict,
    Topic,
    TopicEntry,
)
from trefoilsaddle.gateway.servers import Server, ServerRemoved
from trefoilsaddle.gateway.table import StoredTable
from trefoilsaddle.gateway.zones import ZoneDrain

Records = dict[Topic, list[TopicEntry]]


@dataclass(slots=True)
class Membership:
    """Lease of a group member."""

    renewed_at: Seconds
    lease: Seconds


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Contents of the store at some time."""

    records: Records
    members: dict[str, Membership]
    leader: str
    generation: int


@dataclass(slots=True)
class WorldStore:
    """Topics and group membership, which survive gateways and servers."""

    records: Records = field(
        default_factory=lambda: {topic: [] for topic in Topic},
    )
    members: dict[str, Membership] = field(default_factory=dict)
    leader: str = ''
    generation: int = 0
    era: StoreEra = StoreEra(1)

    def copy(self) -> StoreCopy:
        """Return a copy of the contents."""
        return StoreCopy(
            {topic: list(log) for topic, log in self.records.items()},
            dict(self.members),
            self.leader,
            self.generation,
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy; what was written since is written again."""
        lost = self.roll_back(copy)
        for topic in (Topic.configuration, Topic.servers):
            self.write_again(topic, lost)

    def roll_back(self, copy: StoreCopy) -> Records:
        """Come back from a copy, and return the records that are lost."""
        lost = {
            topic: log[len(copy.records[topic]) :]
            for topic, log in self.records.items()
        }
        self.records = {topic: list(log) for topic, log in copy.records.items()}
        self.members = dict(copy.members)
        self.leader = copy.leader
        self.generation = copy.generation
        self.era = StoreEra(self.era + 1)
        return lost

    def write_again(self, topic: Topic, lost: Records) -> None:
        """Write lost records of a topic again, as their writers do."""
        self.records[topic].extend(lost[topic])

    def write_configuration(self, configuration: Configuration) -> None:
        """Write a configuration, as an operator would."""
        self.records[Topic.configuration].append(configuration)

    def drain_zone(self, zone: ZoneName, *, begins: bool = True) -> None:
        """Begin to drain a zone, or end it, as an operator would."""
        drain = ZoneDrain(zone, begins=begins)
        self.records[Topic.configuration].append(drain)

    def write_server(self, server: Server) -> None:
        """Write the entry of a server."""
        self.records[Topic.servers].append(server)

    def remove_server(self, name: ServerId) -> None:
        """Remove the entry of a server."""
        self.records[Topic.servers].append(ServerRemoved(name))

    def append(self, effect: AppendTable) -> AppendVerdict:
        """Append a table if the topic ends at the expected offset."""
        log = self.records[Topic.ownership]
        if len(log) == effect.expected:
            log.append(StoredTable(effect.expected, effect.table))
            return AppendVerdict.stored
        found = log[effect.expected] if effect.expected < len(log) else None
        if isinstance(found, StoredTable) and found.table == effect.table:
            return AppendVerdict.stored
        return AppendVerdict.conflict

    def read_newest(self, topic: Topic) -> tuple[TopicEntry, ...]:
        """Return the newest record of each key, without those that were removed."""
        newest: dict[str, TopicEntry] = {}
        for entry in self.records[topic]:
            name = _find_key(entry)
            newest.pop(name, None)
            if not _is_removal(entry):
                newest[name] = entry
        return tuple(newest.values())

    def find_end(self, topic: Topic) -> Offset:
        """Return the offset after the last record of a topic."""
        return Offset(len(self.records[topic]))

    def join(self, member: str, lease: Seconds, now: Seconds) -> bool:
        """Renew a member's lease; return whether it is the leader."""
        self.members[member] = Membership(now, lease)
        lapsed = [
            name
            for name, kept in self.members.items()
            if now - kept.renewed_at > kept.lease
        ]
        for name in lapsed:
            self.leave(name)
        if self.leader not in self.members:
            self.leader = min(self.members)
            self.generation += 1
        return self.leader == member

    def leave(self, member: str) -> None:
        """Remove a member from the group."""
        self.members.pop(member, None)


def _find_key(entry: TopicEntry) -> str:
    match entry:
        case Server():
            return entry.life.server
        case ServerRemoved():
            return entry.server
        case StoredTable():
            return entry.table.service
        case ZoneDrain():
            return entry.zone
    return 'config'


def _is_removal(entry: TopicEntry) -> bool:
    if isinstance(entry, ZoneDrain):
        return not entry.begins
    return isinstance(entry, ServerRemoved)
