"""Host list service for tests: `python -m standins.hostservice`."""

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
    """Hosts of the list, and the fault that can be switched on."""

    # State by name: `live` or `leaving`.
    hosts: dict[str, str] = field(default_factory=dict)
    outage: bool = False


_SWITCHES = TypeAdapter(HostSwitches)


@dataclass(frozen=True, slots=True)
class _Change:
    visible_from: Seconds
    switches: HostSwitches


class LaggedHostList:
    """Host list whose changes become visible after a lag."""

    def __init__(self, lag: Seconds) -> None:
        """Start with an empty list."""
        self.newest = HostSwitches()
        self._lag = lag
        self._visible: dict[str, str] = {}
        self._changes: deque[_Change] = deque()

    def change(self, now: Seconds, switches: HostSwitches) -> None:
        """Schedule a change of the list for when the lag has passed."""
        self.newest = switches
        self._changes.append(_Change(Seconds(now + self._lag), switches))

    def list_hosts(self, now: Seconds) -> dict[str, str]:
        """Return the visible state of each host by name."""
        while self._changes and self._changes[0].visible_from <= now:
            self._visible = self._changes.popleft().switches.hosts
        return self._visible


class HostListApp(HttpApp):
    """HTTP interface of the host list: reads and control requests."""

    def __init__(self, host_list: LaggedHostList) -> None:
        """Serve the given list."""
        self._host_list = host_list

    async def answer(self, request: HttpRequest) -> HttpAnswer:
        """Dispatch by path."""
        now = Seconds(time.monotonic())
        if request.path == '/control':
            return self._handle_control(now, request)
        if request.path != '/hosts':
            return answer_json(_NOT_FOUND, {})
        if self._host_list.newest.outage:
            return answer_json(_UNAVAILABLE, {})
        hosts = self._host_list.list_hosts(now).items()
        return answer_json(
            _OK,
            [{'name': name, 'state': state} for name, state in hosts],
        )

    def _handle_control(self, now: Seconds, request: HttpRequest) -> HttpAnswer:
        switches = update_switches(
            self._host_list.newest, _SWITCHES, request.body
        )
        if isinstance(switches, HttpAnswer):
            return switches
        self._host_list.change(now, switches)
        return answer_json(_OK, asdict(switches))


@app.command()
def serve_hosts(port: int, host: str = '127.0.0.1', lag: float = 1) -> None:
    """Serve a list, at first empty, whose changes show after `lag` seconds."""
    run_app(HostListApp(LaggedHostList(Seconds(lag))), host, port)


if __name__ == '__main__':
    app()
