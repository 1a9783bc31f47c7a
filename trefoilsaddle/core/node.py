"""Join the state of one process, as the reducer sees it.

Each part owns its field and alone changes it; other parts read it.  Parts
tell each other of a change only through `woken` and `reviewed`, which the
reducer works off at the end of the same event.
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
    """Hold the whole state of one process."""

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
    # True once a stopping process takes no more requests.
    refusing: bool = False
    # Since when a stopping process has had nothing in flight.
    drained_at: Seconds | None = None
    # Servers whose queues may have become ready to send.
    ready_servers: set[ServerId] = field(default_factory=set)
    # True when roles or liveness changed, so that duties are looked over.
    duties_stale: bool = False


def build_node(options: Options) -> Node:
    """Build the state of a process that has not started yet."""
    return Node(options=options, random=Random(options.seed))
