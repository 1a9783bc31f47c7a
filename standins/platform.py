"""Stand in for the users' platform: its store, and a server that is granted.

Small, in memory, and only as far as the adapter uses it.  The names on the
wire are the platform's own.
"""

import json
from base64 import b64encode
from collections.abc import Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.http.callers import (
    BadInput,
    CallerConnection,
    CallerService,
)
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest

_LIMITS = CallerLimits(65_536, 4_194_304, Seconds(5), Seconds(30))
_LENGTH_BYTES = 4
_NUMBER_BYTES = 8
_JSON = (b'content-type', b'application/json')


class _Answers(CallerService):
    """Answer requests of one stand-in."""

    def read_limits(self) -> CallerLimits:
        """Return wide limits."""
        return _LIMITS

    def is_closing(self) -> bool:
        """Keep connections open."""
        return False

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Refuse what cannot be read."""
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


@dataclass(slots=True)
class StoreStandIn(_Answers):
    """Keep topics of one partition, and one group."""

    topics: dict[str, list[bytes]] = field(default_factory=dict)
    members: list[str] = field(default_factory=list)
    # Member that holds each partition of the group's topic.
    holders: dict[int, str] = field(default_factory=dict)
    parts: int = 1
    generation: int = 0
    # First kept offset of each topic.
    firsts: dict[str, int] = field(default_factory=dict)
    # Calls that are carried out and then not answered.
    lost_answers: int = 0
    refusing: bool = False
    changed: trio.Event = field(default_factory=trio.Event)

    def put(self, topic: str, key: str, encoded: bytes) -> None:
        """Write a record of a keyed topic, as operator or server."""
        name = key.encode()
        self._add(topic, bytes((len(name),)) + name + encoded)

    async def answer(self, request: HttpRequest) -> HttpAnswer | None:
        """Answer a call."""
        if self.refusing:
            return HttpAnswer(503, ())
        path, _, query = request.target.decode().partition('?')
        fields = {name: found[0] for name, found in parse_qs(query).items()}
        match path.rpartition('/')[2]:
            case 'log-append':
                return self._append(fields, request.body)
            case 'log-read':
                return await self._read(fields)
            case 'log-newest':
                return self._read_newest(fields)
            case 'log-join':
                return self._join(json.loads(request.body))
            case 'log-leave':
                return self._leave(json.loads(request.body))
        return HttpAnswer(404, ())

    def _add(self, topic: str, record: bytes) -> None:
        self.topics.setdefault(topic, []).append(record)
        self.changed.set()
        self.changed = trio.Event()

    def _append(
        self,
        fields: dict[str, str],
        body: bytes,
    ) -> HttpAnswer | None:
        records = self.topics.setdefault(fields['topic'], [])
        end = len(records)
        if int(fields.get('at', end)) != end:
            return _write_json(412, {'end': end})
        self._add(fields['topic'], body[_LENGTH_BYTES:])
        if self.lost_answers:
            self.lost_answers -= 1
            return None
        return _write_json(200, {'offset': end, 'end': end + 1})

    async def _read(self, fields: dict[str, str]) -> HttpAnswer:
        topic = fields['topic']
        start = int(fields['from'])
        first = self.firsts.get(topic, 0)
        if start < first:
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

    def _read_newest(self, fields: dict[str, str]) -> HttpAnswer:
        records = self.topics.get(fields['topic'], [])
        newest: dict[str, tuple[int, bytes]] = {}
        for offset, record in enumerate(records):
            size = record[0] + 1
            newest[record[1:size].decode()] = (offset, record[size:])
        # Two records a page, so that a reader has to go on.
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

    def _join(self, body: dict[str, str]) -> HttpAnswer:
        if body['member'] not in self.members:
            self.members.append(body['member'])
            self.generation += 1
        self._share_parts()
        parts = [['controller', part, 0] for part in self._list(body['member'])]
        return _write_json(
            200,
            {'generation': self.generation, 'ttl_time': '1s', 'parts': parts},
        )

    def _leave(self, body: dict[str, str]) -> HttpAnswer:
        self.members.remove(body['member'])
        self.generation += 1
        if self.members:
            self._share_parts()
        return _write_json(200, {})

    def _list(self, member: str) -> list[int]:
        return [part for part, name in self.holders.items() if name == member]

    def _share_parts(self) -> None:
        # Even shares; who has too much gives up its first partitions.
        for part in range(self.parts):
            if self.holders.get(part) not in self.members:
                self.holders[part] = self._find_member(min)
        most = self._find_member(max)
        least = self._find_member(min)
        while len(self._list(most)) > len(self._list(least)) + 1:
            self.holders[self._list(most)[0]] = least
            most = self._find_member(max)
            least = self._find_member(min)

    def _find_member(self, choose: Callable[..., str]) -> str:
        return choose(
            self.members,
            key=lambda member: len(self._list(member)),
        )


@dataclass(slots=True)
class ServerStandIn(_Answers):
    """Take grants with fences, and answer requests with a seal."""

    name: str
    fence: int = 0
    grants: list[dict[str, object]] = field(default_factory=list)
    releases: list[dict[str, object]] = field(default_factory=list)
    requests: list[HttpRequest] = field(default_factory=list)

    async def answer(self, request: HttpRequest) -> HttpAnswer | None:
        """Answer an order or a request, unless it names another server."""
        named = dict(request.headers).get(b'x-target-instance')
        if named not in {None, self.name.encode()}:
            return HttpAnswer(421, ())
        if request.target == b'/trefoilsaddle/grant':
            return self._grant(json.loads(request.body))
        if request.target == b'/trefoilsaddle/release':
            self.releases.append(json.loads(request.body))
            return HttpAnswer(200, ((b'x-handover', b'left'),))
        self.requests.append(request)
        echoed = dict(request.headers)
        headers = (
            (b'x-attempt-id', echoed[b'x-attempt-id']),
            (b'x-upstream-seal', b'seal'),
        )
        return HttpAnswer(200, headers, b'from ' + self.name.encode())

    def _grant(self, body: dict[str, int]) -> HttpAnswer:
        if body['fence'] < self.fence:
            return HttpAnswer(409, ())
        self.fence = body['fence']
        self.grants.append(dict(body))
        return HttpAnswer(200, ())
