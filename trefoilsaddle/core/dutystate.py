"""Hold the state of the roles that a dispatcher has taken."""

from dataclasses import dataclass


@dataclass(slots=True)
class DutyState:
    """Hold one duty per server that this process dispatches to."""
