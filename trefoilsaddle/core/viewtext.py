"""Serialize a whole view as text, and parse it.

The text is used in snapshots in the log and in views sent between peers.
Equal views have equal texts, whatever their history.
"""

from base64 import b64decode, b64encode
from collections import defaultdict
from collections.abc import Iterable
from itertools import starmap
from typing import Literal
from zlib import compress, decompressobj
from zlib import error as ZlibError

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from trefoilsaddle.core.durationtext import (
    DurationsText,
    read_durations,
    write_durations,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.publishing import join_documents
from trefoilsaddle.core.units import (
    Epoch,
    NodeId,
    Offset,
    RecordId,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    SiteName,
    Version,
    ZoneName,
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

# Maximum length of the uncompressed text, in bytes.
_MAX_TEXT_LENGTH = 256_000_000
_COMPRESSION_LEVEL = 6


class _TextModel(BaseModel):
    """Define the configuration of all text models."""

    model_config = ConfigDict(extra='forbid', frozen=True)


class _DocumentText(_TextModel):
    """Model one document and the version of its last change."""

    site: str | None
    version: int
    text: str


class _OwnerText(_TextModel):
    """Model the shards of a service that share a server and an epoch.

    Grouping keeps snapshots small.
    """

    service: str
    server: str
    offset: int
    sequence: int
    shards: tuple[int, ...]


class _RoleText(_TextModel):
    """Model the role of a server's dispatcher."""

    server: str
    dispatcher: str
    offset: int
    sequence: int
    claim_set: tuple[str, ...]


class _HotKeyText(_TextModel):
    """Model a hot key and its shard."""

    service: str
    key_hash: int
    shard: int


class _VerdictText(_TextModel):
    """Model the verdict on one record."""

    record_id: str
    offset: int
    accepted: bool
    version: int
    code: ResultCode


class _OpenSnapshotText(_TextModel):
    """Model the progress of an incomplete snapshot."""

    name: str
    first_part: int
    parts_seen: int


class _ViewText(_TextModel):
    """Model a whole view."""

    format: Literal[1] = 1
    applied: int
    version: int
    documents: tuple[_DocumentText, ...]
    owners: tuple[_OwnerText, ...]
    roles: tuple[_RoleText, ...]
    hot_keys: tuple[_HotKeyText, ...]
    hot_shards_made: dict[str, int] = Field(default_factory=dict)
    lost_zones: tuple[str, ...]
    durations: tuple[DurationsText, ...] = ()
    # Oldest first, since the oldest one is dropped first.
    verdicts: tuple[_VerdictText, ...]
    snapshot_covers: int
    snapshot_first_part: int
    open_snapshots: tuple[_OpenSnapshotText, ...]


def write_view(view: LogView) -> str:
    """Serialize a view as compressed text."""
    text = _ViewText(
        applied=view.applied,
        version=view.version,
        documents=tuple(_write_documents(view)),
        owners=tuple(_write_owners(view)),
        roles=tuple(_write_roles(view)),
        hot_keys=tuple(_write_hot_keys(view)),
        hot_shards_made=dict(sorted(view.hot_shards_made.items())),
        lost_zones=tuple(sorted(view.lost_zones)),
        durations=tuple(map(write_durations, view.durations)),
        verdicts=tuple(starmap(_write_verdict, view.verdicts.items())),
        snapshot_covers=view.snapshot.covers,
        snapshot_first_part=view.snapshot.first_part,
        open_snapshots=tuple(_write_open_snapshots(view)),
    )
    packed = compress(text.model_dump_json().encode(), _COMPRESSION_LEVEL)
    return b64encode(packed).decode()


def read_view(text: str) -> LogView | Failure:
    """Parse the text of a view; fails with `malformed`."""
    try:
        parsed = _ViewText.model_validate_json(_unpack(text))
    except (ValidationError, ValueError, ZlibError):
        return Failure(ResultCode.malformed, 'the text of a view is malformed')
    view = LogView(
        applied=Offset(parsed.applied),
        lost_zones={ZoneName(zone) for zone in parsed.lost_zones},
        durations=tuple(map(read_durations, parsed.durations)),
        snapshot=SnapshotPosition(
            Offset(parsed.snapshot_covers),
            Offset(parsed.snapshot_first_part),
        ),
    )
    _read_ownership(parsed, view)
    _read_progress(parsed, view)
    return _read_documents(parsed, view) or view


def _unpack(text: str) -> bytes:
    decompressor = decompressobj()
    packed = b64decode(text, validate=True)
    unpacked = decompressor.decompress(packed, _MAX_TEXT_LENGTH)
    if not decompressor.eof:
        raise ValueError('the compressed text is truncated or too long')
    return unpacked


def _write_documents(view: LogView) -> Iterable[_DocumentText]:
    for site in sorted(view.documents, key=lambda name: name or ''):
        yield _DocumentText(
            site=site,
            version=view.document_versions[site],
            text=view.documents[site],
        )


def _write_owners(view: LogView) -> Iterable[_OwnerText]:
    groups: dict[tuple[ServiceName, ServerId, Epoch], list[int]]
    groups = defaultdict(list)
    for shard, owner in view.owners.items():
        group = (shard.service, owner.server, owner.epoch)
        groups[group].append(shard.number)
    for service, server, epoch in sorted(groups):
        yield _OwnerText(
            service=service,
            server=server,
            offset=epoch.offset,
            sequence=epoch.sequence,
            shards=tuple(sorted(groups[service, server, epoch])),
        )


def _write_roles(view: LogView) -> Iterable[_RoleText]:
    for server, role in sorted(view.roles.items()):
        yield _RoleText(
            server=server,
            dispatcher=role.dispatcher,
            offset=role.term.offset,
            sequence=role.term.sequence,
            claim_set=role.claim_set,
        )


def _write_hot_keys(view: LogView) -> Iterable[_HotKeyText]:
    for hot_key, shard in sorted(view.hot_keys.items()):
        yield _HotKeyText(
            service=hot_key.service,
            key_hash=hot_key.key_hash,
            shard=shard.number,
        )


def _write_verdict(record_id: RecordId, verdict: Verdict) -> _VerdictText:
    return _VerdictText(
        record_id=record_id,
        offset=verdict.offset,
        accepted=verdict.accepted,
        version=verdict.version,
        code=verdict.code,
    )


def _write_open_snapshots(view: LogView) -> Iterable[_OpenSnapshotText]:
    for name, opened in view.open_snapshots.items():
        yield _OpenSnapshotText(
            name=name,
            first_part=opened.first_part,
            parts_seen=opened.parts_seen,
        )


def _read_ownership(parsed: _ViewText, view: LogView) -> None:
    for group in parsed.owners:
        epoch = Epoch(Offset(group.offset), group.sequence)
        owner = Ownership(ServerId(group.server), epoch)
        service = ServiceName(group.service)
        for number in group.shards:
            view.put_owner(ShardId(service, ShardNumber(number)), owner)
    for role in parsed.roles:
        view.roles[ServerId(role.server)] = Role(
            dispatcher=NodeId(role.dispatcher),
            term=Epoch(Offset(role.offset), role.sequence),
            claim_set=tuple(NodeId(name) for name in role.claim_set),
        )
    for hot in parsed.hot_keys:
        service = ServiceName(hot.service)
        hot_key = HotKey(service, hot.key_hash)
        view.hot_keys[hot_key] = ShardId(service, ShardNumber(hot.shard))
    for name, made in parsed.hot_shards_made.items():
        view.hot_shards_made[ServiceName(name)] = made


def _read_progress(parsed: _ViewText, view: LogView) -> None:
    for verdict in parsed.verdicts:
        view.verdicts[RecordId(verdict.record_id)] = Verdict(
            offset=Offset(verdict.offset),
            accepted=verdict.accepted,
            version=Version(verdict.version),
            code=verdict.code,
        )
    for opened in parsed.open_snapshots:
        view.open_snapshots[opened.name] = OpenSnapshot(
            Offset(opened.first_part),
            opened.parts_seen,
        )


def _read_documents(parsed: _ViewText, view: LogView) -> Failure | None:
    for document in parsed.documents:
        site = None if document.site is None else SiteName(document.site)
        view.documents[site] = document.text
        view.document_versions[site] = Version(document.version)
    if not view.documents:
        return None
    joined = join_documents(view.documents, Version(parsed.version))
    if isinstance(joined, Failure):
        return joined
    view.put_configuration(joined)
    return None
