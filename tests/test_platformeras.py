"""Test what the adapter makes of the era that the store states.

The era rises each time the store comes back from a copy; offsets of an earlier
era mean nothing then.
"""

import json
from base64 import b64encode
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import pytest
import trio

from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.clock import SystemClock
from trefoilsaddle.core.units import (
    NO_ERA,
    NodeId,
    Offset,
    Seconds,
    ServiceName,
    StoreEra,
)
from trefoilsaddle.gateway.effects import AppendTable, JoinGroup, ReadTopic
from trefoilsaddle.gateway.events import (
    AppendEnded,
    AppendVerdict,
    JoinEnded,
    ReadVerdict,
    Topic,
    TopicRead,
)
from trefoilsaddle.gateway.table import GatewayAddress, OwnershipTable
from trefoilsaddle.platform.records import encode_keyed
from trefoilsaddle.platform.store import PlatformStore
from trefoilsaddle.wire.gatewaycodec import encode_table

_NO_WAIT = Seconds(0)
_NAME = b'guide'
_TABLE = OwnershipTable(
    ServiceName('guide'),
    GatewayAddress(NodeId('edge-a-1'), 1, '10.0.0.1', 7540),
    sequence=1,
    resigned=False,
    assignments=(),
    era=StoreEra(1),
)
_PAGE = bytes(16)
_STORED = _PAGE + encode_keyed(_NAME, encode_table(_TABLE))
_OTHER = _PAGE + encode_keyed(_NAME, b'other')
_GONE = b'410 Gone'
_CONFLICT = b'412 Precondition Failed'
_UNAVAILABLE = b'503 Service Unavailable'
_LIMITED = b'429 Too Many Requests'
_LOST = Step(close=True)
_Ended = TypeVar('_Ended')


def _state(era: int, body: bytes, status: bytes = b'200 OK') -> Step:
    return Step(whole(body, b'Store-Era: %d' % era, status=status))


def _write_page(era: int, name: str, *, more: bool) -> Step:
    records = [{'key': name, 'value': '', 'offset': 3}]
    page = {'items': records, 'more': more, 'end': 9}
    return _state(era, json.dumps(page).encode())


def _call(
    call: Callable[[PlatformStore], Awaitable[_Ended]],
    *steps: Step,
) -> tuple[_Ended, int]:
    """Return what a call gives, and the number of its requests."""
    server = ScriptedServer(list(steps))

    async def run() -> _Ended:
        async with serve_script(server):
            store = PlatformStore('127.0.0.1', server.port, 'me', SystemClock())
            ended = await call(store)
        return ended

    return trio.run(run), len(server.requests)


_ERAS: dict[str, tuple[bytes | None, StoreEra]] = {
    'missing': (None, NO_ERA),
    'stated': (b'4', StoreEra(4)),
    'zero': (b'0', StoreEra(0)),
    'large': (b'1777367429752', StoreEra(1_777_367_429_752)),
    'empty': (b'', NO_ERA),
    'no-number': (b'four', NO_ERA),
    'negative': (b'-4', NO_ERA),
    'fraction': (b'4.5', NO_ERA),
    'two': (b'4, 5', NO_ERA),
    'other-digits': ('\u0664'.encode(), NO_ERA),
    '400-digits': (b'4' * 400, NO_ERA),
    '9000-digits': (b'4' * 9000, NO_ERA),
}


# Guards against a malformed header that ends a read with an exception.
@pytest.mark.parametrize(('stated', 'era'), _ERAS.values(), ids=_ERAS)
def test_era_is_decoded(stated: bytes | None, era: StoreEra) -> None:
    """Decode a number, and treat anything else as not stated."""
    headers = () if stated is None else (b'Store-Era: %b' % stated,)
    read, _ = _read(Offset(3), era, Step(whole(_STORED, *headers)))
    assert (read.verdict, read.era) == (ReadVerdict.records, era)
    assert len(read.entries) == 1


def _read(
    offset: Offset | None,
    era: StoreEra,
    *steps: Step,
) -> tuple[TopicRead, int]:
    effect = ReadTopic(Topic.ownership, offset, _NO_WAIT, era)
    return _call(lambda store: store.read(effect), *steps)


@dataclass(frozen=True, slots=True)
class _ReadCase:
    step: Step
    verdict: ReadVerdict
    # Era stated by the answer; the offset is of era 1.
    era: int = NO_ERA


_READS = {
    'same': _ReadCase(_state(1, _STORED), ReadVerdict.records, 1),
    'not-stated': _ReadCase(Step(whole(_STORED)), ReadVerdict.records),
    'later': _ReadCase(_state(2, _STORED), ReadVerdict.expired, 2),
    'later-and-empty': _ReadCase(_state(3, _PAGE), ReadVerdict.expired, 3),
    'earlier': _ReadCase(_state(0, _STORED), ReadVerdict.expired, 0),
    'gone': _ReadCase(_state(1, b'{}', _GONE), ReadVerdict.expired, 1),
    'later-gone': _ReadCase(_state(2, b'{}', _GONE), ReadVerdict.expired, 2),
    'refused': _ReadCase(
        _state(2, b'', _UNAVAILABLE), ReadVerdict.unavailable, 2
    ),
    'limited': _ReadCase(_state(2, b'', _LIMITED), ReadVerdict.unavailable, 2),
    'damaged': _ReadCase(_state(1, b'page'), ReadVerdict.unavailable, 1),
    'lost': _ReadCase(_LOST, ReadVerdict.unavailable),
}


