"""Provide the state that a gateway tells those connected to it.

The controller tells its own state. A relay tells the controller's, as far as it
has been told itself, and of the store's topics what it has read or been told,
whichever is newer.
"""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from trefoilsaddle.core.units import NodeId, Seconds, ServerId, ServiceName
from trefoilsaddle.gateway.control import KeyedControl
from trefoilsaddle.gateway.events import Topic
from trefoilsaddle.gateway.peermessages import OwnerNews, ServerLoad
from trefoilsaddle.gateway.rounding import round_load, round_time
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.state import Gateway, ServiceOwners
from trefoilsaddle.gateway.table import GatewayAddress

# Number of standbys; as many gateways may be lost with the controller before
# slower ones join the election.
_STANDBYS = 4
# Minimum speed of a standby as a fraction of the fastest gateway's: the store
# may elect any of them.
_MIN_SPEED_FRACTION = 0.5
# A new controller knows the speeds of most gateways after this time.
_SPEEDS_KNOWN_AFTER = Seconds(2)


@dataclass(frozen=True, slots=True)
class Origin:
    """Name the controller whose state is told, and its term."""

    controller: GatewayAddress
    term: int
    # Age of the controller's state.
    age: Seconds
    # Number of gateways that report to the controller.
    reporting: int


class StateSource(ABC):
    """Provide the parts of an update."""

    def __init__(self, gateway: Gateway, now: Seconds) -> None:
        """Provide the state of a gateway as of now."""
        self.gateway = gateway
        self.now = now

    @abstractmethod
    def find_origin(self) -> Origin | None:
        """Return whose state this is, or None if there is none to tell."""

    @abstractmethod
    def list_owners(self) -> dict[ServiceName, int]:
        """Return the revision of each service's owners."""

    @abstractmethod
    def describe_owners(self, service: ServiceName) -> OwnerNews:
        """Return the owners of a service's keys."""

    @abstractmethod
    def list_loads(self) -> tuple[ServerLoad, ...]:
        """Return the loads of all servers."""

    @abstractmethod
    def list_gateways(self) -> tuple[GatewayAddress, ...]:
        """Return the gateways that report to the controller."""

    @abstractmethod
    def list_standbys(self) -> tuple[NodeId, ...]:
        """Return the gateways that should remain group members."""

    @abstractmethod
    def list_deferred(self) -> frozenset[ServerId]:
        """Return the servers whose entries may only have lapsed."""

    def list_servers(self) -> dict[ServerId, Server]:
        """Return the servers whose entries have not lapsed, as they wrote."""
        deferred = self.list_deferred()
        registry = self.gateway.registry
        return {
            name: registry.zones.find_declared(server)
            for name, server in registry.servers.items()
            if name not in deferred
        }

    def find_age(self, topic: Topic) -> Seconds:
        """Return the age of what is known of a topic of the store."""
        read_at = self.find_read_at(topic)
        if read_at is None:
            return round_time(self.now)
        return round_time(Seconds(self.now - read_at))

    def find_read_at(self, topic: Topic) -> Seconds | None:
        """Return the time as of which a topic is known."""
        return self.gateway.topics[topic].read_at


