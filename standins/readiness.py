"""Wait, within a bound, until a deployment does its work."""

from collections.abc import Iterable
from itertools import product

import trio

from standins.caller import Caller, CallerRequest, make_idempotency_key
from standins.fleetplan import SERVICES
from standins.services import OutsideServices
from trefoilsaddle.core.records import Claim

# In seconds.
_TIMEOUT = 60
_INTERVAL = 0.1
# Keys that are spread over all servers of a service.
_KEYS = 8


class NotReadyError(Exception):
    """Tell that a deployment does not do its work in time."""


async def wait_for_answers(callers: Iterable[Caller]) -> None:
    """Wait until each caller gets answers from every server."""
    probes = [
        _Probe(caller, service, number)
        for caller, service, number in product(callers, SERVICES, range(_KEYS))
    ]
    with trio.move_on_after(_TIMEOUT):
        async with trio.open_nursery() as nursery:
            for probe in probes:
                nursery.start_soon(probe.run)
        return
    told = {unanswered.told for unanswered in probes}
    raise NotReadyError(f'some requests are not answered: {told}')


async def wait_for_claim_sets(
    services: OutsideServices,
    servers: set[str],
) -> None:
    """Wait until each server's role may be taken over by someone."""
    with trio.move_on_after(_TIMEOUT):
        while servers - await _find_covered(services):
            await trio.sleep(_INTERVAL)
        return
    raise NotReadyError('a role has no claim set')


class _Probe:
    """Send unrepeatable requests until one is run: the last thing to come."""

    def __init__(self, caller: Caller, service: str, number: int) -> None:
        self.told = ''
        self._caller = caller
        self._service = service
        self._number = number

    async def run(self) -> None:
        """Send until a request is answered."""
        while self.told != 'answered 0':
            await trio.sleep(_INTERVAL)
            answer = await self._caller.send(self._build_request())
            self.told = f'{answer.outcome} {answer.code}'

    def _build_request(self) -> CallerRequest:
        return CallerRequest(
            service=self._service,
            key=f'ready-{self._number}',
            deadline=2,
            idempotent=False,
            idempotency_key=make_idempotency_key(),
        )


async def _find_covered(services: OutsideServices) -> set[str]:
    claims = {
        record.server: record.claim_set
        for record in await services.read_records()
        if isinstance(record, Claim)
    }
    return {server for server, claim_set in claims.items() if claim_set}
