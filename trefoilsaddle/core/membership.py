"""Detect lost processes: probes, suspicion, rumours."""

from dataclasses import replace
from functools import singledispatch

from trefoilsaddle.core.effects import Effects, ListHosts, SetTimer
from trefoilsaddle.core.events import (
    Event,
    HostsListed,
    HostState,
    MessageReceived,
    PeerLost,
    Started,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.messages import Health, Rumour
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.options import Peer
from trefoilsaddle.core.units import Moment, NodeId, ServerId, ZoneName

_HOST_TIMER = TimerKey(TimerKind.host_list)


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Take one event for the list of processes."""
    return _take_event(event, node, moment)


def health_of(node: Node, subject: NodeId) -> Health:
    """Return how a process is thought to fare."""
    rumour = node.membership.processes.get(subject)
    return Health.dead if rumour is None else rumour.health


def live_dispatchers(node: Node, zone: ZoneName | None) -> list[NodeId]:
    """Return the dispatchers that can take work, of a zone or of all."""
    return [
        rumour.node
        for rumour in node.membership.processes.values()
        if rumour.dispatches
        and rumour.health is Health.alive
        and zone in {None, rumour.zone}
    ]


def live_processes(node: Node, zone: ZoneName | None) -> list[NodeId]:
    """Return the other processes alive, of a zone or of all."""
    return [
        rumour.node
        for rumour in node.membership.processes.values()
        if rumour.node != node.options.node
        and rumour.health is Health.alive
        and zone in {None, rumour.zone}
    ]


@singledispatch
def _take_event(event: Event, node: Node, moment: Moment) -> Effects:
    return []


@_take_event.register
def _take_start(event: Started, node: Node, moment: Moment) -> Effects:
    options = node.options
    own = Peer(
        node=options.node,
        zone=options.zone,
        host=options.host,
        port=options.port,
        dispatches=options.dispatches,
    )
    for peer in (*options.peers, own):
        node.membership.processes[peer.node] = _introduce(peer)
    return [ListHosts(), SetTimer(_HOST_TIMER, options.host_list_interval)]


@_take_event.register
def _take_timer(event: TimerExpired, node: Node, moment: Moment) -> Effects:
    if event.timer != _HOST_TIMER:
        return []
    return [
        ListHosts(),
        SetTimer(_HOST_TIMER, node.options.host_list_interval),
    ]


@_take_event.register
def _take_hosts(event: HostsListed, node: Node, moment: Moment) -> Effects:
    leaving = {
        ServerId(host.name)
        for host in event.hosts
        if host.state is HostState.leaving
    }
    if leaving != node.membership.leaving_servers:
        node.membership.leaving_servers = leaving
        node.reviewed = True
    return []


@_take_event.register
def _take_loss(event: PeerLost, node: Node, moment: Moment) -> Effects:
    _set_health(node, event.node, Health.dead)
    return []


@_take_event.register
def _take_message(
    event: MessageReceived,
    node: Node,
    moment: Moment,
) -> Effects:
    _set_health(node, event.sender, Health.alive)
    return []


def _set_health(node: Node, subject: NodeId, health: Health) -> None:
    rumour = node.membership.processes.get(subject)
    if rumour is None or rumour.health is health:
        return
    node.membership.processes[subject] = replace(rumour, health=health)
    node.reviewed = True


def _introduce(peer: Peer) -> Rumour:
    return Rumour(
        node=peer.node,
        zone=peer.zone,
        host=peer.host,
        port=peer.port,
        dispatches=peer.dispatches,
        health=Health.alive,
        incarnation=0,
    )
