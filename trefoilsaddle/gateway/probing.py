"""Probe the health of servers that may turn cold, as the controller.

A server states in its health responses for how long it stays cold, also while
its entries cannot be read.  All gateways are told with its entry.
"""

from collections.abc import Iterator
from dataclasses import replace

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import (
    Component,
    CountMetric,
    Effects,
    ProbeServer,
)
from trefoilsaddle.gateway.events import (
    Event,
    ServerProbed,
    TimerExpired,
    TimerKind,
)
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.servers import Server
from trefoilsaddle.gateway.state import Gateway

# Longer warm-ups than known are told from this difference on: the entries state
# the same with other roundings and delays.
_MIN_STEP = Seconds(0.5)


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Probe the servers that are due, and apply what they state."""
    match event:
        case TimerExpired(kind=TimerKind.review):
            return _probe_due(gateway, now)
        case ServerProbed() if gateway.control.leading:
            return _record_state(gateway, now, event)
    return []


def _probe_due(gateway: Gateway, now: Seconds) -> Effects:
    if not gateway.control.leading:
        gateway.probes.due.clear()
        return []
    due = gateway.probes.pop_due(_list_probed(gateway), now)
    return [ProbeServer(server, _find_path(gateway, server)) for server in due]


def _list_probed(gateway: Gateway) -> Iterator[Server]:
    """Yield the servers that state their health and whose cold rate is known."""
    configuration = gateway.configuration
    if configuration is None:
        return
    for rules in configuration.services.values():
        if rules.cold_rate and rules.health_path:
            yield from gateway.registry.list_service(rules.name)


def _find_path(gateway: Gateway, server: Server) -> str:
    configuration = gateway.configuration
    if configuration is None:
        return ''
    return configuration.services[server.service].health_path


def _record_state(
    gateway: Gateway, now: Seconds, event: ServerProbed
) -> Effects:
    registry = gateway.registry
    known = registry.find_incarnation(event.incarnation)
    if known is None or event.warm_up_left <= 0:
        return []
    until = now + event.warm_up_left
    if until < registry.cold.until.get(known.life, now) + _MIN_STEP:
        return []
    registry.cold.extend(known.life, Seconds(until))
    if known.life.server not in registry.deferred_removals:
        # Only its own entry shows that the server is registered still.
        entry = registry.zones.find_declared(known)
        registry.put(replace(entry, warm_up_left=event.warm_up_left), now)
    line = log_event(
        Component.forwarding,
        'server says that it is cold',
        server=known.life.server,
        cold_for=event.warm_up_left,
    )
    return [line, CountMetric('cold_by_probe')]
