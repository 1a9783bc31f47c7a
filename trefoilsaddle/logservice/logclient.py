"""Read and append to the platform's log service.

The platform must guarantee that a read sees every append that was
acknowledged before the read was sent.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from pydantic import BaseModel, NonNegativeInt, ValidationError
from pydantic_core import to_json as write_json

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.records import LogEntry, Record
from trefoilsaddle.core.units import Offset
from trefoilsaddle.logservice.exchange import (
    ServiceAddress,
    ServiceExchange,
    ServiceRequest,
)
from trefoilsaddle.logservice.recordcodec import decode_records, encode_records
from trefoilsaddle.results import ResultCode

# Maximum number of entries per read.
_PAGE_LIMIT = 256


@dataclass(frozen=True, slots=True)
class LogPage:
    """Result of one read of the log."""

    # In order and without gaps; an entry that cannot be decoded has no records.
    entries: tuple[LogEntry, ...]
    # Oldest offset that the log still holds.
    first: Offset
    # Offset after the newest entry at the time of the read.
    tail: Offset
    # Number of entries that could not be decoded.
    refused: int = 0


class LogClient(ABC):
    """Interface to the log; a failed append may still have taken effect."""

    @abstractmethod
    async def read(self, start: Offset) -> LogPage | Failure:
        """Read entries from an offset (log_unavailable)."""

    @abstractmethod
    async def append(self, records: tuple[Record, ...]) -> Offset | Failure:
        """Append records as one entry (log_unavailable)."""

    @abstractmethod
    async def aclose(self) -> None:
        """Close the connections to the log service."""


class _WrittenEntry(BaseModel):
    offset: NonNegativeInt
    text: str


class _WrittenPage(BaseModel):
    first: NonNegativeInt
    tail: NonNegativeInt
    entries: list[_WrittenEntry]


class _WrittenOffset(BaseModel):
    offset: NonNegativeInt


class HttpLogClient(LogClient):
    """Client for the log service over HTTP."""

    def __init__(self, address: ServiceAddress) -> None:
        """Open no connection before the first request."""
        self._exchange = ServiceExchange(address)

    async def read(self, start: Offset) -> LogPage | Failure:
        """Read entries from an offset (log_unavailable)."""
        # A process that has read nothing passes -1 or 0; both read from 0.
        path = f'/entries?from={max(0, start)}&limit={_PAGE_LIMIT}'
        body = await self._exchange.request(ServiceRequest('GET', path))
        if isinstance(body, Failure):
            return body
        try:
            page = _WrittenPage.model_validate_json(body)
        except ValidationError:
            return _build_invalid_answer()
        return _read_page(page, start)

    async def append(self, records: tuple[Record, ...]) -> Offset | Failure:
        """Append records as one entry (log_unavailable)."""
        text = write_json({'text': encode_records(records)})
        request = ServiceRequest('POST', '/append', text)
        body = await self._exchange.request(request)
        if isinstance(body, Failure):
            return body
        try:
            written = _WrittenOffset.model_validate_json(body)
        except ValidationError:
            return _build_invalid_answer()
        return Offset(written.offset)

    async def aclose(self) -> None:
        """Close the connections to the log service."""
        await self._exchange.aclose()


def _read_page(page: _WrittenPage, start: Offset) -> LogPage | Failure:
    expected = max(0, start, page.first)
    entries = []
    refused = 0
    for written in page.entries:
        if written.offset != expected:
            return _build_invalid_answer()
        expected += 1
        records = decode_records(written.text)
        if isinstance(records, Failure):
            refused += 1
            records = ()
        entries.append(LogEntry(Offset(written.offset), records))
    if entries and expected > page.tail:
        return _build_invalid_answer()
    return LogPage(
        tuple(entries),
        Offset(page.first),
        Offset(page.tail),
        refused,
    )


def _build_invalid_answer() -> Failure:
    return Failure(
        ResultCode.log_unavailable, 'the answer of the log service is invalid'
    )
