"""Check that each record takes effect once, and only if its condition holds."""

import json
from collections.abc import Callable
from dataclasses import dataclass, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from tests.sites import (
    BASE,
    SITES,
    describe_overlay,
    make_publication,
)
from trefoilsaddle.core.application import MAX_VERDICTS, apply_entry
from trefoilsaddle.core.publishing import (
    evaluate_publication,
    shorten_publication,
)
from trefoilsaddle.core.records import (
    Assign,
    Claim,
    LogEntry,
    LostZone,
    Move,
    MovedShard,
    Placement,
    Publication,
    Record,
    SplitKey,
)
from trefoilsaddle.core.snapshots import SnapshotCollector, split_view
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    NodeId,
    Offset,
    RecordId,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    SiteName,
    ZoneName,
)
from trefoilsaddle.core.view import HotKey, LogView
from trefoilsaddle.core.viewtext import write_view
from trefoilsaddle.patches import apply_patch, write_patch
from trefoilsaddle.results import ResultCode

_CATALOGUE = ServiceName('catalogue')
_SERVER = ServerId('north-a-0')
_TARGET = ServerId('north-a-1')
_FAR = ServerId('south-a-0')
_HOLDER = NodeId('node-0')
_STANDBY = NodeId('node-4')
_STRANGER = NodeId('node-2')
_SHARD = ShardId(_CATALOGUE, ShardNumber(5))
_HOT_HASH = 64 * 7 + 5
_HOT_SHARD = ShardId(_CATALOGUE, ShardNumber(64))
# Positions of records of the scene below.
_ASSIGNED = Epoch(Offset(3), 0)
_TERM = Epoch(Offset(4), 0)
_NEXT = Offset(5)
_OLD_TERM = Epoch(Offset(3), 7)


def _claim(
    dispatcher: NodeId,
    expected: Epoch,
    *,
    server: ServerId = _SERVER,
    provisional: Epoch | None = None,
) -> Claim:
    return Claim(
        record_id=RecordId('claim'),
        server=server,
        expected=expected,
        dispatcher=dispatcher,
        claim_set=(_HOLDER, _STANDBY),
        provisional=provisional,
    )


def _move(
    term: Epoch,
    expected: Epoch,
    target: ServerId = _TARGET,
    provisional: Epoch | None = None,
) -> Move:
    moved = MovedShard(_SHARD, expected, target, provisional)
    return Move(RecordId('move'), _SERVER, term, (moved,))


def _split(term: Epoch, key_hash: int, *, active: bool = True) -> SplitKey:
    return SplitKey(
        record_id=RecordId(f'split-{active}'),
        server=_SERVER,
        term=term,
        parent=_SHARD,
        key_hash=key_hash,
        active=active,
    )


def _assign(server: ServerId, *numbers: int) -> Assign:
    shards = tuple(ShardNumber(number) for number in numbers)
    placement = Placement(server, shards)
    return Assign(RecordId('assign'), _CATALOGUE, (placement,))


def _lose(zone: str, *, lost: bool = True) -> LostZone:
    return LostZone(RecordId(f'lost-{lost}'), ZoneName(zone), lost)


def _patch(expected: int, change: dict[str, object]) -> Publication:
    patch = make_publication('patch', expected, 'north', json.dumps(change))
    return replace(patch, merge=True)


def _build_scene(*more: Record) -> LogView:
    """Publish, assign shards 0 to 9 to one server, and claim it."""
    assign = Assign(
        RecordId('scene-assign'),
        _CATALOGUE,
        (Placement(_SERVER, tuple(map(ShardNumber, range(10)))),),
    )
    claim = Claim(
        record_id=RecordId('scene-claim'),
        server=_SERVER,
        expected=FIRST_EPOCH,
        dispatcher=_HOLDER,
        claim_set=(_HOLDER, _STANDBY),
        provisional=None,
    )
    records: list[Record] = [
        make_publication('base', 0, None, BASE),
        *(
            make_publication(
                site.name,
                0,
                site.name,
                describe_overlay(site),
            )
            for site in SITES
        ),
        assign,
        claim,
        *more,
    ]
    view = LogView()
    for offset, record in enumerate(records):
        apply_entry(view, LogEntry(Offset(offset), (record,)))
    return view


@dataclass(frozen=True, slots=True)
class _Case:
    """Name a record and the result of applying it."""

    name: str
    record: Record
    code: ResultCode
    # Additional records of the scene.
    before: tuple[Record, ...] = ()