# Guards against records that are skipped or taken for others where an offset
# has been given out again, and against a refusal taken for the return of the
# store.
@pytest.mark.parametrize('case', _READS.values(), ids=_READS)
def test_offset_counts_in_its_era(case: _ReadCase) -> None:
    """Read from an offset only in the era that gave it out."""
    read, calls = _read(Offset(3), StoreEra(1), case.step)
    assert (read.verdict, read.era) == (case.verdict, case.era)
    assert bool(read.entries) == (case.verdict == ReadVerdict.records)
    assert calls == 1


_WHOLE_READS = {
    'one-era': (
        (_write_page(2, 'a', more=True), _write_page(2, 'b', more=False)),
        ReadVerdict.records,
        2,
    ),
    'rising': (
        (_write_page(2, 'a', more=True), _write_page(3, 'b', more=True)),
        ReadVerdict.expired,
        3,
    ),
    'refused': (
        (_write_page(2, 'a', more=True), _state(3, b'', _UNAVAILABLE)),
        ReadVerdict.unavailable,
        NO_ERA,
    ),
    'lost': ((_LOST,), ReadVerdict.unavailable, NO_ERA),
}


# Guards against a list of servers or tables that never existed together.
@pytest.mark.parametrize(
    ('steps', 'verdict', 'era'),
    _WHOLE_READS.values(),
    ids=_WHOLE_READS,
)
def test_pages_are_of_one_era(
    steps: tuple[Step, ...],
    verdict: ReadVerdict,
    era: int,
) -> None:
    """Refuse pages of two eras, so that all are read again."""
    read, calls = _read(None, NO_ERA, *steps)
    assert (read.verdict, read.era) == (verdict, era)
    assert read.whole == (verdict == ReadVerdict.records)
    assert calls == len(steps)


def _write_newest(table: OwnershipTable, offset: int) -> Step:
    body = b64encode(encode_table(table)).decode()
    record = {'key': _NAME.decode(), 'value': body, 'offset': offset}
    page = {'items': [record], 'more': False, 'end': offset + 1}
    return _state(1, json.dumps(page).encode())


_APPENDS = {
    'stored': ((_state(1, b'{}'),), AppendVerdict.stored, 1),
    'stored-in-a-later-era': ((_state(2, b'{}'),), AppendVerdict.stored, 2),
    'stored-before': (
        (_state(1, b'{}', _CONFLICT), _state(1, _STORED)),
        AppendVerdict.stored,
        1,
    ),
    'conflict': (
        (_state(1, b'{}', _CONFLICT), _state(1, _OTHER)),
        AppendVerdict.conflict,
        1,
    ),
    # The log is shorter than the position that was expected.
    'later-conflict': (
        (_state(2, b'{"end":3}', _CONFLICT),),
        AppendVerdict.conflict,
        2,
    ),
    'shorter-at-the-check': (
        (_state(1, b'{}', _CONFLICT), _state(2, b'{}', _GONE)),
        AppendVerdict.unknown,
        1,
    ),
    # The store has forgotten its history, but keeps the newest record of each key.
    'history-forgotten-stored': (
        (
            _state(1, b'{}', _CONFLICT),
            _state(1, b'{"first":9}', _GONE),
            _write_newest(_TABLE, 7),
        ),
        AppendVerdict.stored,
        1,
    ),
    'history-forgotten-conflict': (
        (
            _state(1, b'{}', _CONFLICT),
            _state(1, b'{"first":9}', _GONE),
            _write_newest(_TABLE, 8),
        ),
        AppendVerdict.conflict,
        1,
    ),
    'history-forgotten-lost': (
        (
            _state(1, b'{}', _CONFLICT),
            _state(1, b'{"first":9}', _GONE),
            _LOST,
        ),
        AppendVerdict.unknown,
        1,
    ),
    # The log ends before the position that was expected.
    'beyond-the-end': (
        (
            _state(1, b'{}', _CONFLICT),
            _state(1, b'{"first":0}', _GONE),
        ),
        AppendVerdict.unknown,
        1,
    ),
    'refused': ((_state(2, b'', _UNAVAILABLE),), AppendVerdict.refused, 2),
    'lost': ((_LOST,), AppendVerdict.unknown, NO_ERA),
}


# Guards against an append that is repeated for ever at a position that the
# store no longer has.
@pytest.mark.parametrize(
    ('steps', 'verdict', 'era'),
    _APPENDS.values(),
    ids=_APPENDS,
)
def test_append_states_the_era(
    steps: tuple[Step, ...],
    verdict: AppendVerdict,
    era: int,
) -> None:
    """Look for a table that may be stored only in its own era."""
    effect = AppendTable(Offset(7), _TABLE)
    ended, calls = _call(lambda store: store.append(effect), *steps)
    assert ended == AppendEnded(
        _TABLE.service, _TABLE.sequence, verdict, StoreEra(era)
    )
    assert calls == len(steps)


_JOINED = b'{"generation":5,"ttl_time":"1s","parts":[["controller",0,0]]}'


@pytest.mark.parametrize(
    ('step', 'answered', 'era'),
    [
        (_state(2, _JOINED), True, 2),
        (Step(whole(_JOINED)), True, NO_ERA),
        (_state(2, b'', _UNAVAILABLE), False, NO_ERA),
        (_LOST, False, NO_ERA),
    ],
    ids=['stated', 'not-stated', 'refused', 'lost'],
)
def test_join_states_the_era(step: Step, era: int, *, answered: bool) -> None:
    """State the era with the generation, which may go back with it."""
    effect = JoinGroup(7, Seconds(1))
    joined, _ = _call(lambda store: store.join(effect), step)
    expected = JoinEnded(
        answered=answered,
        generation=5 if answered else effect.generation,
        leads=answered,
        asked_at=joined.asked_at,
        era=StoreEra(era),
    )
    assert joined == expected
