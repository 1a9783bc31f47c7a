"""Choose the gateways that relay updates to the other regions.

What is for all gateways of a region crosses the link to it once: one of them, the
relay, is connected to the controller, and the others are connected to the relay.
A gateway that has lost the relay is connected to the controller itself until
another one is named.
"""

from dataclasses import dataclass, field

from trefoilsaddle.core.units import NodeId, Seconds
from trefoilsaddle.gateway.table import GatewayAddress

# Time for which a controller waits for better candidates: gateways learn its
# address within a round trip between regions, from each other's announcements.
_CHOICE_DELAY = Seconds(0.15)
# Gateways of a region, beside its relay, that are connected to the controller
# itself at the same time.
_MAX_DIRECT = 3
# Factor by which a candidate has to surpass a relay to replace it.
_BETTER = 2
# Bandwidth that counts like one core: a copy of 65 KB for 45 gateways takes half
# a second.
_LINK_PER_CORE = 50


@dataclass(frozen=True, slots=True)
class Candidate:
    """Describe a gateway that may become a relay."""

    address: GatewayAddress
    # Cores, or the link's equivalent if that is less.
    capacity: float
    # Number of gateways that are connected to it already.
    followers: int

    @property
    def node(self) -> NodeId:
        """Return the name of the gateway."""
        return self.address.node

    @property
    def order(self) -> tuple[int, float, str]:
        """Return by what candidates are compared; the greatest is the best."""
        return self.followers, self.capacity, self.node


def find_capacity(speed: float, link_rate: float) -> float:
    """Return the capacity of a gateway to relay updates."""
    return min(speed, link_rate / _LINK_PER_CORE)


@dataclass(slots=True)
class RegionLinks:
    """Hold the gateways of one region that are connected to the controller."""

    relay: Candidate | None = None
    # Gateways beside the relay.
    direct: dict[NodeId, Candidate] = field(default_factory=dict)
    # The last relay, until another one replaces it.
    former: Candidate | None = None
    # Time at which the relay is chosen; None if there is nothing to choose.
    choose_at: Seconds | None = None

    def admit(
        self, candidate: Candidate, lost_relay: NodeId, now: Seconds
    ) -> GatewayAddress | None:
        """Add a gateway, or return the relay to which it should connect."""
        relay = self.relay
        if relay is not None and relay.node == candidate.node:
            # It has connected again.
            self.relay = candidate
            return None
        if relay is not None and relay.node != lost_relay:
            if candidate.capacity < relay.capacity * _BETTER:
                return relay.address
        self.direct[candidate.node] = candidate
        if relay is None:
            self._schedule_choice(Seconds(now + _CHOICE_DELAY))
        elif relay.node != lost_relay or len(self.direct) > _MAX_DIRECT:
            self._replace(relay, now)
        return None

    def remove(self, node: NodeId, now: Seconds) -> None:
        """Remove a gateway whose connection has ended."""
        self.direct.pop(node, None)
        if self.former is not None and self.former.node == node:
            self.former = None
        if self.relay is not None and self.relay.node == node:
            self.relay = None
        if self.relay is None and self.direct:
            self._schedule_choice(now)

    def choose(self, now: Seconds) -> Candidate | None:
        """Choose the relay if that is due; return it if it is a new one."""
        if self.choose_at is None or now < self.choose_at:
            return None
        self.choose_at = None
        if not self.direct:
            return None
        best = max(self.direct.values(), key=lambda other: other.order)
        self.relay = self.direct.pop(best.node)
        return best

    def pop_others(self) -> list[Candidate]:
        """Return the other gateways, which connect to the relay now."""
        others = list(self.direct.values())
        if self.former is not None:
            others.append(self.former)
        self.former = None
        self.direct.clear()
        return others

    def _replace(self, relay: Candidate, now: Seconds) -> None:
        """Have another gateway chosen; the relay becomes one of the others."""
        self.relay = None
        self.former = relay
        self._schedule_choice(now)

    def _schedule_choice(self, at: Seconds) -> None:
        if self.choose_at is None or at < self.choose_at:
            self.choose_at = at