_NORTH = describe_overlay(replace(SITES[0], servers=3))
_MOVED = describe_overlay(SITES[0], port=9500)
_SHRUNK = describe_overlay(replace(SITES[0], zones=('north-b',)))
_REPURPOSED = describe_overlay(SITES[0]).replace('catalogue', 'fittings')
_TWO_SERVICES = f'{BASE}'.replace(
    'catalogue: {shards: 64}',
    'catalogue: {shards: 64}\n  fittings: {shards: 8}',
)
_ACCEPTED = ResultCode.ok
_CASES = (
    _Case(
        'overlay-moves-owner-elsewhere',
        make_publication('new', 2, 'north', _MOVED),
        ResultCode.configuration_invalid,
    ),
    _Case(
        'overlay-leaves-owner-out',
        make_publication('new', 2, 'north', _SHRUNK),
        ResultCode.configuration_invalid,
    ),
    _Case(
        'overlay-turns-owner-to-another-service',
        make_publication('new', 2, 'north', _REPURPOSED),
        ResultCode.configuration_invalid,
        (make_publication('wider', 1, None, _TWO_SERVICES),),
    ),
    _Case(
        'overlay-moves-server-without-shards',
        make_publication(
            'new',
            3,
            'south',
            describe_overlay(SITES[1], port=9500),
        ),
        ResultCode.ok,
    ),
    _Case(
        'overlay-replaces-its-version',
        make_publication('new', 2, 'north', _NORTH),
        _ACCEPTED,
    ),
    _Case(
        'overlay-read-at-a-later-version',
        make_publication('new', 3, 'north', _NORTH),
        _ACCEPTED,
    ),
    _Case(
        'overlay-names-an-old-version',
        make_publication('new', 1, 'north', _NORTH),
        ResultCode.version_conflict,
    ),
    _Case(
        'overlay-names-a-version-to-come',
        make_publication('new', 4, 'north', _NORTH),
        ResultCode.version_conflict,
    ),
    _Case(
        'second-of-two-racing-publishers',
        make_publication('new', 3, 'north', _NORTH),
        ResultCode.version_conflict,
        (make_publication('rival', 3, 'north', _NORTH),),
    ),
    _Case(
        'base-is-no-yaml',
        make_publication('new', 3, None, '{members: ['),
        ResultCode.configuration_invalid,
    ),
    _Case(
        'base-drops-a-service',
        make_publication('new', 3, None, BASE.replace('catalogue', 'fees')),
        ResultCode.configuration_invalid,
    ),
    _Case(
        'base-changes-shards',
        make_publication('new', 3, None, BASE.replace('64', '65')),
        ResultCode.configuration_invalid,
    ),
    _Case(
        'overlay-takes-a-zone-of-another-site',
        make_publication('new', 3, 'east', _NORTH),
        ResultCode.configuration_invalid,
    ),
    _Case(
        'overlay-names-an-unknown-service',
        make_publication(
            'new',
            3,
            'north',
            _NORTH.replace('catalogue', 'fees'),
        ),
        ResultCode.configuration_invalid,
    ),
    _Case(
        'overlay-patched',
        _patch(3, {'servers': {'north-a-0': {'leaving': True}}}),
        _ACCEPTED,
    ),
    _Case(
        'overlay-patched-from-an-old-version',
        _patch(1, {'servers': {'north-a-0': {'leaving': True}}}),
        ResultCode.version_conflict,
    ),
    _Case(
        'overlay-patched-to-nonsense',
        _patch(3, {'servers': {'north-a-0': {'port': 'high'}}}),
        ResultCode.configuration_invalid,
    ),
    _Case(
        'patch-of-nothing',
        replace(_patch(3, {'region': 'east'}), site=SiteName('east')),
        ResultCode.configuration_invalid,
    ),
    _Case('assign-unowned', _assign(_TARGET, 10), _ACCEPTED),
    _Case('assign-owned', _assign(_TARGET, 9), ResultCode.owner_changing),
    _Case('assign-too-high', _assign(_TARGET, 64), ResultCode.owner_changing),
    _Case(
        'assign-to-a-stranger',
        _assign(ServerId('none'), 10),
        ResultCode.owner_changing,
    ),
    _Case('claim-by-claim-set', _claim(_STANDBY, _TERM), _ACCEPTED),
    _Case('claim-renewed-by-holder', _claim(_HOLDER, _TERM), _ACCEPTED),
    _Case(
        'claim-by-a-stranger',
        _claim(_STRANGER, _TERM),
        ResultCode.not_holder,
    ),
    _Case(
        'claim-by-a-stranger-after-the-zone-is-lost',
        _claim(_STRANGER, _TERM),
        _ACCEPTED,
        (_lose('north-a'),),
    ),
    _Case(
        'claim-by-a-stranger-after-the-zone-is-back',
        _claim(_STRANGER, _TERM),
        ResultCode.not_holder,
        (_lose('north-a'), _lose('north-a', lost=False)),
    ),
    _Case(
        'claim-of-an-old-term',
        _claim(_STANDBY, _OLD_TERM),
        ResultCode.fenced,
    ),
    _Case(
        'claim-as-if-unclaimed',
        _claim(_STANDBY, FIRST_EPOCH),
        ResultCode.fenced,
    ),
    _Case(
        'first-claim',
        _claim(_STRANGER, FIRST_EPOCH, server=_TARGET),
        _ACCEPTED,
    ),
    _Case(
        'claim-of-an-unknown-server',
        _claim(_STRANGER, FIRST_EPOCH, server=ServerId('none')),
        ResultCode.not_holder,
    ),
    _Case(
        'provisional-claim',
        _claim(_STANDBY, _TERM, provisional=Epoch(_TERM.offset, 1)),
        _ACCEPTED,
    ),
    _Case(
        'provisional-claim-not-above-its-term',
        _claim(_STANDBY, _TERM, provisional=_TERM),
        ResultCode.fenced,
    ),
    _Case(
        'provisional-claim-from-the-future',
        _claim(_STANDBY, _TERM, provisional=Epoch(Offset(900), 1)),
        ResultCode.fenced,
    ),
    _Case('move', _move(_TERM, _ASSIGNED), _ACCEPTED),
    _Case('move-across', _move(_TERM, _ASSIGNED, _FAR), _ACCEPTED),
    _Case(
        'move-under-an-old-term',
        _move(_OLD_TERM, _ASSIGNED),
        ResultCode.fenced,
    ),
    _Case(
        'move-after-another-has-claimed',
        _move(_TERM, _ASSIGNED),
        ResultCode.fenced,
        (_claim(_STANDBY, _TERM),),
    ),
    _Case(
        'move-of-an-old-epoch',
        _move(_TERM, Epoch(Offset(2), 0)),
        ResultCode.owner_changing,
    ),
    _Case(
        'move-to-an-unknown-server',
        _move(_TERM, _ASSIGNED, ServerId('none')),
        ResultCode.owner_changing,
    ),
    _Case(
        'provisional-move',
        _move(_TERM, _ASSIGNED, provisional=Epoch(_TERM.offset, 1)),
        _ACCEPTED,
    ),
    _Case(
        'provisional-move-not-above-its-epoch',
        _move(_TERM, _ASSIGNED, provisional=_ASSIGNED),
        ResultCode.owner_changing,
    ),
    _Case('split', _split(_TERM, _HOT_HASH), _ACCEPTED),
    _Case(
        'split-under-an-old-term',
        _split(_OLD_TERM, _HOT_HASH),
        ResultCode.fenced,
    ),
    _Case(
        'split-of-another-shard',
        _split(_TERM, _HOT_HASH + 1),
        ResultCode.malformed,
    ),
    _Case(
        'split-end',
        _split(_TERM, _HOT_HASH, active=False),
        _ACCEPTED,
        (_split(_TERM, _HOT_HASH),),
    ),
    _Case(
        'split-end-without-a-split',
        _split(_TERM, _HOT_HASH, active=False),
        ResultCode.owner_changing,
    ),
    _Case('lost-zone', _lose('north-a'), _ACCEPTED),
)


