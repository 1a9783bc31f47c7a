"""Define which availability zones operators drain."""

from dataclasses import dataclass

from trefoilsaddle.core.units import (
    NO_ERA,
    NO_OFFSET,
    Offset,
    StoreEra,
    ZoneName,
)
from trefoilsaddle.gateway.table import TablePosition


@dataclass(frozen=True, slots=True)
class ZoneDrain:
    """Begin to drain a zone, or end it, as the operator wrote."""

    zone: ZoneName
    begins: bool


@dataclass(frozen=True, slots=True)
class DrainedZones:
    """List the drained zones as of a position in the configuration topic."""

    zones: tuple[ZoneName, ...] = ()
    # Offset up to which the topic was read, and its era; none before a read.
    offset: Offset = NO_OFFSET
    era: StoreEra = NO_ERA

    @property
    def position(self) -> TablePosition:
        """Return the position as of which the zones are known."""
        return TablePosition(self.era, self.offset)


NO_DRAINED_ZONES = DrainedZones()
