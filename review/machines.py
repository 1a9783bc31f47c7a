"""Enforce the memory of a machine, and count what its processes lose."""

import asyncio
import signal
from collections import Counter

from fakes import (
    Answer,
    Consumer,
    Deployment,
    Gateway,
    Upstream,
    build_cluster,
    build_configuration,
    build_rule,
)

HOST = 'site.example'
LONG_PATH = '/book/long'
_SHORT_PATH = '/book/short'
_SERVICE = 'booking'
# Memory of a machine in MB: a process that exceeds it is killed.
_MEMORY_MB = 300
# Rule LOST: requests from kept connections that were passed on and lost.
_MAX_LOST = 3
# Rule Fault: times that the processes of a machine end by themselves, and the
# machines on which they do.
_MAX_ENDS = 3
_MIN_MACHINES = 2
_DEADLINE_MS = 4000


class Machines:
    """Kill processes over their memory and start them anew."""

    def __init__(self, deployment: Deployment) -> None:
        self.deployment = deployment
        self.ends: Counter[str] = Counter()
        self.peak = 0.0
        self._watches: list[asyncio.Task[None]] = []

    def watch(self) -> None:
        """Watch the memory of all gateways."""
        self._watches = [
            asyncio.create_task(self._watch(gateway))
            for gateway in self.deployment.gateways
        ]

    def stop(self) -> None:
        """Watch no longer."""
        for watch in self._watches:
            watch.cancel()

    async def _watch(self, gateway: Gateway) -> None:
        record = self.deployment.record
        while True:
            memory = gateway.read_memory_mb()
            self.peak = max(self.peak, memory)
            if memory > _MEMORY_MB:
                gateway.process.send_signal(signal.SIGKILL)
                self.ends[gateway.node] += 1
                record.write(
                    'over the limit', node=gateway.node, mb=round(memory)
                )
                await asyncio.sleep(0.5)
                await self.deployment.restart_gateway(gateway)
            await asyncio.sleep(0.005)


class ShortRequests:
    """Send short requests over kept connections."""

    def __init__(self, deployment: Deployment, consumers: int) -> None:
        self._answers: list[Answer] = []
        self._stop = asyncio.Event()
        self._record = deployment.record
        self._tasks = [
            asyncio.create_task(
                self._consume(
                    Consumer(
                        gateway.host,
                        gateway.front,
                        deployment.record,
                        f's{number}-{place}',
                    )
                )
            )
            for number, gateway in enumerate(deployment.gateways)
            for place in range(consumers)
        ]

    async def _consume(self, consumer: Consumer) -> None:
        while not self._stop.is_set():
            answer = await consumer.send(
                'POST',
                HOST,
                _SHORT_PATH,
                deadline_ms=_DEADLINE_MS,
                body=b'short',
            )
            self._answers.append(answer)
            await asyncio.sleep(0.1)

    async def finish(self, servers: list[Upstream]) -> list[str]:
        """Return the requests that were passed on and lost."""
        self._stop.set()
        await asyncio.gather(*self._tasks)
        passed_on = {name for server in servers for name in server.ran}
        lost = [
            answer.request
            for answer in self._answers
            if answer.kept
            and answer.status == 0
            and not answer.gave_up
            and answer.request in passed_on
        ]
        self._record.write('lost after they were passed on', requests=lost)
        return lost


async def start_service(deployment: Deployment) -> list[Upstream]:
    """Start four upstreams of a service and two gateways."""
    rule = build_rule(
        'r-book',
        'non_idempotent',
        '/book/',
        {'service': _SERVICE},
        timeout='4000ms',
    )
    deployment.store.put(
        'keyed.op',
        'config',
        build_configuration(1, [rule], [build_cluster(_SERVICE)]),
    )
    servers = [
        Upstream(
            f'i-{number + 1}',
            _SERVICE,
            f'127.0.7.{number + 1}',
            deployment.store,
            deployment.record,
            draw_work=lambda: 0.21,
        )
        for number in range(4)
    ]
    for server in servers:
        await server.start()
    await deployment.start_gateways(2)
    await asyncio.sleep(3)
    return servers


async def upload(
    deployment: Deployment, gateway: Gateway, name: str, body: bytes
) -> Answer:
    """Send one long request on a connection of its own."""
    consumer = Consumer(gateway.host, gateway.front, deployment.record, name)
    answer = await consumer.send(
        'POST', HOST, LONG_PATH, deadline_ms=_DEADLINE_MS, body=body
    )
    consumer.close()
    return answer


def is_broken(machines: Machines, lost: list[str]) -> bool:
    """Return whether rule LOST or rule Fault is broken; write the figures."""
    machines.deployment.record.write(
        'end', peak_mb=round(machines.peak), ends=dict(machines.ends)
    )
    print('peak MB', round(machines.peak), 'ends', dict(machines.ends))
    print('passed on and lost', len(lost))
    faulty = [ends for ends in machines.ends.values() if ends >= _MAX_ENDS]
    return len(lost) > _MAX_LOST or len(faulty) >= _MIN_MACHINES
