"""Drain availability zones at the operator's request.

The requests lie in the topic of the configuration.  A gateway reads them itself
or is told them in updates; what is known as of the later position in the topic
counts.  The servers of a drained zone are treated like draining ones, while
their own entries are kept for the end of the drain; see `ServerRegistry`.
"""

from trefoilsaddle.core.units import Seconds, ZoneName
from trefoilsaddle.gateway.effects import Component, CountMetric, Effects
from trefoilsaddle.gateway.events import (
    Event,
    NewsReceived,
    ReadVerdict,
    Topic,
    TopicRead,
)
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.peermessages import News
from trefoilsaddle.gateway.servers import ServerRegistry, ZoneServers
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.zones import DrainedZones, ZoneDrain

# The servers of a drained zone get no new work 5 s after the operator's request
# (`evacuate`).  A gateway that knows of it in time sends them requests for their
# keys for the shorter time while the controller moves these; one that learns of
# it late counts from when it last knew that the zone was in use.
_MAX_USE = Seconds(2.2)
_MAX_USE_SINCE_KNOWN = Seconds(4.5)
# Servers may be cold at the end of a drain.  Their entries say so within a
# heartbeat of 0.87 s, and reach a gateway within a further second.
_MAX_ENTRY_DELAY = Seconds(2)


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Apply the drained zones that were read or told."""
    match event:
        case TopicRead(
            topic=Topic.configuration, verdict=ReadVerdict.records
        ) if not gateway.is_outdated(event.era):
            zones = _find_read_zones(gateway, event)
            return _apply(gateway, now, zones, event.asked_at)
        case NewsReceived() if event.news.drained is not None:
            known_at = _find_told_at(gateway, now, event.news)
            return _apply(gateway, now, event.news.drained, known_at)
    return []


def _find_read_zones(gateway: Gateway, event: TopicRead) -> DrainedZones:
    zones: set[ZoneName] = set()
    if not event.whole:
        zones.update(gateway.drained.zones)
    for entry in event.entries:
        if not isinstance(entry, ZoneDrain):
            continue
        if entry.begins:
            zones.add(entry.zone)
        else:
            zones.discard(entry.zone)
    return DrainedZones(tuple(sorted(zones)), event.next_offset, event.era)


def _find_told_at(gateway: Gateway, now: Seconds, news: News) -> Seconds:
    """Return the time at which the sender had read what it tells."""
    built_at = gateway.link.clock.find_built_at(news.stamp, now)
    return Seconds(built_at - news.configuration_age)


def _apply(
    gateway: Gateway, now: Seconds, drained: DrainedZones, known_at: Seconds
) -> Effects:
    known = gateway.drained
    if drained.position < known.position:
        return []
    gateway.drained = drained
    registry = gateway.registry
    if drained.zones != known.zones:
        registry.zones.ends = _find_ends(registry.zones, drained, now)
    registry.zones.known_at = max(registry.zones.known_at or known_at, known_at)
    if drained.zones == known.zones:
        return []
    _drain_servers(registry, frozenset(drained.zones), now)
    line = log_event(
        Component.forwarding,
        'drained zones changed',
        zones=' '.join(drained.zones),
        before=' '.join(known.zones),
        offset=drained.offset,
        servers=len(registry.zones.declared),
    )
    return [line, CountMetric('drained_zones_changed')]


def _find_ends(
    zones: ZoneServers, drained: DrainedZones, now: Seconds
) -> dict[ZoneName, Seconds]:
    end = now
    if zones.known_at is not None:
        latest = zones.known_at + _MAX_USE_SINCE_KNOWN
        end = Seconds(min(now + _MAX_USE, latest))
    return {zone: zones.ends.get(zone, end) for zone in drained.zones}


def _drain_servers(
    registry: ServerRegistry, drained: frozenset[ZoneName], now: Seconds
) -> None:
    changed = registry.zones.drained ^ drained
    registry.zones.drained = drained
    for server in list(registry.servers.values()):
        if server.zone not in changed:
            continue
        registry.put(registry.zones.find_declared(server), now)
        if server.zone not in drained:
            registry.cold.extend(server.life, Seconds(now + _MAX_ENTRY_DELAY))
