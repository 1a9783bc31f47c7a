"""Describe the deployments and the scenes of the service measurements.

Each service is served by servers of its own, and every service has work of
all three ranks: looking a price up for a checkout is as urgent as the
checkout, a nightly export from the fee servers can wait.  The shares of the
ranks in each service's ordinary traffic are assumed, see `Service.mix`.
"""

from dataclasses import dataclass
from enum import Enum, unique

RANK_NAMES = ('payment', 'lookup', 'intake')
SLOTS = 3


@dataclass(frozen=True, slots=True)
class Service:
    """Describe one service and the work that one of its servers gets."""

    name: str
    servers: int
    # Mean service time in seconds; log-normal.
    mean: float
    # Part of each rank in the ordinary traffic.
    mix: tuple[float, float, float]

    def capacity(self) -> float:
        """Return the requests per second that one server can run."""
        return SLOTS / self.mean


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe one of the brief's two deployments."""

    name: str
    services: tuple[Service, ...]
    members: tuple[str, ...]
    worths: tuple[float, float, float]


KUSHIRO = Deployment(
    name='Kushiro',
    services=(
        Service('catalogue', 20, 0.008, (0.05, 0.8, 0.15)),
        Service('intake', 13, 0.04, (0.1, 0.2, 0.7)),
        Service('checkout', 8, 0.03, (0.7, 0.2, 0.1)),
    ),
    members=('kushiro',),
    worths=(20, 3, 1),
)
CONSORTIUM = Deployment(
    name='consortium',
    services=(
        Service('listings', 14, 0.006, (0.05, 0.85, 0.1)),
        Service('filings', 8, 0.06, (0.1, 0.2, 0.7)),
        Service('fees', 8, 0.03, (0.7, 0.2, 0.1)),
    ),
    members=('north', 'south', 'east', 'west'),
    worths=(10, 5, 2),
)
DEPLOYMENTS = (KUSHIRO, CONSORTIUM)

# Of one server's time; lower ranks are guaranteed theirs.
SHARES = (0.6, 0.2, 0.1)
# Wanted latency and the callers' deadlines, in seconds.
TARGETS = (0.15, 0.1, 1.0)
DEADLINES = (2.0, 1.0, 4.0)
# Ordinary traffic as a part of the capacity.
ORDINARY_LOAD = 0.5
# Spread of the logarithm of the service times.
SERVICE_SPREAD = 0.5
# Part of the callers whose entry host is in the other region.
FAR_CALLERS = 0.3
NEAR_DELAY = 0.0005
FAR_DELAY = 0.01
QUEUE_LIMIT = 200


@unique
class Trouble(Enum):
    """Name what a scene does to the servers or the messages."""

    nothing = 'nothing'
    freeze = 'freeze'
    cold = 'cold'
    shed = 'shed'
    lossy = 'lossy'


@dataclass(frozen=True, slots=True)
class Scene:
    """Describe one measurement."""

    name: str
    trouble: Trouble = Trouble.nothing
    # Rank that floods in, and how much, in multiples of the capacity.
    flood_rank: int = 0
    flood: float = 0
    # Only the first service's server is flooded, by one key.
    hot_key: bool = False
    # Begin and end of the trouble or the flood, and of all arrivals.
    begin: float = 2.0
    end: float = 6.0
    last: float = 8.0


SCENES = (
    Scene('ordinary day'),
    Scene('flood of the least urgent, 5x', flood_rank=2, flood=5),
    Scene('flood of the least urgent, 20x', flood_rank=2, flood=20),
    Scene('flood of the most urgent, 5x', flood_rank=0, flood=5),
    Scene('hot key', flood_rank=1, flood=2.5, hot_key=True),
    Scene('server frozen', Trouble.freeze, end=4.0),
    Scene('server cold', Trouble.cold, begin=0),
    Scene('server shedding', Trouble.shed),
    Scene('lossy reports', Trouble.lossy, flood_rank=2, flood=5),
)
