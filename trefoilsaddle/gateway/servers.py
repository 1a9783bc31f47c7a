"""Keep the registered servers, and detect when one is gone.

The removal of an entry is deferred while it may have lapsed only with the
store; see `LapseWindow`.  A store that came back from a copy of itself lists
older entries again: an older entry replaces no newer one, and a departed server
is taken in again only once it has written a newer entry.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field, replace
from functools import lru_cache
from math import inf
from typing import NewType
from zlib import crc32

from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName
from trefoilsaddle.gateway.lapses import LapseWindow

# A draining server gets no new work 2.5 s after it has said so (`drain`), which
# this gateway knows up to a second later.
MAX_DRAINING_USE = Seconds(1.2)

# Time for which a server that has just started is taken to be cold: its entries may
# say so only with the third heartbeat of 0.87 s, which reaches a gateway within a
# further second.
_START_TIME = Seconds(3)

# Time after which the store no longer lists a silent server: three heartbeats of
# up to 1.5 s, and the interval of reads.
_WITHHOLDING_TIME = Seconds(5)
# Maximum number of departed servers, and of leaving ones, that are remembered.
_MAX_DEPARTED = 1024

# Sequence number of entries that state none.
NO_SEQUENCE = -1

# Short identifier of a server incarnation in messages between gateways.
ServerTag = NewType('ServerTag', int)
# Cache size; fewer incarnations are known at a time.
_MAX_TAGS = 16_384


@dataclass(frozen=True, slots=True, order=True)
class ServerIncarnation:
    """Identify one incarnation of a server."""

    server: ServerId
    # Start time as milliseconds of wall clock time.
    born: int

    @property
    def tag(self) -> ServerTag:
        """Return the short identifier of the incarnation."""
        return _find_tag(self.server, self.born)


@lru_cache(maxsize=_MAX_TAGS)
def _find_tag(server: ServerId, born: int) -> ServerTag:
    return ServerTag(crc32(f'{server}.{born}'.encode()))


@dataclass(frozen=True, slots=True)
class Server:
    """Hold a server's own registered entry."""

    life: ServerIncarnation
    service: ServiceName
    host: str
    port: int
    zone: ZoneName
    slots: int
    draining: bool
    # Remaining warm-up time, in which the server works slower.
    warm_up_left: Seconds
    # Number of the server's write, which rises within an incarnation.  The store
    # adds no record for a write that changes nothing else.
    sequence: int = field(default=NO_SEQUENCE, compare=False)

    def is_older(self, other: 'Server') -> bool:
        """Return whether this entry was written before another one."""
        if self.life != other.life:
            return self.life.born < other.life.born
        return self.sequence < other.sequence


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """Report that a server's entry was removed."""

    server: ServerId


ServerChange = Server | ServerRemoved


@dataclass(frozen=True, slots=True)
class _WithheldServer:
    server: Server
    until: Seconds


@dataclass(slots=True)
class DepartedServers:
    """Remember servers that were removed, so that no old entry adds them."""

    # Last entries of the servers.
    newest: dict[ServerId, Server] = field(default_factory=dict)
    # Entries that were not written since; the store may list them only because
    # it came back from a copy.
    withheld: dict[ServerId, _WithheldServer] = field(default_factory=dict)

    def record(self, server: Server) -> None:
        """Record the removal of a server."""
        name = server.life.server
        self.newest.pop(name, None)
        self.newest[name] = server
        if len(self.newest) > _MAX_DEPARTED:
            self.newest.pop(next(iter(self.newest)))

    def withhold(self, server: Server, now: Seconds) -> bool:
        """Withhold the entry of a departed server unless it is a newer one."""
        name = server.life.server
        last = self.newest.get(name)
        if last is None or last.is_older(server):
            return False
        if server.life == last.life and server.sequence == NO_SEQUENCE:
            return False
        until = Seconds(now + _WITHHOLDING_TIME)
        self.withheld.setdefault(name, _WithheldServer(server, until))
        return True

    def discard_withheld(self, name: ServerId) -> None:
        """Discard the withheld entry of a server, if any."""
        self.withheld.pop(name, None)

    def pop_due(self, now: Seconds) -> list[Server]:
        """Return the entries that the store has kept, and forget them."""
        due = [
            entry.server
            for entry in self.withheld.values()
            if entry.until <= now
        ]
        for server in due:
            self.withheld.pop(server.life.server)
            self.newest.pop(server.life.server, None)
        return due


