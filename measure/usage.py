"""Read the processor time and memory of a process from /proc."""

import os
from dataclasses import dataclass
from pathlib import Path

_TICKS_PER_SECOND = os.sysconf('SC_CLK_TCK')
# Positions of user and system time in /proc/PID/stat, counted after the name
# of the command.
_USER_TICKS = 11
_SYSTEM_TICKS = 12
_KIBIBYTES_PER_MEBIBYTE = 1024


@dataclass(frozen=True, slots=True)
class Usage:
    """Processor time and memory of a process so far."""

    # Seconds of processor time, user and system.
    processor: float
    # Resident memory in MiB, shared pages included.
    resident: float


def read_usage(pid: int) -> Usage:
    """Read the usage of a running process."""
    folder = Path('/proc') / str(pid)
    after_name = (folder / 'stat').read_text().rpartition(')')[2].split()
    ticks = int(after_name[_USER_TICKS]) + int(after_name[_SYSTEM_TICKS])
    return Usage(ticks / _TICKS_PER_SECOND, _read_resident(folder))


def _read_resident(folder: Path) -> float:
    for line in (folder / 'status').read_text().splitlines():
        if line.startswith('VmRSS:'):
            return int(line.split()[1]) / _KIBIBYTES_PER_MEBIBYTE
    return 0
