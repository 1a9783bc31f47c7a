"""Deployments and scenes of the service measurements.

Each service has its own servers, and every service gets requests of all three
ranks: a price look-up for a checkout is as urgent as the checkout, and a
nightly export from the fee servers can wait.  The shares of the ranks in each
service's ordinary traffic, see `Service.mix`, are assumptions.
"""

from dataclasses import dataclass
from enum import Enum, unique

RANK_NAMES = ('payment', 'lookup', 'intake')
SLOTS = 3


@dataclass(frozen=True, slots=True)
class Service:
    """Service with its service time and the mix of its requests."""

    name: str
    servers: int
    # Mean service time in seconds; log-normal.
    mean: float
    # Fraction of each rank in the ordinary traffic.
    mix: tuple[float, float, float]

    def capacity(self) -> float:
        """Return the capacity of one server, in requests per second."""
        return SLOTS / self.mean


@dataclass(frozen=True, slots=True)
class Deployment:
    """One of the two deployments of the users' requirements."""

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

# Fraction of a server's time for each rank. Lower ranks are guaranteed theirs
# while more urgent ones wait.
SHARES = (0.6, 0.2, 0.1)
# Target latency and callers' deadline for each rank, in seconds.
TARGETS = (0.15, 0.1, 1.0)
DEADLINES = (2.0, 1.0, 4.0)
# Ordinary traffic as a fraction of the capacity.
ORDINARY_LOAD = 0.5
# Standard deviation of the logarithm of the service times.
SERVICE_SPREAD = 0.5
# Fraction of the callers whose entry host is in the other region.
FAR_CALLERS = 0.3
NEAR_DELAY = 0.0005
FAR_DELAY = 0.01
QUEUE_LIMIT = 200


@unique
class FaultKind(Enum):
    """Fault of the servers or messages in a scene."""

    nothing = 'nothing'
    freeze = 'freeze'
    cold = 'cold'
    shed = 'shed'
    lossy = 'lossy'


@dataclass(frozen=True, slots=True)
class Scene:
    """Conditions of one measurement: fault, flood and times."""

    name: str
    fault: FaultKind = FaultKind.nothing
    # Rank of the flood, and its rate as a multiple of the capacity.
    flood_rank: int = 0
    flood: float = 0
    # The flood goes to one key, so only the first service's server gets it.
    hot_key: bool = False
    # Begin and end of the fault or the flood, and the end of all arrivals.
    begin: float = 2.0
    end: float = 6.0
    last: float = 8.0


SCENES = (
    Scene('ordinary day'),
    Scene('flood of the least urgent, 5x', flood_rank=2, flood=5),
    Scene('flood of the least urgent, 20x', flood_rank=2, flood=20),
    Scene('flood of the most urgent, 5x', flood_rank=0, flood=5),
    Scene('hot key', flood_rank=1, flood=2.5, hot_key=True),
    Scene('server frozen', FaultKind.freeze, end=4.0),
    Scene('server cold', FaultKind.cold, begin=0),
    Scene('server shedding', FaultKind.shed),
    Scene('lossy reports', FaultKind.lossy, flood_rank=2, flood=5),
)
