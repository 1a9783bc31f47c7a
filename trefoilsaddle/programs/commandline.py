"""Build command-line applications and map failures to exit codes."""

from typing import NoReturn

from typer import Exit, Typer, echo

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.results import ResultCode

# Exit codes of the commands: 40 for result code 400, 41 for 401 and so on.
_FIRST_OPERATOR_CODE = 400
_FIRST_EXIT_CODE = 40
_OTHER_EXIT_CODE = 1


def build_app(help_text: str = '', exit_codes: str = '') -> Typer:
    """Build an application whose tracebacks show no local variables.

    The library's default shows the locals of each frame, which may hold
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


def end_command(failure: Failure) -> NoReturn:
    """Print a failure in one line on standard error and exit with its code."""
    raise Exit(report_failure(failure))


def report_failure(failure: Failure) -> int:
    """Print a failure in one line on standard error; return the exit code."""
    name = failure.code.name
    echo(f'{name}: {failure.reason}', err=True)
    return find_exit_code(failure.code)


def find_exit_code(code: ResultCode) -> int:
    """Map a result code to the exit code of a command."""
    if code == ResultCode.ok:
        return 0
    if code < _FIRST_OPERATOR_CODE:
        return _OTHER_EXIT_CODE
    return code - _FIRST_OPERATOR_CODE + _FIRST_EXIT_CODE
