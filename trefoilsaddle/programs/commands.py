"""Start the commands: read settings, say what is wrong, end with a code."""

from pathlib import Path
from typing import Annotated, TypeVar

from pydantic import BaseModel
from typer import Option

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.logservice.exchange import ServiceAddress
from trefoilsaddle.programs.commandline import end_command
from trefoilsaddle.settings import AddressSettings, read_settings

SettingsPath = Annotated[
    Path,
    Option('--settings', '-s', help='YAML file with the settings.'),
]


_Settings = TypeVar('_Settings', bound=BaseModel)


def load_settings(path: Path, model: type[_Settings]) -> _Settings:
    """Read settings, or end the command with one line about the fault."""
    settings = read_settings(path, model)
    if isinstance(settings, Failure):
        end_command(settings)
    return settings


def build_service_address(address: AddressSettings) -> ServiceAddress:
    """Return where a service of the platform is."""
    return ServiceAddress(str(address.host), address.port)
