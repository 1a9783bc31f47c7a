"""Provide what the commands share: the settings option and its loading."""

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
    """Read settings, or end the command with an error message."""
    settings = read_settings(path, model)
    if isinstance(settings, Failure):
        end_command(settings)
    return settings


def build_service_address(address: AddressSettings) -> ServiceAddress:
    """Convert the settings of an address for the platform's clients."""
    return ServiceAddress(str(address.host), address.port)
