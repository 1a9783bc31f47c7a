"""Test the commands: help, exit codes, publishing and the status table."""

from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial
from pathlib import Path

import pytest
import trio
import yaml
from syrupy.assertion import SnapshotAssertion
from trio.testing import MockClock
from typer import Typer
from typer.testing import CliRunner

from tests.sites import BASE, SITES, describe_overlay, make_publication
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.records import LogEntry, Publication, Record
from trefoilsaddle.core.snapshots import split_view
from trefoilsaddle.core.units import Offset, Seconds, Version
from trefoilsaddle.core.view import Verdict
from trefoilsaddle.logservice.logclient import LogClient, LogPage
from trefoilsaddle.programs import dispatcher, entry, publish, status
from trefoilsaddle.programs.commandline import find_exit_code
from trefoilsaddle.programs.logview import LogFollower
from trefoilsaddle.programs.statustable import (
    DocumentStatus,
    ProcessStatus,
    StatusRow,
    write_table,
)
from trefoilsaddle.results import ResultCode
from trefoilsaddle.wire.peers import Address

_TIMEOUT = Seconds(30)
_HELP = '--help'
_AWAY = Failure(ResultCode.log_unavailable, 'the log is away')
_PROGRAMS = (
    (entry.app, ()),
    (dispatcher.app, ()),
    (publish.app, ()),
    (publish.app, ('check',)),
    (publish.app, ('publish',)),
    (status.app, ()),
    (status.app, ('dump',)),
    (status.app, ('table',)),
)


@pytest.mark.parametrize(('app', 'command'), _PROGRAMS)
def test_help(
    app: Typer,
    command: tuple[str, ...],
    snapshot: SnapshotAssertion,
) -> None:
    """Compare the help texts with the snapshots."""
    ended = CliRunner().invoke(app, [*command, _HELP], prog_name='program')
    assert ended.exit_code == 0
    assert ended.output == snapshot


@pytest.mark.parametrize('app', [entry.app, dispatcher.app])
def test_wrong_settings_end_a_program(app: Typer, tmp_path: Path) -> None:
    """Exit with one line and the exit code of invalid settings."""
    path = tmp_path / 'wrong.yaml'
    path.write_text('node: 1\n')
    ended = CliRunner().invoke(app, ['--settings', str(path)])
    assert ended.exit_code == 40
    assert len(ended.stderr.splitlines()) == 1
    assert str(path) in ended.stderr


_WRITTEN = (
    ('valid base', BASE, (), 0),
    ('valid overlay', describe_overlay(SITES[0]), ('--site', 'north'), 0),
    ('base as an overlay', BASE, ('--site', 'north'), 41),
    ('no YAML', 'ranks: [', (), 41),
    ('empty', '', (), 41),
    ('share above one', BASE.replace('share: 0.2', 'share: 0.9'), (), 41),
)


@pytest.mark.parametrize(
    ('written', 'options', 'code'),
    [case[1:] for case in _WRITTEN],
    ids=[case[0] for case in _WRITTEN],
)
def test_check(
    tmp_path: Path,
    written: str,
    options: tuple[str, ...],
    code: int,
) -> None:
    """Validate a file without the log and report in one line."""
    path = tmp_path / 'file.yaml'
    path.write_text(written)
    ended = CliRunner().invoke(publish.app, ['check', str(path), *options])
    assert ended.exit_code == code
    assert len(ended.output.splitlines()) == 1


@dataclass
class _Log(LogClient):
    """Fake a log in memory that can lose appends and replies."""

    entries: list[LogEntry] = field(default_factory=list)
    first: int = 0
    # Appends that succeed but whose reply is lost.
    lost_replies: int = 0
    # Appends that are lost.
    lost_appends: int = 0
    away: bool = False
    # Called before an append, to simulate another operator.
    race: Callable[[], object] | None = None

    async def read(self, start: Offset) -> LogPage | Failure:
        """Read at most two entries."""
        await trio.sleep(0.01)
        if self.away:
            return _AWAY
        begin = max(self.first, start)
        page = tuple(self.entries[begin : begin + 2])
        return LogPage(page, Offset(self.first), Offset(len(self.entries)))

    async def append(self, records: tuple[Record, ...]) -> Offset | Failure:
        """Append, or fail as the test specifies."""
        if self.race is not None:
            self.race()
            self.race = None
        if self.away or self.lost_appends > 0:
            self.lost_appends -= 1
            return _AWAY
        offset = self.add(*records)
        if self.lost_replies > 0:
            self.lost_replies -= 1
            return _AWAY
        return offset

    async def aclose(self) -> None:
        """Do nothing."""

    def add(self, *records: Record) -> Offset:
        """Append one entry directly."""
        offset = Offset(len(self.entries))
        self.entries.append(LogEntry(offset, records))
        return offset


_FIRST = make_publication('first', 0, None, BASE)
_SECOND = make_publication('second', 1, None, BASE)
_RIVAL = make_publication('rival', 1, None, BASE)
_STALE = make_publication('stale', 0, None, BASE)
_WRONG = make_publication('wrong', 1, None, 'ranks: 3')
_OVERLAY = make_publication('site', 0, 'north', describe_overlay(SITES[0]))


