"""Hold the callers' requests that an entry process has in flight."""

from dataclasses import dataclass


@dataclass(slots=True)
class RoutingState:
    """Hold the calls, attempts and learnt routes of an entry process."""
