"""Bring the store back from a copy without tables, and restart a gateway.

Two gateways and four upstreams that hold keys. The store answers each gateway on
an address of its own, so that it can turn one of them away.
"""

import asyncio
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass, field
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

SERVICE = 'guide'
OWNERS = 'keyed.owners'
NODES = ('edge-doto-a-1', 'edge-doto-a-2')
ADDRESSES = ('127.0.0.2', '127.0.0.3')
SERVERS = 4
WORK = 0.05
# Requests a second, mostly to a few keys that are close to one another.
RATE = 80
HOT_KEYS = range(1000, 1040)
# Time for which the store is away, and for which it then turns one machine away.
AWAY = 1.5
TURNED_AWAY = 7
# The rule counts keys that two upstreams hold for longer.
MOST_COMMON = 0.5
# Time within which keys have moved, and for which the case watches after that.
MOVING = 15
WATCHING = 12


@dataclass(slots=True)
class Grant:
    """Hold one grant of keys, in the time of the upstream."""

    first: int
    last: int
    fence: int
    until: float


@dataclass(slots=True)
class Upstream:
    """Run requests only for keys that it holds, as PROTOCOL.md says."""

    name: str
    record: Record
    port: int = 0
    grants: list[Grant] = field(default_factory=list)
    # Highest fence number seen on each range.
    seen: list[Grant] = field(default_factory=list)
    running: dict[int, int] = field(default_factory=dict)
    # When each key was last taken for a request.
    began: dict[int, float] = field(default_factory=dict)

    def holds(self, key: int) -> bool:
        """Return whether the upstream holds a key now."""
        now = time.monotonic()
        return any(
            one.first <= key <= one.last and now < one.until
            for one in self.grants
        )

    async def answer(self, request: Message) -> Answer:
        """Answer a grant, a release or a request."""
        echo = ('X-Attempt-Id', request.headers.get('x-attempt-id', ''))
        named = request.headers.get('x-target-instance', self.name)
        if named != self.name:
            return Answer(421, (echo, ('X-Not-Executed', '1')))
        match request.path.rpartition('/')[2]:
            case 'grant':
                return self._grant(json.loads(request.body))
            case 'release':
                return await self._release(json.loads(request.body))
        return await self._run(request, echo)

    def _grant(self, body: dict[str, object]) -> Answer:
        first, last = int(body['from']), int(body['target'])
        fence = int(body['fence'])
        higher = (
            one
            for one in self.seen
            if one.fence > fence and one.first <= last and first <= one.last
        )
        if any(higher):
            self.record.write(f'{self.name} refuses {first}-{last} f{fence}')
            return Answer(409)
        hold = float(str(body['hold_time']).removesuffix('ms')) / 1000
        taken = Grant(first, last, fence, time.monotonic() + hold)
        known = any(
            (one.first, one.last, one.fence) == (first, last, fence)
            for one in self.grants
        )
        if not known:
            self.record.write(f'{self.name} takes {first}-{last} f{fence}')
        self.grants = [*_cut(self.grants, first, last), taken]
        self.seen = [*_cut(self.seen, first, last), taken]
        return Answer(200)

    async def _release(self, body: dict[str, object]) -> Answer:
        first, last = int(body['from']), int(body['target'])
        self.grants = _cut(self.grants, first, last)
        self.record.write(f'{self.name} releases {first}-{last}')
        while any(first <= key <= last for key in self.running):
            await asyncio.sleep(0.005)
        return Answer(200, (('X-Handover', f'{self.name}-{first}'),))

    async def _run(self, request: Message, echo: tuple[str, str]) -> Answer:
        key = int(request.headers['x-shard-key'])
        if not self.holds(key):
            return Answer(421, (echo, ('X-Not-Executed', '1')))
        self.began[key] = time.monotonic()
        self.running[key] = self.running.get(key, 0) + 1
        await asyncio.sleep(WORK)
        self.running[key] -= 1
        if not self.running[key]:
            self.running.pop(key)
        return Answer(200, (echo, ('X-Upstream-Seal', 'seal')), b'answer')


def _cut(grants: list[Grant], first: int, last: int) -> list[Grant]:
    """Return the grants without a range of keys."""
    rest: list[Grant] = []
    for one in grants:
        if one.last < first or last < one.first:
            rest.append(one)
            continue
        if one.first < first:
            rest.append(Grant(one.first, first - 1, one.fence, one.until))
        if one.last > last:
            rest.append(Grant(last + 1, one.last, one.fence, one.until))
    return rest


