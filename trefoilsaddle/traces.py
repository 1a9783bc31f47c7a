"""Record the events of a process and replay them through the reducer.

A trace is a file of JSON lines: the options of the process, then one line
per event.  A replay gives the same effects; docs/design/traces.md describes
the limits of a replay if secrets were redacted.
"""

import json
from abc import ABC, abstractmethod
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import TextIO, TypeVar

from trefoilsaddle.core.effects import Effect
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import Occurrence
from trefoilsaddle.core.node import Node, build_node
from trefoilsaddle.core.options import Options
from trefoilsaddle.core.reducer import reduce
from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.results import ResultCode
from trefoilsaddle.tracejson import decode_data, encode_data
from trefoilsaddle.tracesecrets import Redactor

# Hosts have no disks, so a trace takes up memory.
_MAX_TRACE_BYTES = 67_108_864
# Readable only by the user that the process runs as.
_FILE_MODE = 0o600

_Part = TypeVar('_Part')

_MALFORMED = Failure(ResultCode.malformed, 'the line is not part of a trace')


class Recorder(ABC):
    """Record the events of a process before they are reduced."""

    @abstractmethod
    def record(self, node: Node, occurrence: Occurrence) -> None:
        """Record one event."""


class NoRecorder(Recorder):
    """Discard all events; used without trace settings."""

    def record(self, node: Node, occurrence: Occurrence) -> None:
        """Do nothing."""


class LineRecorder(Recorder):
    """Write events as JSON lines up to a maximum size."""

    def __init__(
        self,
        output: TextIO,
        options: Options,
        redactor: Redactor,
        max_bytes: int = _MAX_TRACE_BYTES,
    ) -> None:
        """Start the trace with the options of the process."""
        self._output = output
        self._redactor = redactor
        self._bytes_left = max_bytes
        self._write_line(options)

    def record(self, node: Node, occurrence: Occurrence) -> None:
        """Write one event with its secrets redacted."""
        if self._bytes_left <= 0:
            return
        redacted = self._redactor.redact(occurrence.event, node.view)
        self._write_line(Occurrence(occurrence.moment, redacted))

    def _write_line(self, part: Options | Occurrence) -> None:
        line = json.dumps(encode_data(part))
        self._bytes_left -= len(line)
        self._output.write(f'{line}\n')
        self._output.flush()


@dataclass(frozen=True, slots=True)
class ReplayStep:
    """Pair an event of a trace with its effects."""

    occurrence: Occurrence
    effects: tuple[Effect, ...]


def open_trace(folder: Path, node: NodeId, started: Seconds) -> TextIO:
    """Create the trace file of one run of a process."""
    path = folder / f'{node}-{started:.0f}.jsonl'
    path.touch(_FILE_MODE)
    return path.open('a', encoding='utf-8')


def replay_trace(lines: Iterable[str]) -> Iterator[ReplayStep | Failure]:
    """Reduce the events of a trace, up to the first malformed line."""
    remaining = iter(lines)
    options = _read_line(Options, next(remaining, ''))
    if isinstance(options, Failure):
        yield options
        return
    node = build_node(options)
    for line in remaining:
        occurrence = _read_line(Occurrence, line)
        if isinstance(occurrence, Failure):
            yield occurrence
            return
        yield ReplayStep(occurrence, tuple(reduce(node, occurrence)))


def _read_line(part: type[_Part], line: str) -> _Part | Failure:
    try:
        read: _Part = decode_data(part, json.loads(line))
    except (ValueError, LookupError, TypeError):
        return _MALFORMED
    return read
