"""Simulate an entry process, dispatchers and a fake server in virtual time.

Only the interfaces are faked: messages, timers, the server and the result of
`check_authority`.  Tests inject faults with hooks on the effects.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush

from trefoilsaddle.core.authority import Authority
from trefoilsaddle.core.calls import (
    Answer,
    Call,
    IdempotencyKey,
    Reply,
    Request,
)
from trefoilsaddle.core.configuration import (
    Configuration,
    LimitPolicy,
    RankPolicy,
    ServerPolicy,
    ServicePolicy,
    SitePolicy,
)
from trefoilsaddle.core.effects import (
    AnswerCaller,
    CancelAttempt,
    CancelTimer,
    Effect,
    Effects,
    RunAttempt,
    SendMessage,
    SetTimer,
)
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.events import (
    AttemptEnded,
    AttemptVerdict,
    CallArrived,
    Event,
    MessageReceived,
    Occurrence,
    TimerExpired,
    TimerKey,
)
from trefoilsaddle.core.messages import Forward, Message
from trefoilsaddle.core.node import Node, build_node
from trefoilsaddle.core.options import Options
from trefoilsaddle.core.reducer import reduce
from trefoilsaddle.core.units import (
    FIRST_EPOCH,
    AttemptId,
    CallId,
    Epoch,
    MemberName,
    Moment,
    NodeId,
    Offset,
    Rank,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
    ShardId,
    ShardNumber,
    SiteName,
    Version,
    ZoneName,
)
from trefoilsaddle.core.view import Ownership, Role
from trefoilsaddle.results import ResultCode

SERVICE = ServiceName('checkout')
MEMBER = MemberName('north')
OTHER_MEMBER = MemberName('south')
ENTRY = NodeId('entry-1')
FIRST = NodeId('dispatcher-1')
SECOND = NodeId('dispatcher-2')
SERVER = ServerId('checkout-1')
OTHER_SERVER = ServerId('checkout-2')
SHARD = ShardId(SERVICE, ShardNumber(0))
TERM = Epoch(Offset(5), 0)
EPOCH = Epoch(Offset(6), 0)
# Time of day at which every test starts.
WALL = 1_000_000
SKEW = Seconds(0.05)
HOP = 0.001
SERVICE_TIME = 0.01

ZONE = ZoneName('zone-1')
REGION = RegionName('region-1')
SITE = SiteName('site-1')

Hook = Callable[['Bench', NodeId, Effect], bool]


def build_configuration(
    *,
    queue_limit: int = 60,
    idempotency_limit: int = 1000,
    retry_budget: float = 0.1,
    checks_grants: bool = True,
) -> Configuration:
    """Build a configuration with one service of one shard on two servers."""
    servers = tuple(
        ServerPolicy(
            server_id=server,
            service=SERVICE,
            zone=ZONE,
            host='127.0.0.1',
            port=1,
            slots=3,
            connections=45,
            checks_grants=checks_grants,
            leaving=False,
        )
        for server in (SERVER, OTHER_SERVER)
    )
    service = ServicePolicy(
        name=SERVICE,
        shard_count=1,
        longest_deadline=Seconds(30),
        queue_limit=queue_limit,
        largest_body=65_536,
        isolation_hold=None,
    )
    limits = LimitPolicy(
        retry_budget=retry_budget,
        grant_duration=Seconds(2),
        lease_duration=Seconds(2),
        clock_drift=0.01,
        clock_skew=SKEW,
        idempotency_window=Seconds(600),
        idempotency_limit=idempotency_limit,
        imbalance=0.2,
        hot_fraction=0.1,
    )
    ranks = (
        RankPolicy('payment', Seconds(0.05), worth=10, share=0.6),
        RankPolicy('lookup', Seconds(0.1), worth=3, share=0.2),
        RankPolicy('intake', Seconds(1), worth=1, share=0.1),
    )
    site = SitePolicy(SITE, REGION, (ZONE,), servers, ())
    return Configuration(
        version=Version(1),
        ranks=ranks,
        services={SERVICE: service},
        members=(MEMBER, OTHER_MEMBER),
        limits=limits,
        sites={SITE: site},
    )


def build_request(
    token: str = '',
    *,
    member: MemberName = MEMBER,
    rank: int = 0,
    body: bytes = b'body',
    created: float = WALL,
    remaining: float = 1,
) -> Request:
    """Build a request, idempotent only if it has no token."""
    idempotency_key = None
    if token:
        idempotency_key = IdempotencyKey(Seconds(created), token)
    return Request(
        service=SERVICE,
        member=member,
        rank=Rank(rank),
        key=b'key',
        method='POST',
        path='/pay',
        content_type='text/plain',
        body=body,
        idempotent=not token,
        idempotency_key=idempotency_key,
        remaining=Seconds(remaining),
    )


@dataclass(frozen=True, slots=True)
class Run:
    """Record one run of a request at the fake server."""

    # Token of the request, or the body if it has none.
    name: str
    call_id: CallId
    server: ServerId


@dataclass(slots=True)
class Bench:
    """Run processes and a fake server in virtual time."""

    nodes: dict[NodeId, Node]
    now: float = 0
    queue: list[tuple[float, int, NodeId, Event]] = field(default_factory=list)
    timers: dict[tuple[NodeId, TimerKey], int] = field(default_factory=dict)
    # Called before each effect; returns true to suppress it.
    hook: Hook | None = None
    # Requests that the fake server has run, in order.
    ran: list[Run] = field(default_factory=list)
    # Call of each attempt that the entry process has forwarded.
    forwarded: dict[AttemptId, CallId] = field(default_factory=dict)
    cancelled: set[tuple[NodeId, int]] = field(default_factory=set)
    answers: dict[CallId, list[Answer]] = field(default_factory=dict)
    answered_at: dict[CallId, float] = field(default_factory=dict)
    # Failures that `check_authority` returns, by process and server.
    refusals: dict[tuple[NodeId, ServerId], ResultCode] = field(
        default_factory=dict,
    )
    terms: dict[NodeId, Epoch] = field(default_factory=dict)
    wall_offsets: dict[NodeId, float] = field(default_factory=dict)
    effects: list[tuple[NodeId, Effect]] = field(default_factory=list)
    counter: int = 0

    def check_authority(
        self,
        node: Node,
        moment: Moment,
        server: ServerId,
        shard: ShardId,
    ) -> Authority | Failure:
        """Return authority from the views, in place of the real check."""
        refusal = self.refusals.get((node.options.node, server))
        if refusal is not None:
            return Failure(refusal, 'set by the test')
        role = node.view.roles.get(server)
        owner = node.view.owners.get(shard)
        if role is None or role.dispatcher != node.options.node:
            return Failure(
                ResultCode.not_holder, 'another process has the role'
            )
        if owner is None or owner.server != server:
            return Failure(
                ResultCode.not_holder, 'another server owns the shard'
            )
        until = Seconds(moment.monotonic + 1)
        return Authority(role.term, owner.epoch, until)

    def call(self, number: int, request: Request) -> CallId:
        """Deliver a caller's request to the entry process now."""
        call_id = CallId(number)
        self.feed(ENTRY, CallArrived(Call(call_id, request)))
        return call_id

    def schedule_call(self, pause: float, request: Request) -> CallId:
        """Schedule the arrival of a caller's request."""
        self.counter += 1
        call = Call(CallId(self.counter), request)
        self.schedule(pause, ENTRY, CallArrived(call))
        return call.call_id

    def feed(self, node_id: NodeId, event: Event) -> None:
        """Process an event at a process now, and perform the effects."""
        wall = WALL + self.now + self.wall_offsets.get(node_id, 0)
        moment = Moment(Seconds(self.now), Seconds(wall))
        occurrence = Occurrence(moment, event)
        self._perform(node_id, reduce(self.nodes[node_id], occurrence))

    def schedule(self, delay: float, node_id: NodeId, event: Event) -> int:
        """Schedule an event at a process; return its number."""
        self.counter += 1
        entry = (self.now + delay, self.counter, node_id, event)
        heappush(self.queue, entry)
        return self.counter

    def run(self, duration: float = 5) -> None:
        """Process all events that are due within a duration."""
        end = self.now + duration
        while self.queue and self.queue[0][0] <= end:
            due, number, node_id, event = heappop(self.queue)
            self.now = due
            if self._is_current(number, node_id, event):
                self.feed(node_id, event)
        self.now = end

    def last_answer(self, call_id: CallId) -> Answer:
        """Return a caller's answer, which must be the only one."""
        answers = self.answers[call_id]
        assert len(answers) == 1
        return answers[0]

    def end(
        self,
        node_id: NodeId,
        effect: RunAttempt,
        verdict: AttemptVerdict,
        delay: float = SERVICE_TIME,
    ) -> None:
        """Schedule the end of an attempt with a verdict."""
        reply = None
        if verdict is AttemptVerdict.answered:
            reply = Reply(200, 'text/plain', effect.request.body)
        event = AttemptEnded(effect.server, effect.attempt, verdict, reply)
        self.schedule(delay, node_id, event)

    def record_run(self, node_id: NodeId, effect: RunAttempt) -> None:
        """Record that the fake server has run a request."""
        key = effect.request.idempotency_key
        name = effect.request.body.decode() if key is None else key.token
        dispatching = self.nodes[node_id].dispatching
        ticket = dispatching.tickets[effect.attempt]
        call_id = self.forwarded[ticket.origin.attempt]
        self.ran.append(Run(name, call_id, effect.server))

    def count_runs(self, name: str) -> int:
        """Count the runs of a token, or of a body of requests without one."""
        return sum(run.name == name for run in self.ran)

    def perform(self, node_id: NodeId, effect: Effect) -> None:
        """Perform one effect without any fault."""
        match effect:
            case SendMessage(target, message):
                event = MessageReceived(node_id, message)
                self.schedule(HOP, target, event)
            case SetTimer(timer, delay):
                expiry = TimerExpired(timer)
                number = self.schedule(delay, node_id, expiry)
                self.timers[node_id, timer] = number
            case CancelTimer(timer):
                self.timers.pop((node_id, timer), None)
            case RunAttempt():
                self.record_run(node_id, effect)
                self.end(node_id, effect, AttemptVerdict.answered)
            case CancelAttempt():
                self.cancelled.add((node_id, effect.attempt))
            case AnswerCaller(call_id, answer):
                self.answers.setdefault(call_id, []).append(answer)
                self.answered_at[call_id] = self.now

    def _is_current(self, number: int, node_id: NodeId, event: Event) -> bool:
        if node_id not in self.nodes:
            return False
        if isinstance(event, TimerExpired):
            return self.timers.get((node_id, event.timer)) == number
        return True

    def _perform(self, node_id: NodeId, effects: Effects) -> None:
        for effect in effects:
            self.effects.append((node_id, effect))
            if isinstance(effect, SendMessage):
                self._record_forward(effect.message)
            if self.hook is None or not self.hook(self, node_id, effect):
                self.perform(node_id, effect)

    def _record_forward(self, message: Message) -> None:
        if isinstance(message, Forward):
            routing = self.nodes[ENTRY].routing
            call_id = routing.attempts[message.attempt]
            self.forwarded[message.attempt] = call_id


