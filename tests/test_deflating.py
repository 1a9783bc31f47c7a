"""Test the compression of the messages of one connection."""

from types import MappingProxyType

import pytest

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import (
    Offset,
    Seconds,
    ServerId,
    ServiceName,
    Version,
)
from trefoilsaddle.gateway.keys import Key
from trefoilsaddle.gateway.peermessages import News, OwnerNews, ServerLoad
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.table import OwnerEntry
from trefoilsaddle.results import ResultCode
from trefoilsaddle.wire.deflating import Deflater, Inflater
from trefoilsaddle.wire.gatewaycodec import encode_peer_message

_MAX_BYTES = 65_536
_RANGES = 30
_WIDTH = 2048
_SERVERS = tuple(
    ServerIncarnation(ServerId(f'guide-{number}'), number)
    for number in range(14)
)


def _build_news(turn: int) -> News:
    """Build an update with one moved range and the loads of all servers."""
    entries = tuple(
        OwnerEntry(
            Key(number * _WIDTH),
            Key(number * _WIDTH + _WIDTH - 1),
            _SERVERS[(number + (number == turn % _RANGES)) % 14].tag,
            serving=True,
        )
        for number in range(_RANGES)
    )
    loads = tuple(
        ServerLoad(life.tag, (turn * 7 + place) % 12 / 4, Seconds(0.15))
        for place, life in enumerate(_SERVERS)
    )
    return News(
        run=2**40 + 1,
        reporting=8,
        gateways=(),
        configuration=Version(12),
        configuration_age=Seconds(0.25 + turn / 1000),
        servers_age=Seconds(0.25 + turn / 777),
        servers_whole=False,
        servers=(),
        removed=(),
        owners=(OwnerNews(ServiceName('catalogue'), Offset(turn), entries),),
        loads=loads,
    )


_NEWS = tuple(encode_peer_message(_build_news(turn)) for turn in range(20))
_MESSAGES = MappingProxyType(
    {
        'repeated': (b'the same', b'the same', b'the same'),
        'empty between': (b'first', b'', b'last'),
        'longer than the window': (bytes(range(256)) * 64, b'short'),
        'news': _NEWS,
    }
)


@pytest.mark.parametrize('name', _MESSAGES)
def test_messages_are_restored_in_order(name: str) -> None:
    """Restore each message from its frame and the earlier frames."""
    deflater = Deflater()
    inflater = Inflater(_MAX_BYTES)
    restored = tuple(
        inflater.inflate(deflater.deflate(message))
        for message in _MESSAGES[name]
    )
    assert restored == _MESSAGES[name]


def test_moves_of_hot_ranges_cross_regions_in_half_the_bytes() -> None:
    """Halve the updates of a fleet whose ranges move several times a second.

    Pattern: hot neighbours.  Seen on cple-gateway, quiet-1: 1,142 updates of
    455 bytes to the other region, an eighth of all bytes sent there.
    """
    deflater = Deflater()
    sent = [len(deflater.deflate(message)) for message in _NEWS]
    assert sum(sent) <= sum(len(message) for message in _NEWS) / 2


_BAD = MappingProxyType(
    {
        'no deflate': b'\xff\xff\xff\xff',
        'too large': Deflater().deflate(bytes(_MAX_BYTES + 1)),
    }
)


@pytest.mark.parametrize('name', _BAD)
def test_bad_message_is_refused(name: str) -> None:
    """Refuse invalid data and messages that inflate beyond the limit."""
    restored = Inflater(_MAX_BYTES).inflate(_BAD[name])
    assert isinstance(restored, Failure)
    assert restored.code == ResultCode.malformed
