"""Provide the base file, overlays and options shared by several tests."""

import json
from dataclasses import dataclass

from measure.fleet import Fleet
from trefoilsaddle.core.options import Options, Peer
from trefoilsaddle.core.records import Publication
from trefoilsaddle.core.units import (
    NodeId,
    RecordId,
    RegionName,
    SiteName,
    Version,
    ZoneName,
)

BASE = """
ranks:
  - {name: urgent, target: 0.05, worth: 10, share: 0.2}
  - {name: lookup, target: 0.1, worth: 3, share: 0.2}
  - {name: intake, target: 2, worth: 1, share: 0.1}
services:
  catalogue: {shards: 64}
members: [kushiro]
"""


@dataclass(frozen=True, slots=True)
class SiteSketch:
    """Describe a site, its zones and the number of servers in each zone."""

    name: str
    region: str
    zones: tuple[str, ...]
    servers: int


SITES = (
    SiteSketch('north', 'north', ('north-a', 'north-b'), 2),
    SiteSketch('south', 'south', ('south-a', 'south-b'), 2),
)
ZONES = tuple((site, zone) for site in SITES for zone in site.zones)


def describe_overlay(site: SiteSketch, port: int = 9000) -> str:
    """Return the overlay document of a site."""
    servers = {
        f'{zone}-{number}': {
            'service': 'catalogue',
            'zone': zone,
            'host': '127.0.0.1',
            'port': port + number,
            'checks_grants': True,
        }
        for zone in site.zones
        for number in range(site.servers)
    }
    return json.dumps(
        {'region': site.region, 'zones': site.zones, 'servers': servers},
    )


def make_peer(index: int) -> Peer:
    """Describe one dispatcher; indexes are spread over the zones in turn."""
    _, zone = ZONES[index % len(ZONES)]
    return Peer(
        node=NodeId(f'node-{index}'),
        zone=ZoneName(zone),
        host='127.0.0.1',
        port=7000 + index,
        dispatches=True,
    )


def make_options(index: int, count: int, seed: int = 0) -> Options:
    """Build the options of one of several dispatchers."""
    peer = make_peer(index)
    site, _ = ZONES[index % len(ZONES)]
    return Options(
        node=peer.node,
        zone=peer.zone,
        region=RegionName(site.region),
        site=SiteName(site.name),
        host=peer.host,
        port=peer.port,
        dispatches=True,
        peers=tuple(
            make_peer(other) for other in range(count) if other != index
        ),
        seed=seed * 1000 + index,
    )


def make_publication(
    name: str,
    expected: int,
    site: str | None,
    document: str,
) -> Publication:
    """Build a publication of a base file or, with a site, of an overlay."""
    return Publication(
        record_id=RecordId(name),
        expected=Version(expected),
        site=None if site is None else SiteName(site),
        document=document,
    )


def publish_sites(fleet: Fleet) -> None:
    """Append the base file and every overlay to the fleet's log."""
    base = make_publication('publish-base', 0, None, BASE)
    fleet.log.append((base,))
    for site in SITES:
        overlay = make_publication(
            f'publish-{site.name}',
            0,
            site.name,
            describe_overlay(site),
        )
        fleet.log.append((overlay,))
