"""Split a view into snapshot records, and assemble views from them."""

from dataclasses import dataclass, field

from xxhash import xxh3_64_hexdigest

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.records import LogEntry, Snapshot, name_snapshot
from trefoilsaddle.core.units import NO_OFFSET, Offset, RecordId
from trefoilsaddle.core.view import LogView
from trefoilsaddle.core.viewtext import read_view, write_view

# Maximum length of the text of one part, in characters.
_MAX_PART_LENGTH = 48_000
# Maximum number of incomplete snapshots.
_MAX_COLLECTED = 4


def split_view(
    view: LogView,
    part_length: int = _MAX_PART_LENGTH,
) -> tuple[Snapshot, ...]:
    """Serialize a view into the parts of a snapshot.

    The name depends on the view alone, so that two processes that snapshot
    the same offset append identical records.
    """
    text = write_view(view)
    digest = xxh3_64_hexdigest(text.encode())
    name = f'snapshot-{view.applied}-{digest}'
    parts = [
        text[start : start + part_length]
        for start in range(0, len(text), part_length)
    ]
    return tuple(
        Snapshot(
            record_id=RecordId(f'{name}/{number}'),
            covers=view.applied,
            part=number,
            parts=len(parts),
            text=part,
        )
        for number, part in enumerate(parts)
    )


@dataclass(slots=True)
class SnapshotCollector:
    """Assemble snapshots from their parts and keep the newest view."""

    newest: LogView | None = None
    # Texts of the parts seen so far, by snapshot name and part number.
    texts: dict[str, dict[int, str]] = field(default_factory=dict)

    @property
    def covers(self) -> Offset:
        """Return the offset that the newest complete snapshot covers."""
        return NO_OFFSET if self.newest is None else self.newest.applied

    def collect(self, entry: LogEntry) -> None:
        """Add the snapshot parts of one entry."""
        for record in entry.records:
            if isinstance(record, Snapshot) and record.covers > self.covers:
                self._collect_part(record)

    def _collect_part(self, record: Snapshot) -> None:
        name = name_snapshot(record)
        texts = self.texts.setdefault(name, {})
        texts[record.part] = record.text
        if len(texts) == record.parts:
            self.texts.pop(name)
            self._join(name, ''.join(texts[part] for part in sorted(texts)))
        elif len(self.texts) > _MAX_COLLECTED:
            self.texts.pop(next(iter(self.texts)))

    def _join(self, name: str, text: str) -> None:
        if not name.endswith(xxh3_64_hexdigest(text.encode())):
            return
        view = read_view(text)
        if not isinstance(view, Failure) and view.applied > self.covers:
            self.newest = view
