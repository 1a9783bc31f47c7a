"""Run a crowd of clients that do not end their bodies against one gateway.

The crowd is within the limits of the desired state. A case fails if the gateway
ends, if it needs more memory than its machine has, or if it answers nobody.
"""

import asyncio
import os
import resource
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from standins3 import (
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

# `memoryMb` of the site kb-gateway, and the limits that its clients are told.
MEMORY = 300
HEADER_BYTES = 16_384
BODY_BYTES = 67_108_864
# Time for which the clients stay, and the pause between ordinary requests.
DURATION = 15
PAUSE = 0.25
WORK = 0.05
DEADLINE = 4
# Time in which the requests are sent that show whether anybody is answered, and
# the pause between two of them.
PROBING = 1
PROBE_PAUSE = 0.25
# Time for which the case waits until the gateway answers again, to record it.
RECOVERY = 60
HEAD_END = b'\r\n\r\n'
# Descriptors of a process beside those of the clients.
OTHER_FILES = 200
START = (
    b'POST /reads/1 HTTP/1.1\r\nHost: shop.example\r\n'
    b'X-Attempt-Id: crowd\r\nX-Deadline-Ms: 4000\r\n'
    b'Transfer-Encoding: chunked\r\n'
)


@dataclass(frozen=True, slots=True)
class Crowd:
    """Describe the clients: their number, and what each of them sends."""

    clients: int
    request: bytes
    # Whether a client whose connection was closed comes back.
    returns: bool = False


async def press(port: int, crowd: Crowd, counts: dict[str, int]) -> None:
    """Send the request, and stay until the gateway closes the connection."""
    more = True
    while more:
        more = crowd.returns
        with suppress(*CLOSED):
            reader, writer = await asyncio.open_connection(HOST, port)
            counts['opened'] += 1
            try:
                writer.write(crowd.request)
                await writer.drain()
                await reader.read()
                counts['closed'] += 1
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


def send_crowd(
    gateway: Gateway, crowd: Crowd, counts: dict[str, int]
) -> list[asyncio.Task[None]]:
    """Start the clients."""
    return [
        asyncio.create_task(press(gateway.front, crowd, counts))
        for _ in range(crowd.clients)
    ]


async def watch_memory(record: Record, gateway: Gateway, crowd: Crowd) -> int:
    """Return 1 if the gateway needs more memory than its machine has."""
    counts = {'opened': 0, 'closed': 0}
    tasks = send_crowd(gateway, crowd, counts)
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
    for task in tasks:
        task.cancel()
    if gateway.has_ended():
        record.write('the process has ended')
        return 1
    broken = peak > MEMORY
    record.write(
        f'peak {peak:.0f} MB of {MEMORY}: {"FAIL" if broken else "ok"}'
    )
    return int(broken)


async def watch_answers(record: Record, gateway: Gateway, crowd: Crowd) -> int:
    """Return 1 if no ordinary request is answered in its time."""
    counts = {'opened': 0, 'closed': 0}
    tasks = send_crowd(gateway, crowd, counts)
    began = time.monotonic()
    while counts['opened'] < crowd.clients:
        await asyncio.sleep(PAUSE)
    record.write(f'clients {counts}')

    async def probe(number: int) -> bool:
        sent = time.monotonic() - began
        outcome = await ask_ordinary(gateway, number)
        ready = await gateway.is_ready()
        took = time.monotonic() - began - sent
        record.write(
            f'ordinary request {number}, sent {sent:.1f} s after the clients '
            f'came: {outcome}; then ready {ready}, after {took:.1f} s in all'
        )
        return outcome == '200'

    probes = []
    for number in range(int(PROBING / PROBE_PAUSE)):
        probes.append(asyncio.create_task(probe(number)))
        await asyncio.sleep(PROBE_PAUSE)
    answered = sum(await asyncio.gather(*probes))
    ready = await gateway.wait_until_ready(RECOVERY)
    held = time.monotonic() - began
    record.write(f'ready {ready} {held:.1f} s after the clients came')
    for task in tasks:
        task.cancel()
    broken = gateway.has_ended() or not answered
    record.write(
        f'{answered} of {len(probes)} ordinary requests answered in '
        f'{DEADLINE} s: {"FAIL" if broken else "ok"}'
    )
    return int(broken)


Watch = Callable[[Record, Gateway, Crowd], Awaitable[int]]


async def run(record: Record, folder: Path, crowd: Crowd, watch: Watch) -> int:
    """Start the store, an upstream and a gateway, and watch them."""
    _, port = await serve(answer_request)
    store = Store()
    address = await store.open()
    rules = [describe_rule('reads', '/reads/', 'guide')]
    clusters = [{'name': 'guide', 'maxConns': 130}]
    state = describe_state(
        rules, clusters, headerBytes=HEADER_BYTES, maxBodyBytes=BODY_BYTES
    )
    store.put('keyed.op', 'config', state)
    entry = describe_server('guide', f'{HOST}:{port}')
    store.put('keyed.servers', 'i-1', entry)
    gateway = Gateway(folder, address, memory=MEMORY)
    await gateway.start()
    try:
        if not await gateway.wait_until_ready():
            record.write('the gateway does not become ready')
            return 2
        head = crowd.request.index(HEAD_END) + len(HEAD_END)
        record.write(
            f'ready at {gateway.read_peak():.0f} MB; {crowd.clients} clients, '
            f'heads of {head} bytes, {len(crowd.request) - head} bytes behind'
        )
        return await watch(record, gateway, crowd)
    finally:
        await gateway.end()


def run_case(folder: Path, crowd: Crowd, watch: Watch = watch_memory) -> int:
    """Run a case; without the clients if TROUBLE is 0."""
    if os.environ.get('TROUBLE') == '0':
        crowd = Crowd(0, crowd.request)
    record = Record(folder / 'record.txt')
    files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    code = 2
    if files < crowd.clients + OTHER_FILES:
        record.write(f'{files} descriptors are too few')
    else:
        with TemporaryDirectory() as scratch:
            code = asyncio.run(run(record, Path(scratch), crowd, watch))
    record.write(f'exit {code}')
    record.close()
    return code
