"""Start a gateway, report its readiness, and stop it gracefully."""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.effects import (
    Component,
    Effects,
    ExitProcess,
    SetReady,
)
from trefoilsaddle.gateway.events import (
    Event,
    Started,
    StopRequested,
    TimerExpired,
    TimerKind,
    Topic,
)
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.state import Gateway

# The platform checks readiness once a second and removes a gateway after two
# failed checks; a new connection may be in flight then.
_REMOVAL_TIME = Seconds(3.2)
# Time reserved for the last answers before the process is killed.
_FINAL_ANSWERS_TIME = Seconds(0.4)


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Handle start, readiness and shutdown."""
    match event:
        case Started():
            gateway.reported_at = now
            options = gateway.options
            line = log_event(
                Component.lifecycle,
                'started',
                node=options.node,
                run=options.run,
                zone=options.zone,
            )
            return [line]
        case StopRequested():
            return _stop(gateway, now)
        case TimerExpired(kind=TimerKind.review):
            return _update_readiness(gateway, now)
    return []


def is_refusing(gateway: Gateway, now: Seconds) -> bool:
    """Return whether new requests are refused because they could be cut off."""
    since = gateway.stopping_since
    return since is not None and now - since >= _REMOVAL_TIME


def find_exit_time(gateway: Gateway) -> Seconds | None:
    """Return when a stopping gateway exits at the latest."""
    since = gateway.stopping_since
    if since is None:
        return None
    limit = gateway.options.stop_timeout - _FINAL_ANSWERS_TIME
    return Seconds(since + limit)


def is_prepared(gateway: Gateway) -> bool:
    """Return whether the gateway knows enough to serve callers."""
    configuration = gateway.configuration
    if configuration is None:
        return False
    read = gateway.topics[Topic.servers].next_offset is not None
    if not (read or gateway.link.complete):
        return False
    return all(
        rules.name in gateway.owners
        for rules in configuration.services.values()
        if rules.keyed
    )


def _stop(gateway: Gateway, now: Seconds) -> Effects:
    if gateway.stopping_since is not None:
        return []
    gateway.stopping_since = now
    gateway.ready = False
    line = log_event(
        Component.lifecycle,
        'stopping',
        reason='shutdown requested',
        open_requests=len(gateway.calls),
    )
    return [line, SetReady(ready=False)]


def _update_readiness(gateway: Gateway, now: Seconds) -> Effects:
    since = gateway.stopping_since
    if since is not None:
        return _check_stop(gateway, now, since)
    if gateway.ready or not is_prepared(gateway):
        return []
    gateway.ready = True
    line = log_event(Component.lifecycle, 'ready', version=gateway.version)
    return [line, SetReady(ready=True)]


def _check_stop(gateway: Gateway, now: Seconds, since: Seconds) -> Effects:
    elapsed = now - since
    if elapsed < _REMOVAL_TIME:
        return []
    limit = gateway.options.stop_timeout - _FINAL_ANSWERS_TIME
    if gateway.calls and elapsed < limit:
        return []
    line = log_event(
        Component.lifecycle,
        'stopped',
        open_requests=len(gateway.calls),
    )
    return [line, ExitProcess()]
