"""Test the counts of the bytes that a gateway exchanges."""

import pytest

from trefoilsaddle.gateway.effects import WriteDecision
from trefoilsaddle.gatewaymetrics import GatewayMetrics
from trefoilsaddle.programs.trafficlog import TrafficLog
from trefoilsaddle.traffic import ByteCount


def _read_fields(line: WriteDecision) -> dict[str, object]:
    return {entry.name: entry.text for entry in line.fields}


@pytest.mark.parametrize(
    ('sizes', 'lines'),
    [
        ((200_000,), 1),
        ((10,) * 9, 0),
        ((10,) * 10, 1),
        ((10,) * 25, 2),
        ((200_000, 10, 200_000), 2),
    ],
    ids=['burst', 'quiet', 'quiet for long', 'quiet for longer', 'bursts'],
)
def test_lines_follow_bursts(sizes: tuple[int, ...], lines: int) -> None:
    """Log a burst at once, and any other traffic now and then."""
    count = ByteCount()
    written: list[WriteDecision] = []
    log = TrafficLog({'store': count}, GatewayMetrics(), written.append)
    for size in sizes:
        count.count_sent(size)
        log.review()
    assert len(written) == lines


def test_line_holds_the_bytes_since_the_last_one() -> None:
    """Tell what was exchanged since the last line, by purpose."""
    count = ByteCount()
    written: list[WriteDecision] = []
    log = TrafficLog({'store': count}, GatewayMetrics(), written.append)
    for received in (300_000, 400_000):
        count.count_sent(100)
        count.received += received
        log.review()
    assert _read_fields(written[-1]) == {
        'seconds': 1,
        'store_out': 100,
        'store_in': 400_000,
        'store_messages': 1,
    }
