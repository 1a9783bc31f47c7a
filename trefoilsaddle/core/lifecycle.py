"""Start and stop a process, and write dumps of its state."""

from trefoilsaddle.core.dumps import write_dump
from trefoilsaddle.core.effects import (
    Effects,
    ExitProcess,
    Part,
    SendMessage,
    SetTimer,
    WriteDump,
    WriteLogLine,
)
from trefoilsaddle.core.events import (
    DumpRequested,
    Event,
    MessageReceived,
    StopRequested,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.messages import DumpRead, DumpReply
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.units import Moment, NodeId, Seconds

# Time between two looks whether everything in flight has ended.
_LOOK_INTERVAL = Seconds(0.05)
_LOOK_TIMER = TimerKey(TimerKind.stop)
# Runs from the request to stop until the process ends in any case.
_LIMIT_TIMER = TimerKey(TimerKind.stop, 'limit')
