"""Probe one process per round, at a cost independent of the fleet size.

Most rounds probe the own zone, where a loss has to be detected soon.  Every
few rounds another zone is probed, so that membership updates spread between
zones, or a dead process, so that a healed partition is detected.
"""

from dataclasses import replace

from trefoilsaddle.core.effects import Effects, SendMessage, SetTimer
from trefoilsaddle.core.events import TimerKey, TimerKind
from trefoilsaddle.core.loads import choose_loads
from trefoilsaddle.core.memberstate import IndirectProbe, Probe
from trefoilsaddle.core.messages import Ack, Health, Ping, PingRequest
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.rumours import choose_updates
from trefoilsaddle.core.suspicion import (
    forget_dead,
    is_late,
    lower_health_score,
    raise_health_score,
    record_own_pause,
    suspect_process,
)
from trefoilsaddle.core.units import Moment, NodeId, Seconds

PROBE_TIMER = TimerKey(TimerKind.probe)
PROBE_TIMEOUT_TIMER = TimerKey(TimerKind.probe_timeout)
# One in this many rounds probes another zone, or a dead process.
_FAR_ROUNDS = 4
_DEAD_ROUNDS = 8
# Number of processes asked for an indirect probe.
_HELPERS = 3
# Maximum number of probes made for other processes and still open.
_MAX_INDIRECT_PROBES = 64


def begin_round(node: Node, moment: Moment) -> Effects:
    """Probe the next process, unless a probe is in flight."""
    state = node.membership.probes
    if is_late(node, moment, state.round_due) and state.rounds:
        record_own_pause(node)
        state.probe = None
    factor = 1 + node.membership.health_score
    delay = Seconds(node.options.probe_interval * factor)
    state.round_due = Seconds(moment.monotonic + delay)
    forget_dead(node, moment)
    timer = SetTimer(PROBE_TIMER, delay)
    if state.probe is not None:
        return [timer]
    state.rounds += 1
    target = _choose_target(node)
    if target is None:
        return [timer]
    return [timer, *_probe(node, moment, target)]


def handle_probe_timeout(node: Node, moment: Moment) -> Effects:
    """Ask helpers for indirect probes, or suspect the target after those."""
    state = node.membership.probes
    probe = state.probe
    if probe is None:
        return []
    if is_late(node, moment, probe.due):
        # This process was paused, so the answer may be waiting to be read.
        record_own_pause(node)
        state.probe = None
        return []
    helpers = [] if probe.indirect else _choose_helpers(node, probe.target)
    if helpers:
        return [
            *_watch_probe(node, moment, probe),
            *_send_ping_requests(probe, helpers),
        ]
    state.probe = None
    if node.membership.last_message_at < probe.began:
        # No message arrived from any peer, so the fault may be local.
        raise_health_score(node)
    return [
        *suspect_process(node, moment, probe.target),
        *send_ping(node, moment, probe.target),
    ]


def handle_ping(
    node: Node,
    moment: Moment,
    sender: NodeId,
    ping: Ping,
) -> Effects:
    """Answer a probe."""
    answer = Ack(
        sequence=ping.sequence,
        subject=node.options.node,
        rumours=choose_updates(node, sender),
        loads=choose_loads(node, moment),
    )
    return [SendMessage(sender, answer)]


def handle_ack(node: Node, moment: Moment, sender: NodeId, ack: Ack) -> Effects:
    """End the probe in flight, or forward the answer to an indirect probe."""
    state = node.membership.probes
    node.membership.known_to_peers = True
    indirect = state.indirect_probes.pop(ack.sequence, None)
    if indirect is not None and ack.subject == sender:
        passed_on = replace(ack, sequence=indirect.sequence)
        return [SendMessage(indirect.requester, passed_on)]
    probe = state.probe
    if probe is None:
        return []
    if (ack.sequence, ack.subject) == (probe.sequence, probe.target):
        state.probe = None
        lower_health_score(node)
    return []