@dataclass(slots=True)
class DrilledStore(Store):
    """Store that is away, turns one address away, and comes back from a copy."""

    away: bool = False
    turned_away: str = ''
    # The newest contents without a table, and the time since which they are old.
    copied: dict[str, list[bytes]] = field(default_factory=dict)
    copied_at: float = 0

    async def open_for(self, node: str) -> str:
        """Serve a machine on an address of its own."""

        async def answer(request: Message) -> Answer | None:
            if self.away:
                return None
            if node == self.turned_away:
                return Answer(503, (('Store-Era', str(self.era)),))
            return await self.answer(request)

        _, port = await serve(answer)
        return f'{HOST}:{port}'

    async def keep_copy(self) -> None:
        """Copy the contents until the first table is stored."""
        while OWNERS not in self.topics:
            self.copied = {name: list(log) for name, log in self.topics.items()}
            self.copied_at = time.monotonic()
            await asyncio.sleep(0.05)

    def restore(self) -> float:
        """Come back from the copy; return its age."""
        lost = {
            name: self.topics.get(name, [])[len(self.copied.get(name, [])) :]
            for name in ('keyed.op', 'keyed.servers')
        }
        self.topics = self.copied
        self.members.clear()
        self.holders.clear()
        self.era += 1
        for name, records in lost.items():
            for one in records:
                self._add(name, one)
        return time.monotonic() - self.copied_at

    def find_controller(self) -> str:
        """Return the member that holds the last partition."""
        return self.holders.get(self.partitions - 1, '')


@dataclass(slots=True)
class Watch:
    """Look for keys that two upstreams hold at the same time."""

    record: Record
    upstreams: list[Upstream]
    # Time since which two upstreams hold a key in common.
    since: dict[tuple[int, str, str], float] = field(default_factory=dict)
    longest: float = 0
    # Keys for which both have begun requests in that time.
    both_began: set[tuple[int, str, str]] = field(default_factory=set)

    async def run(self) -> None:
        """Look at all keys that are bounds of grants, and at the busy ones."""
        while True:
            self._look(time.monotonic())
            await asyncio.sleep(0.02)

    def _look(self, now: float) -> None:
        found: set[tuple[int, str, str]] = set()
        for key in self._list_keys():
            holders = [one for one in self.upstreams if one.holds(key)]
            if len(holders) < 2:
                continue
            left, right = holders[:2]
            pair = (key, left.name, right.name)
            found.add(pair)
            began = self.since.setdefault(pair, now)
            if began == now:
                self.record.write(
                    f'key {key} is held by {left.name} and {right.name}'
                )
            self.longest = max(self.longest, now - began)
            both = left.began.get(key, 0), right.began.get(key, 0)
            if min(both) > began and pair not in self.both_began:
                self.both_began.add(pair)
                self.record.write(f'both have begun requests for key {key}')
        for pair in set(self.since).difference(found):
            held = now - self.since.pop(pair)
            self.record.write(f'{pair} held in common for {held:.2f} s')

    def _list_keys(self) -> set[int]:
        keys = set(HOT_KEYS)
        for upstream in self.upstreams:
            keys.update(one.first for one in upstream.grants)
        return keys


