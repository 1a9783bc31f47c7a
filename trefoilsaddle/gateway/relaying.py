"""Serve the gateways that are connected to this one.

The controller answers those of its own region itself, and one relay in each
other region. A relay passes on what the controller tells it, and the reports of
the others to the controller. While it hears of no controller it reads the store
for all of them, so that the link between regions carries one copy.
"""

from collections.abc import Iterable
from dataclasses import replace

from trefoilsaddle.core.units import NodeId, RegionName, Seconds
from trefoilsaddle.gateway import updates
from trefoilsaddle.gateway.clocks import NO_STAMP
from trefoilsaddle.gateway.effects import (
    AnswerClock,
    Component,
    DropPeers,
    Effects,
    NameRelay,
    SendReport,
)
from trefoilsaddle.gateway.events import (
    ConfigurationWanted,
    Event,
    NewsReceived,
    PeerLinked,
    PeerLost,
    ReportReceived,
    TimerExpired,
    TimerKind,
    Topic,
    TopicRead,
)
from trefoilsaddle.gateway.loglines import log_event
from trefoilsaddle.gateway.peermessages import ClockAnswer, Report
from trefoilsaddle.gateway.peers import (
    is_told,
    leave_relay,
    request_configuration,
)
from trefoilsaddle.gateway.relays import (
    Candidate,
    RegionLinks,
    find_capacity,
)
from trefoilsaddle.gateway.state import Gateway
from trefoilsaddle.gateway.table import GatewayAddress


def handle_event(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Admit gateways, answer them, and tell them what has changed."""
    match event:
        case PeerLinked() | PeerLost():
            return _handle_connection(gateway, now, event)
        case ReportReceived():
            return _handle_report(gateway, now, event.report)
        case ConfigurationWanted():
            return updates.send_configuration(gateway, event.node)
        case TopicRead():
            return _tell_read(gateway, now, event.topic)
        case NewsReceived() | TimerExpired(kind=TimerKind.review):
            return _review_links(gateway, now)
    return []


def _review_links(gateway: Gateway, now: Seconds) -> Effects:
    left = leave_relay(gateway, now)
    chosen = _choose_relays(gateway, now)
    return [*left, *chosen, *_tell_followers(gateway, now)]


def _handle_connection(
    gateway: Gateway, now: Seconds, event: PeerLinked | PeerLost
) -> Effects:
    if isinstance(event, PeerLinked):
        return _handle_linked(gateway, now, event)
    return _handle_lost(gateway, now, event.node)


def _tell_read(gateway: Gateway, now: Seconds, topic: Topic) -> Effects:
    if gateway.is_relay() or topic == Topic.servers:
        # The followers read themselves unless they are told soon.
        gateway.connected.update_due_at = now
    return _tell_followers(gateway, now)


def _tell_followers(gateway: Gateway, now: Seconds) -> Effects:
    """Pass on what has changed; the controller does so with its review."""
    if not gateway.is_relay():
        return []
    full = updates.send_full_updates(gateway, now)
    return [*full, *updates.broadcast_changes(gateway, now)]


def _handle_linked(
    gateway: Gateway, now: Seconds, event: PeerLinked
) -> Effects:
    node = event.node
    if gateway.link.relay is not None and not gateway.control.leading:
        # A follower of a relay has no followers itself.
        return [DropPeers(node)]
    gateway.connected.nodes.add(node)
    answers = _answer_clock(gateway, now, event.report)
    links = _find_links(gateway, event.report)
    if links is None or event.report is None:
        return [*answers, *updates.queue_full_update(gateway, now, node)]
    relay = _admit(links, now, event.report)
    if relay is not None:
        return _move_to_relay(gateway, node, relay)
    if links.choose_at is not None:
        # Its relay, or its own part as one, is about to be known.
        gateway.connected.untold.add(node)
        return answers
    return [*answers, *updates.queue_full_update(gateway, now, node)]


def _find_links(gateway: Gateway, report: Report | None) -> RegionLinks | None:
    """Return the links to a gateway's region if they need a relay."""
    greeting = None if report is None else report.greeting
    if greeting is None or not gateway.control.leading:
        return None
    if greeting.region == gateway.options.region:
        return None
    return gateway.control.regions.setdefault(greeting.region, RegionLinks())


def _admit(
    links: RegionLinks, now: Seconds, report: Report
) -> GatewayAddress | None:
    greeting = report.greeting
    if greeting is None:
        return None
    candidate = Candidate(
        report.gateway,
        find_capacity(report.speed, greeting.link_rate),
        greeting.followers,
    )
    return links.admit(candidate, greeting.lost_relay, now)


def _move_to_relay(
    gateway: Gateway, node: NodeId, relay: GatewayAddress
) -> Effects:
    gateway.connected.remove(node)
    gateway.connected.untold.add(node)
    return [NameRelay(node, relay)]


def _handle_lost(gateway: Gateway, now: Seconds, node: NodeId) -> Effects:
    gateway.connected.remove(node)
    for links in gateway.control.regions.values():
        links.remove(node, now)
    return []


def _choose_relays(gateway: Gateway, now: Seconds) -> Effects:
    if not gateway.control.leading:
        return []
    effects: Effects = []
    for region, links in gateway.control.regions.items():
        if links.is_choice_due(now):
            effects.extend(_choose_relay(gateway, now, region, links))
    return effects


def _choose_relay(
    gateway: Gateway, now: Seconds, region: RegionName, links: RegionLinks
) -> Effects:
    relay = links.choose()
    if relay is None:
        # The few that do not reach the relay are told directly.
        return _tell_directly(gateway, now, links.direct)
    effects = _tell_directly(gateway, now, (relay.node,))
    for other in links.pop_others():
        effects.extend(_move_to_relay(gateway, other.node, relay.address))
    line = log_event(
        Component.peers,
        'relay chosen',
        region=region,
        relay=relay.node,
        capacity=round(relay.capacity, 2),
        followers=relay.followers,
    )
    return [*effects, line]


def _tell_directly(
    gateway: Gateway, now: Seconds, nodes: Iterable[NodeId]
) -> Effects:
    untold = gateway.connected.untold
    effects: Effects = []
    for node in untold.intersection(nodes):
        untold.discard(node)
        effects.extend(updates.queue_full_update(gateway, now, node))
    return effects


def _handle_report(gateway: Gateway, now: Seconds, report: Report) -> Effects:
    effects: Effects = []
    if report.gateway.node in gateway.connected.nodes:
        effects.extend(_answer_clock(gateway, now, report))
    if gateway.link.relay is not None or not _is_told_as_relay(gateway, now):
        return effects
    forwarded = replace(report, asked_at=NO_STAMP, greeting=None)
    asked = request_configuration(gateway, now, report)
    return [*effects, SendReport(forwarded), *asked]


def _is_told_as_relay(gateway: Gateway, now: Seconds) -> bool:
    return is_told(gateway, now) and not gateway.control.leading


def _answer_clock(
    gateway: Gateway, now: Seconds, report: Report | None
) -> Effects:
    if report is None or report.asked_at == NO_STAMP:
        return []
    answer = ClockAnswer(report.asked_at, now)
    return [AnswerClock(report.gateway.node, answer)]