def handle_ping_request(
    node: Node,
    moment: Moment,
    sender: NodeId,
    request: PingRequest,
) -> Effects:
    """Probe a process at the request of another one."""
    state = node.membership.probes
    sequence = _next_sequence(node)
    state.indirect_probes[sequence] = IndirectProbe(sender, request.sequence)
    if len(state.indirect_probes) > _MAX_INDIRECT_PROBES:
        state.indirect_probes.pop(next(iter(state.indirect_probes)))
    ping = Ping(
        sequence=sequence,
        relay_for=sender,
        rumours=choose_updates(node, request.target),
        loads=(),
    )
    return [SendMessage(request.target, ping)]


def send_ping(node: Node, moment: Moment, target: NodeId) -> Effects:
    """Ping a process outside the probe in flight."""
    ping = Ping(
        sequence=_next_sequence(node),
        relay_for=None,
        rumours=choose_updates(node, target),
        loads=choose_loads(node, moment),
    )
    return [SendMessage(target, ping)]


def _probe(node: Node, moment: Moment, target: NodeId) -> Effects:
    state = node.membership.probes
    effects = send_ping(node, moment, target)
    if node.membership.processes[target].health is Health.dead:
        return effects
    now = moment.monotonic
    probe = Probe(target, state.sequence, indirect=False, began=now, due=now)
    return [*effects, *_watch_probe(node, moment, probe)]


def _watch_probe(node: Node, moment: Moment, probe: Probe) -> Effects:
    """Start the timeout of a probe; the second one is for indirect answers."""
    factor = 1 + node.membership.health_score
    delay = Seconds(node.options.probe_timeout * factor)
    due = Seconds(moment.monotonic + delay)
    waits_again = node.membership.probes.probe is not None
    node.membership.probes.probe = replace(
        probe,
        indirect=waits_again,
        due=due,
    )
    return [SetTimer(PROBE_TIMEOUT_TIMER, delay)]


def _send_ping_requests(probe: Probe, helpers: list[NodeId]) -> Effects:
    request = PingRequest(probe.sequence, probe.target)
    return [SendMessage(helper, request) for helper in helpers]


def _choose_target(node: Node) -> NodeId | None:
    state = node.membership.probes
    dead = list(node.membership.dead_since)
    # Offset by one from the rounds for other zones, to displace none of them.
    if dead and state.rounds % _DEAD_ROUNDS == 1:
        return node.random.choice(dead)
    is_far = not state.rounds % _FAR_ROUNDS
    return _next_target(node, is_far) or _next_target(node, not is_far)


def _next_target(node: Node, is_far: bool) -> NodeId | None:
    """Return the next target of a shuffled cycle, which bounds every wait."""
    state = node.membership.probes
    cycle = state.far if is_far else state.near
    if not cycle:
        cycle.extend(_list_probed(node, is_far))
        node.random.shuffle(cycle)
    while cycle:
        target = cycle.pop()
        known = node.membership.processes.get(target)
        if known is not None and known.health is not Health.dead:
            return target
    return None


def _list_probed(node: Node, is_far: bool) -> list[NodeId]:
    zone = node.options.zone
    return [
        process.node
        for process in node.membership.processes.values()
        if (process.zone != zone) == is_far
        and process.health is not Health.dead
        and process.node != node.options.node
    ]


def _choose_helpers(node: Node, target: NodeId) -> list[NodeId]:
    zone = node.options.zone
    candidates = [
        process.node
        for process in node.membership.processes.values()
        if process.health in {Health.alive, Health.leaving}
        and process.node not in {target, node.options.node}
    ]
    node.random.shuffle(candidates)
    processes = node.membership.processes
    candidates.sort(key=lambda name: processes[name].zone != zone)
    return candidates[:_HELPERS]


def _next_sequence(node: Node) -> int:
    node.membership.probes.sequence += 1
    return node.membership.probes.sequence
