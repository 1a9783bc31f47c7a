"""Apply log entries to a view; no other module changes a view.

Each record takes effect at most once, and only if its condition holds.  The
outcome depends on the view and the entry alone, so that every process reaches
the same view.
"""

from dataclasses import replace
from functools import singledispatch
from typing import TypeVar

from trefoilsaddle.core.durations import add_durations, describe_durations
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.publishing import (
    complete_publication,
    evaluate_publication,
)
from trefoilsaddle.core.records import (
    Assign,
    Claim,
    LogEntry,
    LostZone,
    Move,
    MovedShard,
    Publication,
    Record,
    Snapshot,
    SplitKey,
    name_snapshot,
)
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    Epoch,
    RecordId,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
)
from trefoilsaddle.core.view import (
    HotKey,
    LogView,
    OpenSnapshot,
    Ownership,
    Role,
    SnapshotPosition,
    Verdict,
)
from trefoilsaddle.results import ResultCode

# Verdicts kept in a view.  A duplicate record is recognized while the verdict
# on the first one is kept.
MAX_VERDICTS = 2048
# Maximum number of hot keys of one service at a time.
MAX_HOT_KEYS = 256
# Maximum number of incomplete snapshots.
MAX_OPEN_SNAPSHOTS = 4

_Key = TypeVar('_Key')
_Kept = TypeVar('_Kept')


def apply_entry(view: LogView, entry: LogEntry) -> None:
    """Apply the records of one entry, unless the entry was applied before."""
    if entry.offset <= view.applied:
        return
    for sequence, record in enumerate(entry.records):
        _apply_once(view, record, Epoch(entry.offset, sequence))
    view.applied = entry.offset


def _apply_once(view: LogView, record: Record, position: Epoch) -> None:
    if record.record_id in view.verdicts:
        return
    code = _apply_record(record, view, position)
    if isinstance(record, Snapshot):
        # Snapshot parts get no verdicts, which would displace those of other
        # records; the number of parts is tracked instead.
        return
    verdict = Verdict(
        offset=position.offset,
        accepted=code == ResultCode.ok,
        version=view.version,
        code=code,
    )
    _keep_verdict(view, record.record_id, verdict)


def _keep_verdict(
    view: LogView,
    record_id: RecordId,
    verdict: Verdict,
) -> None:
    view.verdicts[record_id] = verdict
    _drop_oldest(view.verdicts, MAX_VERDICTS)


@singledispatch
def _apply_record(
    record: Record,
    view: LogView,
    position: Epoch,
) -> ResultCode:
    raise NotImplementedError(type(record))


@_apply_record.register
def _apply_publication(
    record: Publication,
    view: LogView,
    position: Epoch,
) -> ResultCode:
    configuration = evaluate_publication(view, record)
    if isinstance(configuration, Failure):
        return configuration.code
    whole = complete_publication(view, record)
    if isinstance(whole, Failure):
        return whole.code
    view.put_configuration(configuration)
    view.documents[record.site] = whole.document
    view.document_versions[record.site] = configuration.version
    if record.site is None:
        durations = describe_durations(configuration, position.offset)
        view.durations = add_durations(view.durations, durations)
    _forget_roles(view)
    return ResultCode.ok


def _forget_roles(view: LogView) -> None:
    """Drop the roles of servers that are not configured and own no shard."""
    gone = [
        server
        for server in view.roles
        if view.server(server) is None and not view.count_shards(server)
    ]
    for server in gone:
        view.roles.pop(server)


@_apply_record.register
def _apply_assign(
    record: Assign,
    view: LogView,
    position: Epoch,
) -> ResultCode:
    code = ResultCode.owner_changing
    for placement in record.placements:
        if not _serves(view, placement.server, record.service):
            continue
        owner = Ownership(placement.server, position, first=True)
        for number in placement.shards:
            if _is_unowned(view, record.service, number):
                view.put_owner(ShardId(record.service, number), owner)
                code = ResultCode.ok
    return code


def _serves(view: LogView, server: ServerId, service: ServiceName) -> bool:
    policy = view.server(server)
    return policy is not None and policy.service == service


def _is_unowned(
    view: LogView,
    service: ServiceName,
    number: ShardNumber,
) -> bool:
    if view.configuration is None:
        return False
    count = view.configuration.services[service].shard_count
    known = 0 <= number < count
    return known and ShardId(service, number) not in view.owners


@_apply_record.register
def _apply_claim(
    record: Claim,
    view: LogView,
    position: Epoch,
) -> ResultCode:
    role = view.roles.get(record.server)
    if not _may_claim(view, record, role):
        return ResultCode.not_holder
    former = FIRST_EPOCH if role is None else role.term
    if record.expected != former:
        return ResultCode.fenced
    term = record.provisional or position
    if not record.expected < term <= position:
        return ResultCode.fenced
    view.mark_changed((record.server,))
    view.roles[record.server] = Role(
        record.dispatcher,
        term,
        record.claim_set,
        former,
    )
    return ResultCode.ok


