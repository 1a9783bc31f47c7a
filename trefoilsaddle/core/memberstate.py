"""Define the state of failure detection and membership."""

from dataclasses import dataclass, field

from trefoilsaddle.core.messages import Rumour, ServerLoad
from trefoilsaddle.core.units import NodeId, Seconds, ServerId

NEVER = Seconds(float('-inf'))


@dataclass(frozen=True, slots=True)
class Probe:
    """Hold the probe in flight."""

    target: NodeId
    sequence: int
    # True once helpers have been asked to probe the target as well.
    indirect: bool
    # Monotonic times of its start and of the answer's deadline.
    began: Seconds
    due: Seconds


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Hold a probe made at another process's request."""

    requester: NodeId
    # Sequence number that the requester uses.
    sequence: int


@dataclass(slots=True)
class ProbeState:
    """Hold the probe rounds and the probes in flight."""

    sequence: int = 0
    probe: Probe | None = None
    # Monotonic time at which the next round is due.
    round_due: Seconds = NEVER
    rounds: int = 0
    # Processes of this zone and of other zones left to probe in this cycle.
    near: list[NodeId] = field(default_factory=list)
    far: list[NodeId] = field(default_factory=list)
    # By sequence number of this process, oldest first.
    indirect_probes: dict[int, IndirectProbe] = field(default_factory=dict)


@dataclass(slots=True)
class MembershipState:
    """Hold the known processes, their health and reported loads."""

    loads: dict[ServerId, ServerLoad] = field(default_factory=dict)
    # Servers that the platform's host list marks as leaving.
    leaving_servers: set[ServerId] = field(default_factory=set)
    # Latest update by process, including this process itself.
    processes: dict[NodeId, Rumour] = field(default_factory=dict)
    probes: ProbeState = field(default_factory=ProbeState)
    # Number of times that each latest update is still to be sent.
    sends_left: dict[NodeId, int] = field(default_factory=dict)
    # Monotonic time at which each suspected process is declared dead.
    suspicions: dict[NodeId, Seconds] = field(default_factory=dict)
    # Monotonic time at which each dead process was declared dead.
    dead_since: dict[NodeId, Seconds] = field(default_factory=dict)
    # Local health score: timeouts grow with it; zero is healthy.
    health_score: int = 0
    # Monotonic time of the last message from any peer.
    last_message_at: Seconds = NEVER
    # True once a peer has answered this incarnation.
    known_to_peers: bool = False
    # Monotonic time at which the whole list was last sent to each process
    # that has started.
    list_sent_at: dict[NodeId, Seconds] = field(default_factory=dict)
    # Names on the platform's host list, which may be out of date.
    listed: frozenset[str] = frozenset()
    # Position of the server whose load is sent next.
    load_position: int = 0
    # Monotonic time at which loads were last sent.
    loads_sent_at: Seconds = NEVER
