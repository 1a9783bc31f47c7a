"""Wait, with a timeout, until a deployment serves requests."""

from collections.abc import Iterable
from itertools import product

import trio

from standins.caller import Caller, CallerRequest, make_idempotency_key
from standins.fleetplan import SERVICES
from standins.services import StandInServices
from trefoilsaddle.core.records import Claim

# In seconds.
_TIMEOUT = 60
_INTERVAL = 0.1
# Number of probe keys; enough to reach all servers of a service.
_KEYS = 8


class NotReadyError(Exception):
    """Raised when a deployment does not get ready in time."""


async def wait_for_answers(callers: Iterable[Caller]) -> None:
    """Wait until probe requests of each caller are answered for all keys."""
    probes = [
        _Probe(caller, service, number)
        for caller, service, number in product(callers, SERVICES, range(_KEYS))
    ]
    with trio.move_on_after(_TIMEOUT):
        async with trio.open_nursery() as nursery:
            for probe in probes:
                nursery.start_soon(probe.run)
        return
    last_results = {unanswered.last_result for unanswered in probes}
    raise NotReadyError(f'some requests are not answered: {last_results}')


async def wait_for_claim_sets(
    services: StandInServices,
    servers: set[str],
) -> None:
    """Wait until the role of each server has a claim set that is not empty."""
    with trio.move_on_after(_TIMEOUT):
        while servers - await _find_covered(services):
            await trio.sleep(_INTERVAL)
        return
    raise NotReadyError('a role has no claim set')


class _Probe:
    """Repeated non-idempotent request, the last kind to be served at start."""

    def __init__(self, caller: Caller, service: str, number: int) -> None:
        self.last_result = ''
        self._caller = caller
        self._service = service
        self._number = number

    async def run(self) -> None:
        """Send requests until one is answered."""
        while self.last_result != 'answered 0':
            await trio.sleep(_INTERVAL)
            answer = await self._caller.send(self._build_request())
            self.last_result = f'{answer.outcome} {answer.code}'

    def _build_request(self) -> CallerRequest:
        return CallerRequest(
            service=self._service,
            key=f'ready-{self._number}',
            deadline=2,
            idempotent=False,
            idempotency_key=make_idempotency_key(),
        )


async def _find_covered(services: StandInServices) -> set[str]:
    claims = {
        record.server: record.claim_set
        for record in await services.read_records()
        if isinstance(record, Claim)
    }
    return {server for server, claim_set in claims.items() if claim_set}