async def call(
    record: Record, gateways: list[Gateway], counts: dict[str, int]
) -> None:
    """Send requests to both gateways."""

    async def send(number: int, gateway: Gateway, key: int) -> None:
        headers = {
            'Host': 'shop.example',
            'X-Attempt-Id': f'r{number}',
            'X-Deadline-Ms': '4000',
            'X-Shard-Key': str(key),
        }
        outcome = 'failed'
        with suppress(*CLOSED, TimeoutError):
            async with asyncio.timeout(4):
                answer = await ask(
                    gateway.ip, gateway.front, 'GET', '/reads/1', headers
                )
                outcome = 'closed' if answer is None else str(answer.status)
        counts[outcome] = counts.get(outcome, 0) + 1

    number = 0
    async with asyncio.TaskGroup() as group:
        while True:
            number += 1
            key = HOT_KEYS[number % len(HOT_KEYS)]
            if number % 5 == 0:
                key = number * 7919 % 65_536
            # Each key is sent to both gateways in turn.
            gateway = gateways[number // 3 % len(gateways)]
            group.create_task(send(number, gateway, key))
            if number % (RATE * 2) == 0:
                record.write(f'answers so far {counts}')
            await asyncio.sleep(1 / RATE)


async def wait_for(holds: Callable[[], bool], limit: float) -> bool:
    """Wait until something holds; return False if that takes too long."""
    until = time.monotonic() + limit
    while not holds():
        if time.monotonic() > until:
            return False
        await asyncio.sleep(0.02)
    return True


async def drill(
    record: Record, store: DrilledStore, gateways: list[Gateway]
) -> None:
    """Take the store away, restart a gateway, and bring the store back."""
    leader = store.find_controller()
    first = next(one for one in gateways if leader.startswith(one.node))
    other = next(one for one in gateways if one is not first)
    record.write(f'the store is away; {other.node} is killed and starts again')
    store.away = True
    await other.restart()
    await asyncio.sleep(AWAY)
    store.turned_away = first.node
    store.away = False
    age = store.restore()
    record.write(
        f'the store is back from a copy {age:.1f} s old, as era {store.era}; '
        f'it turns {first.node} away, which was the controller'
    )
    await asyncio.sleep(TURNED_AWAY)
    store.turned_away = ''
    record.write('the store turns nobody away')


async def start(
    record: Record, folder: Path, store: DrilledStore
) -> tuple[list[Gateway], list[Upstream]]:
    """Start the upstreams and the gateways."""
    rules = [describe_rule('reads', '/reads/', SERVICE)]
    clusters = [{'name': SERVICE, 'maxConns': 130, 'sharded': True}]
    store.put('keyed.op', 'config', describe_state(rules, clusters))
    upstreams = []
    for number in range(SERVERS):
        upstream = Upstream(f'i-{number}', record)
        _, upstream.port = await serve(upstream.answer)
        entry = describe_server(SERVICE, f'{HOST}:{upstream.port}')
        store.put('keyed.servers', upstream.name, entry)
        upstreams.append(upstream)
    gateways = []
    for node, ip in zip(NODES, ADDRESSES, strict=True):
        address = await store.open_for(node)
        gateways.append(Gateway(folder, address, node=node, ip=ip))
    await asyncio.gather(*(one.start() for one in gateways))
    return gateways, upstreams


def have_keys_moved(upstreams: list[Upstream]) -> bool:
    """Return whether the hot keys have several holders."""
    holders = {
        one.name for one in upstreams for key in HOT_KEYS if one.holds(key)
    }
    return len(holders) > 1


async def run(record: Record, folder: Path, trouble: bool) -> int:
    """Return the exit code of the case."""
    store = DrilledStore()
    copying = asyncio.create_task(store.keep_copy())
    gateways, upstreams = await start(record, folder, store)
    try:
        for gateway in gateways:
            if not await gateway.wait_until_ready():
                return 2
        await copying
        watch = Watch(record, upstreams)
        counts: dict[str, int] = {}
        tasks: list[Awaitable[None]] = [
            asyncio.create_task(watch.run()),
            asyncio.create_task(call(record, gateways, counts)),
        ]
        if not await wait_for(lambda: have_keys_moved(upstreams), MOVING):
            record.write('no keys have moved')
            return 2
        record.write('keys have moved')
        if trouble:
            tasks.append(asyncio.create_task(drill(record, store, gateways)))
        await asyncio.sleep(WATCHING)
        both_began = len(watch.both_began)
        broken = watch.longest > MOST_COMMON or both_began > 0
        record.write(
            f'held in common for {watch.longest:.2f} s at most; both began '
            f'requests for {both_began} keys in it: '
            f'{"FAIL" if broken else "ok"}; answers {counts}'
        )
        return int(broken)
    finally:
        for gateway in gateways:
            await gateway.end()


def main() -> int:
    """Run the case; without the drill if TROUBLE is 0."""
    trouble = os.environ.get('TROUBLE') != '0'
    record = Record(FOLDER / 'record.txt')
    with TemporaryDirectory() as folder:
        code = asyncio.run(run(record, Path(folder), trouble))
    record.write(f'exit {code}')
    record.close()
    return code


if __name__ == '__main__':
    sys.exit(main())
