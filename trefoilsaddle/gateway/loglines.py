"""Build the effects that write log lines."""

from trefoilsaddle.gateway.effects import (
    Component,
    LogField,
    LogValue,
    WriteDecision,
)


def log_event(
    component: Component, event_name: str, **inputs: LogValue
) -> WriteDecision:
    """Build a log line about the state or an action of the process."""
    fields = tuple(LogField(name, text) for name, text in inputs.items())
    return WriteDecision(component, event_name, fields)


def log_request(
    request_id: str,
    event_name: str,
    **inputs: LogValue,
) -> WriteDecision:
    """Build a log line about a request."""
    fields = tuple(LogField(name, text) for name, text in inputs.items())
    return WriteDecision(Component.forwarding, event_name, fields, request_id)
