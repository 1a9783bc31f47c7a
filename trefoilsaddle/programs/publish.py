"""Provide the command that checks and publishes base files and overlays."""

from pathlib import Path
from typing import Annotated
from uuid import uuid4

import trio
from typer import Argument, Option, echo

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.records import Publication
from trefoilsaddle.core.units import RecordId, Seconds, SiteName, Version
from trefoilsaddle.core.view import Verdict
from trefoilsaddle.documents import parse_base, parse_overlay
from trefoilsaddle.logservice.logclient import HttpLogClient
from trefoilsaddle.programs.commandline import build_app, end_command
from trefoilsaddle.programs.commands import (
    SettingsPath,
    build_service_address,
    load_settings,
)
from trefoilsaddle.programs.logview import LogFollower
from trefoilsaddle.results import ResultCode
from trefoilsaddle.settings import OperatorSettings

_TIMEOUT = 30

app = build_app(
    'Check and publish the base file and the overlays of the sites.',
    'Exit codes: 40 wrong settings, 41 wrong file, 42 another version is '
    'in force, 43 log unavailable, 44 outcome unknown.',
)

_FilePath = Annotated[
    Path, Argument(metavar='FILE', help='Base file or overlay, YAML.')
]
_Site = Annotated[
    str | None,
    Option(help='Site of the overlay; without it, FILE is the base file.'),
]
_Expect = Annotated[
    int,
    Option(min=0, help='Version that FILE was made from; 0 for the first.'),
]
_Timeout = Annotated[
    float,
    Option(min=1, help='Seconds to wait for the outcome.'),
]


@app.command('check')
def check_file(path: _FilePath, site: _Site = None) -> None:
    """Check a file by itself, without the log."""
    document = _read_document(path)
    parsed = parse_base(document) if site is None else parse_overlay(document)
    if isinstance(parsed, Failure):
        end_command(parsed)
    echo('the file is valid')


@app.command('publish')
def publish_file(
    path: _FilePath,
    settings: SettingsPath,
    expect: _Expect,
    site: _Site = None,
    timeout: _Timeout = _TIMEOUT,
) -> None:
    """Publish a file and wait until the log tells what became of it.

    Accepted means that the publication was read back from the log and that
    every process which reads as far puts it in force. If someone else has
    published the same file since the expected version, nothing changes and
    the exit code is 42.
    """
    loaded = load_settings(settings, OperatorSettings)
    publication = Publication(
        record_id=RecordId(f'publish-{uuid4().hex}'),
        expected=Version(expect),
        site=None if site is None else SiteName(site),
        document=_read_document(path),
    )
    verdict = trio.run(_publish, loaded, publication, Seconds(timeout))
    if isinstance(verdict, Failure):
        end_command(verdict)
    _show_verdict(verdict)


async def _publish(
    settings: OperatorSettings,
    publication: Publication,
    timeout: Seconds,
) -> Verdict | Failure:
    log = HttpLogClient(build_service_address(settings.platform.log))
    verdict = await LogFollower(log).publish(publication, timeout)
    await log.aclose()
    return verdict


def _show_verdict(verdict: Verdict) -> None:
    if verdict.accepted:
        echo(f'accepted as version {verdict.version}')
        return
    reason = f'version {verdict.version} is in force; nothing was changed'
    end_command(Failure(verdict.code, reason))


def _read_document(path: Path) -> str:
    try:
        return path.read_text('utf-8')
    except (OSError, UnicodeDecodeError):
        reason = f'{path}: expected a readable text file'
        return end_command(Failure(ResultCode.configuration_invalid, reason))