def _may_claim(view: LogView, record: Claim, role: Role | None) -> bool:
    if role is None:
        return view.server(record.server) is not None
    if record.dispatcher in (role.dispatcher, *role.claim_set):
        return True
    policy = view.server(record.server)
    return policy is not None and view.is_zone_lost(policy.zone)


@_apply_record.register
def _apply_move(
    record: Move,
    view: LogView,
    position: Epoch,
) -> ResultCode:
    role = view.roles.get(record.server)
    if role is None or role.term != record.term:
        return ResultCode.fenced
    code = ResultCode.owner_changing
    for moved in record.shards:
        owner = _evaluate_move(view, record, moved, position)
        if owner is not None:
            view.put_owner(moved.shard, owner)
            code = ResultCode.ok
    return code


def _evaluate_move(
    view: LogView,
    record: Move,
    moved: MovedShard,
    position: Epoch,
) -> Ownership | None:
    """Return the new ownership of a shard, or None if its move is refused."""
    former = moved.expected
    if view.owners.get(moved.shard) != Ownership(record.server, former):
        return None
    if moved.provisional is None:
        if not _serves(view, moved.target, moved.shard.service):
            return None
        return Ownership(moved.target, position, former, record.term)
    # The target may have served the shard under this epoch already.
    if not former < moved.provisional <= position:
        return None
    return Ownership(moved.target, moved.provisional, former, record.term)


@_apply_record.register
def _apply_split(
    record: SplitKey,
    view: LogView,
    position: Epoch,
) -> ResultCode:
    role = view.roles.get(record.server)
    if role is None or role.term != record.term:
        return ResultCode.fenced
    owner = view.owners.get(record.parent)
    if owner is None or owner.server != record.server:
        return ResultCode.owner_changing
    if record.active:
        return _begin_split(record, view, position)
    return _end_split(record, view)


def _begin_split(
    record: SplitKey,
    view: LogView,
    position: Epoch,
) -> ResultCode:
    service = record.parent.service
    hot_key = HotKey(service, record.key_hash)
    if hot_key in view.hot_keys or view.configuration is None:
        return ResultCode.owner_changing
    count = view.configuration.services[service].shard_count
    if record.key_hash % count != record.parent.number:
        return ResultCode.malformed
    if sum(key.service == service for key in view.hot_keys) >= MAX_HOT_KEYS:
        return ResultCode.share_exceeded
    made = view.hot_shards_made.get(service, 0)
    view.hot_shards_made[service] = made + 1
    shard = ShardId(service, ShardNumber(count + made))
    view.hot_keys[hot_key] = shard
    view.put_owner(shard, Ownership(record.server, position))
    return ResultCode.ok


def _end_split(record: SplitKey, view: LogView) -> ResultCode:
    hot_key = HotKey(record.parent.service, record.key_hash)
    shard = view.hot_keys.get(hot_key)
    if shard is None or view.owners[shard].server != record.server:
        return ResultCode.owner_changing
    view.hot_keys.pop(hot_key)
    view.put_owner(shard, None)
    return ResultCode.ok


@_apply_record.register
def _apply_lost_zone(
    record: LostZone,
    view: LogView,
    position: Epoch,
) -> ResultCode:
    if record.lost:
        view.lost_zones.add(record.zone)
    else:
        view.lost_zones.discard(record.zone)
    return ResultCode.ok


@_apply_record.register
def _apply_snapshot(
    record: Snapshot,
    view: LogView,
    position: Epoch,
) -> ResultCode:
    """Record the position of a complete snapshot; its text is not used here."""
    name = name_snapshot(record)
    if record.part == 0 and name not in view.open_snapshots:
        view.open_snapshots[name] = OpenSnapshot(position.offset, 0)
        _drop_oldest(view.open_snapshots, MAX_OPEN_SNAPSHOTS)
    opened = view.open_snapshots.get(name)
    if opened is None or opened.parts_seen != record.part:
        return ResultCode.malformed
    opened = replace(opened, parts_seen=record.part + 1)
    view.open_snapshots[name] = opened
    if opened.parts_seen == record.parts:
        view.open_snapshots.pop(name)
        newest = SnapshotPosition(record.covers, opened.first_part)
        view.snapshot = max(view.snapshot, newest)
    return ResultCode.ok


def _drop_oldest(kept: dict[_Key, _Kept], limit: int) -> None:
    while len(kept) > limit:
        kept.pop(next(iter(kept)))
