"""Send many unfinished bodies behind heads of many fields to a gateway.

The heads are within `headerBytes` and the bodies within `maxBodyBytes`. The case
fails if the gateway needs more memory than its machine has.
"""

import asyncio
import os
import sys
import time
from contextlib import suppress
from pathlib import Path
from tempfile import TemporaryDirectory

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins3 import (  # noqa: E402
    CLOSED,
    HOST,
    Answer,
    Gateway,
    Message,
    Record,
    Store,
    ask,
    describe_rule,
    describe_server,
    describe_state,
    serve,
)

# `memoryMb` and `headerBytes` of the site kb-gateway.
MEMORY = 300
HEADER_BYTES = 16_384
# Below half of the sockets that `maxFds` leaves.
CLIENTS = 700
# Each body is 16 KB in chunks of 1 KB.
CHUNKS = 16
CHUNK = b'400\r\n' + bytes(1024) + b'\r\n'
# Time for which the clients stay, and the pause between ordinary requests.
DURATION = 15
PAUSE = 0.25
WORK = 0.05
DEADLINE = 4
HEAD_END = b'\r\n\r\n'


def build_request() -> bytes:
    """Build a head of `headerBytes`, and a body without its last two bytes."""
    start = (
        b'POST /reads/1 HTTP/1.1\r\nHost: shop.example\r\n'
        b'X-Attempt-Id: crowd\r\nX-Deadline-Ms: 4000\r\n'
        b'Transfer-Encoding: chunked\r\n'
    )
    line = b'ab:cd\r\n'
    lines = line * ((HEADER_BYTES - len(start) - 2) // len(line))
    return start + lines + b'\r\n' + CHUNK * CHUNKS + b'0\r\n'


async def press(port: int, counts: dict[str, int]) -> None:
    """Send the request, and keep the connection until it is answered."""
    request = build_request()
    while True:
        with suppress(*CLOSED):
            reader, writer = await asyncio.open_connection(HOST, port)
            counts['opened'] += 1
            try:
                writer.write(request)
                await writer.drain()
                await reader.readline()
                counts['ended'] += 1
            finally:
                writer.close()
        await asyncio.sleep(PAUSE)


async def ask_ordinary(gateway: Gateway, number: int) -> str:
    """Send an ordinary request, and return what came of it."""
    headers = {
        'Host': 'shop.example',
        'X-Attempt-Id': f'ordinary-{number}',
        'X-Deadline-Ms': f'{DEADLINE}000',
    }
    try:
        async with asyncio.timeout(DEADLINE):
            answer = await ask(HOST, gateway.front, 'GET', '/reads/2', headers)
    except (TimeoutError, *CLOSED) as error:
        return type(error).__name__
    return 'closed' if answer is None else str(answer.status)


async def answer_request(request: Message) -> Answer:
    """Answer as a sound upstream."""
    await asyncio.sleep(WORK)
    headers = (
        ('X-Attempt-Id', request.headers.get('x-attempt-id', '')),
        ('X-Upstream-Seal', 'seal'),
    )
    return Answer(200, headers, b'answer')


async def watch(record: Record, gateway: Gateway, clients: int) -> int:
    """Return the exit code of the case."""
    counts = {'opened': 0, 'ended': 0}
    crowd = [
        asyncio.create_task(press(gateway.front, counts))
        for _ in range(clients)
    ]
    peak = gateway.read_peak()
    until = time.monotonic() + DURATION
    number = 0
    while time.monotonic() < until and not gateway.has_ended():
        number += 1
        began = time.monotonic()
        outcome = await ask_ordinary(gateway, number)
        took = time.monotonic() - began
        peak = max(peak, gateway.read_peak())
        record.write(
            f'ordinary request {number}: {outcome} after {took:.3f} s; '
            f'peak {peak:.0f} MB of {MEMORY}; clients {counts}'
        )
        await asyncio.sleep(PAUSE)
    for task in crowd:
        task.cancel()
    if gateway.has_ended():
        record.write('the process has ended')
        return 1
    broken = peak > MEMORY
    record.write(
        f'peak {peak:.0f} MB of {MEMORY}: {"FAIL" if broken else "ok"}'
    )
    return int(broken)


async def run(record: Record, folder: Path, clients: int) -> int:
    """Start the store, an upstream and a gateway, and watch them."""
    _, port = await serve(answer_request)
    store = Store()
    address = await store.open()
    rules = [describe_rule('reads', '/reads/', 'guide')]
    clusters = [{'name': 'guide', 'maxConns': 130}]
    state = describe_state(rules, clusters, headerBytes=HEADER_BYTES)
    store.put('keyed.op', 'config', state)
    entry = describe_server('guide', f'{HOST}:{port}')
    store.put('keyed.servers', 'i-1', entry)
    gateway = Gateway(folder, address, memory=MEMORY)
    await gateway.start()
    try:
        if not await gateway.wait_until_ready():
            record.write('the gateway does not become ready')
            return 2
        size = build_request().index(HEAD_END) + len(HEAD_END)
        record.write(
            f'ready at {gateway.read_peak():.0f} MB; {clients} clients, '
            f'heads of {size} bytes'
        )
        return await watch(record, gateway, clients)
    finally:
        await gateway.end()


def main() -> int:
    """Run the case; without the clients if TROUBLE is 0."""
    clients = 0 if os.environ.get('TROUBLE') == '0' else CLIENTS
    record = Record(FOLDER / 'record.txt')
    with TemporaryDirectory() as folder:
        code = asyncio.run(run(record, Path(folder), clients))
    record.write(f'exit {code}')
    record.close()
    return code


if __name__ == '__main__':
    sys.exit(main())
