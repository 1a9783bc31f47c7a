"""Check that the stand-ins behave like the services that they replace."""

from dataclasses import dataclass, replace

import pytest

from standins.audit import find_repeats, find_second_owners
from standins.hostservice import HostSwitches, LaggedHostList
from standins.logstore import (
    LogLimits,
    LogStore,
    LogSwitches,
    StoredPage,
)
from standins.serverstate import (
    Execution,
    GrantCall,
    NotRun,
    RunCall,
    ServerState,
    ServerSwitches,
    ServerTraits,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import GrantedShard, ServerStamp
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    NodeId,
    Offset,
    Seconds,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
)

_START = Seconds(100)
_LIMITS = LogLimits(append_rate=4, retention=Seconds(10), entry_count=3)


def _append(store: LogStore, now: float, texts: str) -> list[int | None]:
    offsets = [store.append(Seconds(now), text) for text in texts]
    return [
        None if isinstance(offset, Failure) else offset for offset in offsets
    ]


def _read(store: LogStore, now: float, start: int, limit: int) -> StoredPage:
    page = store.read(Seconds(now), Offset(start), limit)
    assert isinstance(page, StoredPage)
    return page


@dataclass(frozen=True, slots=True)
class _ReadCase:
    name: str
    # Time of each append, and its texts, one a character.
    appends: tuple[tuple[float, str], ...]
    read_at: float
    first: int
    tail: int
    texts: str
    start: int = 0
    limit: int = 9
    switches: LogSwitches = LogSwitches()


_READ_CASES = (
    _ReadCase('empty', (), 100, 0, 0, ''),
    _ReadCase('all', ((100, 'ab'),), 100, 0, 2, 'ab'),
    _ReadCase('from an offset', ((100, 'ab'),), 100, 0, 2, 'b', start=1),
    _ReadCase('beyond the tail', ((100, 'ab'),), 100, 0, 2, '', start=7),
    _ReadCase('limited', ((100, 'ab'),), 100, 0, 2, 'a', limit=1),
    _ReadCase('count retained', ((100, 'abcd'),), 100, 1, 4, 'bcd'),
    _ReadCase(
        'time retained',
        ((100, 'a'), (105, 'b')),
        111,
        1,
        2,
        'b',
    ),
    _ReadCase('all expired', ((100, 'ab'),), 111, 2, 2, ''),
    _ReadCase(
        'before the first',
        ((100, 'abcd'),),
        100,
        1,
        4,
        'b',
        limit=1,
    ),
    _ReadCase(
        'stale',
        ((100, 'ab'),),
        100,
        0,
        1,
        'a',
        switches=LogSwitches(stale_entries=1),
    ),
    _ReadCase(
        'stale and expired',
        ((100, 'ab'),),
        111,
        1,
        1,
        '',
        switches=LogSwitches(stale_entries=1),
    ),
)


@pytest.mark.parametrize('case', _READ_CASES, ids=lambda case: case.name)
def test_log_reads(case: _ReadCase) -> None:
    """Read the retained entries in order, with the log's offsets."""
    store = LogStore(_LIMITS)
    for now, texts in case.appends:
        _append(store, now, texts)
    store.switches = case.switches
    page = _read(store, case.read_at, case.start, case.limit)
    texts = ''.join(entry.text for entry in page.entries)
    assert (page.first, page.tail, texts) == (case.first, case.tail, case.texts)


def test_appends_are_bounded() -> None:
    """Accept a burst of one second's appends, and then the append rate."""
    store = LogStore(_LIMITS)
    assert _append(store, 100, 'abcdef') == [0, 1, 2, 3, None, None]
    assert _append(store, 100.25, 'gh') == [4, None]
    assert _append(store, 200, 'ijklm') == [5, 6, 7, 8, None]


def test_lost_replies_have_taken_effect() -> None:
    """Store an entry whose reply is lost, and lose only that many replies."""
    store = LogStore(_LIMITS)
    store.switches = LogSwitches(lost_replies=1)
    assert _append(store, 100, 'ab') == [None, 1]
    assert len(_read(store, 100, 0, 9).entries) == 2


def test_outage_takes_no_effect() -> None:
    """Refuse reads and appends, and continue at the same offset afterwards."""
    store = LogStore(_LIMITS)
    store.switches = LogSwitches(outage=True)
    assert _append(store, 100, 'a') == [None]
    assert isinstance(store.read(_START, Offset(0), 1), Failure)
    store.switches = LogSwitches()
    assert _append(store, 100, 'a') == [0]


