"""Collect the dumps of all processes and format them as a table."""

from dataclasses import dataclass, field

from pydantic import BaseModel, ValidationError
from trio import open_nursery

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.programs.dumpclient import read_dump
from trefoilsaddle.wire.greeting import Identity
from trefoilsaddle.wire.peers import Address

_HEADINGS = ('process', 'site', 'zone', 'role', 'state', 'applied', 'version')
_GAP = '  '


class DocumentStatus(BaseModel):
    """Parse the version of a document that is in force."""

    document: str
    version: int


class KnownProcess(BaseModel):
    """Parse the address and health of a process."""

    node: str
    host: str
    port: int
    health: str


class ProcessStatus(BaseModel):
    """Parse the fields of a dump that the table shows."""

    node: str
    site: str
    zone: str
    dispatches: bool
    stopping: bool
    log_away: bool
    applied: int
    version: int
    documents: tuple[DocumentStatus, ...]
    processes: tuple[KnownProcess, ...]


@dataclass(frozen=True, slots=True)
class StatusRow:
    """Hold the dump of one process, or None if it did not answer."""

    address: Address
    dump: ProcessStatus | None


@dataclass(slots=True)
class _Collector:
    identity: Identity
    rows: dict[Address, StatusRow] = field(default_factory=dict)

    async def request_dump(self, address: Address) -> None:
        text = await read_dump(self.identity, address)
        status = None if isinstance(text, Failure) else _parse_dump(text)
        self.rows[address] = StatusRow(address, status)

    def list_unqueried(self) -> set[Address]:
        known: set[Address] = set()
        for row in self.rows.values():
            if row.dump is not None:
                known.update(_list_addresses(row.dump))
        return known - set(self.rows)


async def collect_rows(
    identity: Identity,
    addresses: list[Address],
) -> list[StatusRow]:
    """Request dumps from processes and from all processes known to them."""
    collector = _Collector(identity)
    unqueried = set(addresses)
    while unqueried:
        async with open_nursery() as nursery:
            for address in unqueried:
                nursery.start_soon(collector.request_dump, address)
        unqueried = collector.list_unqueried()
    return sorted(collector.rows.values(), key=_sort_key)


def write_table(rows: list[StatusRow]) -> str:
    """Format one line per process, with the version of each document."""
    documents = sorted({name for row in rows for name in _versions(row)})
    table = [
        [*_HEADINGS, *documents],
        *[_write_row(row, documents) for row in rows],
    ]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    return '\n'.join(
        _GAP.join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in table
    )


def _write_row(row: StatusRow, documents: list[str]) -> list[str]:
    dump = row.dump
    if dump is None:
        return _write_unanswered(row, len(documents))
    versions = _versions(row)
    return [
        dump.node,
        dump.site,
        dump.zone,
        'dispatcher' if dump.dispatches else 'entry',
        _describe_state(dump),
        str(dump.applied),
        str(dump.version),
        *[str(versions.get(name, '-')) for name in documents],
    ]


def _describe_state(dump: ProcessStatus) -> str:
    if dump.stopping:
        return 'stopping'
    return 'log away' if dump.log_away else 'running'


def _write_unanswered(row: StatusRow, documents: int) -> list[str]:
    address = row.address
    cells = [f'{address.host}:{address.port}', '-', '-', '-', 'no answer']
    blanks = ('-' for _ in range(2 + documents))
    return [*cells, *blanks]


def _versions(row: StatusRow) -> dict[str, int]:
    if row.dump is None:
        return {}
    return {part.document: part.version for part in row.dump.documents}


def _list_addresses(dump: ProcessStatus) -> set[Address]:
    return {
        Address(process.host, process.port)
        for process in dump.processes
        if process.health != 'dead'
    }


def _sort_key(row: StatusRow) -> tuple[str, str, int]:
    name = '' if row.dump is None else row.dump.node
    return (name, row.address.host, row.address.port)


def _parse_dump(text: str) -> ProcessStatus | None:
    try:
        return ProcessStatus.model_validate_json(text)
    except ValidationError:
        return None