def _publish(log: _Log, publication: Publication) -> Verdict | Failure:
    follower = LogFollower(log)
    clock = MockClock(autojump_threshold=0)
    run = partial(follower.publish, publication, _TIMEOUT)
    return trio.run(run, clock=clock)


_FAULTS = (
    ('no fault', _Log()),
    ('reply lost', _Log(lost_replies=1)),
    ('replies lost', _Log(lost_replies=3)),
    ('appends lost', _Log(lost_appends=3)),
)


@pytest.mark.parametrize(
    'log',
    [case[1] for case in _FAULTS],
    ids=[case[0] for case in _FAULTS],
)
def test_publication_is_accepted_once(log: _Log) -> None:
    """Read the outcome from the log even if replies are lost."""
    log.add(_FIRST)
    verdict = _publish(log, _SECOND)
    assert isinstance(verdict, Verdict)
    assert verdict.accepted
    assert verdict.version == Version(2)


def test_racing_operators_have_one_winner() -> None:
    """Report a version conflict to the operator who published second."""
    log = _Log()
    log.add(_FIRST)
    log.race = partial(log.add, _RIVAL)
    verdict = _publish(log, _SECOND)
    assert isinstance(verdict, Verdict)
    assert verdict.code is ResultCode.version_conflict
    assert verdict.version == Version(2)


_REFUSED = (
    ('stale', _STALE, ResultCode.version_conflict),
    ('wrong', _WRONG, ResultCode.configuration_invalid),
)


@pytest.mark.parametrize(
    ('publication', 'code'),
    [case[1:] for case in _REFUSED],
    ids=[case[0] for case in _REFUSED],
)
def test_refused_publication_is_not_appended(
    publication: Publication,
    code: ResultCode,
) -> None:
    """Refuse a publication before the append if the log would refuse it."""
    log = _Log()
    log.add(_FIRST)
    log.add(_OVERLAY)
    failure = _publish(log, publication)
    assert isinstance(failure, Failure)
    assert failure.code is code
    assert len(log.entries) == 2


def test_unavailable_log_is_reported() -> None:
    """Report an unavailable log at once, before any append."""
    failure = _publish(_Log(away=True), _FIRST)
    assert isinstance(failure, Failure)
    assert failure.code is ResultCode.log_unavailable


def test_unknown_outcome_is_reported() -> None:
    """Report an unknown outcome if the log fails after the append."""
    log = _Log()
    log.race = partial(setattr, log, 'away', True)
    failure = _publish(log, _FIRST)
    assert isinstance(failure, Failure)
    assert failure.code is ResultCode.publication_unknown


def test_publishing_reaches_over_expired_records() -> None:
    """Start from the newest snapshot if earlier records expired."""
    log = _Log()
    log.add(_FIRST)
    follower = LogFollower(log)
    trio.run(follower.catch_up)
    for part in split_view(follower.view, part_length=100):
        log.add(part)
    log.first = 1
    verdict = _publish(log, _SECOND)
    assert isinstance(verdict, Verdict)
    assert verdict.version == Version(2)


def test_gap_without_snapshot_is_reported() -> None:
    """Refuse to publish if expired records are not covered by a snapshot."""
    log = _Log()
    log.add(_FIRST)
    log.add(_OVERLAY)
    log.first = 1
    failure = _publish(log, _SECOND)
    assert isinstance(failure, Failure)
    assert failure.code is ResultCode.log_unavailable


def test_exit_codes(snapshot: SnapshotAssertion) -> None:
    """Give every operator result code its own exit code."""
    codes = {
        code.name: find_exit_code(code) for code in ResultCode if code >= 400
    }
    assert codes == snapshot


def test_table(snapshot: SnapshotAssertion) -> None:
    """Show one line per process, including processes that do not answer."""
    running = ProcessStatus(
        node='north-entry-1',
        site='north',
        zone='north-1',
        dispatches=False,
        stopping=False,
        log_away=False,
        applied=12,
        version=3,
        documents=(
            DocumentStatus(document='base file', version=1),
            DocumentStatus(document='north', version=3),
        ),
        processes=(),
    )
    away = running.model_copy(
        update={
            'node': 'south-dispatcher-1',
            'dispatches': True,
            'log_away': True,
            'documents': running.documents[:1],
        },
    )
    addresses = [Address('127.0.0.1', 7000 + number) for number in range(3)]
    dumps = (None, running, away)
    rows = map(StatusRow, addresses, dumps)
    assert write_table(list(rows)) == snapshot


def test_dump_of_unknown_process(tmp_path: Path) -> None:
    """Report the expected form of the argument for an unknown process."""
    address = {'host': '127.0.0.1', 'port': 1}
    settings = {
        'secret': 'a secret of sixteen',
        'platform': {'log': address, 'hosts': address},
    }
    path = tmp_path / 'operator.yaml'
    path.write_text(yaml.safe_dump(settings))
    arguments = ['dump', 'nobody', '--settings', str(path)]
    ended = CliRunner().invoke(status.app, arguments)
    assert ended.exit_code == 40
    assert 'expected a process' in ended.stderr
