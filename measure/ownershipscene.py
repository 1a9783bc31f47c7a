"""Small sites for ownership simulations."""

import json
from dataclasses import dataclass, replace

from trefoilsaddle.core.options import Options, Peer
from trefoilsaddle.core.records import Publication
from trefoilsaddle.core.units import (
    NodeId,
    RecordId,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    SiteName,
    Version,
    ZoneName,
)

SITE = SiteName('site')
SERVICE = ServiceName('intake')


@dataclass(frozen=True, slots=True)
class Scene:
    """Sizes, limits and kind of the site in one simulation."""

    seed: int = 0
    zones: int = 1
    # Number of dispatchers, and of servers, in each zone.
    dispatchers: int = 3
    servers: int = 3
    shards: int = 6
    checks_grants: bool = True
    lease: float = 1.5
    grant: float = 1.5
    drift: float = 0.01
    hold: float | None = None
    # Duration of a request at a server, and its longest deadline, in seconds.
    service_time: float = 0.01
    deadline: float = 0.5
    # Interval between two requests for each shard, in seconds.
    pace: float = 0.02

    @property
    def zone_names(self) -> tuple[ZoneName, ...]:
        """Return the names of the zones."""
        return tuple(ZoneName(f'z{number}') for number in range(self.zones))

    @property
    def peers(self) -> tuple[Peer, ...]:
        """Return all dispatchers."""
        return tuple(
            Peer(
                node=NodeId(f'{zone}-d{number}'),
                zone=zone,
                host='127.0.0.1',
                port=7000 + number,
                dispatches=True,
            )
            for zone in self.zone_names
            for number in range(self.dispatchers)
        )

    @property
    def server_ids(self) -> tuple[ServerId, ...]:
        """Return all servers."""
        return tuple(
            ServerId(f'{zone}-s{number}')
            for zone in self.zone_names
            for number in range(self.servers)
        )

    @property
    def shard_ids(self) -> tuple[ShardId, ...]:
        """Return all shards."""
        return tuple(
            ShardId(SERVICE, ShardNumber(number))
            for number in range(self.shards)
        )

    def make_options(self, index: int, run: int = 0) -> Options:
        """Build the options of a dispatcher, which is renamed on a restart."""
        peer = self.peers[index]
        node = NodeId(f'{peer.node}-{run}') if run else peer.node
        return Options(
            node=node,
            zone=peer.zone,
            region=RegionName('region'),
            site=SITE,
            host=peer.host,
            port=peer.port,
            dispatches=True,
            peers=tuple(
                other for other in self.peers if other.node != peer.node
            ),
            seed=(self.seed * 100 + index) * 100 + run,
            placement_interval=Seconds(10**6),
        )

    def publications(self) -> tuple[Publication, ...]:
        """Build the publications of the base file and the overlay."""
        return (
            Publication(RecordId('base'), Version(0), None, self._base()),
            Publication(RecordId('site'), Version(0), SITE, self.overlay()),
        )

    def overlay(
        self,
        leaving: tuple[ServerId, ...] = (),
        lost: tuple[ZoneName, ...] = (),
    ) -> str:
        """Write the overlay with given leaving servers and lost zones."""
        servers = {
            server: {
                'service': SERVICE,
                'zone': server.partition('-')[0],
                'host': '127.0.0.1',
                'port': 9000,
                'checks_grants': self.checks_grants,
                'leaving': server in leaving,
            }
            for server in self.server_ids
        }
        return json.dumps(
            {
                'region': 'region',
                'zones': self.zone_names,
                'servers': servers,
                'lost_zones': lost,
            }
        )

    def republish(
        self,
        version: Version,
        overlay: str,
    ) -> Publication:
        """Build a publication that replaces the overlay."""
        name = '-'.join(('site', str(version)))
        return Publication(RecordId(name), version, SITE, overlay)

    def shorten(self, lease: float, hold: float | None = None) -> Publication:
        """Build a publication of a base file with shorter durations."""
        shorter = replace(self, lease=lease, grant=lease, hold=hold)
        name = RecordId('base-shorter')
        return Publication(name, Version(1), None, shorter._base())

    def _base(self) -> str:
        return json.dumps(
            {
                'ranks': [{'name': 'urgent', 'target': 1}],
                'members': ['north'],
                'services': {
                    SERVICE: {
                        'shards': self.shards,
                        'longest_deadline': self.deadline,
                        'isolation_hold': self.hold,
                    },
                },
                'limits': {
                    'lease_duration': self.lease,
                    'grant_duration': self.grant,
                    'clock_drift': self.drift,
                },
            }
        )
