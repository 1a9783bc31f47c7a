"""Decode the registry entries of servers, `servers/ID`."""

from typing import Literal

from pydantic import Field, ValidationError

from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.platform.durations import Duration
from trefoilsaddle.platform.models import WireModel

_DRAINING = 'draining'
# Messages between gateways carry sequence numbers in 64 bits, signed.
_SEQUENCE_END = 2**63


class _WireEntry(WireModel):
    service: str = Field(min_length=1)
    address: str
    zone: str
    version: str
    slots: int = Field(gt=0)
    state: Literal['ready', 'draining']
    # Remaining warm-up time, in which the server is slower.
    warmup_left: Duration = Field(alias='warmupLeft')
    # Sequence number of the server's own writes; restarts with each
    # incarnation.
    seq: int = Field(ge=0, lt=_SEQUENCE_END)
    # Start of this incarnation, in milliseconds of Unix time.
    born: int


def decode_entry(name: str, encoded: bytes) -> Server | None:
    """Decode an entry; return None if it is not a valid server entry."""
    try:
        wire = _WireEntry.model_validate_json(encoded)
    except ValidationError:
        return None
    host, _, port = wire.address.rpartition(':')
    if not host or not port.isdecimal():
        return None
    return Server(
        life=ServerIncarnation(ServerId(name), wire.born),
        service=ServiceName(wire.service),
        host=host,
        port=int(port),
        zone=ZoneName(wire.zone),
        slots=wire.slots,
        draining=wire.state == _DRAINING,
        warm_up_left=Seconds(wire.warmup_left),
        sequence=wire.seq,
    )
