"""Read the YAML settings of a process and build the core's options.

An invalid setting is reported in one line that names the file, the key and
the expected value.
"""

from pathlib import Path
from secrets import randbits
from typing import Annotated, Any, Literal, TypeVar

import yaml
from pydantic import (
    BaseModel,
    ConfigDict,
    DirectoryPath,
    Field,
    IPvAnyAddress,
    SecretStr,
    ValidationError,
)

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.options import Options, Peer
from trefoilsaddle.core.units import (
    NodeId,
    RegionName,
    Seconds,
    SiteName,
    ZoneName,
)
from trefoilsaddle.results import ResultCode

# Size in bits of a randomly drawn seed.
_SEED_BITS = 63

Name = Annotated[str, Field(pattern='^[a-z0-9][a-z0-9.-]{0,62}$')]
Port = Annotated[int, Field(ge=1, le=65_535)]
Positive = Annotated[float, Field(gt=0, le=3600, allow_inf_nan=False)]
Secret = Annotated[SecretStr, Field(min_length=16)]
LogLevel = Literal['DEBUG', 'INFO', 'WARNING', 'ERROR']


class _Model(BaseModel):
    model_config = ConfigDict(extra='forbid', frozen=True)


class AddressSettings(_Model):
    """Hold an IP address and a port."""

    host: IPvAnyAddress
    port: Port


class PeerSettings(AddressSettings):
    """Describe a process from which the list of all others is requested."""

    node: Name
    zone: Name
    dispatches: bool


class PlatformSettings(_Model):
    """Hold the addresses of the platform's services."""

    log: AddressSettings
    hosts: AddressSettings


class TraceSettings(_Model):
    """Configure the recording of events to a trace."""

    # Folder for the traces, one file for each run of the process.
    folder: DirectoryPath
    # Whether keys and bodies are recorded in clear text.
    clear: bool = False


class PaceSettings(_Model):
    """Hold the intervals and timeouts of a process, in seconds."""

    log_interval: Positive = 0.2
    host_list_interval: Positive = 1
    grant_interval: Positive = 0.4
    probe_interval: Positive = 0.25
    probe_timeout: Positive = 0.15
    suspicion_timeout: Positive = 0.6
    placement_interval: Positive = 5
    stop_timeout: Positive = 20


class DispatcherSettings(_Model):
    """Hold the settings of a dispatcher."""

    node: Name
    site: Name
    region: Name
    zone: Name
    # Address at which peers reach the process.
    listen: AddressSettings
    peers: tuple[PeerSettings, ...] = ()
    # Secret shared by all processes of the system.
    secret: Secret
    platform: PlatformSettings
    statsd: AddressSettings | None = None
    trace: TraceSettings | None = None
    pace: PaceSettings = PaceSettings()
    # Seed of the random generator; drawn at random if it is not given.
    seed: Annotated[int, Field(ge=0)] | None = None
    log_level: LogLevel = 'INFO'


class EntrySettings(DispatcherSettings):
    """Hold the settings of an entry process."""

    # Address at which callers reach the process.
    callers: AddressSettings


class OperatorSettings(_Model):
    """Hold the settings of the operators' commands."""

    secret: Secret
    platform: PlatformSettings
    # Processes that can be asked for a dump of their state.
    peers: tuple[PeerSettings, ...] = ()


_Settings = TypeVar('_Settings', bound=BaseModel)


def read_settings(path: Path, model: type[_Settings]) -> _Settings | Failure:
    """Read and validate a settings file (settings_invalid)."""
    try:
        text = path.read_text('utf-8')
    except (OSError, UnicodeDecodeError):
        return _fail(path, 'the file', 'a readable text file')
    try:
        document = yaml.safe_load(text)
    except yaml.YAMLError:
        return _fail(path, 'the file', 'valid YAML')
    try:
        return model.model_validate(document)
    except ValidationError as invalid:
        first = invalid.errors(include_input=False, include_url=False)[0]
        return _fail(path, _format_key(first), _describe_expected(first))


def build_options(settings: DispatcherSettings) -> Options:
    """Build the core's options from the settings of a process."""
    pace = settings.pace.model_dump()
    seed = settings.seed
    return Options(
        node=NodeId(settings.node),
        zone=ZoneName(settings.zone),
        region=RegionName(settings.region),
        site=SiteName(settings.site),
        host=str(settings.listen.host),
        port=settings.listen.port,
        dispatches=not isinstance(settings, EntrySettings),
        peers=build_peers(settings.peers),
        seed=randbits(_SEED_BITS) if seed is None else seed,
        **{name: Seconds(pause) for name, pause in pace.items()},
    )


def build_peers(peers: tuple[PeerSettings, ...]) -> tuple[Peer, ...]:
    """Build the core's peers from their settings."""
    return tuple(
        Peer(
            node=NodeId(peer.node),
            zone=ZoneName(peer.zone),
            host=str(peer.host),
            port=peer.port,
            dispatches=peer.dispatches,
        )
        for peer in peers
    )


def _fail(path: Path, key: str, expected: str) -> Failure:
    return Failure(
        ResultCode.settings_invalid,
        f'{path}: {key}: expected {expected}',
    )


def _format_key(error: Any) -> str:
    return '.'.join(str(part) for part in error['loc']) or 'the file'


def _describe_expected(error: Any) -> str:
    if error['type'] == 'extra_forbidden':
        return 'no such key'
    if error['type'] == 'missing':
        return 'a value'
    message: str = error['msg']
    return message.removeprefix('Input should be ').removeprefix('Value ')
