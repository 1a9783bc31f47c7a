"""Address the copies of configurations between simulated gateways."""

from trefoilsaddle.core.units import NodeId
from trefoilsaddle.gateway.effects import (
    AskConfiguration,
    Effect,
    SendConfiguration,
)
from trefoilsaddle.gateway.events import (
    ConfigurationCopied,
    ConfigurationWanted,
    Event,
)
from trefoilsaddle.gateway.state import Gateway


def address_copy(
    gateway: Gateway,
    effect: Effect,
    controller: NodeId | None,
) -> tuple[NodeId, Event] | None:
    """Return who receives a request or a copy, and what is received.

    Other effects, and those without a recipient, give None.
    """
    if not isinstance(effect, (AskConfiguration, SendConfiguration)):
        return None
    recipient = effect.node or controller
    if recipient is None or gateway.configuration is None:
        return None
    if isinstance(effect, SendConfiguration):
        return recipient, ConfigurationCopied(gateway.configuration)
    own = gateway.options.node
    sender = own if effect.node is None else None
    return recipient, ConfigurationWanted(sender)
