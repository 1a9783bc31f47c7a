"""Read and write the topics of the platform's metadata store."""

import json
from base64 import b64decode
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from http import HTTPStatus
from types import MappingProxyType
from typing import Annotated, TypeVar
from urllib.parse import urlencode

import trio
from pydantic import BeforeValidator, Field, ValidationError

from trefoilsaddle.clock import Clock
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import (
    NO_ERA,
    Offset,
    Seconds,
    ServerId,
    StoreEra,
    ZoneName,
)
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import AppendTable, JoinGroup, ReadTopic
from trefoilsaddle.gateway.events import (
    AppendEnded,
    AppendVerdict,
    JoinEnded,
    ReadVerdict,
    Topic,
    TopicEntry,
    TopicRead,
)
from trefoilsaddle.gateway.servers import ServerRemoved
from trefoilsaddle.gateway.table import StoredTable
from trefoilsaddle.gateway.zones import ZoneDrain
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.messages import (
    Fault,
    HttpAnswer,
    HttpRequest,
    parse_number,
)
from trefoilsaddle.http.pool import ConnectionPool
from trefoilsaddle.platform.configuration import decode_configuration
from trefoilsaddle.platform.durations import write_duration
from trefoilsaddle.platform.entries import decode_entry
from trefoilsaddle.platform.headers import (
    HOST,
    JSON_TYPE,
    LENGTH,
    STORE_ERA,
)
from trefoilsaddle.platform.models import WireModel
from trefoilsaddle.platform.records import (
    KeyedRecord,
    decode_page,
    encode_keyed,
)
from trefoilsaddle.ports import Store
from trefoilsaddle.wire.gatewaycodec import decode_table, encode_table

_APPEND = '/trefoilsaddle/log-append'
_READ = '/trefoilsaddle/log-read'
_NEWEST = '/trefoilsaddle/log-newest'
_JOIN = '/trefoilsaddle/log-join'
_LEAVE = '/trefoilsaddle/log-leave'

# Names of the topics; `keyed.` ones retain the newest record of each key.
_TOPICS: Mapping[Topic, str] = MappingProxyType(
    {
        Topic.configuration: 'keyed.op',
        Topic.servers: 'keyed.servers',
        Topic.ownership: 'keyed.owners',
    }
)
_CONFIGURATION_KEY = 'config'
# Prefix of the key of a record that asks to drain a zone; the record has no value
# once the zone is to be used again.
_DRAIN_PREFIX = 'evacuate/'
_GROUP = 'gateways'
# The member that is assigned the last partition of this topic is the
# controller.  When members join, a member gives up its first partitions first,
# so the last partition stays where it is.
_GROUP_TOPIC = 'controller'
_FIRST_PARTITION = 0
# Seconds.  The store answers within 4 ms, or 60 times that when it is slow.
_CALL_TIMEOUT = Seconds(0.9)
_CONNECT_TIMEOUT = Seconds(0.6)
# A page holds 1 MB of records, which base64 makes a third larger, and 500 keys.
_MAX_ANSWER_BYTES = 4_194_304
# Limit in bytes on all pages of the newest records together.
_MAX_NEWEST_BYTES = 33_554_432
_MILLISECONDS = 1000


class _WireJoined(WireModel):
    generation: int
    # Topic, partition and committed offset of each partition assigned to the
    # member.
    parts: list[tuple[str, int, int]]


class _WireItem(WireModel):
    key: str
    body: Annotated[bytes, BeforeValidator(b64decode)] = Field(
        default=b'',
        alias='value',
    )
    offset: int


class _WireGone(WireModel):
    # First offset that the store still has.
    first: int


class _WireAppended(WireModel):
    # Offset of the first record that was appended.
    offset: int | None = None


class _WireNewest(WireModel):
    # One page of the newest records by key.
    records: list[_WireItem] = Field(alias='items')
    more: bool
    end: int


_Body = TypeVar('_Body', bound=WireModel)


@dataclass(frozen=True, slots=True)
class _Newest:
    """Hold one page of the newest records, decoded."""

    records: tuple[KeyedRecord, ...]
    more: bool
    end: Offset
    era: StoreEra


def _measure(record: KeyedRecord) -> int:
    return len(record.name) + len(record.body)


