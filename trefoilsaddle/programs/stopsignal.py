"""Receive SIGTERM, and find out how long ago it may have been sent.

The signal is recorded between two instructions of a busy loop, not once the loop
comes to it. A process that did not run meanwhile records it late; it was sent
after the last event that the process handled before.
"""

import signal
from collections.abc import Iterator
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass, field
from types import FrameType

import trio

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.events import StopRequested
from trefoilsaddle.programs.gatewayshell import GatewayShell


@dataclass(slots=True)
class _StopSignal:
    shell: GatewayShell
    token: trio.lowlevel.TrioToken
    sent_after: Seconds | None = None
    received: trio.Event = field(default_factory=trio.Event)

    def record(self, number: int, frame: FrameType | None) -> None:
        """Record the first signal; called between any two instructions."""
        if self.sent_after is None:
            self.sent_after = self.shell.active_at
            self.token.run_sync_soon(self.received.set)


async def watch_stop_signal(shell: GatewayShell) -> None:
    """Stop the gateway at the first SIGTERM."""
    stop = _StopSignal(shell, trio.lowlevel.current_trio_token())
    with _handle_signal(stop):
        await stop.received.wait()
        shell.feed(StopRequested(stop.sent_after))
        await trio.sleep_forever()


@contextmanager
def _handle_signal(stop: _StopSignal) -> Iterator[None]:
    with ExitStack() as stack:
        previous = signal.signal(signal.SIGTERM, stop.record)
        stack.callback(signal.signal, signal.SIGTERM, previous)
        yield
