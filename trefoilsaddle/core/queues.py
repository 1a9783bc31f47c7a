"""Queue requests for one server by rank, and by member within a rank."""

from collections import OrderedDict, deque
from collections.abc import Iterator
from dataclasses import dataclass, field

from trefoilsaddle.core.configuration import RankPolicy
from trefoilsaddle.core.estimates import LoadEstimate, ServiceEstimate
from trefoilsaddle.core.pacing import Pacing
from trefoilsaddle.core.tickets import Ticket
from trefoilsaddle.core.units import (
    AttemptId,
    MemberName,
    Rank,
    Seconds,
    ServerId,
    Version,
)

_MemberQueue = deque[Ticket]


@dataclass(slots=True)
class RankQueue:
    """Queue the requests of one rank; members take turns."""

    rank: Rank
    size: int = 0
    # The first member is served next.
    members: OrderedDict[MemberName, _MemberQueue] = field(
        default_factory=OrderedDict,
    )
    service: ServiceEstimate = field(default_factory=ServiceEstimate)
    load: LoadEstimate = field(default_factory=LoadEstimate)
    # Server time that the rank's guaranteed share is behind by.
    credit: float = 0

    def push(self, ticket: Ticket) -> None:
        """Add a request behind the others of its member."""
        member = ticket.request.member
        self.members.setdefault(member, deque()).append(ticket)
        self.size += 1

    def push_front(self, ticket: Ticket) -> None:
        """Put a request back in front of the others of its member."""
        member = ticket.request.member
        self.members.setdefault(member, deque()).appendleft(ticket)
        self.members.move_to_end(member, last=False)
        self.size += 1

    def pop(self) -> Ticket | None:
        """Take the next request; its member goes to the end of the line."""
        if not self.members:
            return None
        member = next(iter(self.members))
        queue = self.members[member]
        ticket = queue.popleft()
        self.members.move_to_end(member)
        self._record_removal(member)
        return ticket

    def pop_idempotent(self) -> Ticket | None:
        """Take a member's next request that may be repeated, if any."""
        for queue in self.members.values():
            if queue[0].request.idempotent:
                ticket = queue[0]
                self.remove(ticket)
                return ticket
        return None

    def pop_newest(self) -> Ticket | None:
        """Take the newest request of the member that has most waiting."""
        if not self.members:
            return None
        member = self.largest_member()
        ticket = self.members[member].pop()
        self._record_removal(member)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Take out one request that is waiting."""
        member = ticket.request.member
        self.members[member].remove(ticket)
        self._record_removal(member)

    def largest_member(self) -> MemberName:
        """Return the member that has most waiting; empty if none has any."""
        if not self.members:
            return MemberName('')
        return max(self.members, key=self.count_member)

    def count_member(self, member: MemberName) -> int:
        """Count a member's waiting requests."""
        queue = self.members.get(member)
        return 0 if queue is None else len(queue)

    def count_ahead(self, member: MemberName | None) -> int:
        """Count the requests served before a member's next one, or all."""
        if member is None:
            return self.size
        turns = self.count_member(member) + 1
        return sum(min(len(queue), turns) for queue in self.members.values())

    def tickets(self) -> Iterator[Ticket]:
        """Yield every waiting request."""
        for queue in self.members.values():
            yield from queue

    def _record_removal(self, member: MemberName) -> None:
        self.size -= 1
        if not self.members[member]:
            self.members.pop(member)


@dataclass(frozen=True, slots=True)
class QueueRules:
    """Hold what the configuration says of one server's queue."""

    version: Version
    slots: int
    queue_limit: int
    ranks: tuple[RankPolicy, ...]


@dataclass(slots=True)
class ServerQueue:
    """Hold the requests that wait for one server and those it runs."""

    server: ServerId
    rules: QueueRules
    pacing: Pacing
    # By rank, the most urgent first.
    ranks: list[RankQueue]
    parked: list[Ticket] = field(default_factory=list)
    running: dict[AttemptId, Ticket] = field(default_factory=dict)
    # Deadline of the last request that may still run unobserved.
    uncertain_until: Seconds = Seconds(0)

    def rank_queue(self, ticket: Ticket) -> RankQueue:
        """Return the queue of a request's rank."""
        return self.ranks[ticket.request.rank]

    def count_waiting(self) -> int:
        """Count the requests that wait, over all ranks."""
        waiting = sum(ranked.size for ranked in self.ranks)
        return waiting + len(self.parked)

    def list_waiting(self) -> list[Ticket]:
        """Return the requests that have not been sent, parked ones last."""
        waiting = [
            ticket for ranked in self.ranks for ticket in ranked.tickets()
        ]
        return waiting + self.parked


def build_queue(server: ServerId, rules: QueueRules) -> ServerQueue:
    """Build the queue of a server that nothing was sent to yet."""
    ranks = [RankQueue(Rank(number)) for number in range(len(rules.ranks))]
    return ServerQueue(server, rules, Pacing(), ranks)


def adjust_queue(queue: ServerQueue, rules: QueueRules) -> None:
    """Follow a change of the configuration."""
    queue.rules = rules
    while len(queue.ranks) < len(rules.ranks):
        queue.ranks.append(RankQueue(Rank(len(queue.ranks))))
