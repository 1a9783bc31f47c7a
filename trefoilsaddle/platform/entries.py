"""Decode the registry entries of servers, `servers/ID`.

Another writer may leave any bytes among them: what is not an entry that this
gateway can use, and pass on to others, is left out.
"""

from dataclasses import dataclass
from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import BeforeValidator, Field, ValidationError

from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.platform.durations import Duration
from trefoilsaddle.platform.models import WireModel

_DRAINING = 'draining'
# Messages between gateways carry numbers in 64 bits, signed.
_INTEGER_END = 2**63
_PORT_END = 2**16
_MAX_PORT_DIGITS = 5
# Far above what one process runs at a time; more would draw every key to the
# server.
_MAX_SLOTS = 10_000


@dataclass(frozen=True, slots=True)
class _Address:
    host: str
    port: int


def _read_address(text: object) -> _Address:
    if not isinstance(text, str):
        raise ValueError('an address must be a string')
    host, _, port = text.rpartition(':')
    digits = port.isascii() and port.isdecimal()
    if not digits or len(port) > _MAX_PORT_DIGITS:
        raise ValueError('a port must be a number of up to 5 digits')
    if not 0 < int(port) < _PORT_END:
        raise ValueError('a port must be in range')
    return _Address(str(IPv4Address(host)), int(port))


class _WireEntry(WireModel):
    service: str = Field(min_length=1)
    address: Annotated[_Address, BeforeValidator(_read_address)]
    zone: str
    version: str
    slots: int = Field(gt=0, le=_MAX_SLOTS)
    state: Literal['ready', 'draining']
    # Remaining warm-up time, in which the server is slower.
    warmup_left: Duration = Field(alias='warmupLeft')
    # Sequence number of the server's own writes; restarts with each
    # incarnation.
    seq: int = Field(ge=0, lt=_INTEGER_END)
    # Start of this incarnation, in milliseconds of Unix time.
    born: int = Field(ge=0, lt=_INTEGER_END)


def decode_entry(name: str, encoded: bytes) -> Server | None:
    """Decode an entry; return None if it is not a valid server entry."""
    try:
        wire = _WireEntry.model_validate_json(encoded)
    except ValidationError:
        return None
    return Server(
        life=ServerIncarnation(ServerId(name), wire.born),
        service=ServiceName(wire.service),
        host=wire.address.host,
        port=wire.address.port,
        zone=ZoneName(wire.zone),
        slots=wire.slots,
        draining=wire.state == _DRAINING,
        warm_up_left=Seconds(wire.warmup_left),
        sequence=wire.seq,
    )
