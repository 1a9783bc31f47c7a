"""Build the options of simulated gateways."""

from dataclasses import dataclass

from trefoilsaddle.core.units import NodeId, RegionName, Seconds, ZoneName
from trefoilsaddle.gateway.options import GatewayOptions, RetryBudget

ZONE = ZoneName('east-1')
REGION = RegionName('east')
Regions = dict[ZoneName, RegionName]


@dataclass(frozen=True, slots=True)
class Machine:
    """Describe the machine of a gateway."""

    speed: float = 2
    zone: ZoneName = ZONE
    # Bandwidth of its own link in Mbit/s.
    link_rate: float = 1000


def build_regions() -> Regions:
    """Build the zones of a world with one region."""
    return {ZONE: REGION}


def build_options(
    name: str,
    run: int,
    machine: Machine,
    regions: Regions,
    *,
    first_start: bool = False,
) -> GatewayOptions:
    """Build the options of one incarnation of a gateway."""
    return GatewayOptions(
        node=NodeId(name),
        run=run,
        zone=machine.zone,
        region=regions[machine.zone],
        regions=regions,
        host=name,
        port=1,
        seed=run,
        retry_budget=RetryBudget(0.2, 64, Seconds(10)),
        stop_timeout=Seconds(6),
        heartbeat=Seconds(0.87),
        first_start=first_start,
        speed=machine.speed,
        link_rate=machine.link_rate,
    )