class PlatformStore(Store):
    """Access the store over HTTP."""

    def __init__(
        self,
        host: str,
        port: int,
        member: str,
        clock: Clock,
        partitions: int = 1,
    ) -> None:
        """Prepare the pool; `member` identifies this process in the group."""
        self._controller_partition = partitions - 1
        self._clock = clock
        self._budget = AnswerBudget(_MAX_ANSWER_BYTES)
        self.traffic = self._budget.traffic
        self._address = (host, port)
        # Answers name no call: connections are shared only by calls to one path
        # on one topic, so that a late answer is none to a call of another kind.
        self._pools: dict[tuple[str, object], ConnectionPool] = {}
        self._host = f'{host}:{port}'.encode()
        self._member = member

    def list_pools(self) -> Iterable[ConnectionPool]:
        """Return the connection pools of all kinds of calls."""
        return self._pools.values()

    async def read(self, effect: ReadTopic) -> TopicRead:
        """Read a topic from an offset, or the newest record of each key."""
        asked_at = self._clock.read_monotonic()
        if effect.offset is None:
            return await self._read_newest(effect, asked_at)
        return await self._read_from(effect, effect.offset, asked_at)

    async def append(self, effect: AppendTable) -> AppendEnded:
        """Append a table if the topic ends at the expected offset."""
        table = effect.table
        encoded = encode_table(table)
        body = encode_keyed(table.service.encode(), encoded)
        query = {
            'topic': _TOPICS[Topic.ownership],
            'part': _FIRST_PARTITION,
            'at': effect.expected,
        }
        answer = await self._call(b'POST', _APPEND, query, body)
        verdict = _evaluate_append(answer, effect.expected)
        era = _find_era(answer)
        if verdict == AppendVerdict.conflict and era == table.era:
            verdict = await self._check_stored(effect, encoded)
        return AppendEnded(table.service, table.sequence, verdict, era)

    async def join(self, effect: JoinGroup) -> JoinEnded:
        """Join the group of gateways, or renew the membership."""
        asked_at = self._clock.read_monotonic()
        body: dict[str, object] = {
            'group': _GROUP,
            'member': self._member,
            'topics': [_GROUP_TOPIC],
            # Time after which the store removes a silent member.
            'ttl_time': write_duration(effect.lease),
            'generation': effect.generation,
        }
        answer = await self._call(b'POST', _JOIN, {}, body)
        joined = _read_body(answer, _WireJoined)
        if joined is None:
            return JoinEnded(
                answered=False,
                generation=effect.generation,
                leads=False,
                asked_at=asked_at,
            )
        partitions = [row[1] for row in joined.parts]
        return JoinEnded(
            answered=True,
            generation=joined.generation,
            leads=self._controller_partition in partitions,
            asked_at=asked_at,
            era=_find_era(answer),
        )

    async def leave(self) -> None:
        """Leave the group of gateways."""
        body: dict[str, object] = {
            'group': _GROUP,
            'member': self._member,
        }
        await self._call(b'POST', _LEAVE, {}, body)

    def decode_configuration(self, encoded: bytes) -> Configuration | Failure:
        """Decode a configuration that another gateway sent."""
        return decode_configuration(encoded)

    async def _read_from(
        self,
        effect: ReadTopic,
        offset: Offset,
        asked_at: Seconds,
    ) -> TopicRead:
        query: dict[str, object] = {
            'topic': _TOPICS[effect.topic],
            'part': _FIRST_PARTITION,
            'from': offset,
        }
        if effect.wait:
            query['waitMs'] = int(effect.wait * _MILLISECONDS)
        timeout = Seconds(effect.wait + _CALL_TIMEOUT)
        answer = await self._call(b'GET', _READ, query, b'', timeout)
        era = _find_era(answer)
        if _is_expired(effect, answer):
            return _fail_read(effect, ReadVerdict.expired, asked_at, era)
        page = None
        if isinstance(answer, HttpAnswer) and answer.status == HTTPStatus.OK:
            page = decode_page(answer.body, offset)
        if page is None:
            return _fail_read(effect, ReadVerdict.unavailable, asked_at, era)
        return TopicRead(
            effect.topic,
            ReadVerdict.records,
            whole=False,
            next_offset=Offset(offset + len(page)),
            entries=_decode_all(effect.topic, page),
            asked_at=asked_at,
            era=era,
        )

    async def _read_newest(
        self,
        effect: ReadTopic,
        asked_at: Seconds,
    ) -> TopicRead:
        pages = await self._read_pages(effect.topic)
        if pages is None:
            return _fail_read(effect, ReadVerdict.unavailable, asked_at)
        first, last = pages[0], pages[-1]
        if last.era != first.era:
            # The store came back from a copy between two pages.
            return _fail_read(effect, ReadVerdict.expired, asked_at, last.era)
        records = [record for page in pages for record in page.records]
        return TopicRead(
            effect.topic,
            ReadVerdict.records,
            whole=True,
            # The pages are not one snapshot: continue from the end of the
            # first page, so that no later record is missed.
            next_offset=first.end,
            entries=_decode_all(effect.topic, records),
            asked_at=asked_at,
            era=first.era,
        )

    async def _read_pages(self, topic: Topic) -> list[_Newest] | None:
        """Read pages up to the last one, or the first one of another era.

        None if a page is missing, or if they are too large together.
        """
        pages: list[_Newest] = []
        after = ''
        more = True
        left = _MAX_NEWEST_BYTES
        while more:
            page = await self._read_newest_page(topic, after)
            if page is None:
                return None
            pages.append(page)
            left -= sum(map(_measure, page.records))
            if left < 0:
                return None
            more = page.more and bool(page.records)
            more = more and page.era == pages[0].era
            if more:
                after = page.records[-1].name
        return pages

    async def _read_newest_page(
        self,
        topic: Topic,
        after: str,
    ) -> _Newest | None:
        query: dict[str, object] = {
            'topic': _TOPICS[topic],
            'part': _FIRST_PARTITION,
        }
        if after:
            query['after'] = after
        answer = await self._call(b'GET', _NEWEST, query, b'')
        page = _read_body(answer, _WireNewest)
        if page is None:
            return None
        records = tuple(
            KeyedRecord(Offset(entry.offset), entry.key, entry.body)
            for entry in page.records
        )
        return _Newest(records, page.more, Offset(page.end), _find_era(answer))

    async def _check_stored(
        self,
        effect: AppendTable,
        encoded: bytes,
    ) -> AppendVerdict:
        """Check after a conflict whether an earlier call stored this table."""
        query: dict[str, object] = {
            'topic': _TOPICS[Topic.ownership],
            'part': _FIRST_PARTITION,
            'from': effect.expected,
        }
        answer = await self._call(b'GET', _READ, query, b'')
        if isinstance(answer, Fault) or _find_era(answer) != effect.table.era:
            return AppendVerdict.unknown
        if _is_forgotten(answer, effect.expected):
            return await self._check_newest(effect, encoded)
        if answer.status != HTTPStatus.OK:
            return AppendVerdict.unknown
        page = decode_page(answer.body, effect.expected)
        if page and page[0].body == encoded:
            return AppendVerdict.stored
        return AppendVerdict.conflict

    async def _check_newest(
        self,
        effect: AppendTable,
        encoded: bytes,
    ) -> AppendVerdict:
        """Check whether this table is the newest once the history is gone."""
        page = await self._read_newest_page(Topic.ownership, '')
        if page is None or page.era != effect.table.era:
            return AppendVerdict.unknown
        own = KeyedRecord(effect.expected, effect.table.service, encoded)
        if own in page.records:
            return AppendVerdict.stored
        return AppendVerdict.conflict

    async def _call(
        self,
        method: bytes,
        path: str,
        query: dict[str, object],
        body: bytes | dict[str, object],
        timeout: Seconds = _CALL_TIMEOUT,
    ) -> HttpAnswer | Fault:
        target = f'{path}?{urlencode(query)}' if query else path
        encoded = body
        if isinstance(encoded, dict):
            encoded = json.dumps(encoded).encode()
        headers = [(HOST, self._host), (LENGTH, b'%d' % len(encoded))]
        if isinstance(body, dict):
            headers.append(JSON_TYPE)
        request = HttpRequest(method, target.encode(), tuple(headers), encoded)
        pool = self._find_pool(path, query.get('topic'))
        with trio.move_on_after(timeout):
            return await pool.exchange(request)
        return Fault.lost

    def _find_pool(self, path: str, topic: object) -> ConnectionPool:
        pool = self._pools.get((path, topic))
        if pool is None:
            host, port = self._address
            pool = ConnectionPool(
                host,
                port,
                _CONNECT_TIMEOUT,
                budget=self._budget,
                keeps=_is_repeatable,
            )
            self._pools[path, topic] = pool
        return pool


