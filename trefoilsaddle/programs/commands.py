"""Start the commands: read settings, say what is wrong, end with a code."""

from pathlib import Path
from typing import Annotated, NoReturn, TypeVar

from pydantic import BaseModel
from typer import Exit, Option, Typer, echo

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.platform.exchange import ServiceAddress
from trefoilsaddle.results import ResultCode
from trefoilsaddle.settings import AddressSettings, read_settings

SettingsPath = Annotated[
    Path,
    Option('--settings', '-s', help='YAML file with the settings.'),
]

# Exit codes of the commands: 40 for result code 400, 41 for 401 and so on.
_FIRST_OPERATOR_CODE = 400
_FIRST_EXIT_CODE = 40
_OTHER_EXIT_CODE = 1

_Settings = TypeVar('_Settings', bound=BaseModel)


def build_app(help_text: str = '', exit_codes: str = '') -> Typer:
    """Build a command whose tracebacks show no values of variables.

    The library's own way shows the locals of each frame, and these hold
    secrets, keys and bodies.
    """
    return Typer(
        add_completion=False,
        no_args_is_help=True,
        pretty_exceptions_enable=False,
        rich_markup_mode=None,
        help=help_text,
        epilog=exit_codes,
    )


def load_settings(path: Path, model: type[_Settings]) -> _Settings:
    """Read settings, or end the command with one line about the fault."""
    settings = read_settings(path, model)
    if isinstance(settings, Failure):
        end_command(settings)
    return settings


def end_command(failure: Failure) -> NoReturn:
    """Write one line about a failure and exit with its code."""
    name = failure.code.name
    echo(f'{name}: {failure.reason}', err=True)
    raise Exit(find_exit_code(failure.code))


def reach_service(address: AddressSettings) -> ServiceAddress:
    """Return where a service of the platform is."""
    return ServiceAddress(str(address.host), address.port)


def find_exit_code(code: ResultCode) -> int:
    """Return the exit code of a command for a result code."""
    if code == ResultCode.ok:
        return 0
    if code < _FIRST_OPERATOR_CODE:
        return _OTHER_EXIT_CODE
    return code - _FIRST_OPERATOR_CODE + _FIRST_EXIT_CODE
