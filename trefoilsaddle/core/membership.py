"""Detect lost processes by probes, suspicion and membership updates."""

from functools import singledispatch

from trefoilsaddle.core.effects import (
    Effects,
    ListHosts,
    SendMessage,
    SetTimer,
)
from trefoilsaddle.core.events import (
    Event,
    HostsListed,
    HostState,
    MessageReceived,
    PeerLost,
    Started,
    StopRequested,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.loads import record_loads
from trefoilsaddle.core.messages import (
    Ack,
    Health,
    Message,
    Ping,
    PingRequest,
    Rumour,
)
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.options import Peer
from trefoilsaddle.core.probes import (
    PROBE_TIMEOUT_TIMER,
    PROBE_TIMER,
    begin_round,
    handle_ack,
    handle_ping,
    handle_ping_request,
    handle_probe_timeout,
    send_ping,
)
from trefoilsaddle.core.rumours import (
    describe_peer,
    list_updates,
    refute_update,
)
from trefoilsaddle.core.suspicion import (
    apply_update,
    check_suspect,
    suspect_process,
)
from trefoilsaddle.core.units import (
    Moment,
    NodeId,
    Seconds,
    ServerId,
    ZoneName,
)

_HOST_TIMER = TimerKey(TimerKind.host_list)
# Processes of the own zone that a change is sent to at once, besides one
# process of another zone.
_MAX_NEAR_TARGETS = 2
# Minimum time between two whole lists sent to one process.
_LIST_INTERVAL = Seconds(10)


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Handle one event that concerns the membership."""
    return _handle_event(event, node, moment)


def health_of(node: Node, subject: NodeId) -> Health:
    """Return the believed health of a process; unknown ones count as dead."""
    known = node.membership.processes.get(subject)
    return Health.dead if known is None else known.health


def live_dispatchers(node: Node, zone: ZoneName | None) -> list[NodeId]:
    """Return the live dispatchers of a zone, or of all zones."""
    return [
        process.node
        for process in node.membership.processes.values()
        if process.dispatches
        and process.health is Health.alive
        and zone in {None, process.zone}
    ]


def live_processes(node: Node, zone: ZoneName | None) -> list[NodeId]:
    """Return the other live processes of a zone, or of all zones."""
    return [
        process.node
        for process in node.membership.processes.values()
        if process.node != node.options.node
        and process.health is Health.alive
        and zone in {None, process.zone}
    ]


@singledispatch
def _handle_event(event: Event, node: Node, moment: Moment) -> Effects:
    return []


@_handle_event.register
def _handle_start(event: Started, node: Node, moment: Moment) -> Effects:
    options = node.options
    for peer in options.peers:
        node.membership.processes[peer.node] = describe_peer(peer)
    own = Peer(
        node=options.node,
        zone=options.zone,
        host=options.host,
        port=options.port,
        dispatches=options.dispatches,
    )
    # Sent with every message until a peer answers; peers pass it on.
    node.membership.processes[own.node] = describe_peer(own)
    return [
        *begin_round(node, moment),
        ListHosts(),
        SetTimer(_HOST_TIMER, options.host_list_interval),
    ]


@_handle_event.register
def _handle_stop(event: StopRequested, node: Node, moment: Moment) -> Effects:
    """Announce that this process is leaving."""
    refute_update(node, node.membership.processes[node.options.node])
    near = live_processes(node, node.options.zone)
    return [
        effect
        for target in near or live_processes(node, None)
        for effect in send_ping(node, moment, target)
    ]


@_handle_event.register
def _handle_timer(event: TimerExpired, node: Node, moment: Moment) -> Effects:
    timer = event.timer
    if timer == PROBE_TIMER:
        return begin_round(node, moment)
    if timer == PROBE_TIMEOUT_TIMER:
        return handle_probe_timeout(node, moment)
    if timer.kind is TimerKind.suspicion:
        return check_suspect(node, moment, NodeId(timer.subject))
    if timer == _HOST_TIMER:
        interval = node.options.host_list_interval
        return [ListHosts(), SetTimer(_HOST_TIMER, interval)]
    return []


@_handle_event.register
def _handle_hosts(event: HostsListed, node: Node, moment: Moment) -> Effects:
    membership = node.membership
    membership.listed = frozenset(host.name for host in event.hosts)
    leaving = {
        ServerId(host.name)
        for host in event.hosts
        if host.state is HostState.leaving
    }
    if leaving != membership.leaving_servers:
        membership.leaving_servers = leaving
        node.duties_stale = True
    return []


@_handle_event.register
def _handle_peer_loss(event: PeerLost, node: Node, moment: Moment) -> Effects:
    """Suspect a process whose connection broke, and ping it to refute that."""
    if health_of(node, event.node) not in {Health.alive, Health.leaving}:
        return []
    return [
        *suspect_process(node, moment, event.node),
        *send_ping(node, moment, event.node),
    ]


@_handle_event.register
def _handle_received(
    event: MessageReceived,
    node: Node,
    moment: Moment,
) -> Effects:
    node.membership.last_message_at = moment.monotonic
    return _handle_message(event.message, node, moment, event.sender)


@singledispatch
def _handle_message(
    message: Message,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    return []


@_handle_message.register
def _handle_ping_message(
    message: Ping,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    record_loads(node, message.loads)
    return [
        *_apply_updates(node, moment, message.rumours),
        *handle_ping(node, moment, sender, message),
        *_send_process_list(node, moment, sender, message),
    ]


@_handle_message.register
def _handle_ack_message(
    message: Ack,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    record_loads(node, message.loads)
    return [
        *_apply_updates(node, moment, message.rumours),
        *handle_ack(node, moment, sender, message),
    ]


@_handle_message.register
def _handle_ping_request(
    message: PingRequest,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    return handle_ping_request(node, moment, sender, message)


def _apply_updates(
    node: Node,
    moment: Moment,
    updates: tuple[Rumour, ...],
) -> Effects:
    effects: Effects = []
    changed = False
    for update in updates:
        former = node.membership.processes.get(update.node)
        effects.extend(apply_update(node, moment, update))
        changed = changed or _is_change(node, update.node, former)
    if changed:
        effects.extend(_push_updates(node, moment))
    return effects


def _is_change(node: Node, subject: NodeId, former: Rumour | None) -> bool:
    """Return whether a process has changed health or refuted an update."""
    newest = node.membership.processes.get(subject)
    if newest is None or former is None:
        return newest is not former
    if subject == node.options.node:
        return newest.incarnation != former.incarnation
    return newest.health is not former.health


def _push_updates(node: Node, moment: Moment) -> Effects:
    """Send a change to a few processes at once, before the next probe."""
    near = live_processes(node, node.options.zone)
    far = set(live_processes(node, None)).difference(near)
    targets = [
        *node.random.sample(near, min(_MAX_NEAR_TARGETS, len(near))),
        *node.random.sample(sorted(far), min(1, len(far))),
    ]
    return [
        effect
        for target in targets
        for effect in send_ping(node, moment, target)
    ]


def _send_process_list(
    node: Node,
    moment: Moment,
    sender: NodeId,
    ping: Ping,
) -> Effects:
    """Send the whole list to a process that has just started."""
    introductions = [
        update
        for update in ping.rumours
        if update.node == sender and not update.incarnation
    ]
    if not introductions:
        return []
    list_sent_at = node.membership.list_sent_at
    former = list_sent_at.get(sender)
    if former is not None and moment.monotonic - former < _LIST_INTERVAL:
        return []
    list_sent_at[sender] = moment.monotonic
    return [
        SendMessage(sender, Ack(0, node.options.node, updates, ()))
        for updates in list_updates(node)
    ]
