"""Send this gateway's reports to the controller at regular intervals."""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.admitting import update_demands
from trefoilsaddle.gateway.controller import handle_report
from trefoilsaddle.gateway.effects import Effects, SetTimer
from trefoilsaddle.gateway.events import Event, TimerExpired, TimerKind
from trefoilsaddle.gateway.pacing import find_report_interval
from trefoilsaddle.gateway.peers import build_report, send_report
from trefoilsaddle.gateway.state import Gateway


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Send the periodic report, or apply it if this is the controller."""
    if event != TimerExpired(TimerKind.report):
        return []
    report = build_report(gateway, now)
    update_demands(gateway)
    pause = find_report_interval(gateway)
    effects: Effects = [SetTimer(TimerKind.report, pause)]
    _remove_gone(gateway)
    if gateway.control.leading:
        return [*effects, *handle_report(gateway, now, report)]
    return [*effects, *send_report(gateway, report)]


def _remove_gone(gateway: Gateway) -> None:
    """Remove what is known of servers that have left since the last call."""
    if gateway.departures_handled == gateway.registry.departures:
        return
    known = {server.life for server in gateway.registry.servers.values()}
    if gateway.pools.remove_gone(known):
        gateway.departures_handled = gateway.registry.departures
    gateway.limits.remove_gone(known)
    gateway.cold_servers.remove_gone(known)
    gateway.work.remove_gone(known)
    gateway.control.suspicions.remove_gone(known)
