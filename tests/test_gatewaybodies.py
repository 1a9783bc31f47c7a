"""Test which request bodies and connections give way to which others."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field, replace
from mmap import mmap
from weakref import finalize

import h11
import pytest
import trio

from measure.worldoptions import Machine, build_options, build_regions
from tests.callerservice import serve_caller
from tests.gatewayscenes import LIMITS
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.configuration import CallerLimits
from trefoilsaddle.gateway.effects import WriteDecision
from trefoilsaddle.gateway.state import build_gateway
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.connectionend import ConnectionEnd, EndReason
from trefoilsaddle.http.connections import (
    Activity,
    OpenConnections,
    Standing,
    count_caller_connections,
)
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pipeline import CallerService, Exchange, Pipeline
from trefoilsaddle.http.requestbodies import (
    SMALL_BODY,
    BodyBudget,
    BodyBuffer,
    BodyLease,
    ConnectionShare,
    build_body_budget,
    find_answer_room,
    find_room,
)
from trefoilsaddle.http.requests import NO_ROOM, BadInput, ReceivedRequest
from trefoilsaddle.http.unanswered import UnansweredCount
from trefoilsaddle.platform.dialect import PlatformDialect
from trefoilsaddle.programs.containment import Containment
from trefoilsaddle.programs.gatewaycalls import GatewayCalls

_LARGE = 100 * SMALL_BODY
_HALF = SMALL_BODY // 2
# Room for ten large bodies, and for ten small ones beside them.
_TOTAL = 10 * _LARGE + 10 * SMALL_BODY
_RESERVE = 10 * SMALL_BODY
_NOW = 100.0
_OLD = 1.5
_YOUNG = 0.5
# Most parts that a connection parses between two iterations of the event loop.
_MAX_PARTS = 64
_MAPPING = 'trefoilsaddle.http.requestbodies.mmap'


def _build_budget() -> BodyBudget:
    return BodyBudget(_TOTAL, _RESERVE)


@dataclass(frozen=True, slots=True)
class _Held:
    """Describe bodies that are held: their number, size and age."""

    count: int
    size: int
    age: float = _YOUNG
    whole: bool = False


@dataclass(frozen=True, slots=True)
class _Case:
    """Describe what is held, the size of a new body, and what happens."""

    held: tuple[_Held, ...]
    size: int
    admitted: bool
    # Numbers of the bodies that give way, in order.
    evicted: tuple[int, ...] = ()


_CASES = {
    'empty': _Case((), _TOTAL - _RESERVE, admitted=True),
    'large into the reserve': _Case((), _TOTAL - _RESERVE + 1, admitted=False),
    'full of young ones': _Case((_Held(10, _LARGE),), _LARGE, admitted=False),
    'full of old ones': _Case(
        (_Held(10, _LARGE, _OLD),), _LARGE, admitted=True, evicted=(0,)
    ),
    'oldest first': _Case(
        (_Held(2, _LARGE, _OLD), _Held(8, _LARGE)),
        2 * _LARGE,
        admitted=True,
        evicted=(0, 1),
    ),
    'nobody in vain': _Case(
        (_Held(2, _LARGE, _OLD), _Held(8, _LARGE)),
        3 * _LARGE,
        admitted=False,
    ),
    'whole ones stay': _Case(
        (_Held(10, _LARGE, _OLD, whole=True),), _LARGE, admitted=False
    ),
    'first unfinished behind whole ones': _Case(
        (_Held(5, _LARGE, _OLD, whole=True), _Held(5, _LARGE, _OLD)),
        _LARGE,
        admitted=True,
        evicted=(5,),
    ),
    'small into the reserve': _Case(
        (_Held(10, _LARGE),), SMALL_BODY, admitted=True
    ),
    'small instead of a young large one': _Case(
        (_Held(10, _LARGE), _Held(10, SMALL_BODY)),
        SMALL_BODY,
        admitted=True,
        evicted=(0,),
    ),
    'small instead of an old small one': _Case(
        (
            _Held(10, _LARGE, _OLD, whole=True),
            _Held(1, SMALL_BODY, _OLD),
            _Held(9, SMALL_BODY),
        ),
        SMALL_BODY,
        admitted=True,
        evicted=(10,),
    ),
    'small and all small ones young': _Case(
        (_Held(10, _LARGE, _OLD, whole=True), _Held(10, SMALL_BODY)),
        SMALL_BODY,
        admitted=False,
    ),
    'large beside small ones': _Case(
        (_Held(9, _LARGE), _Held(10, SMALL_BODY)), _LARGE, admitted=True
    ),
    'large instead of no small one': _Case(
        (_Held(10, _LARGE), _Held(10, SMALL_BODY, _OLD)),
        _LARGE,
        admitted=False,
    ),
    'nothing held by a body that announced nothing': _Case(
        (_Held(1, 0, _OLD), _Held(10, _LARGE, _OLD)),
        _LARGE,
        admitted=True,
        evicted=(1,),
    ),
}


@dataclass(slots=True)
class _Bodies:
    """Hold bodies, and note which of them give way."""

    budget: BodyBudget = field(default_factory=_build_budget)
    leases: list[BodyLease] = field(default_factory=list)
    evicted: list[int] = field(default_factory=list)

    def add(self, held: _Held) -> None:
        """Hold bodies as they are described."""
        for _ in range(held.count):
            lease = self.open(held.age)
            assert lease.resize(held.size, _NOW)
            if held.whole:
                lease.finish()

    def open(self, age: float = 0) -> BodyLease:
        """Begin a body of a connection of its own."""
        number = len(self.leases)
        lease = self.budget.open(
            ConnectionShare(),
            _NOW - age,
            lambda: self.evicted.append(number),
        )
        self.leases.append(lease)
        return lease


# Guards against bodies that exceed the memory, against old unfinished ones that
# keep their room, and against small ones for which there is none.
@pytest.mark.parametrize('case', _CASES.values(), ids=_CASES)
def test_new_body(case: _Case) -> None:
    """Admit or refuse a body whose length is announced."""
    bodies = _Bodies()
    for held in case.held:
        bodies.add(held)
    lease = bodies.open()
    assert lease.resize(case.size, _NOW) is case.admitted
    assert tuple(bodies.evicted) == case.evicted
    sizes = [one.size for one in bodies.leases]
    large = sum(size for size in sizes if size > SMALL_BODY)
    counted = (bodies.budget.held, bodies.budget.large)
    assert counted == (sum(sizes), large)
    assert sum(sizes) <= _TOTAL
    assert large <= _TOTAL - _RESERVE


@dataclass(frozen=True, slots=True)
class _Crowd:
    """Describe bodies, the connections that open, and which give way."""

    held: tuple[_Held, ...]
    connections: int
    evicted: tuple[int, ...] = ()


# Room for two connections beside the bodies; a connection counts as _SMALL_BODY.
_CROWDS = {
    'beside': _Crowd((_Held(10, _LARGE),), 2),
    'in the reserve': _Crowd((_Held(10, _LARGE),), 12),
    'in the room of a body': _Crowd((_Held(10, _LARGE),), 13, (0,)),
    'in the room of two': _Crowd((_Held(10, _LARGE),), 113, (0, 1)),
    'whole ones stay': _Crowd((_Held(10, _LARGE, whole=True),), 200),
    'first that is unfinished': _Crowd(
        (_Held(2, _LARGE, whole=True), _Held(8, _LARGE)), 13, (2,)
    ),
}


# Guards against connections that take the memory beside that of the bodies.
@pytest.mark.parametrize('case', _CROWDS.values(), ids=_CROWDS)
def test_bodies_give_way_to_connections(case: _Crowd) -> None:
    """Count connections in the room of the bodies, until they close."""
    bodies = _Bodies()
    budget = bodies.budget
    budget.beside = 2 * SMALL_BODY
    for held in case.held:
        bodies.add(held)
    for _ in range(case.connections):
        budget.open_connection()
    assert tuple(bodies.evicted) == case.evicted
    full = case.connections > 12 and not case.evicted
    assert bodies.open().resize(SMALL_BODY, _NOW) is not full
    for _ in range(case.connections):
        budget.close_connection()
    assert not budget.connections


def test_closed_bodies_leave_nothing() -> None:
    """Release all room when the bodies are closed."""
    bodies = _Bodies()
    bodies.add(_Held(5, _LARGE, whole=True))
    bodies.add(_Held(5, _HALF))
    for lease in bodies.leases:
        lease.close()
    assert not bodies.budget.held
    assert not bodies.budget.large
    assert not bodies.budget.unfinished


# Guards against a slow body that takes the room of those behind it.
def test_growing_body_gives_way_itself() -> None:
    """Refuse to grow at the cost of younger bodies, or once given up."""
    bodies = _Bodies()
    bodies.add(_Held(1, _HALF, _OLD))
    bodies.add(_Held(10, _LARGE, _OLD))
    growing = bodies.leases[0]
    assert not growing.resize(_LARGE, _NOW)
    assert not bodies.evicted
    bodies.add(_Held(9, SMALL_BODY))
    assert bodies.open().resize(SMALL_BODY, _NOW)
    assert bodies.evicted == [0]
    assert not growing.resize(1, _NOW)


_MACHINES = (
    (160_000_000, 67_108_864),
    (200_000_000, 67_108_864),
    (552_000_000, 3 * 67_108_864),
)


# Guards against limits that refuse what the platform allows.
@pytest.mark.parametrize(('memory', 'bytes_at_once'), _MACHINES)
def test_machine_has_room_for_a_body_at_the_limit(
    memory: int, bytes_at_once: int
) -> None:
    """Hold bodies at the limit beside many small ones and an answer."""
    budget = build_body_budget(memory)
    small = budget.open(ConnectionShare(), 0, lambda: None)
    assert small.resize(SMALL_BODY, 0)
    lease = budget.open(ConnectionShare(), 0, lambda: None)
    assert lease.resize(bytes_at_once + SMALL_BODY, 0)
    assert budget.total + find_answer_room(memory) <= find_room(memory)
    assert find_answer_room(memory) >= 16_777_216


_PARTS = {
    'nothing': (),
    'small': (10, 20),
    'at the bound': (SMALL_BODY,),
    'across the bound': (SMALL_BODY, 1),
    'large': (3 * SMALL_BODY,) * 5,
    'large at once': (40 * SMALL_BODY,),
}


@pytest.mark.parametrize('parts', _PARTS.values(), ids=_PARTS)
@pytest.mark.parametrize('announced', [True, False])
def test_buffer_returns_what_was_added(
    parts: tuple[int, ...], *, announced: bool
) -> None:
    """Return the bytes in order, whether their number is known or not."""
    buffer = BodyBuffer(sum(parts) if announced else 0)
    whole = b''
    for number, size in enumerate(parts):
        part = bytes([number + 1]) * size
        buffer.add(part)
        whole += part
    body = buffer.finish()
    assert body == whole
    assert memoryview(body).readonly
    assert len(body) == buffer.length


# Connections.


@dataclass(slots=True, eq=False)
class _Connection:
    standing: Standing
    displaced: bool = False

    def find_standing(self) -> Standing:
        """Return the standing of the test case."""
        return self.standing

    def displace(self) -> None:
        """Note that the connection gives way."""
        self.displaced = True

    def is_delivered(self) -> bool:
        """Hold nothing for the caller."""
        return True


_WAITING = Standing(Activity.waiting, 5)
_ENDING = Standing(Activity.ending, 1)
_SERVING = Standing(Activity.serving, 0)
# The connections, and which of them gives way to one more.
_FULL = {
    'longest waiting': (
        (_WAITING, replace(_WAITING, since=3), replace(_WAITING, since=4)),
        1,
    ),
    'waiting before ending': ((_ENDING, _WAITING, _SERVING), 1),
    'ending before serving': ((_SERVING, _ENDING, _SERVING), 1),
    'none that serves': ((_SERVING, _SERVING, _SERVING), None),
}


# Guards against descriptors that run out, and against requests that are cut
# because of idle connections.
@pytest.mark.parametrize(('standings', 'victim'), _FULL.values(), ids=_FULL)
def test_connection_that_gives_way(
    standings: tuple[Standing, ...], victim: int | None
) -> None:
    """Close the one that waits for the longest, but none with a request."""
    connections = [_Connection(standing) for standing in standings]
    opened = OpenConnections(len(connections))
    for connection in connections:
        assert opened.add(connection)
    assert opened.add(_Connection(_WAITING)) is (victim is not None)
    displaced = [one.displaced for one in connections]
    assert displaced == [place == victim for place in range(len(standings))]
    opened.remove(connections[0])
    assert len(opened.opened) <= len(connections)


@pytest.mark.parametrize(
    ('descriptors', 'limit'), [(1638, 719), (4100, 1950), (100, 1)]
)
def test_limit_on_connections(descriptors: int, limit: int) -> None:
    """Leave half of the descriptors that are not for files."""
    assert count_caller_connections(descriptors) == limit


# One connection.


@dataclass(slots=True)
class _Service(CallerService):
    limits: CallerLimits = LIMITS
    # Awaited before each answer.
    before: Callable[[], Awaitable[None]] = trio.lowlevel.checkpoint
    refused: list[str] = field(default_factory=list)

    def read_limits(self) -> CallerLimits:
        """Return the limits of the test case."""
        return self.limits

    def is_closing(self) -> bool:
        """Keep connections open."""
        return False

    def is_idempotent(self, request: HttpRequest) -> bool:
        """Answer one request after the other."""
        return False

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer with the length of the body."""
        await self.before()
        return HttpAnswer(200, (), b'<%d>' % len(request.body))

    def refuse(self, bad: BadInput) -> HttpAnswer:
        """Answer with the name of the result code."""
        return HttpAnswer(bad.status, (), bad.code.name.encode())

    def record_refusal(self, bad: BadInput) -> None:
        """Note the result code."""
        self.refused.append(bad.code.name)


