"""Test that the work on answers is bounded in one turn of the event loop."""

import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from threading import Event, Thread

import h11
import pytest
import trio

from tests.scriptedserver import ScriptedServer, Step, serve_script
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http.budget import AnswerBudget, AnswerReservation
from trefoilsaddle.http.messages import Fault, HttpAnswer, HttpRequest
from trefoilsaddle.http.pool import ConnectionPool

_REQUEST = HttpRequest(
    b'GET', b'/work', ((b'host', b'server'), (b'content-length', b'0'))
)
_STATUS = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = b'%btransfer-encoding: chunked\r\n\r\n' % _STATUS
_STEPS = {
    'one-byte-chunks': Step(_CHUNKED, endless=b'1\r\nx\r\n'),
    'chunks': Step(_CHUNKED, endless=b'40\r\n%b\r\n' % (b'x' * 64)),
    'body': Step(b'%b\r\n' % _STATUS, endless=b'x'),
    'head': Step(_STATUS, endless=b'x-a: b\r\n'),
    'trailers': Step(b'%b0\r\n' % _CHUNKED, endless=b'x-a: b\r\n'),
    'interim': Step(endless=b'HTTP/1.1 102 Wait\r\n\r\n'),
}
# Bounds for one connection in one turn: an event takes some 20 microseconds.
_MAX_EVENTS = 40
_MAX_BYTES = 65_536
# Bound for all connections that share a budget, once each has taken its turn.
_MAX_SHARED_EVENTS = 64
_SECONDS = 0.5


@dataclass(slots=True, eq=False)
class _Turns(trio.abc.Instrument):
    """Count the turns of the loop, and the parsers' work in each."""

    turn: int = 0
    events: Counter[tuple[int, int]] = field(default_factory=Counter)
    read: Counter[tuple[int, int]] = field(default_factory=Counter)

    def after_io_wait(self, timeout: float) -> None:
        """Count a turn."""
        self.turn += 1

    def sum_events(self) -> list[int]:
        """Return the events of all parsers in each turn, in order."""
        sums: Counter[int] = Counter()
        for (turn, _), number in self.events.items():
            sums[turn] += number
        return [total for _, total in sorted(sums.items())]

    def sum_bytes(self) -> list[int]:
        """Return the bytes of all answers in each turn."""
        sums: Counter[int] = Counter()
        for (turn, _), number in self.read.items():
            sums[turn] += number
        return list(sums.values())


def _count_work(monkeypatch: pytest.MonkeyPatch) -> _Turns:
    turns = _Turns()
    next_event = h11.Connection.next_event
    receive_data = h11.Connection.receive_data

    def count_event(parser: h11.Connection) -> object:
        turns.events[turns.turn, id(parser)] += 1
        return next_event(parser)

    def count_bytes(parser: h11.Connection, received: bytes) -> None:
        turns.read[turns.turn, id(parser)] += len(received)
        receive_data(parser, received)

    monkeypatch.setattr(h11.Connection, 'next_event', count_event)
    monkeypatch.setattr(h11.Connection, 'receive_data', count_bytes)
    return turns


async def _read_answers(step: Step, number: int, turns: _Turns) -> None:
    server = ScriptedServer([step for _ in range(number)])
    async with serve_script(server):
        pool = ConnectionPool(
            '127.0.0.1', server.port, Seconds(5), budget=AnswerBudget()
        )
        trio.lowlevel.add_instrument(turns)
        with trio.move_on_after(_SECONDS):
            async with trio.open_nursery() as nursery:
                for _ in range(number):
                    nursery.start_soon(pool.exchange, _REQUEST)
        trio.lowlevel.remove_instrument(turns)


