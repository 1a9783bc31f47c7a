"""Choose the gateways that relay updates to the other regions.

What is for all gateways of a region crosses the link to it once: one of them, the
relay, is connected to the controller, and the others are connected to the relay.
A gateway that has lost the relay is connected to the controller itself until
another one is named.
"""

from collections.abc import Collection
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


def _find_best(candidates: Collection[Candidate]) -> Candidate:
    """Return a strong candidate, one that is a relay already if possible."""
    most = max(candidate.capacity for candidate in candidates)
    strong = [
        candidate
        for candidate in candidates
        if candidate.capacity * _BETTER > most
    ]
    return max(
        strong,
        key=lambda other: (other.followers, other.capacity, other.node),
    )


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
        if relay is not None and relay.node != lost_relay:
            self._replace(relay, now)
        else:
            # Others that have lost it come as well.
            self._schedule_choice(Seconds(now + _CHOICE_DELAY))
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

    def is_choice_due(self, now: Seconds) -> bool:
        """Return whether the relay is to be chosen now."""
        return self.choose_at is not None and now >= self.choose_at

    def choose(self) -> Candidate | None:
        """Choose the relay; return it if it is another one."""
        self.choose_at = None
        relay = self.relay
        if relay is not None and len(self.direct) <= _MAX_DIRECT:
            return None
        if not self.direct:
            self.relay = self.former
            self.former = None
            return None
        self.former = relay or self.former
        best = _find_best(self.direct.values())
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
