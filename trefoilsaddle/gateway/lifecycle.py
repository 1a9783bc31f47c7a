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
# Part of it in which they may be written.
_WRITING_TIME = Seconds(0.2)
_MIN_WRITING_TIME = Seconds(0.05)


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
        case StopRequested(sent_after=sent_after):
            return _stop(gateway, now, sent_after)
        case TimerExpired(kind=TimerKind.review):
            return _update_readiness(gateway, now)
    return []


def is_refusing(gateway: Gateway, now: Seconds) -> bool:
    """Return whether new requests are refused because they could be cut off."""
    since = gateway.stopping_since
    return since is not None and now - since >= _REMOVAL_TIME


def find_exit_time(gateway: Gateway) -> Seconds | None:
    """Return when a stopping gateway exits at the latest."""
    sent_after = gateway.stop_sent_after
    if sent_after is None:
        return None
    limit = gateway.options.stop_timeout - _FINAL_ANSWERS_TIME
    return Seconds(sent_after + limit)


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


def _stop(
    gateway: Gateway, now: Seconds, sent_after: Seconds | None
) -> Effects:
    if gateway.stopping_since is not None:
        return []
    gateway.stopping_since = now
    # The platform counts from the signal, which a busy loop handles later.
    gateway.stop_sent_after = now if sent_after is None else sent_after
    gateway.ready = False
    line = log_event(
        Component.lifecycle,
        'stopping',
        reason='shutdown requested',
        open_requests=len(gateway.calls),
        signal_age=round(now - gateway.stop_sent_after, 3),
    )
    return [line, SetReady(ready=False)]


def _update_readiness(gateway: Gateway, now: Seconds) -> Effects:
    exit_time = find_exit_time(gateway)
    if exit_time is not None:
        return _check_stop(gateway, now, exit_time)
    if gateway.ready or not is_prepared(gateway):
        return []
    gateway.ready = True
    line = log_event(Component.lifecycle, 'ready', version=gateway.version)
    return [line, SetReady(ready=True)]


def _check_stop(gateway: Gateway, now: Seconds, exit_time: Seconds) -> Effects:
    if gateway.stopped:
        return []
    is_needed = gateway.calls or not is_refusing(gateway, now)
    if is_needed and now < exit_time:
        return []
    gateway.stopped = True
    line = log_event(
        Component.lifecycle,
        'stopped',
        open_requests=len(gateway.calls),
    )
    left = Seconds(exit_time + _WRITING_TIME - now)
    return [line, ExitProcess(max(left, _MIN_WRITING_TIME))]
