"""Reduce each event of a gateway to effects.

    reduce(gateway, now, event) -> effects

The reduction is deterministic: the same state, event and time give the same new
state and effects.
"""

from collections.abc import Callable

from trefoilsaddle.core.units import Seconds
from trefoilsaddle.gateway import (
    controller,
    election,
    eras,
    following,
    forwarding,
    lifecycle,
    peers,
    probing,
    relaying,
    reporting,
    statedump,
    zonedrain,
)
from trefoilsaddle.gateway.effects import Effects
from trefoilsaddle.gateway.events import Event
from trefoilsaddle.gateway.placing import retry_parked
from trefoilsaddle.gateway.state import Gateway

_EventStep = Callable[[Gateway, Seconds, Event], Effects]

# The order matters: a step may rely on the state that earlier steps have
# updated.
_STEPS: tuple[_EventStep, ...] = (
    eras.handle_event,
    lifecycle.handle_event,
    following.handle_event,
    zonedrain.handle_event,
    peers.handle_event,
    election.handle_event,
    reporting.handle_event,
    probing.handle_event,
    controller.handle_event,
    relaying.handle_event,
    forwarding.handle_event,
    statedump.handle_event,
)


def reduce(gateway: Gateway, now: Seconds, event: Event) -> Effects:
    """Apply one event to the state and return its effects."""
    effects: Effects = []
    for step in _STEPS:
        effects.extend(step(gateway, now, event))
    if gateway.owners_changed:
        gateway.owners_changed = False
        effects.extend(retry_parked(gateway, now))
    return effects
