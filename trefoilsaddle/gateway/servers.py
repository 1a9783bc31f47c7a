"""Know the servers that registered, and tell when one is gone.

An entry that is removed just after the store was away may only have lapsed
with it: it stays in use for `LAPSE_GRACE` after the store is back, unless it
appears again in that time.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from functools import lru_cache
from typing import NewType
from zlib import crc32

from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName

# Entries that lapsed with the store are back within two seconds (letter).
LAPSE_GRACE = Seconds(2.2)

# Heartbeat intervals from the last look at the store until an entry can lapse.
_MIN_LAPSE_HEARTBEATS = 2

# A leaving server gets no new work 2.5 s after it said so (`drain`); it is
# known up to a second later.
MAX_DRAINING_USE = Seconds(1.2)

# Short name of a run of a server in messages between gateways.
ServerTag = NewType('ServerTag', int)
# More runs than are known at a time.
_MAX_TAGS = 16_384


@dataclass(frozen=True, slots=True, order=True)
class ServerIncarnation:
    """Identify one run of a server: it knows nothing of earlier runs."""

    server: ServerId
    # Time of day of its start, in milliseconds.
    born: int

    @property
    def tag(self) -> ServerTag:
        """Return the short name of the run."""
        return _find_tag(self.server, self.born)


@lru_cache(maxsize=_MAX_TAGS)
def _find_tag(server: ServerId, born: int) -> ServerTag:
    return ServerTag(crc32(f'{server}.{born}'.encode()))


@dataclass(frozen=True, slots=True)
class Server:
    """Hold what a server says of itself."""

    life: ServerIncarnation
    service: ServiceName
    host: str
    port: int
    zone: ZoneName
    slots: int
    draining: bool
    # Time until which it works slower after its start.
    warm_up_left: Seconds


@dataclass(frozen=True, slots=True)
class ServerRemoved:
    """Report that the entry of a server is gone."""

    server: ServerId


ServerChange = Server | ServerRemoved


@dataclass(slots=True)
class ServerRegistry:
    """Hold the newest entry of each server."""

    servers: dict[ServerId, Server] = field(default_factory=dict)
    by_tag: dict[ServerTag, Server] = field(default_factory=dict)
    by_service: dict[ServiceName, dict[ServerId, Server]] = field(
        default_factory=dict,
    )
    # Entries that may only have lapsed with the store, and until when.
    deferred_removals: dict[ServerId, Seconds] = field(default_factory=dict)
    # Time at which a server was first seen, for its warm-up.
    first_seen_at: dict[ServerIncarnation, Seconds] = field(
        default_factory=dict
    )
    # Time at which a server was first seen to be leaving.
    draining_since: dict[ServerIncarnation, Seconds] = field(
        default_factory=dict
    )
    # Until when removals are doubted.
    removals_deferred_until: Seconds = Seconds(0)
    # Time of the newest look at the entries that this book knows of.
    read_at: Seconds | None = None

    def record_read(self, read_at: Seconds) -> None:
        """Take note of a look at the entries, by any gateway."""
        self.read_at = Seconds(max(read_at, self.read_at or 0))

    def defer_removals(self, now: Seconds, heartbeat: Seconds) -> None:
        """Doubt what is gone when the store is back, if it may have lapsed."""
        if self.read_at is None:
            return
        # The last heartbeat came up to one interval before the last look, and
        # an entry lapses after three: while one gateway is turned away and
        # others look, nothing lapses.
        if now - self.read_at >= _MIN_LAPSE_HEARTBEATS * heartbeat:
            self.removals_deferred_until = Seconds(now + LAPSE_GRACE)

    def find_incarnation(self, incarnation: ServerIncarnation) -> Server | None:
        """Return the entry of a server if it still is in that run."""
        server = self.servers.get(incarnation.server)
        return (
            server
            if server is not None and server.life == incarnation
            else None
        )

    def may_serve(self, server: Server, now: Seconds) -> bool:
        """Tell whether a server may still get requests for its keys."""
        leaving = self.draining_since.get(server.life, now)
        return now - leaving < MAX_DRAINING_USE

    def list_service(self, service: ServiceName) -> Iterator[Server]:
        """Yield the servers of a service."""
        yield from self.by_service.get(service, {}).values()

    def put(self, server: Server, now: Seconds) -> bool:
        """Take an entry; tell whether it changed what is believed."""
        known = self.servers.get(server.life.server)
        self.deferred_removals.pop(server.life.server, None)
        if known == server:
            return False
        if known is not None and known.life.born > server.life.born:
            return False
        if known is not None and known.service != server.service:
            self._drop(known)
        if known is not None:
            self.by_tag.pop(known.life.tag, None)
        self.servers[server.life.server] = server
        self.by_tag[server.life.tag] = server
        group = self.by_service.setdefault(server.service, {})
        group[server.life.server] = server
        self.first_seen_at.setdefault(server.life, now)
        if server.draining:
            self.draining_since.setdefault(server.life, now)
        return known is None or _is_significant(known, server)

    def remove(self, server: ServerId, now: Seconds) -> bool:
        """Remove an entry, or doubt it; tell whether it is gone."""
        known = self.servers.get(server)
        if known is None:
            return False
        if now < self.removals_deferred_until and not known.draining:
            self.deferred_removals.setdefault(
                server, self.removals_deferred_until
            )
            return False
        self._drop(known)
        return True

    def expire(self, now: Seconds) -> list[ServerId]:
        """Remove entries that were doubted for too long; return them."""
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
        """Remove every entry that a whole listing lacks; return them."""
        absent = set(self.servers).difference(present)
        return [name for name in sorted(absent) if self.remove(name, now)]

    def _drop(self, server: Server) -> None:
        name = server.life.server
        self.servers.pop(name, None)
        self.deferred_removals.pop(name, None)
        self.by_tag.pop(server.life.tag, None)
        self.first_seen_at.pop(server.life, None)
        self.draining_since.pop(server.life, None)
        self.by_service.get(server.service, {}).pop(name, None)


def _is_significant(known: Server, server: Server) -> bool:
    return (
        known.life != server.life
        or known.draining != server.draining
        or (known.host, known.port) != (server.host, server.port)
    )
