"""Test that runs side by side are given different ports."""

import os
import subprocess
import sys

import pytest

from standins.ports import pick_ports

# Begins its search where the test's process does.
_PROGRAM = (
    'import os; os.getpid = lambda: {start}; '
    'from standins.ports import pick_ports; print(*pick_ports({count}))'
)


# Guards against two test runs on one machine whose processes listen on the same
# port, so that callers of one reach the other.
@pytest.mark.parametrize('count', [1, 600])
def test_another_process_is_given_other_ports(count: int) -> None:
    """Share no port with a process that picks ports at the same time."""
    own = set(pick_ports(count))
    program = _PROGRAM.format(start=os.getpid(), count=count)
    run = subprocess.run(
        (sys.executable, '-c', program),
        capture_output=True,
        check=True,
        text=True,
    )
    others = {int(port) for port in run.stdout.split()}
    assert len(others) == count
    assert not own & others
