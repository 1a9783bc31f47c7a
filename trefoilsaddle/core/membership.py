"""Detect lost processes: probes, suspicion, rumours."""

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
    send_ping,
    take_ack,
    take_ping,
    take_ping_request,
    take_silence,
)
from trefoilsaddle.core.rumours import (
    introduce,
    list_rumours,
    refute_rumour,
)
from trefoilsaddle.core.suspicion import (
    judge_suspect,
    learn_rumour,
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
# Neighbours that are told at once of a change; one farther away is, too.
_NEAR_TOLD = 2
# Least time between two whole lists for one process.
_WELCOME_INTERVAL = Seconds(10)


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
    for peer in options.peers:
        node.membership.processes[peer.node] = introduce(peer)
    own = Peer(
        node=options.node,
        zone=options.zone,
        host=options.host,
        port=options.port,
        dispatches=options.dispatches,
    )
    # Told to the first peers that answer; they pass it on.
    node.membership.processes[own.node] = introduce(own)
    return [
        *begin_round(node, moment),
        ListHosts(),
        SetTimer(_HOST_TIMER, options.host_list_interval),
    ]


@_take_event.register
def _take_stop(event: StopRequested, node: Node, moment: Moment) -> Effects:
    """Tell the others that this process leaves."""
    refute_rumour(node, node.membership.processes[node.options.node])
    near = live_processes(node, node.options.zone)
    return [
        effect
        for target in near or live_processes(node, None)
        for effect in send_ping(node, moment, target)
    ]


@_take_event.register
def _take_timer(event: TimerExpired, node: Node, moment: Moment) -> Effects:
    timer = event.timer
    if timer == PROBE_TIMER:
        return begin_round(node, moment)
    if timer == PROBE_TIMEOUT_TIMER:
        return take_silence(node, moment)
    if timer.kind is TimerKind.suspicion:
        return judge_suspect(node, moment, NodeId(timer.subject))
    if timer == _HOST_TIMER:
        interval = node.options.host_list_interval
        return [ListHosts(), SetTimer(_HOST_TIMER, interval)]
    return []


@_take_event.register
def _take_hosts(event: HostsListed, node: Node, moment: Moment) -> Effects:
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


@_take_event.register
def _take_loss(event: PeerLost, node: Node, moment: Moment) -> Effects:
    """Suspect a process whose connection broke, and let it refute that."""
    if health_of(node, event.node) not in {Health.alive, Health.leaving}:
        return []
    return [
        *suspect_process(node, moment, event.node),
        *send_ping(node, moment, event.node),
    ]


@_take_event.register
def _take_received(
    event: MessageReceived,
    node: Node,
    moment: Moment,
) -> Effects:
    node.membership.heard_at = moment.monotonic
    return _take_message(event.message, node, moment, event.sender)


@singledispatch
def _take_message(
    message: Message,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    return []


@_take_message.register
def _take_ping_message(
    message: Ping,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    record_loads(node, message.loads)
    return [
        *_learn_rumours(node, moment, message.rumours),
        *take_ping(node, moment, sender, message),
        *_welcome(node, moment, sender, message),
    ]


@_take_message.register
def _take_ack_message(
    message: Ack,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    record_loads(node, message.loads)
    return [
        *_learn_rumours(node, moment, message.rumours),
        *take_ack(node, moment, sender, message),
    ]


@_take_message.register
def _take_request_message(
    message: PingRequest,
    node: Node,
    moment: Moment,
    sender: NodeId,
) -> Effects:
    return take_ping_request(node, moment, sender, message)


def _learn_rumours(
    node: Node,
    moment: Moment,
    rumours: tuple[Rumour, ...],
) -> Effects:
    effects: Effects = []
    is_news = False
    for rumour in rumours:
        former = node.membership.processes.get(rumour.node)
        effects.extend(learn_rumour(node, moment, rumour))
        is_news = is_news or _is_news(node, rumour.node, former)
    if is_news:
        effects.extend(_push_rumours(node, moment))
    return effects


def _is_news(node: Node, subject: NodeId, former: Rumour | None) -> bool:
    """Tell whether a process fares otherwise, or had to refute a rumour."""
    newest = node.membership.processes.get(subject)
    if newest is None or former is None:
        return newest is not former
    if subject == node.options.node:
        return newest.incarnation != former.incarnation
    return newest.health is not former.health


def _push_rumours(node: Node, moment: Moment) -> Effects:
    """Tell a few others of a change at once, not at the next probe."""
    near = live_processes(node, node.options.zone)
    far = set(live_processes(node, None)).difference(near)
    targets = [
        *node.random.sample(near, min(_NEAR_TOLD, len(near))),
        *node.random.sample(sorted(far), min(1, len(far))),
    ]
    return [
        effect
        for target in targets
        for effect in send_ping(node, moment, target)
    ]


def _welcome(
    node: Node,
    moment: Moment,
    sender: NodeId,
    ping: Ping,
) -> Effects:
    """Send the whole list to a process that has just started."""
    introductions = [
        rumour
        for rumour in ping.rumours
        if rumour.node == sender and not rumour.incarnation
    ]
    if not introductions:
        return []
    welcomed = node.membership.welcomed
    former = welcomed.get(sender)
    if former is not None and moment.monotonic - former < _WELCOME_INTERVAL:
        return []
    welcomed[sender] = moment.monotonic
    return [
        SendMessage(sender, Ack(0, node.options.node, rumours, ()))
        for rumours in list_rumours(node)
    ]
