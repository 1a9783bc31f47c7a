"""Check that clients return faults of the platform as failures."""

from dataclasses import dataclass

import pytest
import trio

from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import HostState, ListedHost
from trefoilsaddle.core.records import LostZone, Record
from trefoilsaddle.core.units import (
    Offset,
    RecordId,
    Seconds,
    ZoneName,
)
from trefoilsaddle.logservice.exchange import (
    ServiceAddress,
    ServiceExchange,
    ServiceRequest,
)
from trefoilsaddle.logservice.hostlist import HttpHostList
from trefoilsaddle.logservice.logclient import HttpLogClient, LogPage
from trefoilsaddle.logservice.recordcodec import encode_records
from trefoilsaddle.results import ResultCode

_RECORDS: tuple[Record, ...] = (
    LostZone(RecordId('id-1'), ZoneName('zone-1'), lost=True),
)
_TEXT = encode_records(_RECORDS).replace('"', r'\"')
_ENTRY = '{"offset":%d,"text":"%s"}'
_PAGE = '{"first":%d,"tail":%d,"entries":[%s]}'
_SHORT = Seconds(0.3)
_LONG = Seconds(15)
_UNAVAILABLE = b'503 Service Unavailable'
_FAULTS = (
    Step(close=True),
    Step(silent=True),
    Step(whole(b'{}')),
    Step(whole(b'no JSON')),
    Step(whole(b'{"offset":-1}')),
    Step(whole(b'{"first":0,"tail":0}')),
    Step(whole(b'{"offset":1}', status=_UNAVAILABLE)),
    Step(whole(b'[]', status=_UNAVAILABLE)),
    Step(
        whole(
            b'{"first":0,"tail":0,"entries":[]}',
            status=_UNAVAILABLE,
        ),
    ),
    Step(whole(b'{"offset":1}')[:-1], close=True),
)


def _address(server: ScriptedServer) -> ServiceAddress:
    # Only a silent server makes the client wait until the timeout. Any other
    # answers, but may be slow on a busy machine.
    silent = any(step.silent for step in server.script)
    timeout = _SHORT if silent else _LONG
    return ServiceAddress('127.0.0.1', server.port, timeout)


def _write_page(first: int, tail: int, *offsets: int) -> Step:
    entries = ','.join(_ENTRY % (offset, _TEXT) for offset in offsets)
    return Step(whole((_PAGE % (first, tail, entries)).encode()))


async def _read(server: ScriptedServer, start: int) -> LogPage | Failure:
    async with serve_script(server):
        log = HttpLogClient(_address(server))
        page = await log.read(Offset(start))
        await log.aclose()
    return page


async def _append(server: ScriptedServer) -> Offset | Failure:
    async with serve_script(server):
        log = HttpLogClient(_address(server))
        offset = await log.append(_RECORDS)
        await log.aclose()
    return offset


async def _list_hosts(
    server: ScriptedServer,
) -> tuple[ListedHost, ...] | Failure:
    async with serve_script(server):
        hosts = HttpHostList(_address(server))
        listed = await hosts.read()
        await hosts.aclose()
    return listed


@pytest.mark.parametrize('step', _FAULTS)
def test_faults_are_failures(step: Step) -> None:
    """Return a failure after one request, without an exception."""
    server = ScriptedServer([step])
    page = trio.run(_read, server, 0)
    assert isinstance(page, Failure)
    assert page.code is ResultCode.log_unavailable
    assert len(server.requests) == 1


@pytest.mark.parametrize('step', _FAULTS)
def test_hosts_faults_are_failures(step: Step) -> None:
    """Return a failure if the host list is unreachable or invalid."""
    server = ScriptedServer([step])
    assert isinstance(trio.run(_list_hosts, server), Failure)


@pytest.mark.parametrize('step', _FAULTS)
def test_append_faults_are_failures(step: Step) -> None:
    """Return a failure and do not repeat the append."""
    server = ScriptedServer([step])
    assert isinstance(trio.run(_append, server), Failure)
    assert len(server.requests) == 1


def test_appends_are_acknowledged() -> None:
    """Return the offset of an acknowledged append."""
    server = ScriptedServer([Step(whole(b'{"offset":7}'))])
    assert trio.run(_append, server) == 7


@dataclass(frozen=True, slots=True)
class _PageCase:
    name: str
    step: Step
    # Offsets of the entries; None if the page is refused.
    offsets: tuple[int, ...] | None
    start: int = 0


_PAGE_CASES = (
    _PageCase('empty', _write_page(0, 0), ()),
    _PageCase('whole', _write_page(0, 2, 0, 1), (0, 1)),
    _PageCase('part', _write_page(0, 9, 3, 4), (3, 4), start=3),
    _PageCase('expired before', _write_page(5, 9, 5, 6), (5, 6), start=3),
    _PageCase('beyond the tail', _write_page(0, 3), (), start=7),
    _PageCase('gap', _write_page(0, 3, 0, 2), None),
    _PageCase('twice', _write_page(0, 3, 0, 0), None),
    _PageCase('back', _write_page(0, 3, 1, 0), None),
    _PageCase('starts late', _write_page(0, 3, 1, 2), None),
    _PageCase('tail too small', _write_page(0, 1, 0, 1), None),
    _PageCase('starts early', _write_page(0, 3, 0, 1), None, start=1),
)


@pytest.mark.parametrize('case', _PAGE_CASES, ids=lambda case: case.name)
def test_pages_have_no_gap(case: _PageCase) -> None:
    """Refuse a page that skips or repeats an entry."""
    page = trio.run(_read, ScriptedServer([case.step]), case.start)
    offsets = None
    if isinstance(page, LogPage):
        offsets = tuple(entry.offset for entry in page.entries)
        assert all(entry.records == _RECORDS for entry in page.entries)
    assert offsets == case.offsets


def test_strange_entries_have_no_records() -> None:
    """Keep the offset of an entry that cannot be decoded, and count it."""
    body = _PAGE % (0, 2, '{"offset":0,"text":"tea"},{"offset":1,"text":""}')
    server = ScriptedServer([Step(whole(body.encode()))])
    page = trio.run(_read, server, 0)
    assert isinstance(page, LogPage)
    assert page.refused == 2
    assert [entry.records for entry in page.entries] == [(), ()]


@pytest.mark.parametrize(
    ('body', 'listed'),
    [
        (b'[]', ()),
        (
            b'[{"name":"one","state":"leaving"}]',
            (ListedHost('one', HostState.leaving),),
        ),
        (b'[{"name":"one","state":"asleep"}]', None),
        (b'[{"name":7,"state":"live"}]', None),
    ],
)
def test_hosts_are_listed(
    body: bytes,
    listed: tuple[ListedHost, ...] | None,
) -> None:
    """Read a valid host list, and refuse one with any invalid host."""
    answer = trio.run(_list_hosts, ScriptedServer([Step(whole(body))]))
    assert answer == listed or listed is None
    assert isinstance(answer, Failure) == (listed is None)


# Guards against a second copy of an answer that is taken for the next answer.
def test_surplus_answer_is_not_taken_for_the_next_one() -> None:
    """Use a connection no more after bytes that nobody asked for."""
    first, second = whole(b'first'), whole(b'second')
    server = ScriptedServer([Step(first + first), Step(second)])

    async def run() -> list[bytes | Failure]:
        async with serve_script(server):
            exchange = ServiceExchange(_address(server))
            request = ServiceRequest('GET', '/')
            answers = [await exchange.request(request) for _ in range(2)]
            await exchange.aclose()
        return answers

    assert trio.run(run) == [b'first', b'second']
    assert server.connections == 2