@pytest.mark.parametrize('case', _CASES, ids=lambda case: case.name)
def test_record_takes_effect_if_its_condition_holds(case: _Case) -> None:
    """Apply each record, and check that a duplicate changes nothing."""
    view = _build_scene(*case.before)
    before = _describe(view)
    _append(view, case.record)
    verdict = view.verdicts[case.record.record_id]
    after = _describe(view)
    assert verdict.code is case.code
    assert verdict.accepted == (case.code is ResultCode.ok)
    assert (before != after) == verdict.accepted
    _append(view, case.record)
    assert _describe(view) == after
    assert view.verdicts[case.record.record_id] == verdict


def _append(view: LogView, *records: Record) -> None:
    apply_entry(view, LogEntry(Offset(view.applied + 1), records))


def _describe(view: LogView) -> tuple[object, ...]:
    """Return the state of a view without indexes and verdicts."""
    return (
        view.configuration,
        dict(view.owners),
        dict(view.roles),
        dict(view.hot_keys),
        set(view.lost_zones),
    )


def test_record_appended_twice_does_not_undo_a_later_one() -> None:
    """Ignore a duplicate, although its condition holds again."""
    view = _build_scene(_lose('north-a'), _lose('north-a', lost=False))
    _append(view, _lose('north-a'))
    assert not view.lost_zones


