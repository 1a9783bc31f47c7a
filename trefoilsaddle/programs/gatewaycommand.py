"""Offer a gateway as a command with options."""

from pathlib import Path
from typing import Annotated

from typer import Exit, Option, echo

from trefoilsaddle.programs.commandline import build_app, end_command
from trefoilsaddle.programs.gateway import run_gateway
from trefoilsaddle.version import VERSION

app = build_app()

SETTINGS_VARIABLE = 'TREFOILSADDLE_CONFIG'

SettingsFile = Annotated[
    Path,
    Option(
        '--settings',
        '-s',
        envvar=SETTINGS_VARIABLE,
        help="The platform's settings file.",
    ),
]


def _show_version(*, wanted: bool) -> None:
    if wanted:
        echo(f'trefoil-gateway {VERSION}')
        raise Exit


VersionFlag = Annotated[
    bool,
    Option(
        '--version',
        callback=_show_version,
        is_eager=True,
        help='Show the version and end.',
    ),
]


@app.command()
def start(
    settings: SettingsFile,
    *,
    version: VersionFlag = False,
) -> None:
    """Run a gateway until SIGTERM, which cuts no request in flight.

    SIGHUP reads the settings again, SIGUSR1 writes a dump of the state to
    the log.
    """
    failure = run_gateway(settings)
    if failure is not None:
        end_command(failure)