def test_hosts_lag() -> None:
    """Show each change of the host list only after the lag."""
    host_list = LaggedHostList(Seconds(2))
    host_list.change(Seconds(10), HostSwitches({'one': 'live'}))
    host_list.change(Seconds(11), HostSwitches({'one': 'leaving'}))
    shown = [host_list.list_hosts(Seconds(now)) for now in (11.9, 12, 13)]
    assert shown == [{}, {'one': 'live'}, {'one': 'leaving'}]


_SHARD = ShardId(ServiceName('catalogue'), ShardNumber(3))
_TERM = Epoch(Offset(7), 0)
_EPOCH = Epoch(Offset(5), 0)
_ONE = NodeId('dispatcher-1')
_STAMP = ServerStamp('first', _START)
_CALL = GrantCall(
    dispatcher=_ONE,
    term=_TERM,
    sequence=4,
    duration=Seconds(2),
    whole=True,
    granted=(GrantedShard(_SHARD, _EPOCH),),
    revoked=(),
    stamp=_STAMP,
)
_RUN = RunCall(
    service='catalogue',
    member='north',
    key='door',
    shard=_SHARD,
    term=_TERM,
    epoch=_EPOCH,
    dispatcher=_ONE,
    attempt='1',
    path='/one',
    remaining=Seconds(1),
)
_LOWER = Epoch(Offset(6), 9)
_HIGHER = Epoch(Offset(7), 1)


@dataclass(frozen=True, slots=True)
class _FenceCase:
    name: str
    # Calls that follow the first one, which grants the shard at `_START`.
    calls: tuple[GrantCall, ...] = ()
    run: RunCall = _RUN
    run_after: float = 1
    refusal: NotRun | None = NotRun.fenced
    # Whether the last call is accepted.
    accepted: bool = True
    checks_grants: bool = True


_FENCE_CASES = (
    _FenceCase('granted', refusal=None),
    _FenceCase('lapsed', run_after=2),
    _FenceCase('lower term', run=replace(_RUN, term=_LOWER)),
    _FenceCase('higher term', run=replace(_RUN, term=_HIGHER)),
    _FenceCase('other epoch', run=replace(_RUN, epoch=_TERM)),
    _FenceCase(
        'other shard',
        run=replace(_RUN, shard=ShardId(_SHARD.service, ShardNumber(4))),
    ),
    _FenceCase(
        'not checked',
        run=replace(_RUN, term=_LOWER),
        checks_grants=False,
        refusal=None,
    ),
    _FenceCase(
        'expired',
        run=replace(_RUN, remaining=Seconds(0)),
        refusal=NotRun.expired,
    ),
    _FenceCase(
        'call of a lower term',
        (replace(_CALL, term=_LOWER, granted=()),),
        accepted=False,
        refusal=None,
    ),
    _FenceCase(
        'call of another dispatcher in the same term',
        (replace(_CALL, dispatcher=NodeId('dispatcher-2'), granted=()),),
        accepted=False,
        refusal=None,
    ),
    _FenceCase(
        'late call must not undo a revocation',
        (
            replace(
                _CALL, sequence=6, whole=False, granted=(), revoked=(_SHARD,)
            ),
            replace(_CALL, sequence=5),
        ),
        accepted=False,
    ),
    _FenceCase(
        'call of a higher term takes over',
        (replace(_CALL, term=_HIGHER, dispatcher=NodeId('dispatcher-2')),),
    ),
    _FenceCase(
        'revoked',
        (
            replace(
                _CALL,
                sequence=5,
                whole=False,
                granted=(),
                revoked=(_SHARD,),
            ),
        ),
    ),
    _FenceCase(
        'renewed in part',
        (replace(_CALL, sequence=5, whole=False, granted=()),),
        refusal=None,
    ),
    _FenceCase(
        'replaced as a whole',
        (replace(_CALL, sequence=5, granted=()),),
    ),
    _FenceCase(
        'renewed by a later stamp',
        (replace(_CALL, sequence=5, stamp=ServerStamp('first', Seconds(101))),),
        run_after=2.5,
        refusal=None,
    ),
    _FenceCase(
        'renewed by the same stamp: as in a frozen socket',
        (replace(_CALL, sequence=5),),
        run_after=2.5,
    ),
    _FenceCase(
        'stamp of an earlier run of the server',
        (
            replace(_CALL, sequence=5, granted=()),
            replace(_CALL, sequence=6, stamp=ServerStamp('zeroth', _START)),
        ),
    ),
    _FenceCase(
        'no stamp',
        (
            replace(_CALL, sequence=5, granted=()),
            replace(_CALL, sequence=6, stamp=None),
        ),
    ),
)


