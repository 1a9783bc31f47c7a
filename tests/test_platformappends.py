"""Test that an append to the store counts only by its own answer."""

from collections.abc import Awaitable, Callable

import pytest
import trio

from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.clock import SystemClock
from trefoilsaddle.core.units import (
    NodeId,
    Offset,
    Seconds,
    ServiceName,
    StoreEra,
)
from trefoilsaddle.gateway.effects import AppendTable, ReadTopic
from trefoilsaddle.gateway.events import AppendVerdict, Topic
from trefoilsaddle.gateway.table import GatewayAddress, OwnershipTable
from trefoilsaddle.platform.store import PlatformStore

_TABLE = OwnershipTable(
    ServiceName('guide'),
    GatewayAddress(NodeId('edge-a-1'), 1, '10.0.0.1', 7540),
    sequence=1,
    resigned=False,
    assignments=(),
    era=StoreEra(1),
)
_STORED = whole(b'{"offset": 3, "end": 4}', b'Store-Era: 1')
_STORED_NEXT = whole(b'{"offset": 4, "end": 5}', b'Store-Era: 1')
_PAGE = whole(bytes(16), b'Store-Era: 1')
_REFUSED = whole(b'', status=b'503 Service Unavailable')


async def _append(store: PlatformStore, offset: int) -> AppendVerdict:
    ended = await store.append(AppendTable(Offset(offset), _TABLE))
    return ended.verdict


async def _read(store: PlatformStore) -> None:
    await store.read(ReadTopic(Topic.ownership, Offset(3), Seconds(0)))


async def _append_first(store: PlatformStore) -> None:
    await _append(store, 3)


_First = Callable[[PlatformStore], Awaitable[None]]
# The first call with its step, the step of the append at offset 4 that follows,
# and its verdict.
_CASES: dict[str, tuple[_First, Step, Step, AppendVerdict]] = {
    'own-answer': (
        _append_first,
        Step(_STORED),
        Step(_STORED_NEXT),
        AppendVerdict.stored,
    ),
    'copied-append': (
        _append_first,
        Step(_STORED),
        Step(copied=_STORED, silent=True),
        AppendVerdict.unknown,
    ),
    'copied-page': (
        _read,
        Step(_PAGE),
        Step(copied=_PAGE, silent=True),
        AppendVerdict.unknown,
    ),
    'copied-refusal': (
        _append_first,
        Step(_REFUSED),
        Step(_STORED_NEXT, copied=_REFUSED),
        AppendVerdict.stored,
    ),
    'refused-read': (
        _read,
        Step(_REFUSED),
        Step(_STORED_NEXT, copied=_REFUSED),
        AppendVerdict.stored,
    ),
    'no-answer-to-an-append': (
        _append_first,
        Step(_STORED),
        Step(_PAGE),
        AppendVerdict.unknown,
    ),
}


# Guards against a controller that acts on a table which is not stored, or that
# stores another one in its place: answers of the store name no call.
@pytest.mark.parametrize(
    ('first', 'step', 'next_step', 'verdict'), _CASES.values(), ids=_CASES
)
def test_append_counts_by_its_own_answer(
    first: _First, step: Step, next_step: Step, verdict: AppendVerdict
) -> None:
    """Take no late answer to an earlier call for the answer to an append."""
    server = ScriptedServer([step, next_step])

    async def run() -> AppendVerdict:
        async with serve_script(server):
            store = PlatformStore('127.0.0.1', server.port, 'me', SystemClock())
            await first(store)
            return await _append(store, 4)

    assert trio.run(run) == verdict