def build_bench(configuration: Configuration | None = None) -> Bench:
    """Build an entry process and two dispatchers, the first with the role."""
    nodes = {
        name: build_node(_build_options(name, seed))
        for seed, name in enumerate((ENTRY, FIRST, SECOND))
    }
    for node in nodes.values():
        node.view.put_configuration(configuration or build_configuration())
        node.view.applied = Offset(6)
    bench = Bench(nodes)
    assign_role(bench, FIRST, TERM)
    assign_shard(bench, SERVER, EPOCH)
    return bench


def assign_role(
    bench: Bench,
    dispatcher: NodeId,
    term: Epoch,
    server: ServerId = SERVER,
) -> None:
    """Apply a claim to every process's view."""
    for node in bench.nodes.values():
        former = node.view.roles.get(server)
        former_term = FIRST_EPOCH if former is None else former.term
        claim_set = (FIRST, SECOND)
        role = Role(dispatcher, term, claim_set, former_term)
        node.view.roles[server] = role
        node.view.applied = max(node.view.applied, term.offset)


def assign_shard(bench: Bench, server: ServerId, epoch: Epoch) -> None:
    """Apply an assignment or a move to every process's view."""
    for node in bench.nodes.values():
        node.view.put_owner(SHARD, _follow_owner(node, server, epoch))
        node.view.applied = max(node.view.applied, epoch.offset)


def _follow_owner(node: Node, server: ServerId, epoch: Epoch) -> Ownership:
    former = node.view.owners.get(SHARD)
    if former is None:
        return Ownership(server, epoch, first=True)
    role = node.view.roles[former.server]
    return Ownership(server, epoch, former.epoch, role.term)


def _build_options(name: NodeId, seed: int) -> Options:
    return Options(
        node=name,
        zone=ZONE,
        region=REGION,
        site=SITE,
        host='127.0.0.1',
        port=1,
        dispatches=name != ENTRY,
        peers=(),
        seed=seed,
    )
