"""Test that loads between gateways are encoded in few bytes and precisely."""

from random import Random

import pytest

from trefoilsaddle.core.units import Seconds, Version
from trefoilsaddle.gateway.peermessages import News, ServerLoad
from trefoilsaddle.gateway.rounding import round_load, round_time
from trefoilsaddle.gateway.servers import ServerTag
from trefoilsaddle.wire.deflating import Deflater
from trefoilsaddle.wire.gatewaycodec import encode_peer_message

_MESSAGES = 30
_SERVERS = 165
_CHANGED = 40


@pytest.mark.parametrize('load', [0, 0.01, 0.4, 1 / 3, 2.7, 14.9])
def test_rounded_load_is_near(load: float) -> None:
    """Stay far below the smallest change of a load that is sent, 0.4."""
    assert abs(round_load(load) - load) <= 0.05 / 3


@pytest.mark.parametrize('time', [0, 0.0009, 0.1, 0.1537, 2.5])
def test_rounded_time_is_near(time: float) -> None:
    """Stay within a millisecond."""
    assert abs(round_time(Seconds(time)) - time) <= 0.001


def _build_news(random: Random, tags: list[int]) -> News:
    loads = tuple(
        ServerLoad(
            ServerTag(tag),
            round_load(random.uniform(0, 3)),
            round_time(Seconds(random.uniform(0.15, 0.25))),
        )
        for tag in random.sample(tags, _CHANGED)
    )
    return News(
        run=random.getrandbits(48),
        reporting=90,
        gateways=(),
        configuration=Version(3),
        configuration_age=round_time(Seconds(random.random())),
        servers_age=round_time(Seconds(random.random())),
        servers_whole=False,
        servers=(),
        removed=(),
        owners=(),
        loads=loads,
    )


def test_news_of_loads_is_small() -> None:
    """Compress the loads of 40 servers to 7 bytes for each.

    Guards against traffic between regions, the largest cost of a start.
    """
    random = Random(1)
    tags = [random.getrandbits(32) for _ in range(_SERVERS)]
    deflater = Deflater()
    sizes = [
        len(deflater.deflate(encode_peer_message(_build_news(random, tags))))
        for _ in range(_MESSAGES)
    ]
    assert sum(sizes) / _MESSAGES <= 7 * _CHANGED
