"""Start programs as processes of their own, and end only these."""

import signal
import sys
from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import STDOUT

import trio

from standins.ports import is_open

_POLL_INTERVAL = 0.05
_START_TIMEOUT = 30.0
# Longest wait for a process to end after SIGTERM, then after SIGKILL.
_STOP_TIMEOUT = 30.0
_KILL_TIMEOUT = 5.0


class StartError(Exception):
    """Tell that a process did not come up in time."""


@dataclass(frozen=True, slots=True)
class Output:
    """Hold what a command that has ended left behind."""

    code: int
    text: str


@dataclass(slots=True)
class Processes:
    """Hold the processes that this run has started, by name."""

    # Each process writes its output to a file here.
    folder: Path
    running: dict[str, trio.Process] = field(default_factory=dict)

    async def start(
        self,
        name: str,
        module: str,
        arguments: Iterable[str],
    ) -> None:
        """Start a module's command as a process."""
        with self._output_path(name).open('ab') as output:
            self.running[name] = await trio.lowlevel.open_process(
                _build_command(module, arguments),
                stdout=output,
                stderr=STDOUT,
            )

    async def wait_for_port(self, name: str, port: int) -> None:
        """Wait until a process that was started listens on its port."""
        process = self.running[name]
        with trio.move_on_after(_START_TIMEOUT):
            while process.poll() is None and not await is_open(port):
                await trio.sleep(_POLL_INTERVAL)
        if process.poll() is not None or not await is_open(port):
            raise StartError(f'{name} does not listen on port {port}')

    async def run(self, module: str, arguments: Iterable[str]) -> Output:
        """Run a command to its end."""
        ended = await trio.run_process(
            _build_command(module, arguments),
            capture_stdout=True,
            stderr=STDOUT,
            check=False,
        )
        return Output(ended.returncode, ended.stdout.decode())

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one of the processes."""
        self.running[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """End a process without warning."""
        process = self.running.pop(name)
        process.kill()
        await process.wait()

    async def stop(self, names: Iterable[str]) -> dict[str, int]:
        """Stop processes gracefully and return their exit codes."""
        chosen = {name: self.running.pop(name) for name in names}
        codes: dict[str, int] = {}
        async with trio.open_nursery() as nursery:
            for name, process in chosen.items():
                nursery.start_soon(_stop_process, name, process, codes)
        return codes

    async def stop_all(self) -> dict[str, int]:
        """Stop whatever still runs."""
        return await self.stop(tuple(self.running))

    def read_output(self, name: str) -> str:
        """Return what a process has written."""
        return self._output_path(name).read_text()

    def _output_path(self, name: str) -> Path:
        return self.folder / f'{name}.out'


def _build_command(module: str, arguments: Iterable[str]) -> list[str]:
    # The installed scripts are the same, but they need an installation.
    start = f'from {module} import app; app()'
    return [sys.executable, '-c', start, *arguments]


async def _stop_process(
    name: str,
    process: trio.Process,
    codes: dict[str, int],
) -> None:
    with trio.CancelScope(shield=True):
        process.terminate()
        # A frozen process must wake to see the signal.
        process.send_signal(signal.SIGCONT)
        with trio.move_on_after(_STOP_TIMEOUT):
            codes[name] = await process.wait()
            return
        process.kill()
        with trio.move_on_after(_KILL_TIMEOUT):
            codes[name] = await process.wait()
