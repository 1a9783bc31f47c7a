"""Write one JSON line for each decision, bounded and without blocking.

Each kind of line has a limit a second; what is above it is counted and the
count is written once a second.  Standard output is written without waiting:
what a slow reader does not take is kept up to a bound and then dropped, and
the number of dropped lines is written as soon as there is room.
"""

import json
import os
import sys
from collections import deque
from dataclasses import dataclass, field

from loguru import logger

from trefoilsaddle.gateway.effects import WriteDecision

# Lines of one kind that are written in a second.
LINES_PER_SECOND = 150
# Bytes that are kept for a reader that is slow.
_MAX_BACKLOG = 262_144
_STANDARD_OUTPUT = 1


class LineWriter:
    """Write lines to a file descriptor without waiting."""

    def __init__(self, descriptor: int = _STANDARD_OUTPUT) -> None:
        """Make the descriptor non-blocking."""
        self._descriptor = descriptor
        self._backlog: deque[bytes] = deque()
        self._held = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, line: str) -> None:
        """Write a line, or keep it, or drop it."""
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
                # No room now, or no reader; the next line tries again.
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
    """Write decisions as JSON lines through loguru."""

    node: str
    kinds: dict[str, _Kind] = field(default_factory=dict)

    def write(self, decision: WriteDecision, now: float) -> None:
        """Write a decision, unless its kind is above its limit."""
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
    """Send loguru's lines, as they are, to standard output."""
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
