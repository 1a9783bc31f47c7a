"""Read the gateway's settings file, which the platform writes."""

import tomllib
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from pydantic import BeforeValidator, Field, ValidationError

from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import NodeId, RegionName, Seconds, ZoneName
from trefoilsaddle.gateway.options import (
    DEFAULT_HOLD,
    ColdServerBound,
    GatewayOptions,
    RetryBudget,
)
from trefoilsaddle.platform.durations import Duration
from trefoilsaddle.platform.models import WireModel
from trefoilsaddle.results import ResultCode

# Processor seconds budgeted per grant or release call at speed 1: 0.4 ms for
# the call and 0.3 ms for checking 97 ranges were measured, and a quarter of the
# machine is reserved for these calls.
_ORDER_PROCESSOR_TIME = 0.0028
_MEGABYTE = 1_000_000


@dataclass(frozen=True, slots=True)
class Address:
    """Hold a host and a port."""

    host: str
    port: int


def _read_address(text: object) -> Address:
    if not isinstance(text, str):
        raise ValueError('an address must be a string')
    host, _, port = text.rpartition(':')
    return Address(host, int(port))


_WireAddress = Annotated[Address, BeforeValidator(_read_address)]


class _WireListen(WireModel):
    # Address for callers.
    front: _WireAddress
    # Address of the readiness endpoint.
    ready: _WireAddress


class _WireBounds(WireModel):
    retry_ratio: float = Field(alias='retryRatio', strict=False)
    retry_slack: float = Field(alias='retrySlack', strict=False)
    budget_window: Duration = Field(alias='budgetWindow')
    # Maximum duration of a grant that a server accepts.
    hold_max: Duration = Field(alias='holdMax')
    # Time from SIGTERM to SIGKILL.
    grace: Duration
    # Requests in any second to a server that is cold: a multiple of the rate that
    # it tolerates, and a number of further ones.
    cold_factor: float = Field(
        default=1, alias='warmupOver', strict=False, ge=1
    )
    cold_slack: float = Field(
        default=0, alias='warmupSlack', strict=False, ge=0
    )


class _WirePlatform(WireModel):
    address: _WireAddress
    # Number of partitions of each topic that belongs to the gateways.
    parts: int = 1


class _WireLimits(WireModel):
    # Fraction of a core that the process gets, and the speed of that core.
    cpu_share: float = Field(default=1, alias='cpuShare', strict=False, gt=0)
    cores: float = Field(default=2, strict=False, gt=0)
    # Bandwidth of the machine's link in Mbit/s, in each direction.
    link_rate: float = Field(default=1000, alias='linkMbps', strict=False)
    # Memory in MB, above which the machine ends the process, and descriptors.
    memory: float = Field(default=300, alias='memoryMb', strict=False, gt=0)
    descriptors: int = Field(default=4096, alias='maxFds', gt=0)


class _WireSettings(WireModel):
    node: str
    ip: str
    zone: str
    region: str
    # First and last port reserved for the gateway's own use.
    internal_ports: tuple[int, int] = Field(alias='internalPorts', strict=False)
    # Region by zone.
    zones: dict[str, str]
    listen: _WireListen
    bounds: _WireBounds
    # Interval between two writes of a server's registry entry.
    heartbeat: Duration
    platform: _WirePlatform
    limits: _WireLimits = _WireLimits()
    # True if the whole system starts for the first time.
    bootstrap: bool = False


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Hold the options and the addresses of a gateway."""

    options: GatewayOptions
    callers: Address
    ready: Address
    metrics: Address
    store: Address
    # Number of partitions of each topic.
    partitions: int
    # Bytes of memory, and number of descriptors, of the machine.
    memory: int
    descriptors: int


def read_settings(path: Path, run: int) -> GatewaySettings | Failure:
    """Read and validate the settings of a gateway (settings_invalid)."""
    try:
        loaded = tomllib.loads(path.read_text())
    except OSError as error:
        return _fail(path, f'cannot be read: {error.strerror}')
    except ValueError as error:
        return _fail(path, f'is not TOML: {error}')
    try:
        wire = _WireSettings.model_validate(loaded)
    except ValidationError as error:
        first = error.errors(include_input=False)[0]
        key = '.'.join(str(part) for part in first['loc'])
        return _fail(path, f'{key}: {first["msg"]}')
    return _build_settings(wire, run)


def _build_settings(wire: _WireSettings, run: int) -> GatewaySettings:
    # The deploy file expects the metrics on the second port.
    peers = wire.internal_ports[0]
    metrics = peers + 1
    return GatewaySettings(
        options=_build_options(wire, run, peers),
        callers=wire.listen.front,
        ready=wire.listen.ready,
        metrics=Address(wire.ip, metrics),
        store=wire.platform.address,
        partitions=wire.platform.parts,
        memory=int(wire.limits.memory * _MEGABYTE),
        descriptors=wire.limits.descriptors,
    )


def _build_options(
    wire: _WireSettings,
    run: int,
    port: int,
) -> GatewayOptions:
    bounds = wire.bounds
    speed = wire.limits.cpu_share * wire.limits.cores
    budget = RetryBudget(
        bounds.retry_ratio,
        bounds.retry_slack,
        Seconds(bounds.budget_window),
    )
    return GatewayOptions(
        node=NodeId(wire.node),
        run=run,
        zone=ZoneName(wire.zone),
        region=RegionName(wire.region),
        regions={
            ZoneName(zone): RegionName(region)
            for zone, region in wire.zones.items()
        },
        host=wire.ip,
        port=port,
        seed=run,
        retry_budget=budget,
        hold=Seconds(min(DEFAULT_HOLD, bounds.hold_max)),
        max_hold=Seconds(bounds.hold_max),
        stop_timeout=Seconds(bounds.grace),
        heartbeat=Seconds(wire.heartbeat),
        first_start=wire.bootstrap,
        cold_servers=ColdServerBound(bounds.cold_factor, bounds.cold_slack),
        link_rate=wire.limits.link_rate,
        speed=speed,
        order_time=Seconds(_ORDER_PROCESSOR_TIME / speed),
    )


def _fail(path: Path, reason: str) -> Failure:
    return Failure(ResultCode.settings_invalid, f'{path}: {reason}')
