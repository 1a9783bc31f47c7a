"""Send this gateway's reports to the controller at a fixed interval."""

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway.controller import handle_report
from trefoilsaddle.gateway.effects import Effects, SetTimer
from trefoilsaddle.gateway.events import Event, TimerExpired, TimerKind
from trefoilsaddle.gateway.peers import build_report, send_report
from trefoilsaddle.gateway.servers import ServerIncarnation
from trefoilsaddle.gateway.state import Gateway


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Send the periodic report, or apply it if this is the controller."""
    if event != TimerExpired(TimerKind.report):
        return []
    report = build_report(gateway, now)
    pause = gateway.options.report_interval
    effects: Effects = [SetTimer(TimerKind.report, pause)]
    known = _list_incarnations(gateway)
    gateway.pools.remove_gone(known)
    gateway.control.suspicions.remove_gone(known)
    if gateway.control.leading:
        return [*effects, *handle_report(gateway, now, report)]
    return [*effects, *send_report(gateway, report)]


def _list_incarnations(gateway: Gateway) -> set[ServerIncarnation]:
    return {server.life for server in gateway.registry.servers.values()}
