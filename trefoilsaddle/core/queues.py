"""Queue the requests to one server by rank, then by member."""

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
    """Queue the requests of one rank, round-robin over the members."""

    rank: Rank
    size: int = 0
    # In round-robin order: the first member is served next.
    members: OrderedDict[MemberName, _MemberQueue] = field(
        default_factory=OrderedDict,
    )
    service: ServiceEstimate = field(default_factory=ServiceEstimate)
    load: LoadEstimate = field(default_factory=LoadEstimate)
    # Server time in seconds that the rank is owed of its guaranteed share.
    credit: float = 0

    def push(self, ticket: Ticket) -> None:
        """Append a request to its member's queue."""
        member = ticket.request.member
        self.members.setdefault(member, deque()).append(ticket)
        self.size += 1

    def push_front(self, ticket: Ticket) -> None:
        """Put a request back to be served next of its rank."""
        member = ticket.request.member
        self.members.setdefault(member, deque()).appendleft(ticket)
        self.members.move_to_end(member, last=False)
        self.size += 1

    def pop(self) -> Ticket | None:
        """Remove and return the next request; its member becomes the last."""
        if not self.members:
            return None
        member = next(iter(self.members))
        queue = self.members[member]
        ticket = queue.popleft()
        self.members.move_to_end(member)
        self._record_removal(member)
        return ticket

    def pop_idempotent(self) -> Ticket | None:
        """Remove the first idempotent request at the head of a member's queue.

        Returns None if no member's next request is idempotent.
        """
        for queue in self.members.values():
            if queue[0].request.idempotent:
                ticket = queue[0]
                self.remove(ticket)
                return ticket
        return None

    def pop_newest(self) -> Ticket | None:
        """Remove the newest request of the member with the most waiting."""
        if not self.members:
            return None
        member = self.largest_member()
        ticket = self.members[member].pop()
        self._record_removal(member)
        return ticket

    def remove(self, ticket: Ticket) -> None:
        """Remove one waiting request."""
        member = ticket.request.member
        self.members[member].remove(ticket)
        self._record_removal(member)

    def largest_member(self) -> MemberName:
        """Return the member with the most waiting; '' if none has any."""
        if not self.members:
            return MemberName('')
        return max(self.members, key=self.count_member)

    def count_member(self, member: MemberName) -> int:
        """Count a member's waiting requests."""
        queue = self.members.get(member)
        return 0 if queue is None else len(queue)

    def count_ahead(self, member: MemberName | None) -> int:
        """Count the requests served before a member's next new one.

        Without a member, count all.
        """
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
    """Hold the configured limits of one server's queue."""

    version: Version
    slots: int
    queue_limit: int
    ranks: tuple[RankPolicy, ...]


@dataclass(slots=True)
class ServerQueue:
    """Hold the waiting and running requests of one server."""

    server: ServerId
    rules: QueueRules
    pacing: Pacing
    # By rank, the most urgent first.
    ranks: list[RankQueue]
    parked: list[Ticket] = field(default_factory=list)
    running: dict[AttemptId, Ticket] = field(default_factory=dict)
    # Latest deadline of requests that the server may still be running although
    # their attempts have ended here.
    uncertain_until: Seconds = Seconds(0)

    def rank_queue(self, ticket: Ticket) -> RankQueue:
        """Return the queue of a request's rank."""
        return self.ranks[ticket.request.rank]

    def count_waiting(self) -> int:
        """Count the waiting and parked requests of all ranks."""
        waiting = sum(ranked.size for ranked in self.ranks)
        return waiting + len(self.parked)

    def list_waiting(self) -> list[Ticket]:
        """List the waiting requests of all ranks, then the parked ones."""
        waiting = [
            ticket for ranked in self.ranks for ticket in ranked.tickets()
        ]
        return waiting + self.parked


def build_queue(server: ServerId, rules: QueueRules) -> ServerQueue:
    """Build the empty queue of a server."""
    ranks = [RankQueue(Rank(number)) for number in range(len(rules.ranks))]
    return ServerQueue(server, rules, Pacing(), ranks)


def adjust_queue(queue: ServerQueue, rules: QueueRules) -> None:
    """Apply changed limits, and add queues for new ranks."""
    queue.rules = rules
    while len(queue.ranks) < len(rules.ranks):
        queue.ranks.append(RankQueue(Rank(len(queue.ranks))))
