"""Hold what a process knows of the other processes."""

from dataclasses import dataclass, field

from trefoilsaddle.core.messages import Rumour, ServerLoad
from trefoilsaddle.core.units import NodeId, Seconds, ServerId

NEVER = Seconds(float('-inf'))


@dataclass(frozen=True, slots=True)
class Probe:
    """Remember the probe in flight."""

    target: NodeId
    sequence: int
    # True once other processes have been asked to probe as well.
    indirect: bool
    # Monotonic times of its begin and by which an answer is expected.
    began: Seconds
    due: Seconds


@dataclass(frozen=True, slots=True)
class IndirectProbe:
    """Remember a probe made for another process."""

    requester: NodeId
    # The requester's own sequence.
    sequence: int


@dataclass(slots=True)
class ProbeState:
    """Hold the probes of this process."""

    sequence: int = 0
    probe: Probe | None = None
    # Monotonic time at which the next round is due.
    round_due: Seconds = NEVER
    rounds: int = 0
    # Processes of this zone and of the others still to probe in this cycle.
    near: list[NodeId] = field(default_factory=list)
    far: list[NodeId] = field(default_factory=list)
    # By this process's own sequence, oldest first.
    indirect_probes: dict[int, IndirectProbe] = field(default_factory=dict)


@dataclass(slots=True)
class MembershipState:
    """Hold the known processes, their health and reported loads."""

    loads: dict[ServerId, ServerLoad] = field(default_factory=dict)
    # Servers that the platform's host list gives as leaving.
    leaving_servers: set[ServerId] = field(default_factory=set)
    # Newest rumour by process; the process itself is among them.
    processes: dict[NodeId, Rumour] = field(default_factory=dict)
    probes: ProbeState = field(default_factory=ProbeState)
    # Times that each newest rumour is still to be passed on.
    sends_left: dict[NodeId, int] = field(default_factory=dict)
    # Monotonic time at which each suspect counts as dead.
    suspicions: dict[NodeId, Seconds] = field(default_factory=dict)
    # Monotonic time at which each process was found dead.
    deaths: dict[NodeId, Seconds] = field(default_factory=dict)
    # Local health multiplier: how late this process itself is; zero is healthy.
    health_score: int = 0
    # Monotonic time of the newest message from any peer.
    heard_at: Seconds = NEVER
    # True once a peer has answered in this run.
    known_to_peers: bool = False
    # When each process that started got the whole list, monotonic.
    list_sent_at: dict[NodeId, Seconds] = field(default_factory=dict)
    # Names on the platform's host list; it lags.
    listed: frozenset[str] = frozenset()
    # Server whose load is passed on next.
    load_position: int = 0
    # Monotonic time at which loads were last passed on.
    loads_sent_at: Seconds = NEVER
