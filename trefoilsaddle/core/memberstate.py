"""Hold what a process knows of the other processes."""

from dataclasses import dataclass, field

from trefoilsaddle.core.messages import ServerLoad
from trefoilsaddle.core.units import ServerId


@dataclass(slots=True)
class MembershipState:
    """Hold the known processes, their health and reported loads."""

    loads: dict[ServerId, ServerLoad] = field(default_factory=dict)
    # Servers that the platform's host list gives as leaving.
    leaving_servers: set[ServerId] = field(default_factory=set)