@dataclass(slots=True)
class ZoneServers:
    """Treat the servers of drained zones as draining; keep their own entries."""

    drained: frozenset[ZoneName] = frozenset()
    # Time from which the servers of each drained zone get no requests for the keys
    # that they hold.
    ends: dict[ZoneName, Seconds] = field(default_factory=dict)
    # Time as of which the drained zones are known; None before the first read.
    known_at: Seconds | None = None
    # Entries of the servers there that have not asked to drain themselves.
    declared: dict[ServerId, Server] = field(default_factory=dict)

    def apply(self, server: Server) -> Server:
        """Return the entry that is used for a server."""
        name = server.life.server
        if server.draining or server.zone not in self.drained:
            self.declared.pop(name, None)
            return server
        self.declared[name] = server
        return replace(server, draining=True)

    def find_declared(self, server: Server) -> Server:
        """Return a server's entry as the server has written it."""
        return self.declared.get(server.life.server, server)


@dataclass(slots=True)
class ColdTimes:
    """Hold the times until which servers are cold."""

    until: dict[ServerIncarnation, Seconds] = field(default_factory=dict)

    def extend(self, incarnation: ServerIncarnation, until: Seconds) -> None:
        """Take a server to be cold at least until a time."""
        known = self.until.get(incarnation, until)
        self.until[incarnation] = max(known, until)


