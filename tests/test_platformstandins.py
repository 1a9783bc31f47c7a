"""Check the platform adapter and a whole gateway against stand-ins."""

import json
import logging
from collections.abc import Awaitable, Callable
from dataclasses import replace
from itertools import repeat
from pathlib import Path

import pytest
import trio

from standins.platform import ServerStandIn, StoreStandIn
from tests.scriptedserver import (
    ScriptedServer,
    Step,
    find_ports,
    serve_script,
    whole,
)
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
from trefoilsaddle.decisionlog import DecisionLog
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import (
    AppendTable,
    Effects,
    GrantKeys,
    JoinGroup,
    ReadTopic,
    ReleaseKeys,
    WriteDecision,
)
from trefoilsaddle.gateway.events import (
    AppendVerdict,
    Event,
    OrderVerdict,
    ReadVerdict,
    Started,
    StopRequested,
    Topic,
)
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.servers import (
    Server,
    ServerIncarnation,
    ServerRemoved,
)
from trefoilsaddle.gateway.state import Gateway, build_gateway
from trefoilsaddle.gateway.table import (
    Assignment,
    GatewayAddress,
    OwnershipTable,
    StoredTable,
)
from trefoilsaddle.http.messages import HttpAnswer, HttpRequest
from trefoilsaddle.http.pool import ConnectionPool
from trefoilsaddle.platform.orders import PlatformOrders
from trefoilsaddle.platform.settings import GatewaySettings, read_settings
from trefoilsaddle.platform.store import PlatformStore
from trefoilsaddle.programs.gateway import serve_gateway
from trefoilsaddle.programs.gatewayshell import GatewayShell

_HOST = '127.0.0.1'
_LIFE = ServerIncarnation(ServerId('i-1'), 5)
_ADDRESS = GatewayAddress(NodeId('edge-a-1'), 1, _HOST, 7540)
_ERA = StoreEra(1)
_TABLE = OwnershipTable(
    ServiceName('guide'),
    _ADDRESS,
    sequence=1,
    resigned=False,
    assignments=(Assignment(ALL_KEYS, _LIFE, 1),),
    hold=Seconds(2.5),
    predecessors=(_ADDRESS,),
    era=_ERA,
)
# More than a gateway asks for in a test.
_MANY = 1000
_NO_WAIT = Seconds(0)
_Use = Callable[[StoreStandIn, PlatformStore], Awaitable[None]]


def _use_store(use: _Use) -> None:
    async def run() -> None:
        stand_in = StoreStandIn()
        async with trio.open_nursery() as nursery:
            port = await nursery.start(stand_in.serve)
            store = PlatformStore(_HOST, port, 'me', SystemClock())
            with trio.fail_after(20):
                await use(stand_in, store)
            nursery.cancel_scope.cancel()

    trio.run(run)


def test_tables_are_appended_once_and_read_back() -> None:
    """Store a table once, at the expected offset, also after a lost answer."""

    async def use(stand_in: StoreStandIn, store: PlatformStore) -> None:
        stand_in.lost_answers = 1
        effect = AppendTable(Offset(0), _TABLE)
        first = await store.append(effect)
        again = await store.append(effect)
        other = await store.append(
            AppendTable(
                Offset(0),
                OwnershipTable(
                    ServiceName('guide'),
                    _ADDRESS,
                    sequence=2,
                    resigned=True,
                    assignments=(),
                    era=_ERA,
                ),
            ),
        )
        verdicts = (first.verdict, again.verdict, other.verdict)
        assert verdicts == (
            AppendVerdict.unknown,
            AppendVerdict.stored,
            AppendVerdict.conflict,
        )
        read = await store.read(ReadTopic(Topic.ownership, None, _NO_WAIT))
        assert read.entries == (StoredTable(Offset(0), _TABLE),)
        assert read.next_offset == 1

    _use_store(use)