def test_split_key_has_a_shard_that_no_other_key_had() -> None:
    """Never use the shard number of an ended split again."""
    view = _build_scene(
        _split(_TERM, _HOT_HASH),
        _split(_TERM, _HOT_HASH, active=False),
    )
    again = SplitKey(
        record_id=RecordId('again'),
        server=_SERVER,
        term=_TERM,
        parent=_SHARD,
        key_hash=_HOT_HASH,
        active=True,
    )
    _append(view, again)
    shard = view.hot_keys[HotKey(_CATALOGUE, _HOT_HASH)]
    assert shard == ShardId(_CATALOGUE, ShardNumber(65))
    assert _HOT_SHARD not in view.owners


def test_verdicts_are_bounded_alike_after_a_snapshot() -> None:
    """Drop the same verdicts with and without a snapshot in between."""
    view = _build_scene()
    for number in range(MAX_VERDICTS):
        _append(
            view, LostZone(RecordId(str(9999 - number)), ZoneName('x'), True)
        )
    copy = _copy_through_snapshot(view)
    for target in (view, copy):
        _append(target, _lose('north-b'))
    assert len(view.verdicts) == MAX_VERDICTS
    assert write_view(copy) == write_view(view)


def test_snapshot_counts_once_all_its_parts_arrived_in_order() -> None:
    """Record a snapshot's position only with its last part in order."""
    view = _build_scene(_split(_TERM, _HOT_HASH))
    parts = split_view(view, part_length=200)
    assert len(parts) > 2
    for part in (*parts[:1], *parts[2:], *parts[:-1]):
        _append(view, part)
    assert view.snapshot.covers < 0
    _append(view, parts[-1])
    assert (view.snapshot.covers, view.snapshot.first_part) == (
        _NEXT,
        _NEXT + 1,
    )


def _copy_through_snapshot(view: LogView) -> LogView:
    collector = SnapshotCollector()
    collector.collect(LogEntry(Offset(0), split_view(view)))
    assert collector.newest is not None
    return collector.newest


@pytest.mark.parametrize(
    'corrupt',
    [
        lambda text: text[:-4],
        lambda text: text[4:],
        lambda text: text.swapcase(),
        lambda text: '',
        lambda text: write_view(_build_scene(_lose('north-b'))),
    ],
)
def test_corrupt_snapshot_is_not_used(corrupt: Callable[[str], str]) -> None:
    """Ignore a snapshot whose text does not match the digest in its name."""
    collector = SnapshotCollector()
    for part in split_view(_build_scene()):
        corrupt_part = type(part)(
            record_id=part.record_id,
            covers=part.covers,
            part=part.part,
            parts=part.parts,
            text=corrupt(part.text),
        )
        collector.collect(LogEntry(Offset(0), (corrupt_part,)))
    assert collector.newest is None


_TEXTS = st.text(alphabet='abc', max_size=2)
_DOCUMENTS = st.recursive(
    st.integers(0, 3) | st.booleans() | _TEXTS,
    lambda inner: (
        st.lists(inner, max_size=2) | st.dictionaries(_TEXTS, inner, max_size=4)
    ),
    max_leaves=12,
)


@settings(derandomize=True, deadline=None)
@given(
    before=st.dictionaries(_TEXTS, _DOCUMENTS, max_size=4),
    after=st.dictionaries(_TEXTS, _DOCUMENTS, max_size=4),
)
def test_patch_turns_one_document_into_the_other(
    before: dict[str, object],
    after: dict[str, object],
) -> None:
    """Patch one random document into another."""
    patch = write_patch(json.dumps(before), json.dumps(after))
    assert isinstance(patch, str)
    merged = apply_patch(json.dumps(before), patch)
    assert isinstance(merged, str)
    assert json.loads(merged) == after


def test_change_of_one_server_is_published_as_a_short_patch() -> None:
    """Reduce a publication to a patch of the difference, with equal outcome."""
    view = _build_scene()
    overlay = json.loads(describe_overlay(SITES[0]))
    overlay['servers']['north-a-0']['leaving'] = True
    whole = make_publication('new', 3, 'north', json.dumps(overlay))
    short = shorten_publication(view, whole)
    assert short.merge
    assert len(short.document) < 60
    assert evaluate_publication(view, short) == evaluate_publication(
        view, whole
    )
