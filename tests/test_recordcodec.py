"""Check that log records round-trip and that malformed entries are refused."""

import pytest
from hypothesis import given
from hypothesis import strategies as st
from pydantic_core import from_json as parse_json
from pydantic_core import to_json as write_json

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.records import (
    Assign,
    Claim,
    LostZone,
    Move,
    MovedShard,
    Placement,
    Publication,
    Record,
    Snapshot,
    SplitKey,
)
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
    Version,
    ZoneName,
)
from trefoilsaddle.logservice.recordcodec import decode_records, encode_records

_ID = RecordId('id-1')
_SERVER = ServerId('server-1')
_CATALOGUE = ServiceName('catalogue')
_SHARD = ShardId(_CATALOGUE, ShardNumber(4))
_TERM = Epoch(Offset(9), 2)
_MAX_HASH = (1 << 64) - 1
_MAX_OFFSET = Offset((1 << 63) - 1)

_RECORDS: tuple[Record, ...] = (
    Publication(_ID, Version(0), None, 'ranks: []\nseñor: \0'),
    Publication(_ID, Version(3), SiteName('site-1'), ''),
    Assign(
        _ID,
        _CATALOGUE,
        (Placement(_SERVER, (ShardNumber(0), ShardNumber(4))),),
    ),
    Assign(_ID, _CATALOGUE, ()),
    Claim(_ID, _SERVER, FIRST_EPOCH, NodeId('one'), (), None),
    Claim(_ID, _SERVER, _TERM, NodeId('one'), (NodeId('two'),), _TERM),
    Move(
        _ID,
        _SERVER,
        _TERM,
        (
            MovedShard(_SHARD, _TERM, ServerId('server-2'), None),
            MovedShard(_SHARD, FIRST_EPOCH, ServerId('server-2'), _TERM),
        ),
    ),
    SplitKey(_ID, _SERVER, _TERM, _SHARD, _MAX_HASH, active=True),
    LostZone(_ID, ZoneName('zone-1'), lost=False),
    Snapshot(_ID, _MAX_OFFSET, 1, 2, '{"owners": []}'),
)


@pytest.mark.parametrize('record', _RECORDS, ids=lambda one: type(one).__name__)
def test_records_survive_writing(record: Record) -> None:
    """Decode an encoded record and get an equal one."""
    assert decode_records(encode_records([record])) == (record,)


def test_entries_hold_several_records() -> None:
    """Keep the order of the records of an entry."""
    assert decode_records(encode_records(_RECORDS)) == _RECORDS
    assert decode_records(encode_records([])) == ()


_ZONE = '"record_id":"id-1","zone":"zone-1"'
_WHOLE = f'{{"kind":"lost-zone",{_ZONE},"lost":true}}'
_CLAIM = (
    '{"kind":"claim","record_id":"id-1","server":"server-1",'
    '"expected":{"offset":%s,"sequence":0},"dispatcher":"one",'
    '"claim_set":["two"],"provisional":null}'
)


_SPLIT = (
    '{"kind":"split-key","record_id":"id-1","server":"server-1",'
    '"term":{"offset":1,"sequence":0},'
    '"parent":{"service":"catalogue","number":4},'
    '"key_hash":%s,"active":true}'
)


def _wrap(record: str) -> str:
    return f'{{"version":1,"records":[{record}]}}'


@pytest.mark.parametrize(
    'text',
    [
        '',
        'null',
        '[]',
        '"text"',
        '{}',
        '{"version":1}',
        '{"version":1,"records":null}',
        '{"version":1,"records":{}}',
        '{"version":2,"records":[]}',
        '{"version":"1","records":[]}',
        '{"version":true,"records":[]}',
        '{"version":1.0,"records":[]}',
        _wrap('null'),
        _wrap('{}'),
        _wrap('{"kind":null}'),
        _wrap('{"kind":["claim"]}'),
        _wrap('{"kind":"tea-break"}'),
        _wrap(f'{{"kind":"lost-zone",{_ZONE}}}'),
        _wrap(f'{{"kind":"lost-zone",{_ZONE},"lost":1}}'),
        _wrap(f'{{"kind":"lost-zone",{_ZONE},"lost":"true"}}'),
        _wrap(f'{{"kind":"lost-zone",{_ZONE},"lost":true,"more":0}}'),
        _wrap(f'{{"kind":"snapshot",{_ZONE},"lost":true}}'),
        _wrap(f'{_WHOLE},{{"kind":"tea-break"}}'),
        _wrap(_CLAIM % '1.5'),
        _wrap(_CLAIM % '-2'),
        _wrap(_CLAIM % str(1 << 63)),
        _wrap(_CLAIM % '1e400'),
        _wrap(_CLAIM % 'NaN'),
        _wrap(_CLAIM % '"1"'),
        _wrap(_CLAIM % 'true'),
        _wrap(_SPLIT % '-1'),
        _wrap(_SPLIT % str(1 << 64)),
        _wrap(_SPLIT % '7').replace('true', '1'),
        _wrap(_CLAIM.replace('"sequence"', '"sequence":0,"more"') % '1'),
        _wrap(_WHOLE).replace('zone-1', r'\ud800'),
        _wrap(_WHOLE).replace('zone-1', '\ud800'),
        '[' * 100_000,
        _wrap('[' * 100_000),
        _WHOLE,
    ],
)
def test_strange_entries_are_refused(text: str) -> None:
    """Refuse the whole entry, without an exception."""
    assert isinstance(decode_records(text), Failure)


def test_the_base_of_strange_entries_is_read() -> None:
    """Accept the templates that the refused entries are derived from."""
    for record in (_WHOLE, _CLAIM % '1', _CLAIM % '-1', _SPLIT % '0'):
        assert not isinstance(decode_records(_wrap(record)), Failure)


_JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)
_FIELDS = tuple(parse_json(_CLAIM % '1'))


@given(st.sampled_from(_FIELDS), _JSON)
def test_any_field_may_be_strange(name: str, strange: object) -> None:
    """Refuse a record with an arbitrary field value, or keep it unchanged."""
    fields = parse_json(_CLAIM % '1')
    fields[name] = strange
    text = _wrap(write_json(fields).decode())
    records = decode_records(text)
    if not isinstance(records, Failure):
        assert parse_json(encode_records(records)) == parse_json(text)


@given(st.text())
def test_any_text_is_read_or_refused(text: str) -> None:
    """Refuse arbitrary text without an exception."""
    assert isinstance(decode_records(text), Failure)
