"""Test that log lines are complete JSON, limited, and never block."""

import json
import os

import pytest
from loguru import logger

from trefoilsaddle.decisionlog import (
    LINES_PER_SECOND,
    DecisionLog,
    LineWriter,
)
from trefoilsaddle.gateway.loglines import log_request


def _collect(lines: list[str]) -> DecisionLog:
    logger.remove()
    logger.add(lines.append, format='{message}', level='INFO')
    return DecisionLog('edge-a-1')


def test_line_holds_id_inputs_and_outcome() -> None:
    """Write one JSON object with every field of the decision."""
    lines: list[str] = []
    log = _collect(lines)
    log.write(log_request('mine', 'refused', code='queue_full', busy=9.5), 12)
    assert json.loads(lines[0]) == {
        'at': 12,
        'node': 'edge-a-1',
        'part': 'forwarding',
        'event': 'refused',
        'request': 'mine',
        'code': 'queue_full',
        'busy': 9.5,
    }


@pytest.mark.parametrize('extra', [0, 1, 500])
def test_lines_of_a_kind_are_bounded(extra: int) -> None:
    """Write up to the limit per second, and count omitted lines."""
    lines: list[str] = []
    log = _collect(lines)
    line = log_request('mine', 'sent')
    for _ in range(LINES_PER_SECOND + extra):
        log.write(line, 5.5)
    log.write(line, 6)
    kinds = [json.loads(text)['event'] for text in lines]
    assert kinds.count('sent') == LINES_PER_SECOND + 1
    left_out = [json.loads(text).get('lines') for text in lines]
    assert sum(number or 0 for number in left_out) == extra


def test_reader_that_stops_blocks_nothing() -> None:
    """Drop lines without blocking once the pipe and the buffer are full."""
    reading, writing = os.pipe()
    writer = LineWriter(writing)
    line = 'x' * 1000
    for _ in range(2000):
        writer.write(f'{line}\n')
    assert writer.dropped > 0
    os.set_blocking(reading, False)
    received = b''
    part = os.read(reading, 65_536)
    while part:
        received += part
        try:
            part = os.read(reading, 65_536)
        except BlockingIOError:
            part = b''
    # Complete lines in order, except the last one, which is partly written.
    texts = received.split(b'\n')
    assert {text for text in texts[:-1]} == {line.encode()}
    os.close(reading)
    os.close(writing)
