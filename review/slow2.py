"""A planned stop, and consumers that send ahead and read slowly.

Shared by two scripts.  One gateway, one upstream of each service, one store.
Each consumer sends a request and, on the same connection and before it has read
anything of the first answer, an idempotent one.  Between the two the gateway
gets SIGTERM, unless it is left out.
"""

import asyncio
import os
import signal
import socket
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

import lab2 as lab

CONSUMERS = 4
# Links of the platform have small windows, so that one who does not read blocks
# the writer: bytes of a consumer's receive buffer.
WINDOW = 4096
# Time that a consumer takes to read the first answer, in seconds.
READING = 0.5
PIECE = 65_536
# The machine is in touch, and the store stable, after `stableWindow` (3 s).
CALM = 3.5


@dataclass(frozen=True)
class Plan:
    """What the consumers send, and when, in seconds from the first request."""

    store: str
    upstream: str
    machine: str
    # First request of each connection, and the bytes of its answer.
    method: str
    target: str
    answer: int
    # Time of the work of each request, and its time budget from when it is sent.
    work: float
    budget: float
    stop_at: float
    second_at: float
    read_at: float


@dataclass
class LargeUpstream(lab.Upstream):
    """Upstream whose answers to one target are large."""

    target: str = ''
    answer: int = 0

    async def handle(
        self, request: lab.Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Run one request."""
        answer = await super().handle(request, writer)
        if answer is None or request.target != self.target:
            return answer
        attempt = request.headers['x-attempt-id']
        sealed = {'X-Attempt-Id': attempt, 'X-Upstream-Seal': f's.{attempt}'}
        return lab.write_answer(200, sealed, bytes(self.answer))


@dataclass
class Consumer:
    """Send two requests on one connection, and read their answers."""

    number: int
    plan: Plan
    record: lab.Record
    # Ids of the requests that got a whole answer, and their statuses.
    answered: dict[str, int] = field(default_factory=dict)
    # Ids of the requests whose time budget had passed at the end.
    late: set[str] = field(default_factory=set)
    sent_at: dict[str, float] = field(default_factory=dict)

    def name(self, place: int) -> str:
        """Return the id of a request."""
        return f'c{self.number}-r{place}'

    async def run(self, gateway: lab.Gateway) -> None:
        """Send, wait, send ahead, and read slowly."""
        plan = self.plan
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (gateway.ip, gateway.front))
        await self._send(connection, 1, plan.method, plan.target)
        await asyncio.sleep(plan.second_at)
        end = 'both answered'
        try:
            await self._send(connection, 2, 'GET', '/reads/small')
            await asyncio.sleep(plan.read_at - plan.second_at)
            async with asyncio.timeout(plan.budget):
                await self._read(connection)
        except TimeoutError:
            end = 'the time budget has passed'
        except OSError as error:
            end = f'connection lost: {error}'
        finally:
            connection.close()
        now = time.monotonic()
        for name, moment in self.sent_at.items():
            if now - moment >= plan.budget:
                self.late.add(name)
        self.record.note(f'consumer {self.number}: {end}')

    async def _send(
        self, connection: socket.socket, place: int, method: str, target: str
    ) -> None:
        headers = {
            'X-Attempt-Id': self.name(place),
            'X-Deadline-Ms': str(int(self.plan.budget * 1000)),
        }
        if method == 'POST':
            headers['Content-Length'] = '0'
        head = lab.encode_head(method, target, headers)
        await asyncio.get_running_loop().sock_sendall(connection, head)
        self.sent_at[self.name(place)] = time.monotonic()
        self.record.note(f'{self.name(place)} sent, {method} {target}')

    async def _read(self, connection: socket.socket) -> None:
        received = b''
        for _ in range(2):
            while b'\r\n\r\n' not in received:
                received += await self._receive(connection)
            head, _, body = received.partition(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')
            pairs = (line.partition(':') for line in lines[1:])
            fields = {name.lower(): text.strip() for name, _, text in pairs}
            length = int(fields['content-length'])
            while len(body) < length:
                part = await self._receive(connection)
                body += part
                # About the time that the large answer takes altogether.
                pause = READING * len(part) / self.plan.answer
                await asyncio.sleep(pause)
            received = body[length:]
            status = int(lines[0].split(' ')[1])
            attempt = fields.get('x-attempt-id', '')
            self.answered[attempt] = status
            closing = fields.get('connection', 'kept')
            self.record.note(f'{attempt} answered {status}, whole; {closing}')

    async def _receive(self, connection: socket.socket) -> bytes:
        loop = asyncio.get_running_loop()
        part = await loop.sock_recv(connection, PIECE)
        if not part:
            raise OSError('the gateway has closed it')
        return part


async def start_upstream(
    plan: Plan, store: lab.Store, name: str, service: str
) -> asyncio.Task[None]:
    """Start an upstream; return the task that writes its entry."""
    port = lab.find_ports(plan.upstream, 1)[0]
    upstream = LargeUpstream(
        store,
        name,
        service,
        plan.upstream,
        port,
        slots=6,
        work=plan.work,
        target=plan.target,
        answer=plan.answer,
    )
    STARTED.append(upstream)
    await lab.serve(upstream.handle, plan.upstream, port)
    return asyncio.create_task(upstream.beat())


STARTED: list[LargeUpstream] = []


async def play(
    plan: Plan, folder: Path, record: lab.Record, *, trouble: bool
) -> int:
    """Play the case; return 0 if the rule held, 1 if not, 2 if not played."""
    store = lab.Store()
    store_port = lab.find_ports(plan.store, 1)[0]
    await lab.serve(store.handle, plan.store, store_port)
    beats = [
        await start_upstream(plan, store, 'i-1', 'guide'),
        await start_upstream(plan, store, 'i-2', 'desk'),
    ]
    rules = [
        lab.build_rule('r-1', 'idempotent', '/reads/', 'guide'),
        lab.build_rule('r-2', 'non_idempotent', '/pay/', 'desk'),
    ]
    clusters = [lab.build_cluster('guide'), lab.build_cluster('desk')]
    store.put_config(lab.build_config(3, rules, clusters))
    gateway = lab.Gateway(
        folder, 'edge-1', plan.machine, f'{plan.store}:{store_port}'
    )
    gateway.start()
    try:
        if not await gateway.wait_until_ready():
            record.note('the gateway did not get ready')
            return 2
        await asyncio.sleep(CALM)
        consumers = [
            Consumer(number, plan, record) for number in range(CONSUMERS)
        ]
        runs = [
            asyncio.create_task(consumer.run(gateway)) for consumer in consumers
        ]
        await asyncio.sleep(plan.stop_at)
        if trouble and gateway.process is not None:
            record.note('SIGTERM')
            gateway.process.send_signal(signal.SIGTERM)
        await asyncio.gather(*runs)
        return judge(consumers, record)
    finally:
        for beat in beats:
            beat.cancel()
        gateway.stop()


def judge(consumers: list[Consumer], record: lab.Record) -> int:
    """Count the requests that were passed on and not answered."""
    ran = {name for upstream in STARTED for name in upstream.ran}
    lost = 0
    for consumer in consumers:
        for place in (1, 2):
            name = consumer.name(place)
            answered = name in consumer.answered
            # Not counted: a request that was not passed on, and one whose time
            # budget had passed.
            late = name in consumer.late
            record.note(
                f'{name}: run {name in ran}, answered {answered}, late {late}'
            )
            lost += name in ran and not answered and not late
    record.note(f'passed on to an upstream and not answered: {lost}')
    return 1 if lost else 0


def run_case(plan: Plan, here: Path) -> int:
    """Play a case and write its record."""
    record = lab.Record(here / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'TROUBLE={int(trouble)}')
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.run(
                play(plan, Path(folder), record, trouble=trouble)
            )
        except OSError as error:
            record.note(f'not played: {error}')
            result = 2
    record.note(f'result {result}')
    record.write()
    return result
