"""Hold a gateway's parts of the rates at which services may be sent requests."""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import RegionName, ServiceName
from trefoilsaddle.gateway.admission import DemandShare, RateShare


@dataclass(frozen=True, slots=True)
class ServerGroup:
    """Name the servers of a service in some regions; none: in all."""

    service: ServiceName
    regions: frozenset[RegionName]


@dataclass(slots=True)
class ServiceShares:
    """Hold the part of each group of servers, created on first use."""

    rates: dict[ServerGroup, RateShare] = field(default_factory=dict)
    demands: dict[ServiceName, DemandShare] = field(default_factory=dict)

    def find_rate(self, group: ServerGroup) -> RateShare:
        """Return the part of the rate at which a group may be sent requests."""
        return self.rates.setdefault(group, RateShare())

    def find_demand(self, service: ServiceName) -> DemandShare:
        """Return the part of the fleet's requests that arrive here."""
        return self.demands.setdefault(service, DemandShare())

    def keep_only(self, services: set[ServiceName]) -> None:
        """Forget services that are not configured any more."""
        self.rates = {
            group: rate
            for group, rate in self.rates.items()
            if group.service in services
        }
        self.demands = {
            service: demand
            for service, demand in self.demands.items()
            if service in services
        }
