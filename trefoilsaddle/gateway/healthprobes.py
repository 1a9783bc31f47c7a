"""Schedule the health probes of servers, each at most once a second."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.servers import Server, ServerIncarnation

# A server turns cold at any time; its entries say so within two seconds.
_INTERVAL = Seconds(1)


@dataclass(slots=True)
class HealthProbes:
    """Hold the time at which the next probe of each server is due."""

    due: dict[ServerIncarnation, Seconds] = field(default_factory=dict)

    def pop_due(self, servers: Iterable[Server], now: Seconds) -> list[Server]:
        """Return the servers to probe now, and forget those that are gone.

        The first probes of servers that are seen together are spread over the
        interval, and so are their later ones.
        """
        listed = list(servers)
        new = [server for server in listed if server.life not in self.due]
        for number, added in enumerate(new):
            delay = _INTERVAL * number / len(new)
            self.due[added.life] = Seconds(now + delay)
        self.due = {server.life: self.due[server.life] for server in listed}
        chosen = [server for server in listed if self.due[server.life] <= now]
        for probed in chosen:
            self.due[probed.life] = Seconds(now + _INTERVAL)
        return chosen
