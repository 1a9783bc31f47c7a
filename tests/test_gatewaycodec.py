"""Test the encoding of messages between gateways."""

from collections.abc import Callable
from dataclasses import replace
from math import nan
from pathlib import Path
from typing import Any

import capnp
import pytest

import trefoilsaddle
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import (
    NodeId,
    Offset,
    Seconds,
    ServiceName,
    Version,
)
from trefoilsaddle.gateway.keys import Key
from trefoilsaddle.gateway.peermessages import (
    KeyCount,
    KeyCounts,
    News,
    OwnerNews,
    PeerMessage,
    Report,
    ServerLimit,
    ServerLoad,
    ServerUse,
)
from trefoilsaddle.gateway.servers import ServerTag
from trefoilsaddle.gateway.table import GatewayAddress, OwnerEntry
from trefoilsaddle.wire.gatewaycodec import (
    decode_peer_message,
    encode_peer_message,
)

_SCHEMA_PATH = Path(trefoilsaddle.__file__).parent / 'wire' / 'gateway.capnp'
_SCHEMA: Any = capnp.load(str(_SCHEMA_PATH))
# Fields that reports of earlier versions lack.
_ADDED_FIELDS = (
    '  configuration @8 :Int64;\n',
    '  limits @9 :ServerLimits;\n',
    '  leaving @10 :List(UInt32);\n',
    '  askedAt @11 :Float64;\n',
    '  greeting @12 :Greeting;\n',
)
_CATALOGUE = ServiceName('catalogue')
_ADDRESS = GatewayAddress(NodeId('gate-1'), 7, '10.0.0.1', 7540)


def _build_news(owners: int, loads: int) -> News:
    entries = tuple(
        OwnerEntry(
            Key(number), Key(number), ServerTag(number), bool(number % 2)
        )
        for number in range(owners)
    )
    return News(
        run=3,
        reporting=195,
        gateways=(_ADDRESS,),
        configuration=Version(4),
        configuration_age=Seconds(0.5),
        servers_age=Seconds(0.25),
        servers_whole=False,
        servers=(),
        removed=('pay-1',),
        owners=(OwnerNews(_CATALOGUE, Offset(9), entries),),
        loads=tuple(
            ServerLoad(ServerTag(number), 0.5, Seconds(0.25))
            for number in range(loads)
        ),
        term=3,
        limits=(ServerLimit(ServerTag(1), 2.5), ServerLimit(ServerTag(2), -1)),
    )


def _build_report(uses: int, keys: int) -> Report:
    return Report(
        _ADDRESS,
        Seconds(0.2),
        tuple(
            ServerUse(ServerTag(number), 1.5, 3, 1, Seconds(0.75), 2)
            for number in range(uses)
        ),
        (
            KeyCounts(
                _CATALOGUE,
                tuple(KeyCount(Key(number), 2) for number in range(keys)),
            ),
        ),
        1.5,
        controller_run=7,
        controller_term=2,
        configuration=Version(4),
        limits=(ServerLimit(ServerTag(1), 2.5),),
        leaving=(ServerTag(2),),
    )


_MESSAGES = {
    'empty update': _build_news(0, 0),
    'update': _build_news(300, 270),
    'empty report': _build_report(0, 0),
    'report': _build_report(40, 60),
}


@pytest.mark.parametrize('message', _MESSAGES.values(), ids=_MESSAGES)
def test_messages_are_read_as_written(message: PeerMessage) -> None:
    """Decode what was encoded."""
    assert decode_peer_message(encode_peer_message(message)) == message


def test_report_without_a_version_is_read(tmp_path: Path) -> None:
    """Decode the report of a gateway that does not state its version."""
    path = tmp_path / 'earlier.capnp'
    schema = _SCHEMA_PATH.read_text()
    for added in _ADDED_FIELDS:
        schema = schema.replace(added, '')
    path.write_text(schema)
    # Its schemas are freed with it.
    parser = capnp.SchemaParser()
    earlier = parser.load(str(path)).PeerMessage
    report = _build_report(1, 1)
    message = _SCHEMA.PeerMessage.from_bytes_packed(encode_peer_message(report))
    fields = message.to_dict()
    assert fields['report'].pop('configuration') == report.configuration
    assert fields['report'].pop('limits')['tag'] == [1]
    assert fields['report'].pop('leaving') == [2]
    for name in ('askedAt', 'greeting'):
        fields['report'].pop(name, None)
    encoded = earlier.new_message(**fields).to_bytes_packed()
    unstated = replace(report, configuration=Version(0), limits=(), leaving=())
    assert decode_peer_message(encoded) == unstated


# Guards against updates that are refused while gateways are replaced one by one:
# those of earlier versions tell no drained zones.
def test_update_without_drained_zones_is_read(tmp_path: Path) -> None:
    """Decode the update of a gateway that does not know of them."""
    path = tmp_path / 'earlier.capnp'
    schema = _SCHEMA_PATH.read_text()
    path.write_text(schema.replace('  drained @20 :DrainedZones;\n', ''))
    # Its schemas are freed with it.
    parser = capnp.SchemaParser()
    earlier = parser.load(str(path)).PeerMessage
    news = _build_news(1, 1)
    message = _SCHEMA.PeerMessage.from_bytes_packed(encode_peer_message(news))
    fields = message.to_dict()
    fields['news'].pop('drained', None)
    encoded = earlier.new_message(**fields).to_bytes_packed()
    assert decode_peer_message(encoded) == news


def _write_short_column(builder: Any) -> None:
    loads = builder.init('news').init('loads')
    loads.tag = [1, 2]
    loads.busy = [0.5]
    loads.serviceTime = [0.5, 0.5]


def _write_no_number(builder: Any) -> None:
    loads = builder.init('news').init('loads')
    loads.tag = [1]
    loads.busy = [nan]
    loads.serviceTime = [0.5]


def _write_rows(builder: Any) -> None:
    builder.rowNews = None


# Guards against a malformed message that ends the process or is taken as an
# empty update.
@pytest.mark.parametrize(
    'write', [_write_short_column, _write_no_number, _write_rows]
)
def test_malformed_columns_are_refused(write: Callable[[Any], None]) -> None:
    """Refuse columns of different lengths, NaN and updates by row."""
    builder = _SCHEMA.PeerMessage.new_message()
    write(builder)
    assert isinstance(decode_peer_message(builder.to_bytes_packed()), Failure)
