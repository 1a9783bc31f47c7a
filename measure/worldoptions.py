"""Build the options of simulated gateways."""

from trefoilsaddle.core.units import NodeId, RegionName, Seconds, ZoneName
from trefoilsaddle.gateway.options import GatewayOptions, RetryBudget

ZONE = ZoneName('east-1')
_REGION = RegionName('east')


def build_options(name: str, run: int, speed: float) -> GatewayOptions:
    """Build the options of one incarnation of a gateway."""
    return GatewayOptions(
        node=NodeId(name),
        run=run,
        zone=ZONE,
        region=_REGION,
        regions={ZONE: _REGION},
        host=name,
        port=1,
        seed=run,
        retry_budget=RetryBudget(0.2, 64, Seconds(10)),
        stop_timeout=Seconds(6),
        heartbeat=Seconds(0.87),
        speed=speed,
    )
