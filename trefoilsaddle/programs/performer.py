"""Reduce events and perform the effects, on one loop and one thread."""

from collections import deque
from collections.abc import Callable, Mapping
from types import MappingProxyType
from typing import Any, cast

from trio import Event as Signal
from trio import Nursery

from trefoilsaddle.backend.client import BackendClient
from trefoilsaddle.clock import Clock
from trefoilsaddle.core.effects import (
    AnswerCaller,
    AppendRecords,
    CancelAttempt,
    CancelTimer,
    CountMetric,
    Effect,
    ExitProcess,
    ListHosts,
    ReadLog,
    RunAttempt,
    SendGrant,
    SendMessage,
    SetTimer,
    WriteDump,
    WriteLogLine,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import (
    Event,
    HostListFailed,
    HostsListed,
    LogAppended,
    LogAppendFailed,
    LogRead,
    LogReadFailed,
    MessageReceived,
    Occurrence,
    TimerExpired,
    TimerKey,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.reducer import reduce
from trefoilsaddle.logs import write_line