@pytest.mark.parametrize('case', _FENCE_CASES, ids=lambda case: case.name)
def test_grants_fence(case: _FenceCase) -> None:
    """Run only what the newest grant allows, by the server's own clock."""
    traits = ServerTraits(ServerId('one'), checks_grants=case.checks_grants)
    state = ServerState(traits, _START)
    granted = state.handle_grant(_START, _CALL)
    for call in case.calls:
        granted = state.handle_grant(Seconds(_START + 1), call)
    begun = state.begin(Seconds(_START + case.run_after), case.run)
    refusal = begun if isinstance(begun, NotRun) else None
    assert (granted.accepted, refusal) == (case.accepted, case.refusal)


def _build_state() -> ServerState:
    state = ServerState(ServerTraits(ServerId('one')), _START)
    state.handle_grant(_START, _CALL)
    return state


@pytest.mark.parametrize(
    ('switches', 'running', 'refusal'),
    [
        (ServerSwitches(), 2, None),
        (ServerSwitches(), 3, NotRun.shed),
        (ServerSwitches(shedding=True), 0, NotRun.shed),
        (ServerSwitches(draining=True), 0, NotRun.draining),
    ],
)
def test_servers_refuse(
    switches: ServerSwitches,
    running: int,
    refusal: NotRun | None,
) -> None:
    """Refuse when full, shedding or draining, and record no execution."""
    state = _build_state()
    for _ in range(running):
        state.begin(_START, _RUN)
    state.switches = switches
    begun = state.begin(_START, _RUN)
    assert begun is refusal or refusal is None
    assert isinstance(begun, Execution) == (refusal is None)
    assert len(state.executions) == running + (refusal is None)


def test_slots_are_freed() -> None:
    """Accept another request when one has ended."""
    state = _build_state()
    first = state.begin(_START, _RUN)
    state.begin(_START, _RUN)
    state.begin(_START, _RUN)
    assert isinstance(first, Execution)
    state.finish(_START, first)
    assert isinstance(state.begin(_START, _RUN), Execution)
    assert state.load == 1


def test_a_revoked_shard_is_given_up_after_its_work() -> None:
    """Report work on a revoked shard until the request has ended."""
    state = _build_state()
    execution = state.begin(_START, _RUN)
    call = replace(_CALL, sequence=5, granted=(), revoked=(_SHARD,))
    state.handle_grant(_START, call)
    assert isinstance(execution, Execution)
    assert state.has_running_work(call)
    state.finish(_START, execution)
    assert not state.has_running_work(call)


@pytest.mark.parametrize(('age', 'due'), [(0, 4), (9, 4), (10, 1)])
def test_cold_servers_are_slow(age: int, due: int) -> None:
    """Take four times as long during the cold period after the start."""
    traits = ServerTraits(
        ServerId('one'),
        checks_grants=False,
        service_time=Seconds(1),
        cold_period=Seconds(10),
    )
    now = Seconds(_START + age)
    execution = ServerState(traits, _START).begin(now, _RUN)
    assert isinstance(execution, Execution)
    assert execution.due == now + due


def _run(
    server: str,
    started: float,
    ended: float | None,
    epoch: Epoch = _EPOCH,
    key: str = 'door',
) -> Execution:
    call = replace(_RUN, epoch=epoch, key=key)
    return Execution(
        ServerId(server),
        call,
        Seconds(started),
        Seconds(started),
        None if ended is None else Seconds(ended),
    )


@pytest.mark.parametrize(
    ('runs', 'found'),
    [
        ([], 0),
        ([_run('one', 0, 1), _run('one', 0.5, 2)], 0),
        ([_run('one', 0, 1), _run('two', 1, 2)], 0),
        ([_run('one', 0, 1), _run('two', 0.5, 2, key='gate')], 0),
        ([_run('one', 0, 1), _run('two', 0.5, 2)], 1),
        ([_run('two', 0.5, 2), _run('one', 0, 1)], 1),
        ([_run('one', 0, None), _run('two', 5, 6)], 1),
        ([_run('one', 0, 1), _run('two', 2, 3, FIRST_EPOCH)], 1),
    ],
)
def test_audit_finds_second_owners(runs: list[Execution], found: int) -> None:
    """Find two servers that run a key at the same time or an older epoch."""
    assert len(find_second_owners(runs)) == found


def test_audit_finds_older_terms() -> None:
    """Find requests of a dispatcher that had lost its role."""
    older = _run('one', 2, 3)
    older.call = replace(older.call, term=_LOWER)
    assert len(find_second_owners([_run('one', 0, 1), older])) == 1


def test_audit_finds_repeats() -> None:
    """Find non-idempotent requests that ran twice, on any servers."""
    runs = [_run('one', 0, 1), _run('two', 2, 3)]
    assert len(find_repeats(runs, ['/one', '/two'])) == 1
    assert not find_repeats(runs[:1], ['/one', '/two'])
