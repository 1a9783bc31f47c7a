"""Test that an endless answer is given up at a limit, and reset."""

import tracemalloc

import pytest
import trio

from tests.endless import (
    DRIPS,
    ENDLESS,
    GIVE_UP_TIMEOUT,
    MAX_MEMORY,
    MEGABYTE,
    Endless,
)
from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.messages import Fault, HttpAnswer, HttpRequest
from trefoilsaddle.http.pool import ConnectionPool
from trefoilsaddle.programs.sweeping import sweep_pools

_REQUEST = HttpRequest(
    b'GET', b'/work', ((b'host', b'server'), (b'content-length', b'0'))
)
# Faults of an exchange without an answer or with one above a limit.
_GIVEN_UP = (Fault.lost, Fault.too_large)


def _read_end(answer: HttpAnswer | Fault) -> Fault | bytes:
    return answer if isinstance(answer, Fault) else answer.body


@pytest.mark.parametrize('case', ENDLESS.values(), ids=ENDLESS)
def test_endless_answer_is_given_up(case: Endless) -> None:
    """Guard against reading an endless answer into memory without a limit."""
    server = ScriptedServer([case.step])

    async def run() -> HttpAnswer | Fault:
        async with serve_script(server):
            pool = ConnectionPool('127.0.0.1', server.port, Seconds(5))
            answer: HttpAnswer | Fault = Fault.unsent
            with trio.fail_after(GIVE_UP_TIMEOUT):
                answer = await pool.exchange(_REQUEST)
                await server.closed.wait()
            assert not pool.idle
        return answer

    tracemalloc.start()
    answer = trio.run(run)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    ends = _GIVEN_UP if case.body is None else (case.body,)
    assert _read_end(answer) in ends
    assert server.sent <= case.max_sent
    assert peak <= MAX_MEMORY


@pytest.mark.parametrize('step', DRIPS.values(), ids=DRIPS)
def test_dripping_answer_ends_with_its_time(step: Step) -> None:
    """Guard against slow bytes that keep a request open beyond its time."""
    server = ScriptedServer([step])

    async def run() -> None:
        async with serve_script(server):
            pool = ConnectionPool('127.0.0.1', server.port, Seconds(5))
            with trio.move_on_after(0.3) as scope:
                await pool.exchange(_REQUEST)
            assert scope.cancelled_caught
            with trio.fail_after(2):
                await server.closed.wait()
            assert not pool.idle

    trio.run(run)


@pytest.mark.parametrize(
    ('held', 'taken'),
    [(0, True), (MEGABYTE // 2, True), (MEGABYTE, False)],
    ids=['empty', 'half-full', 'full'],
)
def test_answers_share_one_budget(held: int, *, taken: bool) -> None:
    """Guard against filling memory by many answers below the limit."""
    body = b'x' * (MEGABYTE // 4)
    budget = AnswerBudget(max_total=MEGABYTE)
    server = ScriptedServer([Step(whole(body))])

    async def run() -> HttpAnswer | Fault:
        async with serve_script(server):
            pool = ConnectionPool(
                '127.0.0.1', server.port, Seconds(5), budget=budget
            )
            with budget.hold(held):
                answer = await pool.exchange(_REQUEST)
            assert bool(pool.idle) == taken
        return answer

    answer = trio.run(run)
    assert (answer != Fault.too_large) == taken
    assert not budget.held


def test_bytes_behind_an_idle_connection_are_not_kept() -> None:
    """Guard against unsolicited bytes that pile up on an idle connection."""
    server = ScriptedServer([Step(whole(b'mine'), endless=b'x', pause=0.02)])

    async def run() -> None:
        async with serve_script(server), trio.open_nursery() as nursery:
            pool = ConnectionPool('127.0.0.1', server.port, Seconds(5))
            nursery.start_soon(sweep_pools, lambda: [pool], Seconds(0.05))
            answer = await pool.exchange(_REQUEST)
            assert _read_end(answer) == b'mine'
            with trio.fail_after(GIVE_UP_TIMEOUT):
                await server.closed.wait()
            assert not pool.idle
            nursery.cancel_scope.cancel()

    trio.run(run)


_BODY_FORMS = ('body-without-length', 'chunked-body')
_SOUND_BODY = b's' * 30_000


async def _ask_sound_server(
    pool: ConnectionPool, number: int
) -> list[Fault | bytes]:
    ends: list[Fault | bytes] = []
    for _ in range(number):
        ends.append(_read_end(await pool.exchange(_REQUEST)))
        await trio.sleep(0.005)
    return ends


# Guards against endless answers that take the memory of all answers, so that those
# of sound servers are given up as too large.
@pytest.mark.parametrize('form', _BODY_FORMS)
def test_endless_answers_leave_room_for_others(form: str) -> None:
    """Give up the largest answer where the budget is exceeded."""
    budget = AnswerBudget(max_total=MEGABYTE)
    number = 20
    faulty = ScriptedServer([ENDLESS[form].step for _ in range(2000)])
    sound = ScriptedServer([Step(whole(_SOUND_BODY)) for _ in range(number)])

    async def read_endless() -> None:
        pool = ConnectionPool(
            '127.0.0.1', faulty.port, Seconds(5), budget=budget
        )
        while True:
            assert _read_end(await pool.exchange(_REQUEST)) in _GIVEN_UP

    async def run() -> list[Fault | bytes]:
        async with serve_script(faulty), serve_script(sound):
            pool = ConnectionPool(
                '127.0.0.1', sound.port, Seconds(5), budget=budget
            )
            async with trio.open_nursery() as nursery:
                for _ in range(8):
                    nursery.start_soon(read_endless)
                await trio.sleep(0.1)
                ends = await _ask_sound_server(pool, number)
                nursery.cancel_scope.cancel()
        return ends

    assert trio.run(run) == [_SOUND_BODY for _ in range(number)]
    assert not budget.held
    assert not budget.reading
