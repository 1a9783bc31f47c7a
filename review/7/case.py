"""A planned stop, and a consumer that sends ahead and reads slowly.

One gateway, one upstream, one store.  Consumers send an idempotent request,
whose answer is large, and a second one on the same connection before they have
read anything of the first answer.  Between the two the gateway gets SIGTERM.
With TROUBLE=0 there is no SIGTERM.
"""

import asyncio
import os
import signal
import socket
import sys
import tempfile
import time
from dataclasses import dataclass, field
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import lab2 as lab  # noqa: E402

STORE = '127.71.0.1'
UPSTREAM = '127.71.1.1'
MACHINE = '127.71.2.1'
CONSUMERS = 4
# Bytes of the first answer, and of a consumer's receive buffer: links of the
# platform have small windows, so that one who does not read blocks the writer.
LARGE = 200_000
WINDOW = 4096
# Time of the work of each request, in seconds.
WORK = 0.4
# The consumers send the first request at 0 s; SIGTERM follows, then the second
# request, and the consumers begin to read.
STOP_AT = 0.2
SECOND_AT = 0.8
READ_AT = 1.2
# Time budget of each request, counted from when it is sent, and the time that a
# consumer takes for the first answer.
BUDGET = 4.0
READING = 1.0
PIECE = 65_536


class LargeUpstream(lab.Upstream):
    """Upstream whose answers to `/reads/large` are large."""

    async def handle(
        self, request: lab.Message, writer: asyncio.StreamWriter
    ) -> bytes | None:
        """Run one request."""
        answer = await super().handle(request, writer)
        if answer is None or request.target != '/reads/large':
            return answer
        attempt = request.headers['x-attempt-id']
        sealed = {'X-Attempt-Id': attempt, 'X-Upstream-Seal': f's.{attempt}'}
        return lab.write_answer(200, sealed, bytes(LARGE))


@dataclass
class Consumer:
    """Send two requests on one connection, and read their answers."""

    number: int
    record: lab.Record
    # Ids of the requests that got a whole answer, and their statuses.
    answered: dict[str, int] = field(default_factory=dict)
    # Why the connection ended.
    end: str = ''

    def name(self, place: int) -> str:
        """Return the id of a request."""
        return f'c{self.number}-r{place}'

    async def run(self, gateway: lab.Gateway) -> None:
        """Send, wait, send ahead, and read slowly."""
        connection = socket.socket()
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        connection.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(connection, (gateway.ip, gateway.front))
        started = time.monotonic()
        await self._send(connection, 1, '/reads/large')
        await asyncio.sleep(SECOND_AT)
        await self._send(connection, 2, '/reads/small')
        await asyncio.sleep(READ_AT - SECOND_AT)
        until = started + SECOND_AT + BUDGET
        try:
            async with asyncio.timeout_at(
                loop.time() + until - time.monotonic()
            ):
                await self._read(connection)
        except TimeoutError:
            self.end = 'the time budget has passed'
        except OSError as error:
            self.end = f'connection lost: {error}'
        finally:
            connection.close()
        self.record.note(f'consumer {self.number}: {self.end}')

    async def _send(
        self, connection: socket.socket, place: int, target: str
    ) -> None:
        headers = {
            'X-Attempt-Id': self.name(place),
            'X-Deadline-Ms': str(int(BUDGET * 1000)),
        }
        head = lab.encode_head('GET', target, headers)
        await asyncio.get_running_loop().sock_sendall(connection, head)
        self.record.note(f'{self.name(place)} sent, GET {target}')

    async def _read(self, connection: socket.socket) -> None:
        received = b''
        for _ in range(2):
            while b'\r\n\r\n' not in received:
                received += await self._receive(connection)
            head, _, body = received.partition(b'\r\n\r\n')
            lines = head.decode('latin-1').split('\r\n')
            pairs = (line.partition(':') for line in lines[1:])
            fields = {name.lower(): text.strip() for name, _, text in pairs}
            left = int(fields['content-length']) - len(body)
            while left > 0:
                part = await self._receive(connection)
                left -= len(part)
                # About the time that the large answer takes altogether.
                await asyncio.sleep(READING * len(part) / LARGE)
                body = part
            status = int(lines[0].split(' ')[1])
            attempt = fields.get('x-attempt-id', '')
            self.answered[attempt] = status
            closing = fields.get('connection', 'kept')
            self.record.note(f'{attempt} answered {status}, whole; {closing}')
            received = body[len(body) + left :] if left < 0 else b''
        self.end = 'both answered'

    async def _receive(self, connection: socket.socket) -> bytes:
        loop = asyncio.get_running_loop()
        part = await loop.sock_recv(connection, PIECE)
        if not part:
            raise OSError('the gateway has closed it')
        return part


async def play(folder: Path, record: lab.Record, *, trouble: bool) -> int:
    """Play the case; return 0 if the rule held, 1 if not, 2 if not played."""
    store = lab.Store()
    store_port = lab.find_ports(STORE, 1)[0]
    await lab.serve(store.handle, STORE, store_port)
    upstream_port = lab.find_ports(UPSTREAM, 1)[0]
    upstream = LargeUpstream(
        store, 'i-1', 'guide', UPSTREAM, upstream_port, slots=6, work=WORK
    )
    await lab.serve(upstream.handle, UPSTREAM, upstream_port)
    rule = lab.build_rule('r-1', 'idempotent', '/reads/', 'guide')
    store.put_config(lab.build_config(3, [rule], [lab.build_cluster('guide')]))
    gateway = lab.Gateway(folder, 'edge-1', MACHINE, f'{STORE}:{store_port}')
    beats = asyncio.create_task(upstream.beat())
    gateway.start()
    try:
        if not await gateway.wait_until_ready():
            record.note('the gateway did not get ready')
            return 2
        # The machine is in touch, and the store stable, for `stableWindow`.
        await asyncio.sleep(3.5)
        consumers = [Consumer(number, record) for number in range(CONSUMERS)]
        runs = [
            asyncio.create_task(consumer.run(gateway)) for consumer in consumers
        ]
        await asyncio.sleep(STOP_AT)
        if trouble and gateway.process is not None:
            record.note('SIGTERM')
            gateway.process.send_signal(signal.SIGTERM)
        await asyncio.gather(*runs)
        lost = 0
        for consumer in consumers:
            for place in (1, 2):
                name = consumer.name(place)
                passed_on = name in upstream.ran
                answered = name in consumer.answered
                record.note(f'{name}: run {passed_on}, answered {answered}')
                # Not counted: one that was not passed on, and one whose time
                # has passed.
                timed_out = consumer.end == 'the time budget has passed'
                lost += passed_on and not answered and not timed_out
        record.note(f'passed on to the upstream and not answered: {lost}')
        return 1 if lost else 0
    finally:
        beats.cancel()
        gateway.stop()


def main() -> int:
    """Play the case and write its record."""
    record = lab.Record(HERE / 'record.txt')
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record.note(f'TROUBLE={int(trouble)}')
    with tempfile.TemporaryDirectory() as folder:
        try:
            result = asyncio.run(play(Path(folder), record, trouble=trouble))
        except OSError as error:
            record.note(f'not played: {error}')
            result = 2
    record.note(f'result {result}')
    record.write()
    return result


if __name__ == '__main__':
    sys.exit(main())