def test_entries_are_read_over_pages_and_foreign_ones_ignored() -> None:
    """Read all pages, then later records; skip entries that do not parse."""
    entry = {
        'service': 'guide',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'version': 'v1',
        'slots': 3,
        'state': 'ready',
        'warmupLeft': '0ms',
        'seq': 1,
        'born': 5,
    }

    async def use(stand_in: StoreStandIn, store: PlatformStore) -> None:
        for name in ('i-1', 'i-2', 'i-3', 'i-4'):
            encoded = json.dumps(entry).encode()
            stand_in.put('keyed.servers', name, encoded)
        stand_in.put('keyed.servers', 'i-9', b'\xff')
        whole = await store.read(ReadTopic(Topic.servers, None, _NO_WAIT))
        names = [
            server.life.server
            for server in whole.entries
            if isinstance(server, Server)
        ]
        assert names == ['i-1', 'i-2', 'i-3', 'i-4']
        stand_in.put('keyed.servers', 'i-2', b'')
        more = await store.read(
            ReadTopic(Topic.servers, whole.next_offset, _NO_WAIT, whole.era)
        )
        assert more.entries == (ServerRemoved(ServerId('i-2')),)
        assert not more.whole

    _use_store(use)


def test_expired_history_and_an_absent_store_are_told_apart() -> None:
    """Report expired records and an unavailable store as different verdicts."""

    async def use(stand_in: StoreStandIn, store: PlatformStore) -> None:
        stand_in.first_offsets['keyed.op'] = 3
        effect = ReadTopic(Topic.configuration, Offset(1), _NO_WAIT)
        expired = await store.read(effect)
        stand_in.refusing = True
        refused = await store.read(effect)
        joined = await store.join(JoinGroup(0, Seconds(1)))
        appended = await store.append(AppendTable(Offset(0), _TABLE))
        assert expired.verdict == ReadVerdict.expired
        assert refused.verdict == ReadVerdict.unavailable
        assert not joined.answered
        assert appended.verdict == AppendVerdict.refused

    _use_store(use)


def test_one_member_is_the_controller_until_it_leaves() -> None:
    """Assign the controller's partition to one member until it leaves."""

    async def use(stand_in: StoreStandIn, store: PlatformStore) -> None:
        effect = JoinGroup(0, Seconds(1))
        assert (await store.join(effect)).leads
        stand_in.members.append('other')
        await store.leave()
        assert not (await store.join(effect)).leads

    _use_store(use)


@pytest.mark.parametrize('others', [1, 11, 23, 40])
def test_controller_keeps_its_part_while_others_join(others: int) -> None:
    """Keep the controller where it is when other members join.

    Guards against a change of controller whenever a gateway starts.
    """

    async def run() -> None:
        stand_in = StoreStandIn(partition_count=24)
        async with trio.open_nursery() as nursery:
            port = await nursery.start(stand_in.serve)
            effect = JoinGroup(0, Seconds(1))
            stores = [
                PlatformStore(_HOST, port, str(number), SystemClock(), 24)
                for number in range(others + 1)
            ]
            with trio.fail_after(20):
                first = [await store.join(effect) for store in stores]
                again = [await store.join(effect) for store in stores]
            nursery.cancel_scope.cancel()
        for joined in (first, again):
            leaders = [place for place, one in enumerate(joined) if one.leads]
            assert leaders == [0]

    trio.run(run)


def test_a_read_that_waits_ends_with_the_next_record() -> None:
    """Return from a waiting read as soon as a record is written."""

    async def use(stand_in: StoreStandIn, store: PlatformStore) -> None:
        effect = ReadTopic(Topic.servers, Offset(0), Seconds(5), _ERA)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_put_soon, stand_in)
            with trio.fail_after(3):
                read = await store.read(effect)
        assert read.entries == (ServerRemoved(ServerId('i-7')),)

    _use_store(use)


async def _put_soon(stand_in: StoreStandIn) -> None:
    await trio.sleep(0.1)
    stand_in.put('keyed.servers', 'i-7', b'')


def _build_server(port: int) -> Server:
    return Server(
        _LIFE,
        ServiceName('guide'),
        _HOST,
        port,
        ZoneName('a'),
        slots=3,
        draining=False,
        warm_up_left=Seconds(0),
    )