@dataclass(slots=True)
class ServerRegistry:
    """Hold the newest entry of each server."""

    servers: dict[ServerId, Server] = field(default_factory=dict)
    by_tag: dict[ServerTag, Server] = field(default_factory=dict)
    by_service: dict[ServiceName, dict[ServerId, Server]] = field(
        default_factory=dict,
    )
    # Entries that may only have lapsed with the store; each is removed at the
    # given time unless it is seen again.
    deferred_removals: dict[ServerId, Seconds] = field(default_factory=dict)
    # Time at which an incarnation was first seen, for its warm-up.
    first_seen_at: dict[ServerIncarnation, Seconds] = field(
        default_factory=dict
    )
    # True once all entries were listed: those seen later are of new servers.
    listed: bool = False
    cold: ColdTimes = field(default_factory=ColdTimes)
    # Time at which an incarnation was first seen draining.
    draining_since: dict[ServerIncarnation, Seconds] = field(
        default_factory=dict
    )
    lapses: LapseWindow = field(default_factory=LapseWindow)
    departed: DepartedServers = field(default_factory=DepartedServers)
    # Incarnations that have said in an answer that they leave, and since when it
    # is known; their entries may say that they are ready.
    leaving: dict[ServerIncarnation, Seconds] = field(default_factory=dict)
    zones: ZoneServers = field(default_factory=ZoneServers)
    # Incremented whenever an incarnation is replaced or removed.
    departures: int = 0

    def find_incarnation(self, incarnation: ServerIncarnation) -> Server | None:
        """Return the entry of a server if its incarnation is still the same."""
        server = self.servers.get(incarnation.server)
        return (
            server
            if server is not None and server.life == incarnation
            else None
        )

    def may_serve(self, server: Server, now: Seconds) -> bool:
        """Return whether a server may still get requests for its keys."""
        if now >= self.zones.ends.get(server.zone, inf):
            return False
        if server.life.server in self.zones.declared:
            return True
        leaving = self.draining_since.get(server.life, now)
        return now - leaving < MAX_DRAINING_USE

    def list_service(self, service: ServiceName) -> Iterator[Server]:
        """Yield the servers of a service."""
        yield from self.by_service.get(service, {}).values()

    def list_usable(self) -> set[ServerTag]:
        """Return the tags of the servers that are not draining."""
        return {
            tag for tag, server in self.by_tag.items() if not server.draining
        }

    def record_leaving(
        self, incarnation: ServerIncarnation, now: Seconds
    ) -> bool:
        """Record that a server says it leaves; return whether that is new."""
        if incarnation in self.leaving:
            return False
        self.leaving[incarnation] = now
        if len(self.leaving) > _MAX_DEPARTED:
            self.leaving.pop(next(iter(self.leaving)))
        known = self.find_incarnation(incarnation)
        if known is not None:
            self.put(known, now)
        return True

    def list_leaving(self) -> tuple[ServerTag, ...]:
        """Return the registered servers that have said that they leave."""
        return tuple(
            incarnation.tag
            for incarnation in self.leaving
            if incarnation.tag in self.by_tag
        )

    def put(self, server: Server, now: Seconds) -> bool:
        """Store an entry; return whether it changed in a way that matters."""
        if server.life in self.leaving and not server.draining:
            server = replace(server, draining=True)
        name = server.life.server
        known = self.servers.get(name)
        if known is None:
            if self.departed.withhold(server, now):
                return False
        elif server.is_older(known):
            return False
        self.deferred_removals.pop(name, None)
        self.departed.discard_withheld(name)
        if known is not None:
            self._replace(known, server)
        if _is_new(self, server):
            self.cold.extend(server.life, Seconds(now + _START_TIME))
        server = self.zones.apply(server)
        self.servers[name] = server
        self.by_tag[server.life.tag] = server
        group = self.by_service.setdefault(server.service, {})
        group[name] = server
        self.first_seen_at.setdefault(server.life, now)
        if server.warm_up_left > 0:
            self.cold.extend(server.life, Seconds(now + server.warm_up_left))
        if server.draining:
            since = self.leaving.get(server.life, now)
            self.draining_since.setdefault(server.life, since)
        else:
            self.draining_since.pop(server.life, None)
        return known is None or _is_significant(known, server)

    def admit_withheld(self, now: Seconds) -> list[Server]:
        """Take in the withheld entries that the store has kept; return them."""
        due = self.departed.pop_due(now)
        return [server for server in due if self.put(server, now)]

    def remove(self, server: ServerId, now: Seconds) -> bool:
        """Remove an entry or defer its removal; return whether it is gone."""
        self.departed.discard_withheld(server)
        known = self.servers.get(server)
        if known is None:
            return False
        until = self.lapses.find_end(self.first_seen_at[known.life])
        if now < until and not known.draining:
            self.deferred_removals.setdefault(server, until)
            return False
        return self.discard(server)

    def discard(self, server: ServerId) -> bool:
        """Remove an entry at once; return whether it was known."""
        self.departed.discard_withheld(server)
        known = self.servers.get(server)
        if known is None:
            return False
        self._drop(known)
        return True

    def expire(self, now: Seconds) -> list[ServerId]:
        """Remove the entries whose deferral has ended; return them."""
        gone = [
            name
            for name, until in self.deferred_removals.items()
            if until <= now
        ]
        for name in gone:
            known = self.servers.get(name)
            if known is not None:
                self._drop(known)
            self.deferred_removals.pop(name, None)
        return gone

    def keep_only(
        self,
        present: Iterable[ServerId],
        now: Seconds,
    ) -> list[ServerId]:
        """Remove the entries that a complete listing lacks; return them."""
        self.listed = True
        absent = (
            self.servers.keys() | self.departed.withheld.keys()
        ).difference(present)
        return [name for name in sorted(absent) if self.remove(name, now)]

    def list_rewritten(self, entries: Iterable[Server]) -> set[ServerId]:
        """List known servers whose unchanged entries have a new record.

        The store adds such a record only if the entry was gone.
        """
        return {
            entry.life.server for entry in entries if _is_rewritten(self, entry)
        }

    def _replace(self, known: Server, server: Server) -> None:
        if known.service != server.service:
            self._drop(known)
        self.by_tag.pop(known.life.tag, None)
        if known.life != server.life:
            self.departures += 1
            self.cold.until.pop(known.life, None)

    def _drop(self, server: Server) -> None:
        name = server.life.server
        self.departures += 1
        self.departed.record(server)
        self.servers.pop(name, None)
        self.deferred_removals.pop(name, None)
        self.by_tag.pop(server.life.tag, None)
        self.first_seen_at.pop(server.life, None)
        self.draining_since.pop(server.life, None)
        self.cold.until.pop(server.life, None)
        self.zones.declared.pop(name, None)
        self.by_service.get(server.service, {}).pop(name, None)


def _is_new(registry: ServerRegistry, server: Server) -> bool:
    """Return whether a server has started since all entries were listed."""
    if not registry.listed or server.life in registry.first_seen_at:
        return False
    last = registry.departed.newest.get(server.life.server)
    return last is None or last.life != server.life


def _is_rewritten(registry: ServerRegistry, entry: Server) -> bool:
    known = registry.servers.get(entry.life.server)
    if known is None or registry.zones.find_declared(known) != entry:
        return False
    return known.is_older(entry)


def _is_significant(known: Server, server: Server) -> bool:
    return (
        known.life != server.life
        or (not known.warm_up_left and server.warm_up_left > 0)
        or known.draining != server.draining
        or (known.host, known.port) != (server.host, server.port)
    )
