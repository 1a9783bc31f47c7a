"""Apply log entries to a view: the only code that changes one."""

from trefoilsaddle.core.records import LogEntry
from trefoilsaddle.core.view import LogView


def apply_entry(view: LogView, entry: LogEntry) -> None:
    """Apply the records of one entry whose conditions hold."""