class ControllerSource(StateSource):
    """Provide the controller's own state."""

    def find_origin(self) -> Origin | None:
        """Return this controller."""
        control = self.gateway.control
        return Origin(
            self.gateway.own_address(),
            control.term,
            Seconds(0),
            max(len(control.reporters), 1),
        )

    def list_owners(self) -> dict[ServiceName, int]:
        """Return the revision of each service's partitions."""
        return {
            service: keyed.partitions.revision
            for service, keyed in self.gateway.control.keyed.items()
        }

    def describe_owners(self, service: ServiceName) -> OwnerNews:
        """Return the owners by the partitions."""
        return _describe_keyed(self.gateway.control.keyed[service])

    def list_loads(self) -> tuple[ServerLoad, ...]:
        """Return the sums of the gateways' reports."""
        gateway = self.gateway
        listed: list[ServerLoad] = []
        for service, loads in gateway.control.loads.items():
            mean = loads.mean_time()
            for server in gateway.registry.list_service(service):
                incarnation = server.life
                time = loads.service_time(incarnation, mean)
                busy = loads.busy(incarnation, self.now)
                load = ServerLoad(
                    incarnation.tag, round_load(busy), round_time(time)
                )
                listed.append(load)
        return tuple(listed)

    def list_gateways(self) -> tuple[GatewayAddress, ...]:
        """Return the gateways that have reported lately."""
        reporters = self.gateway.control.reporters
        return tuple(
            peer
            for node, peer in self.gateway.link.known.items()
            if node in reporters
        )

    def list_standbys(self) -> tuple[NodeId, ...]:
        """Return the fastest gateways once their speeds are known."""
        gateway = self.gateway
        control = gateway.control
        if self.now - control.leading_since < _SPEEDS_KNOWN_AFTER:
            return ()
        speeds = gateway.link.speeds
        nodes = control.reporters.keys() & speeds.keys()
        fastest = max((speeds[node] for node in nodes), default=0)
        least = fastest * _MIN_SPEED_FRACTION
        fast_enough = [node for node in nodes if speeds[node] >= least]
        ordered = sorted(fast_enough, key=lambda node: (-speeds[node], node))
        own = gateway.options.node
        chosen = [node for node in ordered if node != own][:_STANDBYS]
        return own, *chosen

    def list_deferred(self) -> frozenset[ServerId]:
        """Return the servers whose removal is deferred here."""
        return frozenset(self.gateway.registry.deferred_removals)


class RelaySource(StateSource):
    """Provide the state that the controller has told this relay."""

    def find_origin(self) -> Origin | None:
        """Return the controller that is known here, if any.

        One that has told nothing yet is named with the greatest age, so that
        the followers learn what this relay reads from the store meanwhile.
        """
        link = self.gateway.link
        if not link.was_told or self.find_read_at(Topic.servers) is None:
            # A restarted controller would vouch for its last incarnation.
            return None
        if link.address in {None, self.gateway.own_address()}:
            return None
        told_at = Seconds(0) if link.news_at is None else link.news_at
        age = Seconds(self.now - told_at)
        return Origin(link.address, link.term, age, link.gateways)

    def list_owners(self) -> dict[ServiceName, int]:
        """Return the revision of each service's owners."""
        return {
            service: known.revision
            for service, known in self.gateway.owners.items()
        }

    def describe_owners(self, service: ServiceName) -> OwnerNews:
        """Return the owners that are known here."""
        return _describe_known(service, self.gateway.owners[service])

    def list_loads(self) -> tuple[ServerLoad, ...]:
        """Return the loads that were told."""
        by_tag = self.gateway.registry.by_tag
        return tuple(
            load
            for tag, load in self.gateway.link.loads.items()
            if tag in by_tag
        )

    def list_gateways(self) -> tuple[GatewayAddress, ...]:
        """Return the gateways that the controller has listed."""
        link = self.gateway.link
        return tuple(link.known[node] for node in link.members)

    def list_standbys(self) -> tuple[NodeId, ...]:
        """Return the standbys that the controller has named."""
        return self.gateway.link.standbys

    def list_deferred(self) -> frozenset[ServerId]:
        """Return the servers whose removal the controller defers."""
        deferred = self.gateway.registry.deferred_removals
        return self.gateway.link.deferred | deferred.keys()

    def find_read_at(self, topic: Topic) -> Seconds | None:
        """Return the time of the controller's read or of an own one."""
        link = self.gateway.link
        told = link.configuration_read_at
        if topic == Topic.servers:
            told = link.servers_read_at
        own = self.gateway.topics[topic].read_at
        known = [moment for moment in (told, own) if moment is not None]
        return max(known, default=None)


def find_source(gateway: Gateway, now: Seconds) -> StateSource:
    """Return the source of what this gateway tells."""
    if gateway.control.leading:
        return ControllerSource(gateway, now)
    return RelaySource(gateway, now)


def _describe_keyed(keyed: KeyedControl) -> OwnerNews:
    return OwnerNews(
        keyed.service,
        keyed.position.offset,
        keyed.partitions.list_entries(),
        keyed.position.era,
    )


def _describe_known(service: ServiceName, known: ServiceOwners) -> OwnerNews:
    return OwnerNews(
        service,
        known.position.offset,
        known.owners.entries,
        known.position.era,
    )
