"""Start programs as child processes, signal them and stop them."""

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
# Longest wait for a process to end after SIGTERM, then after SIGKILL, in
# seconds.
_STOP_TIMEOUT = 30.0
_KILL_TIMEOUT = 5.0


class StartError(Exception):
    """Raised when a process does not listen on its port in time."""


@dataclass(frozen=True, slots=True)
class Output:
    """Exit code and output of a finished command."""

    code: int
    text: str


@dataclass(slots=True)
class Processes:
    """Child processes started by this run, by name."""

    # Folder for the output files of the processes.
    folder: Path
    running: dict[str, trio.Process] = field(default_factory=dict)

    async def start(
        self,
        name: str,
        module: str,
        arguments: Iterable[str],
    ) -> None:
        """Start a module's command as a child process."""
        with self._output_path(name).open('ab') as output:
            self.running[name] = await trio.lowlevel.open_process(
                _build_command(module, arguments),
                stdout=output,
                stderr=STDOUT,
            )

    async def wait_for_port(self, name: str, port: int) -> None:
        """Wait until a started process listens on its port (StartError)."""
        process = self.running[name]
        with trio.move_on_after(_START_TIMEOUT):
            while process.poll() is None and not await is_open(port):
                await trio.sleep(_POLL_INTERVAL)
        if process.poll() is not None or not await is_open(port):
            raise StartError(f'{name} does not listen on port {port}')

    async def run(self, module: str, arguments: Iterable[str]) -> Output:
        """Run a command and wait for its end."""
        ended = await trio.run_process(
            _build_command(module, arguments),
            capture_stdout=True,
            stderr=STDOUT,
            check=False,
        )
        return Output(ended.returncode, ended.stdout.decode())

    def send_signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a running process."""
        self.running[name].send_signal(number)

    async def kill(self, name: str) -> None:
        """Kill a process with SIGKILL."""
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
        """Stop all running processes and return their exit codes."""
        return await self.stop(tuple(self.running))

    def read_output(self, name: str) -> str:
        """Return the output of a process so far."""
        return self._output_path(name).read_text()

    def _output_path(self, name: str) -> Path:
        return self.folder / f'{name}.out'


def _build_command(module: str, arguments: Iterable[str]) -> list[str]:
    # Equivalent to the installed scripts, but needs no installation.
    start = f'from {module} import app; app()'
    return [sys.executable, '-c', start, *arguments]


async def _stop_process(
    name: str,
    process: trio.Process,
    codes: dict[str, int],
) -> None:
    with trio.CancelScope(shield=True):
        process.terminate()
        # A stopped process has to continue before it handles SIGTERM.
        process.send_signal(signal.SIGCONT)
        with trio.move_on_after(_STOP_TIMEOUT):
            codes[name] = await process.wait()
            return
        process.kill()
        with trio.move_on_after(_KILL_TIMEOUT):
            codes[name] = await process.wait()
