"""In-memory store and backend server of the users' platform, for tests.

Only what the adapter uses is implemented.  The names on the wire are those of
the platform.
"""

import json
from base64 import b64encode
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from urllib.parse import parse_qs

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.callers import CallerConnection
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService
from trefoilsaddle.http.requests import BadInput

_LIMITS = CallerLimits(65_536, 4_194_304, Seconds(5), Seconds(30))
_LENGTH_BYTES = 4
_NUMBER_BYTES = 8
_JSON = (b'content-type', b'application/json')
# Topics whose lost records their writers write again.
_WRITTEN_BY_OTHERS = ('keyed.op', 'keyed.servers')


class _StandInService(CallerService):
    """HTTP service of a stand-in on a free loopback port."""

    def read_limits(self) -> CallerLimits:
        """Return limits that no test request exceeds."""
        return _LIMITS

    def is_closing(self) -> bool:
        """Keep connections open."""
        return False

    def is_idempotent(self, request: HttpRequest) -> bool:
        """Answer one request after the other."""
        return False

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Answer malformed input with its status code."""
        return HttpAnswer(bad.status, ())

    async def serve(
        self,
        *,
        task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve on a free port until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        port = listeners[0].socket.getsockname()[1]
        task_status.started(port)
        await trio.serve_listeners(self._serve_stream, listeners)

    async def _serve_stream(self, stream: trio.SocketStream) -> None:
        await CallerConnection(self, stream).serve()


def _write_json(status: int, body: dict[str, object]) -> HttpAnswer:
    return HttpAnswer(status, (_JSON,), json.dumps(body).encode())


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Hold the contents of the store at some time."""

    topics: dict[str, list[bytes]]
    members: list[str]
    holders: dict[int, str]
    generation: int