# Guards against an answer that stops the event loop: 64 KB of one-byte chunks,
# one read, are 10,900 events of the parser and a quarter of a second.
@pytest.mark.parametrize('step', _STEPS.values(), ids=_STEPS)
@pytest.mark.parametrize('number', [1, 6])
def test_work_on_answers_is_bounded_in_a_turn(
    step: Step, number: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Read endless answers, and count events and bytes turn by turn."""
    turns = _count_work(monkeypatch)
    trio.run(_read_answers, step, number, turns)
    assert turns.turn
    assert max(turns.events.values()) <= _MAX_EVENTS
    assert max(turns.read.values()) <= _MAX_BYTES


# Guards against many such answers that stop the event loop together.
def test_work_on_many_answers_is_shared_out(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Read endless answers side by side, one after the other in turns."""
    number = 8
    turns = _count_work(monkeypatch)
    trio.run(_read_answers, _STEPS['one-byte-chunks'], number, turns)
    sums = turns.sum_events()
    assert len(turns.events) > number
    assert max(sums[len(sums) // 2 :]) <= _MAX_SHARED_EVENTS


async def _serve_until(
    server: ScriptedServer, started: Event, stopped: Event
) -> None:
    async with serve_script(server):
        started.set()
        while not stopped.is_set():
            await trio.sleep(0.02)


@contextmanager
def _serve_in_thread(server: ScriptedServer) -> Iterator[None]:
    """Serve with a loop of its own, which does not wait for the readers."""
    started, stopped = Event(), Event()
    thread = Thread(
        target=trio.run, args=[_serve_until, server, started, stopped]
    )
    thread.start()
    started.wait()
    yield
    stopped.set()
    thread.join()


async def _read_from(
    port: int, number: int, turns: _Turns, budget: AnswerBudget
) -> None:
    pool = ConnectionPool('127.0.0.1', port, Seconds(5), budget=budget)
    streams = [await pool.open(new=True) for _ in range(number)]
    trio.lowlevel.add_instrument(turns)
    async with trio.open_nursery() as nursery:
        for stream in streams:
            assert stream is not None
            nursery.start_soon(pool.exchange_on, stream, _REQUEST)


# Guards against many answers that exceed their room together in one turn, as those
# that give way to others are freed in the next.
def test_bytes_of_many_answers_are_bounded_in_a_turn(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Read no more of all answers in one turn than they have room."""
    number = 200
    budget = AnswerBudget(max_total=2_000_000)
    turns = _Turns()
    add = AnswerReservation.add

    def count_bytes(reservation: AnswerReservation, received: int) -> None:
        turns.read[turns.turn, id(reservation)] += received
        add(reservation, received)

    monkeypatch.setattr(AnswerReservation, 'add', count_bytes)
    server = ScriptedServer([_STEPS['body'] for _ in range(number)])
    with _serve_in_thread(server):
        trio.run(_read_from, server.port, number, turns, budget)
    assert max(turns.sum_bytes()) <= budget.max_total


# Events of an answer before its reading is slowed down, and the bound for all
# answers together after that, a second.
_FAST_EVENTS = 1100
_SLOW_EVENTS_PER_S = 8000


# Guards against answers that take all the time of the processor: requests to
# sound servers are then unanswered after their timeout.
def test_work_on_endless_answers_is_slowed_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Bound the events of endless answers by the time that they take."""
    number = 4
    turns = _count_work(monkeypatch)
    started = time.monotonic()
    trio.run(_read_answers, _STEPS['one-byte-chunks'], number, turns)
    elapsed = time.monotonic() - started
    slowed = sum(turns.events.values()) - number * _FAST_EVENTS
    assert slowed <= _SLOW_EVENTS_PER_S * elapsed


_MAX_SLOW = 32


# Guards against many endless answers that each wait for the others, and hold their
# connection, their request and what the kernel has received until that times out.
def test_answers_that_are_read_slowly_are_bounded() -> None:
    """Give up those that have taken the most work above a number of them."""
    number = 3 * _MAX_SLOW
    step = _STEPS['one-byte-chunks']
    server = ScriptedServer([step for _ in range(number)])
    budget = AnswerBudget()
    answers: list[HttpAnswer | Fault] = []

    async def read(pool: ConnectionPool) -> None:
        answers.append(await pool.exchange(_REQUEST))

    async def run() -> None:
        async with serve_script(server), trio.open_nursery() as nursery:
            pool = ConnectionPool(
                '127.0.0.1', server.port, Seconds(5), budget=budget
            )
            for _ in range(number):
                nursery.start_soon(read, pool)
            while len(answers) < number - _MAX_SLOW:
                await trio.sleep(0.05)
                assert len(budget.slow) <= _MAX_SLOW
            nursery.cancel_scope.cancel()

    trio.run(run)
    assert set(answers) == {Fault.too_large}


_LONG_HEAD = b'x-a: b\r\n' * 7000
_HEADS = {
    'head': b'%b%bcontent-length: 0\r\n\r\n' % (_STATUS, _LONG_HEAD),
    'interim': b'HTTP/1.1 102 Wait\r\n%b\r\n' % _LONG_HEAD,
    'trailers': b'%b0\r\n%b\r\n' % (_CHUNKED, _LONG_HEAD),
}
_MAX_FIELDS = 4096


# Guards against one event of the parser that takes 70 ms, for a head or trailer
# section that fills one read.
@pytest.mark.parametrize('answer', _HEADS.values(), ids=_HEADS)
def test_long_head_is_not_parsed_at_once(
    answer: bytes, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Give up a head or trailer section before it is parsed."""
    parsed: list[int] = []
    next_event = h11.Connection.next_event

    def measure(parser: h11.Connection) -> object:
        event = next_event(parser)
        fields = getattr(event, 'headers', ())
        parsed.append(len(fields))
        return event

    monkeypatch.setattr(h11.Connection, 'next_event', measure)
    server = ScriptedServer([Step(answer, close=True)])

    async def run() -> None:
        async with serve_script(server):
            pool = ConnectionPool('127.0.0.1', server.port, Seconds(5))
            await pool.exchange(_REQUEST)

    trio.run(run)
    assert max(parsed) <= _MAX_FIELDS
