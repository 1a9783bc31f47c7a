"""Write decisions as JSON lines, rate-limited and without blocking.

Lines with the same event name are limited per second; further lines are
counted, and the count is written in a later second.  Standard output is
non-blocking: lines that a slow reader does not accept are buffered up to a
limit and then dropped and counted.
"""

import json
import os
import sys
from collections import deque
from dataclasses import dataclass, field

from loguru import logger

from trefoilsaddle.gateway.effects import WriteDecision

# Maximum lines per second with the same event name.
LINES_PER_SECOND = 150
# Maximum bytes that are buffered for a slow reader.
_MAX_BACKLOG = 262_144
_STANDARD_OUTPUT = 1


class LineWriter:
    """Write lines to a file descriptor without blocking."""

    def __init__(self, descriptor: int = _STANDARD_OUTPUT) -> None:
        """Make the descriptor non-blocking."""
        self._descriptor = descriptor
        self._backlog: deque[bytes] = deque()
        self._held = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, buffer it, or drop it if the buffer is full."""
        encoded = line.encode()
        if self._held + len(encoded) > _MAX_BACKLOG:
            self.dropped += 1
            return
        self._backlog.append(encoded)
        self._held += len(encoded)
        self._flush()

    def _flush(self) -> None:
        while self._backlog:
            line = self._backlog[0]
            try:
                written = os.write(self._descriptor, line)
            except OSError:
                # The pipe is full or has no reader; the next line tries again.
                return
            self._held -= written
            if written < len(line):
                self._backlog[0] = line[written:]
                return
            self._backlog.popleft()


@dataclass(slots=True)
class _Kind:
    second: int = 0
    written: int = 0
    omitted: int = 0


@dataclass(slots=True)
class DecisionLog:
    """Write decisions through loguru."""

    node: str
    kinds: dict[str, _Kind] = field(default_factory=dict)

    def write(self, decision: WriteDecision, now: float) -> None:
        """Write a decision, unless its event name is over its limit."""
        kind = self.kinds.setdefault(decision.event_name, _Kind())
        second = int(now)
        if kind.second != second:
            self._log_omitted(decision, kind, now)
            kind.second = second
            kind.written = 0
            kind.omitted = 0
        if kind.written >= LINES_PER_SECOND:
            kind.omitted += 1
            return
        kind.written += 1
        self._write_line(decision, now)

    def _log_omitted(
        self,
        decision: WriteDecision,
        kind: _Kind,
        now: float,
    ) -> None:
        if not kind.omitted:
            return
        line_fields = {
            'at': round(now, 3),
            'node': self.node,
            'part': decision.component.value,
            'event': 'lines left out',
            'of': decision.event_name,
            'lines': kind.omitted,
        }
        logger.info(json.dumps(line_fields))

    def _write_line(self, decision: WriteDecision, now: float) -> None:
        line_fields: dict[str, object] = {
            'at': round(now, 3),
            'node': self.node,
            'part': decision.component.value,
            'event': decision.event_name,
        }
        if decision.request_id:
            line_fields['request'] = decision.request_id
        for entry in decision.fields:
            line_fields[entry.name] = entry.text
        logger.info(json.dumps(line_fields))


def start_decision_log(node: str) -> DecisionLog:
    """Configure loguru to write unformatted lines to standard output."""
    logger.remove()
    writer = LineWriter(sys.stdout.fileno())
    logger.add(
        writer.write,
        level='INFO',
        format='{message}',
        backtrace=False,
        diagnose=False,
    )
    return DecisionLog(node)
