"""Define the whole state of one process, on which the reducer works.

Each component alone changes its field; the others only read it.  Components
notify each other of changes only through `ready_servers` and `duties_stale`,
which the reducer processes at the end of the same event.
"""

from dataclasses import dataclass, field
from random import Random

from trefoilsaddle.core.dispatchstate import DispatchState
from trefoilsaddle.core.dutystate import DutyState
from trefoilsaddle.core.followstate import FollowState
from trefoilsaddle.core.memberstate import MembershipState
from trefoilsaddle.core.options import Options
from trefoilsaddle.core.placementstate import PlacementState
from trefoilsaddle.core.routestate import RoutingState
from trefoilsaddle.core.units import Seconds, ServerId
from trefoilsaddle.core.view import LogView


@dataclass(slots=True)
class Node:
    """Hold the state of all components of one process."""

    options: Options
    random: Random
    view: LogView = field(default_factory=LogView)
    following: FollowState = field(default_factory=FollowState)
    membership: MembershipState = field(default_factory=MembershipState)
    duties: DutyState = field(default_factory=DutyState)
    placement: PlacementState = field(default_factory=PlacementState)
    dispatching: DispatchState = field(default_factory=DispatchState)
    routing: RoutingState = field(default_factory=RoutingState)
    stopping: bool = False
    # True while a stopping process accepts no more requests.
    refusing: bool = False
    # Time since which a stopping process has had no requests in flight.
    drained_at: Seconds | None = None
    # Servers whose queues may have become ready to send.
    ready_servers: set[ServerId] = field(default_factory=set)
    # True if roles or liveness changed, so that duties must be updated.
    duties_stale: bool = False


def build_node(options: Options) -> Node:
    """Build the state of a process that has not started yet."""
    return Node(options=options, random=Random(options.seed))
