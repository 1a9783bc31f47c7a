"""Imitate backend servers and the links to them, with their faults."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from measure.schedule import Action, Schedule
from standins.serverstate import ServerState, ServerTraits
from trefoilsaddle.core.units import NodeId, Seconds, ServerId

# One way, in seconds.
_NEAR = 0.0005


@dataclass(slots=True)
class FakeServer:
    """Hold one server; a frozen one keeps what arrives in its sockets."""

    traits: ServerTraits
    schedule: Schedule
    # Seconds of its own clock that pass in a second.
    rate: float = 1
    alive: bool = True
    frozen: bool = False
    backlog: list[Action] = field(default_factory=list)
    state: ServerState = field(init=False)

    def __post_init__(self) -> None:
        """Start the server."""
        self.state = ServerState(self.traits, self.clock)

    @property
    def clock(self) -> Seconds:
        """Return the time of the server's own clock."""
        return Seconds(self.schedule.now * self.rate)

    def receive(self, action: Action, refuse: Action) -> None:
        """Act on a call, now or on waking, or refuse the connection."""
        if self.frozen:
            self.backlog.append(action)
        elif self.alive:
            action()
        else:
            refuse()

    def wake(self) -> None:
        """Go on as if nothing had happened."""
        self.frozen = False
        backlog = self.backlog
        self.backlog = []
        for action in backlog:
            action()

    def stop(self) -> None:
        """Lose the server and all that it holds."""
        self.alive = False
        self.frozen = False
        self.backlog.clear()

    def restart(self) -> None:
        """Start again with nothing remembered."""
        instance = '+'.join((self.traits.instance, 'again'))
        self.traits = replace(self.traits, instance=instance)
        self.state = ServerState(self.traits, self.clock)
        self.alive = True


@dataclass(slots=True)
class ServerLinks:
    """Hold the faults of the links between dispatchers and servers."""

    schedule: Schedule
    draw: Callable[[], float]
    cuts: set[tuple[NodeId, ServerId]] = field(default_factory=set)
    # Links that carry calls, but no replies.
    mute: set[tuple[NodeId, ServerId]] = field(default_factory=set)
    # Fraction of calls, and of replies, that get lost.
    lost_calls: float = 0
    lost_replies: float = 0
    # Fraction of calls that are held up, and for how long at most.
    slow_calls: float = 0
    slowness: float = 0

    def carry_call(self, node: NodeId, server: ServerId, act: Action) -> None:
        """Bring a call to a server, late or never."""
        if (node, server) in self.cuts or self.draw() < self.lost_calls:
            return
        delay = _NEAR * (1 + self.draw())
        if self.draw() < self.slow_calls:
            delay += self.slowness * self.draw()
        self.schedule.add(delay, act)

    def carry_reply(self, node: NodeId, server: ServerId, act: Action) -> None:
        """Bring a reply back, or lose it."""
        link = (node, server)
        if link in self.cuts | self.mute or self.draw() < self.lost_replies:
            return
        self.schedule.add(_NEAR * (1 + self.draw()), act)