def _is_repeatable(answer: HttpAnswer) -> bool:
    """Return whether a late copy of an answer cannot pass as a refusal."""
    return answer.status == HTTPStatus.OK


def _evaluate_append(
    answer: HttpAnswer | Fault, expected: Offset
) -> AppendVerdict:
    if answer == Fault.unsent:
        return AppendVerdict.refused
    if isinstance(answer, Fault):
        return AppendVerdict.unknown
    if answer.status == HTTPStatus.OK:
        appended = _read_body(answer, _WireAppended)
        if appended is None or appended.offset not in {None, expected}:
            # It is the answer to another call.
            return AppendVerdict.unknown
        return AppendVerdict.stored
    if answer.status == HTTPStatus.PRECONDITION_FAILED:
        return AppendVerdict.conflict
    # Any other status means that nothing was appended.
    return AppendVerdict.refused


def _is_expired(effect: ReadTopic, answer: HttpAnswer | Fault) -> bool:
    """Return whether the store does not have the offset that is read from."""
    if isinstance(answer, Fault):
        return False
    if answer.status == HTTPStatus.GONE:
        return True
    # The offset may be in use again for another record.
    era = _find_era(answer)
    return answer.status == HTTPStatus.OK and era not in {effect.era, NO_ERA}


def _is_forgotten(answer: HttpAnswer, offset: Offset) -> bool:
    """Return whether the store has had an offset and forgotten its record.

    It does not have an offset beyond its end either.
    """
    if answer.status != HTTPStatus.GONE:
        return False
    try:
        gone = _WireGone.model_validate_json(answer.body)
    except ValidationError:
        return False
    return gone.first > offset