def test_orders_are_carried_out_under_their_fence() -> None:
    """Accept a grant, refuse a lower fence, and release with a handover."""

    async def run() -> None:
        stand_in = ServerStandIn('i-1')
        async with trio.open_nursery() as nursery:
            port = await nursery.start(stand_in.serve)
            orders = PlatformOrders(Seconds(1), Seconds(1))
            server = _build_server(port)
            verdicts = []
            for fence in (7, 6):
                grant = GrantKeys(server, ALL_KEYS, fence, Seconds(2), 'x')
                verdicts.append((await orders.grant(grant)).verdict)
            released = await orders.release(
                ReleaseKeys(server.service, _LIFE, _HOST, port, ALL_KEYS, 7),
            )
            assert verdicts == [OrderVerdict.done, OrderVerdict.fenced]
            assert released.handover == 'left'
            assert stand_in.grants == [
                {
                    'from': 0,
                    'target': 65_535,
                    'fence': 7,
                    'hold_time': '2000ms',
                    'handover': 'x',
                },
            ]
            nursery.cancel_scope.cancel()

    trio.run(run)


_SETTINGS = """
node = "edge-a-1"
ip = "127.0.0.1"
zone = "a"
region = "east"
heartbeat = "870ms"
internalPorts = [{peers}, {last}]
[zones]
a = "east"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
retryRatio = 0.2
retrySlack = 64
budgetWindow = "10s"
holdMax = "10000ms"
grace = "6s"
[platform]
address = "127.0.0.1:{store}"
"""


def test_orders_do_not_reach_a_server_that_took_over_the_address() -> None:
    """Refuse orders at a server that is not the one they are meant for.

    Seen on both sites in the run crash-reborn (hunts), with 13 and 6 OWNER
    faults: a crashed server's grants were renewed at its address, where
    another server had just started.
    """

    async def run() -> None:
        stand_in = ServerStandIn('i-2')
        async with trio.open_nursery() as nursery:
            port = await nursery.start(stand_in.serve)
            orders = PlatformOrders(Seconds(5), Seconds(5))
            server = _build_server(port)
            grant = GrantKeys(server, ALL_KEYS, 7, Seconds(2), '')
            granted = await orders.grant(grant)
            released = await orders.release(
                ReleaseKeys(server.service, _LIFE, _HOST, port, ALL_KEYS, 7),
            )
            assert granted.verdict == OrderVerdict.rejected
            assert released.verdict == OrderVerdict.rejected
            assert not stand_in.grants
            nursery.cancel_scope.cancel()

    trio.run(run)


async def _run_gateway(settings: GatewaySettings, path: Path) -> None:
    """Run a gateway, and fail at once if it cannot start."""
    failure = await serve_gateway(settings, path)
    assert failure is None, failure


def _write_entry(service: str, port: int) -> bytes:
    return json.dumps(
        {
            'service': service,
            'address': f'{_HOST}:{port}',
            'zone': 'a',
            'version': 'v1',
            'slots': 3,
            'state': 'ready',
            'warmupLeft': '0ms',
            'seq': 1,
            'born': 5,
        },
    ).encode()


_RULE = {
    'name': 'r',
    'kind': 'idempotent',
    'targetLatency': '600ms',
    'priority': 1,
    'match': {'pathPrefix': '/reads/'},
    'action': {'service': 'guide', 'timeout': '2s', 'attempts': 2},
}
_CONFIGURATION = {
    'version': 'r3',
    'limits': {
        'headerBytes': 16_384,
        'maxBodyBytes': 1000,
        'headerTimeout': '3000ms',
        'idleTimeout': '15s',
    },
    'listeners': [
        {
            'host': 'shop.example',
            'rules': [
                _RULE,
            ],
        },
    ],
    'clusters': [{'name': 'guide', 'maxConns': 130, 'sharded': True}],
}


async def _wait_until_ready(port: int) -> None:
    pool = ConnectionPool(_HOST, port, Seconds(1))
    request = HttpRequest(b'GET', b'/trefoilsaddle/readyz', ((b'host', b'a'),))
    answer = await pool.exchange(request)
    while not isinstance(answer, HttpAnswer) or answer.status != 200:
        await trio.sleep(0.05)
        answer = await pool.exchange(request)