_CHUNKED_HEAD = (
    b'POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
)
_LONG = 4 * SMALL_BODY
# Two of them exceed the share of a connection.
_PART = 200_000


async def _read_until(stream: trio.SocketStream, end: bytes) -> bytes:
    received = b''
    while end not in received:
        part = await stream.receive_some()
        if not part:
            break
        received += part
    return received


# Guards against chunks of one byte that block the event loop for the others.
def test_small_chunks_leave_turns_to_others(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Bound what is parsed between two iterations of the event loop."""
    # Number of events by iteration; the last one is the present.
    parsed = [0]
    next_event = h11.Connection.next_event

    def count_event(parser: h11.Connection) -> object:
        parsed[-1] += 1
        return next_event(parser)

    monkeypatch.setattr(h11.Connection, 'next_event', count_event)

    async def count_turns() -> None:
        while True:
            await trio.lowlevel.checkpoint()
            parsed.append(0)

    async def use(stream: trio.SocketStream) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(count_turns)
            chunks = b'1\r\nx\r\n' * 5000
            await stream.send_all(_CHUNKED_HEAD + chunks + b'0\r\n\r\n')
            assert b'<5000>' in await _read_until(stream, b'>')
            nursery.cancel_scope.cancel()

    serve_caller(_Service(), use)
    assert max(parsed) <= _MAX_PARTS


def _note_freed(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Return a list that gets the size of each mapping that is freed."""
    freed: list[int] = []

    def open_mapping(descriptor: int, size: int, *, flags: int) -> mmap:
        mapping = mmap(descriptor, size, flags=flags)
        finalize(mapping, freed.append, size)
        return mapping

    monkeypatch.setattr(_MAPPING, open_mapping)
    return freed


# Guards against a failed parser that keeps a body by the cycle of its exception.
def test_body_of_failed_parser_is_freed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Free the memory of a malformed body while the connection is open."""
    freed = _note_freed(monkeypatch)

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(_CHUNKED_HEAD + b'%x\r\n' % _LONG)
        await stream.send_all(bytes(_LONG) + b'\r\nno chunk\r\n')
        assert b' 400 ' in await _read_until(stream, b'malformed')
        assert len(freed) == 1

    serve_caller(_Service(), use)


# Guards against a body that is given up, but keeps its memory or its client.
def test_body_that_gives_way_is_refused(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Refuse an unfinished large body as small ones need its room."""
    freed = _note_freed(monkeypatch)
    bodies = BodyBudget(_LONG + SMALL_BODY, SMALL_BODY)

    async def use(stream: trio.SocketStream) -> None:
        head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'
        await stream.send_all(head % _LONG)
        await stream.send_all(bytes(_LONG - 1))
        await trio.testing.wait_all_tasks_blocked(0.01)
        assert bodies.held == _LONG
        for _ in range(2):
            lease = bodies.open(ConnectionShare(), 0, lambda: None)
            lease.finish()
            lease.resize(SMALL_BODY, 0)
        answer = await _read_until(stream, b'memory_bound')
        assert answer.startswith(b'HTTP/1.1 503 ')
        assert len(freed) == 1

    service = _Service()
    serve_caller(service, use, bodies=bodies)
    assert service.refused == ['memory_bound']
    assert bodies.held == 2 * SMALL_BODY


# Guards against one connection that takes the room of all others.
def test_connection_keeps_to_its_share() -> None:
    """Read a further large body only once the earlier ones are answered."""
    bodies = build_body_budget()
    held: list[int] = []

    async def note() -> None:
        # Everything that may be read has been read by then.
        await trio.testing.wait_all_tasks_blocked(0.01)
        held.append(bodies.held)

    async def use(stream: trio.SocketStream) -> None:
        head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'
        post = head % _PART + bytes(_PART)
        await stream.send_all(post * 3)
        received = b''
        while received.count(b'<%d>' % _PART) < 3:
            part = await stream.receive_some()
            assert part
            received += part

    serve_caller(_Service(before=note), use, bodies=bodies)
    assert held == [_PART, _PART, _PART]


# Guards against a kept connection that holds the body of its last request.
@pytest.mark.parametrize('chunked', [True, False])
def test_body_is_freed_with_its_answer(
    monkeypatch: pytest.MonkeyPatch, *, chunked: bool
) -> None:
    """Free the memory of a body while its connection stays open."""
    freed = _note_freed(monkeypatch)

    async def use(stream: trio.SocketStream) -> None:
        if chunked:
            await stream.send_all(_CHUNKED_HEAD + b'%x\r\n' % _LONG)
            await stream.send_all(bytes(_LONG) + b'\r\n0\r\n\r\n')
        else:
            head = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'
            await stream.send_all(head % _LONG + bytes(_LONG))
        assert b'<%d>' % _LONG in await _read_until(stream, b'>')
        await trio.testing.wait_all_tasks_blocked()
        assert len(freed) == 1

    serve_caller(_Service(), use)


# Bytes that are sent, and the refusal, without room for any body.
_REFUSED = {
    'announced': (
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n\r\n',
        b'503',
        'memory_bound',
    ),
    'announced, waits for the interim answer': (
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n'
        b'expect: 100-continue\r\n\r\n',
        b'503',
        'memory_bound',
    ),
    'chunked': (_CHUNKED_HEAD + b'4\r\nbo', b'503', 'memory_bound'),
    'over the limit': (
        b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2000000\r\n\r\n',
        b'413',
        'body_too_large',
    ),
}


@pytest.mark.parametrize(
    ('sent', 'status', 'code'), _REFUSED.values(), ids=_REFUSED
)
def test_body_without_room_is_refused(
    sent: bytes, status: bytes, code: str
) -> None:
    """Refuse before the body has arrived, and answer requests without one."""
    service = _Service()

    async def use(stream: trio.SocketStream) -> None:
        await stream.send_all(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
        assert b'<0>' in await _read_until(stream, b'>')
        await stream.send_all(sent)
        answer = await _read_until(stream, code.encode())
        assert answer.startswith(b'HTTP/1.1 %b ' % status)

    serve_caller(service, use, bodies=BodyBudget(0, 0))
    assert service.refused == [code]


_DISPLACED = ('connection_closed', 'displaced')
# The end of a connection, and what is counted and logged.
_ENDS = {
    'displaced': (
        ConnectionEnd(EndReason.displaced, 0, 0, Seconds(0)),
        (_DISPLACED,),
    ),
    'idle': (ConnectionEnd(EndReason.idle, 0, 0, Seconds(0)), ()),
}


@pytest.mark.parametrize(('end', 'noted'), _ENDS.values(), ids=_ENDS)
def test_refusals_and_closes_are_noted(
    end: ConnectionEnd, noted: tuple[tuple[str, str], ...]
) -> None:
    """Write one line and increment one counter for each."""
    lines: list[WriteDecision] = []
    counted: list[tuple[str, str]] = []

    def count(kind: str, reason: str) -> None:
        counted.append((kind, reason))

    async def run() -> HttpAnswer:
        async with trio.open_nursery() as nursery:
            calls = GatewayCalls(
                build_gateway(
                    build_options('g', 1, Machine(1), build_regions())
                ),
                PlatformDialect(),
                lambda event: None,
                nursery,
                Containment(lines.append),
                count,
            )
            calls.record_refusal(NO_ROOM)
            calls.record_end(end)
        return calls.refuse(NO_ROOM)

    answer = trio.run(run)
    assert answer.status == 503
    assert float(answer.find_header(b'retry-after') or 0) > 0
    assert counted[0] == ('refused', 'memory_bound')
    assert counted[1:] == list(noted)
    assert len(lines) == len(counted)


# Unanswered requests of the connection and of all, and whether it is read on.
_AHEAD = ((0, 5000, False), (1, 1023, False), (1, 1024, True), (16, 16, True))


# Guards against requests sent ahead on many connections that exceed the memory.
@pytest.mark.parametrize(('own', 'of_all', 'full'), _AHEAD)
def test_requests_ahead_are_bounded(
    own: int, of_all: int, *, full: bool
) -> None:
    """Read one request at a time while all connections hold too many."""
    count = UnansweredCount(of_all)
    pipeline = Pipeline(_Service(), AnswerBudget(), count)
    request = HttpRequest(b'GET', b'/', ())
    for _ in range(own):
        received = ReceivedRequest(request, h11.Connection(h11.SERVER), 0)
        pipeline.unanswered.append(Exchange(received))
    assert pipeline.is_full() is full
