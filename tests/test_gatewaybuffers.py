"""Test that the buffers of an exchange are freed when it has ended."""

import gc
import tracemalloc
from collections.abc import Iterator
from contextlib import contextmanager

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from tests.endless import MEGABYTE
from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.messages import Fault, HttpAnswer, HttpRequest
from trefoilsaddle.http.pool import ConnectionPool

_ID = b'x-attempt-id: mine'
_OWN = whole(b'mine', _ID)
_STALE = whole(b'theirs', b'x-attempt-id: theirs')
_CHUNKED = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
_STEPS = {
    'whole': Step(_OWN),
    'stale-first': Step(_STALE + _OWN),
    'not-http': Step(b'garbage\r\n\r\n'),
    'bad-header': Step(b'HTTP/1.1 200 OK\r\nno header\r\n\r\n'),
    'bad-length': Step(b'HTTP/1.1 200 OK\r\ncontent-length: x\r\n\r\n'),
    'bad-chunk': Step(_CHUNKED + b'none\r\n'),
    'bad-status': Step(whole(b'mine', _ID, status=b'000 None')),
    'invalid-status': Step(whole(b'mine', _ID, status=b'600 None')),
    'closed-without-answer': Step(close=True),
    'head-cut-short': Step(_OWN[:20], close=True),
    'body-cut-short': Step(_OWN[:-1], close=True),
    'chunk-cut-short': Step(_CHUNKED + b'4\r\nmi', close=True),
    'endless-head': Step(endless=b'x'),
    'endless-interim': Step(endless=b'HTTP/1.1 102 Wait\r\n\r\n'),
    'endless-body': Step(_CHUNKED, endless=b'400\r\n%b\r\n' % (b'x' * 1024)),
    'silent': Step(silent=True),
}
# Each leaked body is a whole one; what the servers' buffers and the parser
# leave is smaller.
_MAX_LEFT = MEGABYTE // 2
_REPEATS = 3
_TIMEOUT = 0.3


def _matches(answer: HttpAnswer) -> bool:
    return answer.find_header(b'x-attempt-id') == b'mine'


@contextmanager
def _without_collector() -> Iterator[None]:
    gc.collect()
    gc.disable()
    tracemalloc.start()
    try:
        yield
    finally:
        tracemalloc.stop()
        gc.enable()


async def _exchange(
    pool: ConnectionPool, headers: tuple[tuple[bytes, bytes], ...]
) -> HttpAnswer | Fault:
    request = HttpRequest(b'POST', b'/work', headers, bytes(MEGABYTE))
    with trio.move_on_after(_TIMEOUT):
        return await pool.exchange(request, Seconds(3), _matches)
    return Fault.lost


async def _measure_left(
    server: ScriptedServer, headers: tuple[tuple[bytes, bytes], ...]
) -> int:
    """Return the bytes that exchanges leave in memory."""
    budget = AnswerBudget(max_answer=MEGABYTE)
    async with serve_script(server):
        pool = ConnectionPool(
            '127.0.0.1', server.port, Seconds(5), budget=budget
        )
        # The first exchange fills caches.
        await _exchange(pool, headers)
        server.requests.clear()
        with _without_collector():
            for _ in range(_REPEATS):
                await _exchange(pool, headers)
                # The server keeps no body either.
                await wait_all_tasks_blocked()
                server.requests.clear()
            return tracemalloc.get_traced_memory()[0]


_HEADERS = ((b'host', b'server'), (b'content-length', b'%d' % MEGABYTE))


# Guards against bodies that stay in memory until the collector runs, which
# counts objects and not bytes: an exception of the parser refers to itself, and
# by its traceback to the request and its encoded copy.
@pytest.mark.parametrize('step', _STEPS.values(), ids=_STEPS)
def test_buffers_are_freed_without_the_collector(step: Step) -> None:
    """Leave no body in memory, whatever the answer."""
    server = ScriptedServer([step for _ in range(_REPEATS + 1)])
    assert trio.run(_measure_left, server, _HEADERS) < _MAX_LEFT


def test_buffers_of_an_invalid_request_are_freed() -> None:
    """Leave no body in memory if the request cannot be encoded."""
    headers = (*_HEADERS, (b'bad', b'\n'))
    server = ScriptedServer([])
    assert trio.run(_measure_left, server, headers) < _MAX_LEFT
    assert not server.requests
