"""Discrete-event simulation of gateways, a store, servers and callers.

The gateways run the product's reducer; everything around them is a model.
Tests inject faults and check that no key ever has two owners; measurements
count the answers to callers.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from random import Random
from typing import Any

from measure.worldcalls import CallResult
from measure.worlddials import Dials
from measure.worldfaults import Faults
from measure.worldlinks import (
    LOCAL_DELAY,
    Action,
    Purpose,
    RegionLinks,
    Route,
    build_parcel,
)
from measure.worldoptions import (
    ZONE,
    Machine,
    Regions,
    build_options,
    build_regions,
)
from measure.worldpeers import MESSAGE_EVENTS, Peers
from measure.worldprocess import Process
from measure.worldservers import Work, WorldServer, check_grant
from measure.worldsizes import ANSWER_BYTES, ORDER_BYTES, REQUEST_BYTES
from measure.worldstore import WorldStore
from measure.worldstorecalls import StoreCalls
from measure.worldworker import (
    Order,
    OrderWorker,
    Reply,
    Worker,
    build_unanswered,
)
from trefoilsaddle.core.units import (
    CallId,
    NodeId,
    RegionName,
    Seconds,
    ServerId,
    ServiceName,
    ZoneName,
)
from trefoilsaddle.gateway.configuration import Configuration
from trefoilsaddle.gateway.effects import (
    AppendTable,
    CancelAttempts,
    DeliverAnswer,
    Effect,
    EndCall,
    ExitProcess,
    GrantKeys,
    JoinGroup,
    LeaveGroup,
    ReadTopic,
    ReleaseKeys,
    SendAttempt,
    SetCallTimer,
    SetTimer,
)
from trefoilsaddle.gateway.events import (
    AttemptEnded,
    AttemptVerdict,
    CallExpired,
    Event,
    OrderEnded,
    OrderVerdict,
    RequestArrived,
    RequestHead,
    Started,
    TimerExpired,
)
from trefoilsaddle.gateway.keys import Key, KeyRange
from trefoilsaddle.gateway.options import GatewayOptions
from trefoilsaddle.gateway.reducer import reduce
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gateway.state import build_gateway

_OK = 200
_ORDER = build_parcel(Purpose.orders, ORDER_BYTES)
_REQUEST = build_parcel(Purpose.requests, REQUEST_BYTES)
_ANSWER = build_parcel(Purpose.requests, ANSWER_BYTES)
_Adjust = Callable[[GatewayOptions], GatewayOptions]


@dataclass(order=True, slots=True)
class _ScheduledAction:
    at: Seconds
    sequence: int
    act: Action = field(compare=False)


@dataclass(slots=True)
class World:
    """Simulation with its clock, processes, servers and faults."""

    random: Random
    now: Seconds = Seconds(100)
    store: WorldStore = field(default_factory=WorldStore)
    faults: Faults = field(default_factory=Faults)
    processes: dict[NodeId, Process] = field(default_factory=dict)
    servers: list[WorldServer] = field(default_factory=list)
    results: dict[CallId, CallResult] = field(default_factory=dict)
    work_time: Callable[[], Seconds] = lambda: Seconds(0.1)
    # Delay of reports at a busy controller.
    report_lag: Seconds = Seconds(0)
    # Servers to which the controller has an open connection.
    open_connections: set[ServerIncarnation] = field(default_factory=set)
    # Processor time of a gateway to send an order, and the same for its answer.
    order_turn: Seconds = Seconds(0)
    # Processor time of a gateway for each message received from another one, or
    # sent to it.
    message_turn: Seconds = Seconds(0)
    # Region of each zone.
    regions: Regions = field(default_factory=build_regions)
    links: RegionLinks = field(init=False)
    dials: Dials = field(init=False)
    peers: Peers = field(init=False)
    calls: StoreCalls = field(init=False)
    # Changes the options of gateways that are started later.
    adjust: _Adjust = lambda options: options
    # True while gateways are started with the whole system.
    first_start: bool = False
    _heap: list[_ScheduledAction] = field(default_factory=list)
    _sequence: int = 0
    _runs: int = 0

    def __post_init__(self) -> None:
        """Connect the parts of the simulation."""
        self.links = RegionLinks(self.after, lambda: self.now)
        self.dials = Dials(self)
        self.peers = Peers(self, self.dials)
        self.calls = StoreCalls(self)

    def after(self, delay: float, act: Action) -> None:
        """Schedule an action after a delay in seconds."""
        self._sequence += 1
        due = _ScheduledAction(Seconds(self.now + delay), self._sequence, act)
        heappush(self._heap, due)

    def run(self, seconds: float) -> None:
        """Run all actions that are due within some seconds."""
        end = self.now + seconds
        while self._heap and self._heap[0].at <= end:
            due = heappop(self._heap)
            self.now = due.at
            due.act()
        self.now = Seconds(end)

    # Gateways.

    def start_gateway(
        self, name: str, speed: float = 2, machine: Machine | None = None
    ) -> Process:
        """Start a gateway, or restart it with a new incarnation.

        One that is restarted without a machine stays in its zone.
        """
        self._runs += 1
        node = NodeId(name)
        if node in self.processes:
            self.kill_gateway(name)
        if machine is None:
            machine = self._find_machine(node, speed)
        options = build_options(
            name,
            self._runs,
            machine,
            self.regions,
            first_start=self.first_start,
        )
        process = Process(
            build_gateway(self.adjust(options)),
            worker=OrderWorker(self.order_turn),
            inbox=Worker(self.message_turn),
        )
        self.processes[node] = process
        self.feed(process, Started())
        return process

    def kill_gateway(self, name: str) -> None:
        """Kill a gateway; the others lose their links to it."""
        process = self.processes[NodeId(name)]
        process.alive = False
        self.dials.close_all(NodeId(name))

    def feed(self, process: Process, event: Event) -> None:
        """Reduce an event at a live gateway and carry out the effects."""
        if isinstance(event, MESSAGE_EVENTS):
            process.inbox.take_turn(self.now)
        delay = process.inbox.find_wait(self.now)
        if delay:
            self.after(delay, partial(self._reduce, process, event))
        else:
            self._reduce(process, event)

    def find_controller(self) -> Process | None:
        """Return the gateway that acts as the controller, if any."""
        for process in self.processes.values():
            if process.alive and process.gateway.control.leading:
                return process
        return None

    # Servers.

    def add_server(
        self,
        name: str,
        service: str,
        speed: float = 1,
        born: int = 1,
        zone: ZoneName = ZONE,
        slots: int = 3,
    ) -> WorldServer:
        """Start a server and write its entry to the store."""
        entry = Server(
            ServerIncarnation(ServerId(name), born),
            ServiceName(service),
            name,
            80,
            zone,
            slots=slots,
            draining=False,
            warm_up_left=Seconds(0),
        )
        server = WorldServer(entry, speed)
        self.servers.append(server)
        self.store.write_server(entry)
        return server

    def drain_server(self, server: WorldServer) -> None:
        """Mark a server's entry as draining."""
        server.entry = replace(server.entry, draining=True)
        self.store.write_server(server.entry)

    def crash_server(self, server: WorldServer) -> None:
        """Stop a server; its entry expires later."""
        server.up = False
        server.running.clear()
        server.waiting.clear()
        name = server.entry.life.server
        self.after(2.6, lambda: self._lapse_entry(name))

    # Callers.

    def call(
        self,
        node: str,
        path: str,
        key: int | None = None,
        remaining: float = 4,
        rank: int = 0,
    ) -> CallId:
        """Send a caller's request to a gateway and return its id."""
        call = CallId(len(self.results) + 1)
        self.results[call] = CallResult(self.now, rank)
        head = RequestHead(
            f'request-{call}',
            'shop.example',
            path,
            None if key is None else Key(key),
            Seconds(remaining),
            0,
        )
        self.feed(self.processes[NodeId(node)], RequestArrived(call, head))
        return call

    def find_holders(self, key: int, service: str) -> list[WorldServer]:
        """Return the live servers of a service that hold a key."""
        return [
            server
            for server in self.servers
            if server.up
            and server.entry.service == service
            and server.holds(Key(key), self.now)
        ]

    # Effects.

    def _find_machine(self, node: NodeId, speed: float) -> Machine:
        earlier = self.processes.get(node)
        if earlier is None:
            return Machine(speed)
        options = earlier.gateway.options
        return Machine(speed, options.zone, options.link_rate)

    def _reduce(self, process: Process, event: Event) -> None:
        if not process.alive:
            return
        for effect in reduce(process.gateway, self.now, event):
            self._perform(process, effect)

    def _perform(self, process: Process, effect: Effect) -> None:
        actions: dict[type, Callable[[Process, Any], None]] = {
            **self.peers.list_actions(),
            SetTimer: self._set_timer,
            SetCallTimer: self._set_call_timer,
            ReadTopic: self.calls.read,
            AppendTable: self.calls.append,
            JoinGroup: self.calls.join,
            LeaveGroup: self.calls.leave,
            GrantKeys: self._queue_order,
            ReleaseKeys: self._queue_order,
            SendAttempt: self._send_attempt,
            CancelAttempts: self._cancel_attempts,
            DeliverAnswer: self._deliver,
            EndCall: self._end_call,
            ExitProcess: self._exit,
        }
        action = actions.get(type(effect))
        if action is not None:
            action(process, effect)

    def _set_timer(self, process: Process, effect: SetTimer) -> None:
        token = process.timers.get(effect.kind, 0) + 1
        process.timers[effect.kind] = token

        def expire() -> None:
            if process.timers[effect.kind] == token:
                self.feed(process, TimerExpired(effect.kind))

        self.after(effect.delay, expire)

    def _set_call_timer(self, process: Process, effect: SetCallTimer) -> None:
        event = CallExpired(effect.call)
        self.after(effect.delay, lambda: self.feed(process, event))

    def _queue_order(self, process: Process, order: Order) -> None:
        worker = process.worker
        number = worker.open_order()
        options = process.gateway.options
        timeout = options.grant_timeout
        if isinstance(order, ReleaseKeys):
            timeout = options.release_timeout
        if worker.turn or self._is_far(process, build_unanswered(order)):
            end = partial(self._time_out_order, process, number, order)
            self.after(timeout, end)
        send = partial(self._send_order, process, number, order)
        self._take_turn(process, send)

    def _send_order(self, process: Process, number: int, order: Order) -> None:
        if not process.alive or number not in process.worker.open:
            return
        reply = partial(self._handle_reply, process, number)
        unknown = build_unanswered(order)
        if unknown.incarnation.server in process.unreachable:
            self.after(0.3, partial(reply, unknown))
        elif isinstance(order, GrantKeys):
            if self._is_connected(order.server.life):
                process.worker.connected.add(number)
            self._grant(process.region, order, reply)
        else:
            self._release(process.region, order, reply)

    def _is_far(self, process: Process, ended: OrderEnded) -> bool:
        server = self._find_server(ended.incarnation)
        if server is None:
            return False
        return not self._find_route(process.region, server).is_local

    def _find_route(self, region: RegionName, server: WorldServer) -> Route:
        return Route(region, self.regions[server.entry.zone])

    def _is_connected(self, incarnation: ServerIncarnation) -> bool:
        server = self._find_server(incarnation)
        if server is None or not server.up:
            return False
        return not server.cut or incarnation in self.open_connections

    def _time_out_order(
        self, process: Process, number: int, order: Order
    ) -> None:
        """End a timed-out order; a grant without a connection is rejected."""
        ended = build_unanswered(order)
        grants = isinstance(order, GrantKeys)
        if grants and number not in process.worker.connected:
            ended = replace(ended, verdict=OrderVerdict.rejected)
        self._end_order(process, number, ended)

    def _handle_reply(
        self,
        process: Process,
        number: int,
        ended: OrderEnded,
    ) -> None:
        if number in process.worker.open:
            self._take_turn(
                process, partial(self._end_order, process, number, ended)
            )

    def _take_turn(self, process: Process, act: Action) -> None:
        delay = process.worker.take_turn(self.now)
        if delay:
            self.after(delay, act)
        else:
            act()

    def _end_order(
        self,
        process: Process,
        number: int,
        ended: OrderEnded,
    ) -> None:
        if process.worker.close_order(number):
            self.feed(process, ended)

    def _grant(
        self, sender: RegionName, effect: GrantKeys, reply: Reply
    ) -> None:
        server = self._find_server(effect.server.life)
        ended = build_unanswered(effect)
        incarnation = effect.server.life
        if server is None or not server.up:
            # No connection can be opened, so nothing is written.
            unsent = replace(ended, verdict=OrderVerdict.rejected)
            self.after(0.3, lambda: reply(unsent))
            return
        if server.cut:
            self._lose_grant(incarnation, ended, reply)
            return
        self.open_connections.add(incarnation)
        if self.random.random() < self.faults.queued_orders:
            delay = 0.3 + self.random.uniform(0, self.faults.max_queue_delay)
            self.after(
                delay,
                lambda: self._apply_late(server, effect, self.now),
            )
            self.after(0.3, lambda: reply(ended))
            return
        if self.random.random() < self.faults.late_orders:
            arrived = Seconds(self.now + LOCAL_DELAY)
            delay = self.random.uniform(0.5, self.faults.max_late_delay)
            self.after(
                delay,
                lambda: self._apply_late(server, effect, arrived),
            )
            self.after(0.3, lambda: reply(ended))
            return

        def arrive() -> None:
            verdict = self._apply(server, effect, self.now)
            done = replace(ended, verdict=verdict)
            self.links.carry(route.reverse(), _ORDER, lambda: reply(done))

        route = self._find_route(sender, server)
        self.links.carry(route, _ORDER, arrive)

    def _lose_grant(
        self,
        incarnation: ServerIncarnation,
        ended: OrderEnded,
        reply: Reply,
    ) -> None:
        """Lose a grant on an open connection, or fail to open a new one."""
        if incarnation not in self.open_connections:
            ended = replace(ended, verdict=OrderVerdict.rejected)
        self.open_connections.discard(incarnation)
        self.after(0.3, lambda: reply(ended))

    def _apply_late(
        self,
        server: WorldServer,
        effect: GrantKeys,
        arrived: Seconds,
    ) -> None:
        self._apply(server, effect, arrived)

    def _apply(
        self,
        server: WorldServer,
        effect: GrantKeys,
        arrived: Seconds,
    ) -> OrderVerdict:
        if not server.up or arrived + effect.hold < self.now:
            return OrderVerdict.rejected
        verdict = server.grant(effect.keys, effect.fence, effect.hold, arrived)
        if verdict == OrderVerdict.done:
            check_grant(
                self.servers, server, effect.keys, effect.fence, self.now
            )
        return verdict

    def _release(
        self, sender: RegionName, effect: ReleaseKeys, reply: Reply
    ) -> None:
        server = self._find_server(effect.incarnation)
        ended = build_unanswered(effect)
        if server is None or server.cut or not server.up:
            self.after(0.3, lambda: reply(ended))
            return

        def arrive() -> None:
            server.release(effect.keys)
            answer = partial(
                self.links.carry,
                route.reverse(),
                _ORDER,
                partial(
                    reply,
                    replace(ended, verdict=OrderVerdict.done, handover='left'),
                ),
            )
            self._answer_release(answer, server, effect.keys)

        route = self._find_route(sender, server)
        self.links.carry(route, _ORDER, arrive)

    def _answer_release(
        self,
        answer: Action,
        server: WorldServer,
        keys: KeyRange,
    ) -> None:
        busy = any(
            work.key is not None and keys.contains(work.key)
            for work in server.running.values()
        )
        if busy:
            self.after(
                0.02,
                lambda: self._answer_release(answer, server, keys),
            )
            return
        answer()

    # Requests.

    def _send_attempt(self, process: Process, effect: SendAttempt) -> None:
        self.results[effect.call].attempts += 1
        server = self._find_server(effect.server.life)
        if server is None or server.cut or not server.up:
            return
        work = Work(
            effect.call,
            effect.attempt,
            process.gateway.options.node,
            effect.key,
            Seconds(self.work_time() / server.speed),
        )
        route = self._find_route(process.region, server)
        arrive = partial(self._arrive, server, work)
        self.links.carry(route, _REQUEST, arrive)

    def _arrive(self, server: WorldServer, work: Work) -> None:
        server.record_arrival(work.sender, self.now)
        if work.key is not None and not server.holds(work.key, self.now):
            self._answer(server, work, AttemptVerdict.misdirected)
        elif len(server.running) < server.entry.slots:
            self._begin(server, work)
        elif len(server.waiting) < server.queue_limit:
            server.waiting.append(work)
        elif server.resets:
            self._answer(server, work, AttemptVerdict.lost)
        else:
            self._answer(server, work, AttemptVerdict.shed)

    def _begin(self, server: WorldServer, work: Work) -> None:
        server.running[work.call] = work
        self.after(work.duration, lambda: self._finish(server, work))

    def _finish(self, server: WorldServer, work: Work) -> None:
        if not server.up or server.running.pop(work.call, None) is None:
            return
        self._answer(server, work, AttemptVerdict.answered)
        while server.waiting and len(server.running) < server.entry.slots:
            self._begin(server, server.waiting.popleft())

    def _answer(
        self, server: WorldServer, work: Work, verdict: AttemptVerdict
    ) -> None:
        process = self.processes[NodeId(work.sender)]
        status = _OK if verdict == AttemptVerdict.answered else 0
        server.record_answer(work.sender, self.now)
        statement = None
        if verdict != AttemptVerdict.lost:
            statement = server.build_statement()
        event = AttemptEnded(
            work.call, work.attempt, verdict, status, statement
        )
        route = self._find_route(process.region, server).reverse()
        feed = partial(self.feed, process, event)
        self.links.carry(route, _ANSWER, feed)

    def _cancel_attempts(
        self,
        process: Process,
        effect: CancelAttempts,
    ) -> None:
        for server in self.servers:
            kept = [
                waiting
                for waiting in server.waiting
                if waiting.call != effect.call
            ]
            server.waiting.clear()
            server.waiting.extend(kept)
            work = server.running.pop(effect.call, None)
            if work is not None and server.waiting:
                self._begin(server, server.waiting.popleft())

    def _deliver(self, process: Process, effect: DeliverAnswer) -> None:
        result = self.results[effect.call]
        result.ended = self.now
        result.served = True

    def _exit(self, process: Process, effect: ExitProcess) -> None:
        self.kill_gateway(process.gateway.options.node)

    def _end_call(self, process: Process, effect: EndCall) -> None:
        result = self.results[effect.call]
        result.ended = self.now
        result.not_run = effect.not_run
        result.code = effect.code
        result.retry_after = effect.retry_after

    def _find_server(
        self, incarnation: ServerIncarnation
    ) -> WorldServer | None:
        for server in reversed(self.servers):
            if server.entry.life.server == incarnation.server:
                return server
        return None

    def _lapse_entry(self, name: ServerId) -> None:
        if not any(
            server.up and server.entry.life.server == name
            for server in self.servers
        ):
            self.store.remove_server(name)


def build_world(
    configuration: Configuration,
    gateways: Iterable[str],
    seed: int = 1,
) -> World:
    """Build a simulation and start its gateways."""
    world = World(Random(seed))
    world.store.write_configuration(configuration)
    world.first_start = True
    for name in gateways:
        world.start_gateway(name)
    world.first_start = False
    return world
