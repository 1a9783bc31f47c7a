"""Send requests to a simulated fleet while its gateways are in trouble."""

from dataclasses import dataclass, field
from functools import partial
from random import Random

from measure.gatewayworld import World
from trefoilsaddle.core.units import CallId, NodeId, Seconds
from trefoilsaddle.gateway.keys import LAST_KEY

KEYED_PATH = '/reads/1'
PLAIN_PATH = '/pay/1'


@dataclass(slots=True)
class FleetLoad:
    """Send requests, for random keys if any, to random live gateways."""

    world: World
    names: tuple[str, ...]
    path: str
    # Requests per second.
    rate: float
    sent: list[CallId] = field(default_factory=list)

    def begin(self, seconds: Seconds) -> None:
        """Send requests for a time."""
        self._send(self.world.now + seconds, Random(1))

    def restart(self, names: tuple[str, ...]) -> None:
        """Start gateways anew."""
        for name in names:
            self.world.start_gateway(name)

    def cut_half(self, *, away: bool) -> None:
        """Cut every second gateway off from the others, or heal the cut."""
        for name in self.names[::2]:
            self.world.processes[NodeId(name)].peers_cut = away

    def _send(self, end: float, random: Random) -> None:
        living = [
            name
            for name in self.names
            if self.world.processes[NodeId(name)].alive
        ]
        if living:
            drawn = random.randint(0, LAST_KEY)
            key = drawn if self.path == KEYED_PATH else None
            name = random.choice(living)
            self.sent.append(self.world.call(name, self.path, key))
        if self.world.now < end:
            again = partial(self._send, end, random)
            self.world.after(1 / self.rate, again)


def name_gateways(count: int) -> tuple[str, ...]:
    """Return the names of a fleet's gateways."""
    return tuple(f'gate-{number}' for number in range(count))
