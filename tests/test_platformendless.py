"""Test calls to servers and to the store whose answers have no end."""

import json
import tracemalloc
from collections.abc import Awaitable, Callable
from functools import partial

import pytest
import trio

from tests.endless import ENDLESS, MEGABYTE
from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.clock import SystemClock
from trefoilsaddle.core.units import (
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ServiceName,
    StoreEra,
    ZoneName,
)
from trefoilsaddle.gateway.effects import (
    AppendTable,
    GrantKeys,
    JoinGroup,
    ProbeServer,
    ReadTopic,
    ReleaseKeys,
)
from trefoilsaddle.gateway.events import (
    AppendVerdict,
    OrderVerdict,
    ReadVerdict,
    Topic,
)
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.table import GatewayAddress, OwnershipTable
from trefoilsaddle.platform.orders import PlatformOrders
from trefoilsaddle.platform.probes import PlatformProbes
from trefoilsaddle.platform.store import PlatformStore

_HOST = '127.0.0.1'
_TIMEOUT = Seconds(0.5)
# Longest time of a call: that of a call to the store, a long poll included.
_MAX_TIME = 2
# What the smallest machine (160 MB) has beside the process at rest (60 MB).
_MAX_MEMORY = 100 * MEGABYTE
_TOGETHER = 20
_SERVICE = ServiceName('guide')
_INCARNATION = ServerIncarnation(ServerId('i-1'), 5)
_TABLE = OwnershipTable(
    _SERVICE,
    GatewayAddress(NodeId('edge-a-1'), 1, _HOST, 7540),
    sequence=1,
    resigned=False,
    assignments=(),
    era=StoreEra(1),
)


def _build_server(port: int) -> Server:
    return Server(
        _INCARNATION,
        _SERVICE,
        _HOST,
        port,
        ZoneName('a'),
        slots=3,
        draining=False,
        warm_up_left=Seconds(0),
    )


def _build_store(port: int) -> PlatformStore:
    return PlatformStore(_HOST, port, 'me', SystemClock())


async def _call_together(call: Callable[[], Awaitable[None]]) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(_TOGETHER):
            nursery.start_soon(call)


async def _grant(port: int) -> None:
    orders = PlatformOrders(_TIMEOUT, _TIMEOUT)
    effect = GrantKeys(_build_server(port), ALL_KEYS, 7, Seconds(2), '')

    async def call() -> None:
        ended = await orders.grant(effect)
        assert ended.verdict == OrderVerdict.unknown

    await _call_together(call)


async def _release(port: int) -> None:
    orders = PlatformOrders(_TIMEOUT, _TIMEOUT)
    effect = ReleaseKeys(_SERVICE, _INCARNATION, _HOST, port, ALL_KEYS, 7)

    async def call() -> None:
        ended = await orders.release(effect)
        assert ended.verdict == OrderVerdict.unknown

    await _call_together(call)


async def _probe(port: int) -> None:
    probes = PlatformProbes()
    effect = ProbeServer(_build_server(port), '/health')

    async def call() -> None:
        ended = await probes.probe(effect)
        assert not ended.warm_up_left

    await _call_together(call)


async def _read(port: int, *, offset: Offset | None, wait: float) -> None:
    store = _build_store(port)
    effect = ReadTopic(Topic.servers, offset, Seconds(wait))

    async def call() -> None:
        ended = await store.read(effect)
        assert ended.verdict == ReadVerdict.unavailable

    await _call_together(call)


async def _append(port: int) -> None:
    store = _build_store(port)

    async def call() -> None:
        ended = await store.append(AppendTable(Offset(0), _TABLE))
        assert ended.verdict == AppendVerdict.unknown

    await _call_together(call)


async def _join(port: int) -> None:
    store = _build_store(port)

    async def call() -> None:
        ended = await store.join(JoinGroup(0, Seconds(2)))
        assert not ended.answered

    await _call_together(call)


_Call = Callable[[int], Awaitable[None]]
_CALLS: dict[str, _Call] = {
    'grant': _grant,
    'release': _release,
    'probe': _probe,
    'read of the newest': partial(_read, offset=None, wait=0),
    'read': partial(_read, offset=Offset(3), wait=0),
    'long poll': partial(_read, offset=Offset(3), wait=0.5),
    'append': _append,
    'join': _join,
}
_FORMS = (
    'header-line',
    'informational',
    'body-without-length',
    'chunked-body',
    'trailers',
)


# Guards against a server or store in trouble that fills the memory of a gateway, or
# holds its calls beyond their time.
@pytest.mark.parametrize('form', _FORMS)
@pytest.mark.parametrize('call', _CALLS.values(), ids=_CALLS)
def test_endless_answers_to_calls_are_given_up(call: _Call, form: str) -> None:
    """End calls that are made together, in time and within the memory."""
    server = ScriptedServer([ENDLESS[form].step for _ in range(_TOGETHER)])

    async def run() -> None:
        async with serve_script(server):
            with trio.fail_after(_MAX_TIME):
                await call(server.port)

    tracemalloc.start()
    trio.run(run)
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak <= _MAX_MEMORY


def _build_page(number: int) -> Step:
    entry = {'key': f'k{number}', 'value': 'A' * MEGABYTE, 'offset': number}
    page = {'items': [entry], 'more': True, 'end': 1000}
    return Step(whole(json.dumps(page).encode(), b'Store-Era: 1'))


# Guards against a store that always has one more page.
def test_endless_pages_are_given_up() -> None:
    """Stop to read the newest records at a limit."""
    pages = [_build_page(number) for number in range(_MAX_MEMORY // MEGABYTE)]
    server = ScriptedServer(pages)

    async def run() -> ReadVerdict:
        async with serve_script(server):
            store = _build_store(server.port)
            effect = ReadTopic(Topic.servers, None, Seconds(0))
            return (await store.read(effect)).verdict

    assert trio.run(run) == ReadVerdict.unavailable
    assert server.script
