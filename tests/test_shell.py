"""Test the timers, metrics, log lines and start of a process."""

import socket
from collections.abc import Callable
from contextlib import closing
from pathlib import Path

import pytest
import trio
import yaml
from trio.testing import MockClock
from typer import Typer
from typer.testing import CliRunner

from trefoilsaddle.clock import Clock, SystemClock
from trefoilsaddle.core.effects import Component
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.units import Moment, Seconds
from trefoilsaddle.logs import start_logging, write_line
from trefoilsaddle.metrics import StatsdMetrics
from trefoilsaddle.programs import dispatcher, entry
from trefoilsaddle.programs.timers import Timers

_HOST = '127.0.0.1'
_ONE = TimerKey(TimerKind.call, '1')
_TWO = TimerKey(TimerKind.call, '2')
_THREE = TimerKey(TimerKind.call, '3')


class _VirtualClock(Clock):
    """Provide the virtual time of the test's event loop."""

    def read_monotonic(self) -> Seconds:
        """Return the loop's time."""
        return Seconds(trio.current_time())

    def read_moment(self) -> Moment:
        """Return the loop's time as both clocks."""
        now = self.read_monotonic()
        return Moment(now, now)


class _TimerScene:
    """Run timers and record which expire, and when."""

    def __init__(self) -> None:
        """Start with no timers."""
        self.timers = Timers(_VirtualClock())
        self.expired: list[tuple[float, TimerKey]] = []
        # Called with each expired timer.
        self.react: Callable[[TimerKey], None] | None = None
        self._start: float = 0

    async def run(self, prepare: Callable[['_TimerScene'], None]) -> None:
        """Prepare timers and let ten seconds pass."""
        self._start = trio.current_time()
        with trio.move_on_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.timers.run, self._expire)
                await trio.sleep(1)
                prepare(self)

    def _expire(self, timer: TimerKey) -> None:
        elapsed = trio.current_time() - self._start
        self.expired.append((round(elapsed, 3), timer))
        if self.react is not None:
            self.react(timer)


def _start_in_any_order(scene: _TimerScene) -> None:
    scene.timers.start(_TWO, Seconds(2))
    scene.timers.start(_THREE, Seconds(3))
    scene.timers.start(_ONE, Seconds(1))


def _start_again(scene: _TimerScene) -> None:
    scene.timers.start(_ONE, Seconds(1))
    scene.timers.start(_ONE, Seconds(2))


def _start_earlier(scene: _TimerScene) -> None:
    scene.timers.start(_ONE, Seconds(5))
    scene.timers.start(_ONE, Seconds(1))


def _cancel(scene: _TimerScene) -> None:
    scene.timers.start(_ONE, Seconds(1))
    scene.timers.start(_TWO, Seconds(1))
    scene.timers.cancel(_ONE)
    scene.timers.cancel(_THREE)


def _cancel_when_due(scene: _TimerScene) -> None:
    scene.timers.start(_ONE, Seconds(1))
    scene.timers.start(_TWO, Seconds(1))
    scene.react = lambda timer: scene.timers.cancel(_TWO)


def _start_while_expiring(scene: _TimerScene) -> None:
    scene.timers.start(_ONE, Seconds(1))
    scene.react = lambda timer: scene.timers.start(_ONE, Seconds(4))


def _start_without_delay(scene: _TimerScene) -> None:
    scene.timers.start(_ONE, Seconds(0))
    scene.timers.start(_TWO, Seconds(-1))


_Expired = list[tuple[float, TimerKey]]
_Prepare = Callable[[_TimerScene], None]
_TimerCase = tuple[_Prepare, _Expired]
_TIMER_CASES: tuple[_TimerCase, ...] = (
    (_start_in_any_order, [(2, _ONE), (3, _TWO), (4, _THREE)]),
    (_start_again, [(3, _ONE)]),
    (_start_earlier, [(2, _ONE)]),
    (_cancel, [(2, _TWO)]),
    (_cancel_when_due, [(2, _ONE)]),
    (_start_while_expiring, [(2, _ONE), (6, _ONE)]),
    (_start_without_delay, [(1, _TWO), (1, _ONE)]),
)


@pytest.mark.parametrize(('prepare', 'expired'), _TIMER_CASES)
def test_timers(
    prepare: Callable[[_TimerScene], None],
    expired: _Expired,
) -> None:
    """Report each timer once when it is due, unless it was cancelled."""
    scene = _TimerScene()
    clock = MockClock(autojump_threshold=0)
    trio.run(scene.run, prepare, clock=clock)
    assert scene.expired == expired


class _Statsd:
    """Record the counts sent to statsd."""

    def __init__(self) -> None:
        """Start with nothing sent."""
        self.names: list[str] = []

    def incr(self, name: str, amount: int) -> None:
        """Record a count."""
        self.names.append(name)


@pytest.mark.parametrize(
    ('name', 'sent'),
    [
        ('service.queue_full', 'service.queue_full'),
        ('a key: door-1|c\n', 'metrics.names_exceeded'),
        ('', 'metrics.names_exceeded'),
        ('x' * 100, 'metrics.names_exceeded'),
    ],
)
def test_metric_names_are_checked(name: str, sent: str) -> None:
    """Count all invalid names under one overflow name."""
    statsd = _Statsd()
    StatsdMetrics(statsd).count(name)
    assert statsd.names == [sent]


def test_metric_names_are_bounded() -> None:
    """Bound the number of names sent to statsd."""
    statsd = _Statsd()
    metrics = StatsdMetrics(statsd)
    for number in range(2000):
        metrics.count(f'name{number}')
    assert len(set(statsd.names)) <= 513
    assert statsd.names[0] == 'name0'


def test_log_lines_have_a_prefix(capsys: pytest.CaptureFixture[str]) -> None:
    """Write lines with the prefix of their component, filtered by level."""
    start_logging('INFO')
    write_line(Component.ownership, 'one sentence with {braces} <red>')
    start_logging('ERROR')
    write_line(Component.ownership, 'another sentence')
    lines = capsys.readouterr().err.splitlines()
    assert len(lines) == 1
    assert lines[0].endswith('INFO ownership: one sentence with {braces} <red>')


def test_system_clock_goes_forward() -> None:
    """Never set the monotonic clock back."""
    clock = SystemClock()
    first = clock.read_moment().monotonic
    assert clock.read_monotonic() >= first


@pytest.mark.parametrize('taken', ['listen', 'callers'])
@pytest.mark.parametrize('app', [entry.app, dispatcher.app])
def test_taken_address_ends_a_program(
    app: Typer,
    taken: str,
    tmp_path: Path,
) -> None:
    """Exit with one line if an address of the settings is in use."""
    with closing(socket.create_server((_HOST, 0))) as rival:
        used = {'host': _HOST, 'port': rival.getsockname()[1]}
        settings = {
            'node': 'entry-1',
            'site': 'north',
            'region': 'region-1',
            'zone': 'zone-1',
            'listen': used,
            'secret': 'a secret of sixteen',
            'platform': {'log': used, 'hosts': used},
        }
        if app is entry.app:
            free = {'host': _HOST, 'port': _find_port()}
            settings['callers'] = used if taken == 'callers' else free
        path = tmp_path / 'settings.yaml'
        path.write_text(yaml.safe_dump(settings))
        ended = CliRunner().invoke(app, ['--settings', str(path)])
    assert ended.exit_code == 40
    assert 'expected a free address' in ended.stderr


def _find_port() -> int:
    with closing(socket.create_server((_HOST, 0))) as free:
        port: int = free.getsockname()[1]
        return port
