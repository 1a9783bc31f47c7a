"""Stand in for the platform's host list: `python -m standins.hostservice`."""

import time
from collections import deque
from dataclasses import asdict, dataclass, field

from pydantic import TypeAdapter
from typer import Typer

from standins.httpshell import (
    HttpAnswer,
    HttpApp,
    HttpRequest,
    answer_json,
    run_app,
    update_switches,
)
from trefoilsaddle.core.units import Seconds

app = Typer(add_completion=False)

_OK = 200
_NOT_FOUND = 404
_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class HostSwitches:
    """Say which hosts there are, and turn faults on and off."""

    # State by name: `live` or `leaving`.
    hosts: dict[str, str] = field(default_factory=dict)
    outage: bool = False


_SWITCHES = TypeAdapter(HostSwitches)


@dataclass(frozen=True, slots=True)
class _Change:
    seen: Seconds
    switches: HostSwitches


class HostBook:
    """Answer with the hosts as they were some time ago."""

    def __init__(self, lag: Seconds) -> None:
        """Start with no hosts."""
        self.newest = HostSwitches()
        self._lag = lag
        self._shown: dict[str, str] = {}
        self._changes: deque[_Change] = deque()

    def change(self, now: Seconds, switches: HostSwitches) -> None:
        """Take a change that shows after the lag."""
        self.newest = switches
        self._changes.append(_Change(Seconds(now + self._lag), switches))

    def list_hosts(self, now: Seconds) -> dict[str, str]:
        """Return each host's state by name."""
        while self._changes and self._changes[0].seen <= now:
            self._shown = self._changes.popleft().switches.hosts
        return self._shown


class HostApp(HttpApp):
    """Answer reads and control requests."""

    def __init__(self, book: HostBook) -> None:
        """Serve one list."""
        self._book = book

    async def answer(self, request: HttpRequest) -> HttpAnswer:
        """Answer one request."""
        now = Seconds(time.monotonic())
        if request.path == '/control':
            return self._control(now, request)
        if request.path != '/hosts':
            return answer_json(_NOT_FOUND, {})
        if self._book.newest.outage:
            return answer_json(_UNAVAILABLE, {})
        hosts = self._book.list_hosts(now).items()
        return answer_json(
            _OK,
            [{'name': name, 'state': state} for name, state in hosts],
        )

    def _control(self, now: Seconds, request: HttpRequest) -> HttpAnswer:
        switches = update_switches(self._book.newest, _SWITCHES, request.body)
        if isinstance(switches, HttpAnswer):
            return switches
        self._book.change(now, switches)
        return answer_json(_OK, asdict(switches))


@app.command()
def serve_hosts(port: int, host: str = '127.0.0.1', lag: float = 1) -> None:
    """Serve an empty list whose changes show after a lag in seconds."""
    run_app(HostApp(HostBook(Seconds(lag))), host, port)


if __name__ == '__main__':
    app()
