"""Random streams of calls, the same for every policy and scene."""

from collections.abc import Iterator
from dataclasses import dataclass
from math import log
from random import Random

from measure.scenes import (
    ORDINARY_LOAD,
    SERVICE_SPREAD,
    Deployment,
    Scene,
    Service,
)


@dataclass(frozen=True, slots=True)
class Stream:
    """Poisson stream of calls with log-normal service times."""

    service: Service
    rank: int
    member: str
    rate: float
    begin: float
    end: float
    flooding: bool
    random: Random

    def draw_time(self) -> float:
        """Draw a service time with the mean of the service."""
        spread = SERVICE_SPREAD
        middle = log(self.service.mean) - spread * spread / 2
        return self.random.lognormvariate(middle, spread)


def list_streams(
    deployment: Deployment,
    scene: Scene,
    seed: int,
) -> Iterator[Stream]:
    """Yield the ordinary streams of each service and the scene's flood."""
    for service in deployment.services:
        yield from _list_ordinary(deployment, service, scene, seed)
        if _is_flooded(deployment, service, scene):
            yield Stream(
                service=service,
                rank=scene.flood_rank,
                member=deployment.members[0],
                rate=service.capacity() * scene.flood,
                begin=scene.begin,
                end=scene.end,
                flooding=True,
                random=Random(f'{seed} {service.name} flood'),
            )


def _list_ordinary(
    deployment: Deployment,
    service: Service,
    scene: Scene,
    seed: int,
) -> Iterator[Stream]:
    usual = service.capacity() * ORDINARY_LOAD / len(deployment.members)
    for rank, part in enumerate(service.mix):
        for member in deployment.members:
            yield Stream(
                service=service,
                rank=rank,
                member=member,
                rate=usual * part,
                begin=0,
                end=scene.last,
                flooding=False,
                random=Random(f'{seed} {service.name} {rank} {member}'),
            )


def _is_flooded(
    deployment: Deployment,
    service: Service,
    scene: Scene,
) -> bool:
    first = service is deployment.services[0]
    return scene.flood > 0 and (first or not scene.hot_key)
