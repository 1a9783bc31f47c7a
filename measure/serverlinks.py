"""Simulated backend servers and the links to them, with faults."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from measure.schedule import Action, Schedule
from standins.serverstate import ServerState, ServerTraits
from trefoilsaddle.core.units import NodeId, Seconds, ServerId

# One-way delay, in seconds.
_NEAR = 0.0005


@dataclass(slots=True)
class FakeServer:
    """Server that queues incoming calls while frozen, as its sockets would."""

    traits: ServerTraits
    schedule: Schedule
    # Rate of its own clock relative to the simulation's.
    rate: float = 1
    alive: bool = True
    frozen: bool = False
    backlog: list[Action] = field(default_factory=list)
    state: ServerState = field(init=False)

    def __post_init__(self) -> None:
        """Start the server with an empty state."""
        self.state = ServerState(self.traits, self.clock)

    @property
    def clock(self) -> Seconds:
        """Return the time by the server's own clock."""
        return Seconds(self.schedule.now * self.rate)

    def receive(self, action: Action, refuse: Action) -> None:
        """Handle a call now, queue it while frozen, or refuse when stopped."""
        if self.frozen:
            self.backlog.append(action)
        elif self.alive:
            action()
        else:
            refuse()

    def wake(self) -> None:
        """Unfreeze the server and handle the queued calls."""
        self.frozen = False
        backlog = self.backlog
        self.backlog = []
        for action in backlog:
            action()

    def stop(self) -> None:
        """Stop the server and drop its queued calls."""
        self.alive = False
        self.frozen = False
        self.backlog.clear()

    def restart(self) -> None:
        """Restart with an empty state and a new instance id."""
        instance = '+'.join((self.traits.instance, 'again'))
        self.traits = replace(self.traits, instance=instance)
        self.state = ServerState(self.traits, self.clock)
        self.alive = True


@dataclass(slots=True)
class ServerLinks:
    """Links between dispatchers and servers, with their faults."""

    schedule: Schedule
    draw: Callable[[], float]
    cuts: set[tuple[NodeId, ServerId]] = field(default_factory=set)
    # Links that deliver calls but no replies.
    reply_cuts: set[tuple[NodeId, ServerId]] = field(default_factory=set)
    # Fractions of calls and of replies that are lost.
    lost_calls: float = 0
    lost_replies: float = 0
    # Fraction of calls that are delayed, and their longest further delay.
    slow_calls: float = 0
    max_slow_delay: float = 0

    def carry_call(self, node: NodeId, server: ServerId, act: Action) -> None:
        """Deliver a call to a server, unless a fault delays or loses it."""
        if (node, server) in self.cuts or self.draw() < self.lost_calls:
            return
        delay = _NEAR * (1 + self.draw())
        if self.draw() < self.slow_calls:
            delay += self.max_slow_delay * self.draw()
        self.schedule.add(delay, act)

    def carry_reply(self, node: NodeId, server: ServerId, act: Action) -> None:
        """Deliver a reply to a dispatcher, unless a fault loses it."""
        link = (node, server)
        if (
            link in self.cuts | self.reply_cuts
            or self.draw() < self.lost_replies
        ):
            return
        self.schedule.add(_NEAR * (1 + self.draw()), act)
