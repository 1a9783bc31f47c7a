"""Hold the queues and attempts of a dispatcher."""

from dataclasses import dataclass


@dataclass(slots=True)
class DispatchState:
    """Hold one queue per server and the attempts in flight."""