def _find_era(answer: HttpAnswer | Fault) -> StoreEra:
    if isinstance(answer, Fault):
        return NO_ERA
    stated = parse_number(answer.find_header(STORE_ERA) or b'')
    return NO_ERA if stated is None else StoreEra(stated)


def _read_body(
    answer: HttpAnswer | Fault,
    model: type[_Body],
) -> _Body | None:
    if isinstance(answer, Fault) or answer.status != HTTPStatus.OK:
        return None
    try:
        return model.model_validate_json(answer.body)
    except ValidationError:
        return None


def _fail_read(
    effect: ReadTopic,
    verdict: ReadVerdict,
    asked_at: Seconds,
    era: StoreEra = NO_ERA,
) -> TopicRead:
    return TopicRead(
        effect.topic,
        verdict,
        whole=False,
        next_offset=effect.offset or Offset(0),
        entries=(),
        asked_at=asked_at,
        era=era,
    )


def _decode_all(
    topic: Topic,
    records: list[KeyedRecord],
) -> tuple[TopicEntry, ...]:
    decoded = (_decode_record(topic, record) for record in records)
    return tuple(entry for entry in decoded if entry is not None)


def _decode_record(topic: Topic, record: KeyedRecord) -> TopicEntry | None:
    match topic:
        case Topic.servers:
            if not record.body:
                return ServerRemoved(ServerId(record.name))
            return decode_entry(record.name, record.body)
        case Topic.configuration:
            return _decode_operator_record(record)
    table = decode_table(record.body)
    if isinstance(table, Failure):
        return None
    return StoredTable(record.offset, table)


def _decode_operator_record(record: KeyedRecord) -> TopicEntry | None:
    if record.name.startswith(_DRAIN_PREFIX):
        zone = ZoneName(record.name.removeprefix(_DRAIN_PREFIX))
        return ZoneDrain(zone, begins=bool(record.body))
    if record.name != _CONFIGURATION_KEY or not record.body:
        return None
    configuration = decode_configuration(record.body)
    return None if isinstance(configuration, Failure) else configuration
