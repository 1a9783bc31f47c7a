"""Perform the effects that call the platform or backend servers."""

from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from trefoilsaddle.backend.client import BackendClient
from trefoilsaddle.clock import Clock
from trefoilsaddle.core.effects import (
    AppendRecords,
    Effect,
    ListHosts,
    ReadLog,
    RunAttempt,
    SendGrant,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import (
    Event,
    HostListFailed,
    HostsListed,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
)
from trefoilsaddle.logservice.hostlist import HostList
from trefoilsaddle.logservice.logclient import LogClient

Exchange = Callable[[Any], Awaitable[Event]]


@dataclass(frozen=True, slots=True)
class Exchanges:
    """Hold the clients that effects are performed with."""

    clock: Clock
    log: LogClient
    hosts: HostList
    backends: BackendClient

    def list_exchanges(self) -> Mapping[type[Effect], Exchange]:
        """Return the function that performs each effect and gives its event."""
        return MappingProxyType(
            {
                ReadLog: self._read_log,
                AppendRecords: self._append_records,
                ListHosts: self._list_hosts,
                SendGrant: self.backends.send_grant,
                RunAttempt: self.backends.run_attempt,
            }
        )

    async def _read_log(self, effect: ReadLog) -> Event:
        sent = self.clock.read_monotonic()
        page = await self.log.read(effect.start)
        if isinstance(page, Failure):
            return LogReadFailed(page)
        return LogRead(page.entries, page.first, page.tail, sent)

    async def _append_records(self, effect: AppendRecords) -> Event:
        record_ids = tuple(record.record_id for record in effect.records)
        offset = await self.log.append(effect.records)
        if isinstance(offset, Failure):
            return LogAppendFailed(record_ids, offset)
        return LogAppended(record_ids, offset)

    async def _list_hosts(self, effect: ListHosts) -> Event:
        hosts = await self.hosts.read()
        if isinstance(hosts, Failure):
            return HostListFailed(hosts)
        return HostsListed(hosts)
