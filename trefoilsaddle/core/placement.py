"""Drive placement: assignment of unowned shards, moves and hot keys."""

from trefoilsaddle.core.assignment import assign_unowned
from trefoilsaddle.core.effects import Effects, SetTimer
from trefoilsaddle.core.events import (
    Event,
    MessageReceived,
    Started,
    TimerExpired,
    TimerKey,
    TimerKind,
)
from trefoilsaddle.core.loadsampling import (
    Sampling,
    record_forward,
    sample_loads,
)
from trefoilsaddle.core.messages import Forward
from trefoilsaddle.core.node import Node
from trefoilsaddle.core.rebalancing import rebalance_server
from trefoilsaddle.core.splits import end_cool_splits, split_hot_keys
from trefoilsaddle.core.units import Moment, Seconds

# Interval at which loads are sampled and unowned shards are looked for.
_SAMPLING = Sampling(Seconds(0.5))
_SAMPLE_TIMER = TimerKey(TimerKind.placement, 'sample')
_DECISION_TIMER = TimerKey(TimerKind.placement, 'decision')


def handle_event(node: Node, moment: Moment, event: Event) -> Effects:
    """Handle one event that concerns the placement of shards."""
    if not node.options.dispatches:
        return []
    if isinstance(event, MessageReceived):
        if isinstance(event.message, Forward):
            record_forward(node, event.sender, event.message)
        return []
    if isinstance(event, Started):
        return [
            SetTimer(_SAMPLE_TIMER, _SAMPLING.interval),
            SetTimer(_DECISION_TIMER, _choose_delay(node)),
        ]
    if isinstance(event, TimerExpired):
        return _handle_timer(node, moment, event.timer)
    return []


def _handle_timer(node: Node, moment: Moment, timer: TimerKey) -> Effects:
    if timer == _SAMPLE_TIMER:
        sample_loads(node, moment, _SAMPLING)
        again = SetTimer(_SAMPLE_TIMER, _SAMPLING.interval)
        return [again, *assign_unowned(node, moment)]
    if timer == _DECISION_TIMER:
        again = SetTimer(_DECISION_TIMER, _choose_delay(node))
        return [again, *_decide(node, moment)]
    return []


def _choose_delay(node: Node) -> Seconds:
    """Return a random delay, so that dispatchers decide at different times."""
    spread = 0.5 + node.random.random()
    return Seconds(node.options.placement_interval * spread)


def _decide(node: Node, moment: Moment) -> Effects:
    """Decide on splits and moves for every server, if the log is available."""
    if node.stopping or node.following.log_away:
        return []
    effects: Effects = []
    for server in sorted(node.placement.servers):
        if server in node.duties.held and server in node.view.roles:
            effects.extend(split_hot_keys(node, moment, server))
            effects.extend(end_cool_splits(node, moment, server))
            effects.extend(rebalance_server(node, moment, server))
    return effects
