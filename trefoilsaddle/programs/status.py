"""Provide the command that shows versions in force and state dumps."""

import json
from typing import Annotated

import trio
from typer import Argument, echo

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.programs.commandline import build_app, end_command
from trefoilsaddle.programs.commands import SettingsPath, load_settings
from trefoilsaddle.programs.dumpclient import build_command_identity, read_dump
from trefoilsaddle.programs.statustable import (
    collect_rows,
    write_table,
)
from trefoilsaddle.results import ResultCode
from trefoilsaddle.settings import OperatorSettings
from trefoilsaddle.wire.greeting import Identity
from trefoilsaddle.wire.peers import Address

_INDENT = 2

app = build_app(
    'Show what is in force and where, without any key or body.',
    'Exit codes: 40 wrong settings, 45 a process did not answer.',
)

_Process = Annotated[
    str,
    Argument(
        metavar='PROCESS',
        help='Name of a process in the settings, or its HOST:PORT.',
    ),
]


@app.command('dump')
def dump_process(process: _Process, settings: SettingsPath) -> None:
    """Write the state of one process as JSON."""
    loaded = load_settings(settings, OperatorSettings)
    parsed = _find_address(loaded, process)
    if isinstance(parsed, Failure):
        end_command(parsed)
    dump = trio.run(read_dump, _build_identity(loaded), parsed)
    if isinstance(dump, Failure):
        end_command(dump)
    echo(json.dumps(json.loads(dump), indent=_INDENT))


@app.command('table')
def show_table(settings: SettingsPath) -> None:
    """Show for each process which version is in force, per site.

    Asks the processes of the settings and every process that these know.
    """
    loaded = load_settings(settings, OperatorSettings)
    addresses = [Address(str(peer.host), peer.port) for peer in loaded.peers]
    rows = trio.run(collect_rows, _build_identity(loaded), addresses)
    echo(write_table(rows))
    silent = [row for row in rows if row.dump is None]
    if silent or not rows:
        reason = f'{len(silent)} of {len(rows)} processes did not answer'
        end_command(Failure(ResultCode.peer_unreachable, reason))


def _build_identity(settings: OperatorSettings) -> Identity:
    return build_command_identity(settings.secret.get_secret_value().encode())


def _find_address(settings: OperatorSettings, text: str) -> Address | Failure:
    for peer in settings.peers:
        if peer.node == text:
            return Address(str(peer.host), peer.port)
    host, _, port = text.rpartition(':')
    if host and port.isdecimal():
        return Address(host, int(port))
    reason = f'{text}: expected a process of the settings or HOST:PORT'
    return Failure(ResultCode.settings_invalid, reason)
