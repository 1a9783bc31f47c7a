"""Plan a small deployment on loopback from the example files.

Each site has one entry process, two dispatchers and the backend servers of
its overlay.  There is one log service and one host list.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from types import MappingProxyType
from typing import Any, Final

import yaml

from standins.ports import LOOPBACK, pick_ports

EXAMPLES = Path(__file__).parent.parent / 'examples'
SITES = ('north', 'south')
SERVICES = ('catalogue', 'filings')

_SECRET = 'a secret for loopback only'
_DISPATCHERS_PER_SITE = 2
_HOST = 'host'
_PORT = 'port'
_SERVERS = 'servers'

# In seconds. Generous, so that a process that is slow because the machine is
# busy is not taken for lost.
_PACE = MappingProxyType({'probe_timeout': 1, 'suspicion_timeout': 3})

# Parsed YAML mapping.
Document = dict[str, Any]


class StandInName:
    """Names of the stand-ins that exist once per deployment."""

    log: Final = 'log'
    hosts: Final = 'hosts'


@dataclass(frozen=True, slots=True)
class ServerPlan:
    """Name, port and kind of a backend server."""

    name: str
    port: int
    checks_grants: bool


@dataclass(frozen=True, slots=True)
class NodePlan:
    """Name, site and ports of an entry process or dispatcher."""

    name: str
    site: str
    port: int
    # Port for callers of an entry process; None for a dispatcher.
    callers: int | None = None

    def describe(self) -> Document:
        """Return the peer entry for this process in other settings files."""
        return {
            'node': self.name,
            'zone': f'{self.site}-1',
            'dispatches': self.callers is None,
            **_write_address(self.port),
        }


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Processes of a deployment and their ports."""

    log: int
    hosts: int
    nodes: tuple[NodePlan, ...]
    # Overlays of the example files, with the ports of this run, by site.
    overlays: dict[str, Document]

    @property
    def entries(self) -> list[NodePlan]:
        """Return the entry processes."""
        return [node for node in self.nodes if node.callers is not None]

    @property
    def dispatchers(self) -> list[NodePlan]:
        """Return the dispatchers."""
        return [node for node in self.nodes if node.callers is None]

    @property
    def servers(self) -> list[ServerPlan]:
        """Return the backend servers of all sites."""
        return [
            ServerPlan(name, server[_PORT], server.get('checks_grants', False))
            for overlay in self.overlays.values()
            for name, server in overlay[_SERVERS].items()
        ]

    def find_node(self, name: str) -> NodePlan:
        """Return the entry process or dispatcher with the given name."""
        return next(node for node in self.nodes if node.name == name)

    def write_node_settings(self, node: NodePlan, folder: Path) -> Path:
        """Write the settings file of an entry process or dispatcher."""
        settings = {
            **self._common_settings(),
            'node': node.name,
            'site': node.site,
            'region': f'region-{node.site}',
            'zone': f'{node.site}-1',
            'listen': _write_address(node.port),
            'peers': _describe([peer for peer in self.nodes if peer != node]),
            'pace': dict(_PACE),
        }
        if node.callers is not None:
            settings['callers'] = _write_address(node.callers)
        return _write_file(folder / f'{node.name}.yaml', settings)

    def write_operator_settings(self, folder: Path) -> Path:
        """Write the settings file for the operators' commands."""
        settings = {**self._common_settings(), 'peers': _describe(self.nodes)}
        return _write_file(folder / 'operator.yaml', settings)

    def write_overlay(self, site: str, folder: Path) -> Path:
        """Write a site's overlay with the ports of this run."""
        return _write_file(
            folder / f'overlay-{site}.yaml',
            self.overlays[site],
        )

    def _common_settings(self) -> Document:
        return {
            'secret': _SECRET,
            'platform': {
                StandInName.log: _write_address(self.log),
                StandInName.hosts: _write_address(self.hosts),
            },
        }


def plan_fleet(sites: Sequence[str] = SITES) -> FleetPlan:
    """Plan the processes of some example sites, each with a free port."""
    overlays = {site: _read_overlay(site) for site in sites}
    for overlay in overlays.values():
        servers = overlay[_SERVERS].values()
        ports = pick_ports(len(servers))
        for server, port in zip(servers, ports, strict=True):
            server[_PORT] = port
    log, hosts = pick_ports(2)
    nodes = [node for site in sites for node in _plan_nodes(site)]
    return FleetPlan(log, hosts, tuple(nodes), overlays)


def _plan_nodes(site: str) -> list[NodePlan]:
    peers, callers, *others = pick_ports(_DISPATCHERS_PER_SITE + 2)
    dispatchers = [
        NodePlan(f'{site}-dispatcher-{position}', site, port)
        for position, port in enumerate(others, start=1)
    ]
    return [NodePlan(f'{site}-entry-1', site, peers, callers), *dispatchers]


def _read_overlay(site: str) -> Document:
    text = (EXAMPLES / f'overlay-{site}.yaml').read_text()
    overlay: Document = yaml.safe_load(text)
    return overlay


def _write_address(port: int) -> Document:
    return {_HOST: LOOPBACK, _PORT: port}


def _describe(nodes: Sequence[NodePlan]) -> list[Document]:
    return [node.describe() for node in nodes]


def _write_file(path: Path, document: Document) -> Path:
    path.write_text(yaml.safe_dump(document))
    return path
