"""Offer a gateway, and the check of a configuration, as commands."""

from pathlib import Path
from typing import Annotated

from typer import Argument, Context, Exit, Option, echo

from trefoilsaddle.programs.commandline import build_app, end_command
from trefoilsaddle.programs.configurationfiles import (
    check_files,
    write_json,
    write_text,
)
from trefoilsaddle.programs.gateway import run_gateway
from trefoilsaddle.version import VERSION

app = build_app(
    """Run a gateway until SIGTERM, which cuts no request in flight.

    SIGHUP reads the settings again, SIGUSR1 writes a dump of the state to
    the log.
    """
)

SETTINGS_VARIABLE = 'TREFOILSADDLE_CONFIG'

SettingsFile = Annotated[
    Path | None,
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


_ConfigurationFile = Annotated[
    Path,
    Argument(
        metavar='CONFIG', help='Configuration as it is published, in JSON.'
    ),
]
_FileInForce = Annotated[
    Path | None,
    Option('--against', help='Version in force, to list the differences.'),
]
_ZonesFile = Annotated[
    Path | None,
    Option('--settings', '-s', help='Settings file that lists the zones.'),
]
_JsonFlag = Annotated[
    bool, Option('--json', help='Print the findings as JSON.')
]


@app.callback(invoke_without_command=True, no_args_is_help=False)
def start(
    context: Context,
    settings: SettingsFile = None,
    *,
    version: VersionFlag = False,
) -> None:
    """Run a gateway unless another command is given."""
    if context.invoked_subcommand is not None:
        return
    if settings is None:
        context.fail(
            "Missing option '--settings' / '-s' "
            + f"(env var: '{SETTINGS_VARIABLE}')."
        )
    failure = run_gateway(settings)
    if failure is not None:
        end_command(failure)


@app.command(
    epilog='Exit codes: 0 nothing found, 1 warnings, 41 errors or a file '
    + 'that cannot be read.'
)
def check(
    path: _ConfigurationFile,
    *,
    against: _FileInForce = None,
    settings: _ZonesFile = None,
    as_json: _JsonFlag = False,
) -> None:
    """Check a configuration before it is published."""
    report = check_files(path, against, settings)
    echo(write_json(report) if as_json else write_text(report))
    raise Exit(report.find_exit_code())