async def _ask_until_served(port: int, path: bytes) -> HttpAnswer:
    """Retry after the time in the answer, until keys have been assigned."""
    answer = await _ask(port, path)
    while answer.status == 503:
        await trio.sleep(float(answer.find_header(b'retry-after') or b'1'))
        answer = await _ask(port, path)
    return answer


async def _ask(port: int, path: bytes) -> HttpAnswer:
    headers = (
        (b'host', b'shop.example'),
        (b'x-attempt-id', b'mine'),
        (b'x-deadline-ms', b'4000'),
        (b'x-shard-key', b'77'),
    )
    pool = ConnectionPool(_HOST, port, Seconds(1))
    answer = await pool.exchange(HttpRequest(b'GET', path, headers))
    assert isinstance(answer, HttpAnswer)
    return answer


def test_whole_path_is_served(
    tmp_path: Path,
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Start a gateway that reads its configuration, serves and counts."""
    caplog.set_level(logging.WARNING)

    async def run() -> None:
        store = StoreStandIn()
        server = ServerStandIn('i-1')
        async with trio.open_nursery() as nursery:
            store_port = await nursery.start(store.serve)
            server_port = await nursery.start(server.serve)
            store.put('keyed.op', 'config', json.dumps(_CONFIGURATION).encode())
            entry = _write_entry('guide', server_port)
            store.put('keyed.servers', 'i-1', entry)
            ports = await find_ports(3)
            settings = _write_settings(tmp_path, ports, store_port)
            nursery.start_soon(_run_gateway, settings, tmp_path)
            with trio.fail_after(20):
                await _wait_until_ready(ports[1])
                served = await _ask_until_served(ports[0], b'/reads/1')
                missing = await _ask(ports[0], b'/nowhere/')
                text = await _ask(settings.metrics.port, b'/metrics')
            nursery.cancel_scope.cancel()
        assert (served.status, served.body) == (200, b'from i-1')
        assert dict(served.headers)[b'x-upstream-seal'] == b'seal'
        assert missing.status == 404
        assert b'trefoil_events_total{kind="sent"' in text.body
        assert b'trefoil_answer_seconds_bucket' in text.body
        assert server.requests[0].target == b'/reads/1'
        assert server.grants

    trio.run(run)


_OWN_HEADERS = (b'x-attempt-id: mine', b'x-upstream-seal: seal')
_SHED_HEADERS = (b'x-attempt-id: mine', b'x-not-executed: 1')
_ENDLESS_INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
# Each step of the server, and the status that the caller gets.  502 tells that
# the request may have run.
_STATUSES = {
    '200': (Step(whole(b'mine', *_OWN_HEADERS)), 200),
    '599': (Step(whole(b'mine', *_OWN_HEADERS, status=b'599 Bad')), 599),
    '000': (Step(whole(b'mine', *_OWN_HEADERS, status=b'000 Bad')), 502),
    '099': (Step(whole(b'mine', *_OWN_HEADERS, status=b'099 Bad')), 502),
    '100-endless': (Step(endless=_ENDLESS_INTERIM), 502),
    '102-last': (
        Step(whole(b'', *_OWN_HEADERS, status=b'102 Bad'), close=True),
        502,
    ),
    '600': (Step(whole(b'mine', *_OWN_HEADERS, status=b'600 Bad')), 502),
    '600-shed': (Step(whole(b'', *_SHED_HEADERS, status=b'600 Bad')), 502),
    '999': (Step(whole(b'mine', *_OWN_HEADERS, status=b'999 Bad')), 502),
}


def _build_plain_configuration() -> bytes:
    """Send each request once, to any server."""
    once = {'service': 'guide', 'timeout': '2s', 'attempts': 1}
    plain = {**_RULE, 'kind': 'non_idempotent', 'action': once}
    listeners = [{'host': 'shop.example', 'rules': [plain]}]
    clusters = [{'name': 'guide', 'maxConns': 130}]
    changed = {'listeners': listeners, 'clusters': clusters}
    return json.dumps({**_CONFIGURATION, **changed}).encode()


# Guards against a status that is none being passed on to a caller: the server
# is in trouble, and the request may have run.
@pytest.mark.parametrize(('step', 'status'), _STATUSES.values(), ids=_STATUSES)
def test_answer_without_a_valid_status_is_lost(
    tmp_path: Path, step: Step, status: int
) -> None:
    """Answer that the outcome is unknown."""
    server = ScriptedServer([step])

    async def run() -> HttpAnswer:
        store = StoreStandIn()
        async with serve_script(server), trio.open_nursery() as nursery:
            store_port = await nursery.start(store.serve)
            store.put('keyed.op', 'config', _build_plain_configuration())
            entry = _write_entry('guide', server.port)
            store.put('keyed.servers', 'i-1', entry)
            ports = await find_ports(3)
            settings = _write_settings(tmp_path, ports, store_port)
            nursery.start_soon(_run_gateway, settings, tmp_path)
            await _wait_until_ready(ports[1])
            answer = await _ask_until_served(ports[0], b'/reads/1')
            nursery.cancel_scope.cancel()
        return answer

    answer = trio.run(run)
    assert answer.status == status
    assert len(server.requests) == 1


def _write_settings(
    folder: Path,
    ports: list[int],
    store_port: int,
) -> GatewaySettings:
    front, ready, peers = ports
    path = folder / 'settings.toml'
    path.write_text(
        _SETTINGS.format(
            front=front,
            ready=ready,
            peers=peers,
            last=peers + 2,
            store=store_port,
        ),
    )
    settings = read_settings(path, 1)
    assert isinstance(settings, GatewaySettings)
    return settings


def test_lost_records_are_not_taken_for_the_present_ones() -> None:
    """Read all records again, and store a table again, after a return."""

    async def use(stand_in: StoreStandIn, store: PlatformStore) -> None:
        copy = stand_in.copy()
        stand_in.put('keyed.servers', 'i-7', b'')
        await store.append(AppendTable(Offset(0), _TABLE))
        stand_in.restore(copy)
        table = await store.read(
            ReadTopic(Topic.ownership, Offset(1), _NO_WAIT, _ERA)
        )
        entry = await store.read(
            ReadTopic(Topic.servers, Offset(0), _NO_WAIT, _ERA)
        )
        later = replace(_TABLE, era=table.era)
        verdicts = [
            (await store.append(AppendTable(Offset(position), later))).verdict
            for position in (1, 0)
        ]
        assert table.era == entry.era == _ERA + 1
        assert table.verdict == entry.verdict == ReadVerdict.expired
        assert verdicts == [AppendVerdict.unknown, AppendVerdict.stored]

    _use_store(use)


# Guards against a gateway that serves no key, or moves none, once the store has
# lost the newest tables.
def test_gateway_serves_after_the_store_returns_from_a_copy(
    tmp_path: Path,
) -> None:
    """Store the table again in the new era, and serve as before."""

    async def run() -> None:
        store = StoreStandIn()
        server = ServerStandIn('i-1')
        async with trio.open_nursery() as nursery:
            store_port = await nursery.start(store.serve)
            server_port = await nursery.start(server.serve)
            store.put('keyed.op', 'config', json.dumps(_CONFIGURATION).encode())
            copy = store.copy()
            store.put(
                'keyed.servers', 'i-1', _write_entry('guide', server_port)
            )
            ports = await find_ports(3)
            settings = _write_settings(tmp_path, ports, store_port)
            nursery.start_soon(_run_gateway, settings, tmp_path)
            with trio.fail_after(20):
                await _wait_until_ready(ports[1])
                before = await _ask_until_served(ports[0], b'/reads/1')
                store.restore(copy)
                while not store.topics.get('keyed.owners'):
                    await trio.sleep(0.05)
                after = await _ask_until_served(ports[0], b'/reads/2')
            nursery.cancel_scope.cancel()
        assert (before.status, after.status) == (200, 200)
        assert [request.target for request in server.requests] == [
            b'/reads/1',
            b'/reads/2',
        ]

    trio.run(run)


# Guards against a sign of a cold server that is decided on, but never asked for.
def test_gateway_asks_servers_for_their_health(tmp_path: Path) -> None:
    """Ask a server again and again, on a path that the configuration states."""
    cluster = {
        'name': 'guide',
        'maxConns': 130,
        'sharded': True,
        'warmupPerS': 7.4,
        'healthPath': '/health',
    }
    configuration = {**_CONFIGURATION, 'clusters': [cluster]}
    answer = whole(b'{}', b'x-instance-id: i-1', b'x-warmup-ms: 2500')
    server = ScriptedServer(list(repeat(Step(answer), _MANY)))

    async def run() -> None:
        store = StoreStandIn()
        async with serve_script(server), trio.open_nursery() as nursery:
            store_port = await nursery.start(store.serve)
            store.put('keyed.op', 'config', json.dumps(configuration).encode())
            entry = _write_entry('guide', server.port)
            store.put('keyed.servers', 'i-1', entry)
            ports = await find_ports(3)
            settings = _write_settings(tmp_path, ports, store_port)
            nursery.start_soon(_run_gateway, settings, tmp_path)
            with trio.fail_after(20):
                while _count_probes(server) < 3:
                    await trio.sleep(0.05)
            nursery.cancel_scope.cancel()

    trio.run(run)


def _count_probes(server: ScriptedServer) -> int:
    return sum(
        request.startswith(b'GET /health ') for request in server.requests
    )


# Guards against a gateway that handles no event after one that failed.
def test_event_that_fails_is_logged_and_left(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Handle the next event after an unexpected error in one."""
    handled: list[Event] = []
    lines: list[WriteDecision] = []

    def reduce(gateway: Gateway, now: Seconds, event: Event) -> Effects:
        if isinstance(event, StopRequested):
            raise ZeroDivisionError
        handled.append(event)
        return []

    async def run() -> None:
        settings = _write_settings(tmp_path, [81, 82, 83], 84)
        gateway = build_gateway(settings.options)
        async with trio.open_nursery() as nursery:
            log = DecisionLog('edge-a-1')
            shell = GatewayShell(gateway, settings, log, nursery)
            shell.feed(StopRequested())
            shell.feed(Started())

    monkeypatch.setattr('trefoilsaddle.programs.gatewayshell.reduce', reduce)
    monkeypatch.setattr(
        DecisionLog, 'write', lambda log, line, now: lines.append(line)
    )
    trio.run(run)
    assert handled == [Started()]
    assert [line.event_name for line in lines] == ['unexpected error']


# Guards against a gateway that one caller's header ends.
def test_malformed_request_harms_nobody_else(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    """Refuse a request with an endless deadline, and serve the next one."""
    caplog.set_level(logging.WARNING)

    async def run() -> None:
        store = StoreStandIn()
        async with trio.open_nursery() as nursery:
            store_port = await nursery.start(store.serve)
            ports = await find_ports(3)
            settings = _write_settings(tmp_path, ports, store_port)
            nursery.start_soon(_run_gateway, settings, tmp_path)
            headers = (
                (b'host', b'shop.example'),
                (b'x-attempt-id', b'mine'),
                (b'x-deadline-ms', b'9' * 5000),
            )
            request = HttpRequest(b'GET', b'/reads/1', headers)
            pool = ConnectionPool(_HOST, ports[0], Seconds(1))
            with trio.fail_after(20):
                bad = await pool.exchange(request)
                while not isinstance(bad, HttpAnswer):
                    await trio.sleep(0.05)
                    bad = await pool.exchange(request)
                good = await _ask(ports[0], b'/reads/1')
            nursery.cancel_scope.cancel()
        assert (bad.status, good.status) == (400, 503)

    trio.run(run)


def test_configuration_of_the_stand_in_is_valid() -> None:
    """Decode the configuration that the tests of this file use."""
    store = PlatformStore(_HOST, 1, 'me', SystemClock())
    encoded = json.dumps(_CONFIGURATION).encode()
    assert isinstance(store.decode_configuration(encoded), Configuration)
