"""Hold what a process knows of the other processes."""

from dataclasses import dataclass, field

from trefoilsaddle.core.messages import Rumour, ServerLoad
from trefoilsaddle.core.units import NodeId, ServerId


@dataclass(slots=True)
class MembershipState:
    """Hold the known processes, their health and reported loads."""

    loads: dict[ServerId, ServerLoad] = field(default_factory=dict)
    # Servers that the platform's host list gives as leaving.
    leaving_servers: set[ServerId] = field(default_factory=set)
    # Newest rumour by process; the process itself is among them.
    processes: dict[NodeId, Rumour] = field(default_factory=dict)