@dataclass(slots=True)
class StoreStandIn(_StandInService):
    """Store with single-partition topics and one consumer group."""

    topics: dict[str, list[bytes]] = field(default_factory=dict)
    members: list[str] = field(default_factory=list)
    # Member that holds each partition of the group's topic, by partition.
    holders: dict[int, str] = field(default_factory=dict)
    partition_count: int = 1
    generation: int = 0
    # Oldest retained offset of each topic.
    first_offsets: dict[str, int] = field(default_factory=dict)
    # Number of future appends that are stored but not answered.
    lost_answers: int = 0
    refusing: bool = False
    # Number that each answer states; it rises with each return from a copy.
    era: int = 1
    changed: trio.Event = field(default_factory=trio.Event)

    def put(self, topic: str, key: str, encoded: bytes) -> None:
        """Write a record to a keyed topic, as an operator or server would."""
        name = key.encode()
        self._store_record(topic, bytes((len(name),)) + name + encoded)

    def copy(self) -> StoreCopy:
        """Return a copy of the contents."""
        topics = {name: list(log) for name, log in self.topics.items()}
        return StoreCopy(
            topics, list(self.members), dict(self.holders), self.generation
        )

    def restore(self, copy: StoreCopy) -> None:
        """Come back from a copy; only operator and servers write again."""
        lost = {
            name: self.topics.get(name, [])[len(copy.topics.get(name, [])) :]
            for name in _WRITTEN_BY_OTHERS
        }
        self.topics = {name: list(log) for name, log in copy.topics.items()}
        self.members = list(copy.members)
        self.holders = dict(copy.holders)
        self.generation = copy.generation
        self.era += 1
        for name, records in lost.items():
            for record in records:
                self._store_record(name, record)

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer a request and state the era."""
        answer = await self._dispatch(request)
        if answer is None:
            return None
        stated = (b'store-era', b'%d' % self.era)
        return replace(answer, headers=(*answer.headers, stated))

    async def _dispatch(self, request: HttpRequest) -> HttpAnswer | None:
        """Dispatch by the last part of the path."""
        if self.refusing:
            return HttpAnswer(503, ())
        path, _, query = request.target.decode().partition('?')
        fields = {name: found[0] for name, found in parse_qs(query).items()}
        match path.rpartition('/')[2]:
            case 'log-append':
                return self._handle_append(fields, bytes(request.body))
            case 'log-read':
                return await self._handle_read(fields)
            case 'log-newest':
                return self._handle_read_newest(fields)
            case 'log-join':
                return self._handle_join(json.loads(bytes(request.body)))
            case 'log-leave':
                return self._handle_leave(json.loads(bytes(request.body)))
        return HttpAnswer(404, ())

    def _store_record(self, topic: str, record: bytes) -> None:
        self.topics.setdefault(topic, []).append(record)
        self.changed.set()
        self.changed = trio.Event()

    def _handle_append(
        self,
        fields: dict[str, str],
        body: bytes,
    ) -> HttpAnswer | None:
        records = self.topics.setdefault(fields['topic'], [])
        end = len(records)
        if int(fields.get('at', end)) != end:
            return _write_json(412, {'end': end})
        self._store_record(fields['topic'], body[_LENGTH_BYTES:])
        if self.lost_answers:
            self.lost_answers -= 1
            return None
        return _write_json(200, {'offset': end, 'end': end + 1})

    async def _handle_read(self, fields: dict[str, str]) -> HttpAnswer:
        topic = fields['topic']
        start = int(fields['from'])
        first = self.first_offsets.get(topic, 0)
        if start < first or start > len(self.topics.get(topic, [])):
            return _write_json(410, {'first': first})
        if start >= len(self.topics.get(topic, [])):
            with trio.move_on_after(int(fields.get('waitMs', 0)) / 1000):
                await self.changed.wait()
        records = self.topics.get(topic, [])
        numbers = (len(records), first)
        head = [number.to_bytes(_NUMBER_BYTES, 'big') for number in numbers]
        parts = [
            len(record).to_bytes(_LENGTH_BYTES, 'big') + record
            for record in records[start:]
        ]
        return HttpAnswer(200, (), b''.join((*head, *parts)))

    def _handle_read_newest(self, fields: dict[str, str]) -> HttpAnswer:
        records = self.topics.get(fields['topic'], [])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(records):
            size = record[0] + 1
            newest[record[1:size].decode()] = (offset, record[size:])
        # Two records per page, so that readers have to fetch more pages.
        after = fields.get('after', '')
        names = sorted(name for name in newest if name > after)
        entries = [
            {
                'key': name,
                'value': b64encode(newest[name][1]).decode(),
                'offset': newest[name][0],
            }
            for name in names[:2]
        ]
        more = len(names) > len(entries)
        end = len(records)
        return _write_json(200, {'items': entries, 'more': more, 'end': end})

    def _handle_join(self, body: dict[str, str]) -> HttpAnswer:
        if body['member'] not in self.members:
            self.members.append(body['member'])
            self.generation += 1
        self._assign_partitions()
        parts = [
            ['controller', part, 0]
            for part in self._list_partitions(body['member'])
        ]
        return _write_json(
            200,
            {'generation': self.generation, 'ttl_time': '1s', 'parts': parts},
        )

    def _handle_leave(self, body: dict[str, str]) -> HttpAnswer:
        self.members.remove(body['member'])
        self.generation += 1
        if self.members:
            self._assign_partitions()
        return _write_json(200, {})

    def _list_partitions(self, member: str) -> list[int]:
        return [
            partition
            for partition, name in self.holders.items()
            if name == member
        ]

    def _assign_partitions(self) -> None:
        # Balance the partitions: members that hold too many lose their first.
        for partition in range(self.partition_count):
            if self.holders.get(partition) not in self.members:
                self.holders[partition] = self._find_member(min)
        most = self._find_member(max)
        least = self._find_member(min)
        while (
            len(self._list_partitions(most))
            > len(self._list_partitions(least)) + 1
        ):
            self.holders[self._list_partitions(most)[0]] = least
            most = self._find_member(max)
            least = self._find_member(min)

    def _find_member(self, choose: Callable[..., str]) -> str:
        return choose(
            self.members,
            key=lambda member: len(self._list_partitions(member)),
        )


@dataclass(slots=True)
class ServerStandIn(_StandInService):
    """Server that checks the fence of grants and seals its answers."""

    name: str
    fence: int = 0
    grants: list[dict[str, object]] = field(default_factory=list)
    releases: list[dict[str, object]] = field(default_factory=list)
    requests: list[HttpRequest] = field(default_factory=list)

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer grants, releases and requests, unless for another server."""
        named = dict(request.headers).get(b'x-target-instance')
        if named not in {None, self.name.encode()}:
            return HttpAnswer(421, ())
        if request.target == b'/trefoilsaddle/grant':
            return self._handle_grant(json.loads(bytes(request.body)))
        if request.target == b'/trefoilsaddle/release':
            self.releases.append(json.loads(bytes(request.body)))
            return HttpAnswer(200, ((b'x-handover', b'left'),))
        self.requests.append(request)
        echoed = dict(request.headers)
        headers = (
            (b'x-attempt-id', echoed[b'x-attempt-id']),
            (b'x-upstream-seal', b'seal'),
        )
        return HttpAnswer(200, headers, b'from ' + self.name.encode())

    def _handle_grant(self, body: dict[str, int]) -> HttpAnswer:
        if body['fence'] < self.fence:
            return HttpAnswer(409, ())
        self.fence = body['fence']
        self.grants.append(dict(body))
        return HttpAnswer(200, ())
