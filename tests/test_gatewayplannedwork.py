"""Test that planned work of the operator cuts no request of a gateway."""

import json
import os
from collections import Counter
from collections.abc import Awaitable, Callable, Iterator
from copy import deepcopy
from dataclasses import dataclass, field
from itertools import count
from pathlib import Path
from signal import SIGHUP
from typing import Any

import pytest
import trio

from standins.platform import ServerStandIn, StoreStandIn
from tests.scriptedserver import find_ports
from trefoilsaddle.core.units import Seconds
from trefoilsaddle.http.budget import AnswerBudget
from trefoilsaddle.http.exchange import exchange
from trefoilsaddle.http.messages import Fault, HttpAnswer, HttpRequest
from trefoilsaddle.platform.settings import GatewaySettings, read_settings
from trefoilsaddle.programs import gateway, gatewayshell

_HOST = '127.0.0.1'
_CALLERS = 12
_WORK = Seconds(0.15)
_PAUSE = Seconds(0.3)

_SETTINGS = """
node = "edge-a-1"
ip = "127.0.0.1"
zone = "a"
region = "east"
heartbeat = "870ms"
internalPorts = [{peers}, {last}]
[zones]
a = "east"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
retryRatio = 0.2
retrySlack = 64
budgetWindow = "10s"
holdMax = "10000ms"
grace = "6s"
[platform]
address = "127.0.0.1:{store}"
"""

_Wire = dict[str, Any]


def _build_rule(kind: str, prefix: str, service: str) -> _Wire:
    return {
        'name': f'r-{prefix}',
        'kind': kind,
        'targetLatency': '600ms',
        'priority': 1,
        'match': {'pathPrefix': f'/{prefix}/'},
        'action': {'service': service, 'timeout': '2s', 'attempts': 2},
    }


_FIRST: _Wire = {
    'version': 'r3',
    'limits': {
        'headerBytes': 16_384,
        'maxBodyBytes': 1000,
        'headerTimeout': '3000ms',
        'idleTimeout': '15s',
    },
    'listeners': [
        {
            'host': 'shop.example',
            'rules': [
                _build_rule('idempotent', 'reads', 'guide'),
                _build_rule('non_idempotent', 'pay', 'desk'),
            ],
        },
    ],
    'clusters': [
        {'name': 'guide', 'maxConns': 130},
        {'name': 'desk', 'maxConns': 130},
    ],
}


class _SlowServer(ServerStandIn):
    """Work on each request for a time."""

    async def answer(
        self, request: HttpRequest, waited: Seconds
    ) -> HttpAnswer | None:
        """Answer after the time that the work takes."""
        await trio.sleep(_WORK)
        return await ServerStandIn.answer(self, request, waited)


@dataclass(slots=True)
class _Fleet:
    """Hold a gateway, its store and the results of its callers."""

    store: StoreStandIn
    folder: Path
    version: _Wire = field(default_factory=lambda: deepcopy(_FIRST))
    numbers: Iterator[int] = field(default_factory=lambda: count(4))
    ids: Iterator[int] = field(default_factory=count)
    ends: Counter[int | Fault] = field(default_factory=Counter)
    front: int = 0

    def put_version(self, change: Callable[[_Wire], None]) -> None:
        """Write a new version of the configuration."""
        change(self.version)
        self.version['version'] = f'r{next(self.numbers)}'
        self.store.put('keyed.op', 'config', json.dumps(self.version).encode())

    async def call(self, method: bytes, path: bytes) -> None:
        """Send requests on one kept connection, each after an answer."""
        stream = await trio.open_tcp_stream(_HOST, self.front)
        answer: HttpAnswer | Fault = HttpAnswer(200, ())
        while isinstance(answer, HttpAnswer):
            headers = (
                (b'host', b'shop.example'),
                (b'x-attempt-id', b'%d' % next(self.ids)),
                (b'x-deadline-ms', b'4000'),
                (b'content-length', b'0'),
            )
            request = HttpRequest(method, path, headers)
            ended = await exchange(stream, request, AnswerBudget())
            answer = ended.answer
            status = answer.status if isinstance(answer, HttpAnswer) else answer
            self.ends[status] += 1


_Act = Callable[[_Fleet], Awaitable[None]]


def _alter(change: Callable[[_Wire], None]) -> _Act:
    async def act(fleet: _Fleet) -> None:
        fleet.put_version(change)

    return act


def _limit_idle(text: str) -> _Act:
    return _alter(lambda wire: wire['limits'].update(idleTimeout=text))


def _limit_time(text: str) -> _Act:
    def change(wire: _Wire) -> None:
        for rule in wire['listeners'][0]['rules']:
            rule['action']['timeout'] = text

    return _alter(change)


def _move(wire: _Wire) -> None:
    for rule in wire['listeners'][0]['rules']:
        rule['action']['service'] = 'desk'


def _drop(wire: _Wire) -> None:
    wire['listeners'][0]['rules'].pop(0)


def _drop_service(wire: _Wire) -> None:
    _move(wire)
    wire['clusters'].pop(0)


async def _send_hup(fleet: _Fleet) -> None:
    os.kill(os.getpid(), SIGHUP)


async def _spoil_settings(fleet: _Fleet) -> None:
    (fleet.folder / 'settings.toml').write_text('node =')
    os.kill(os.getpid(), SIGHUP)


async def _remove_server(fleet: _Fleet) -> None:
    fleet.store.put('keyed.servers', 'i-1', b'')


_CALLS = ((b'GET', b'/reads/1'), (b'POST', b'/pay/1'))
_WORKS: dict[str, tuple[_Act, ...]] = {
    'shorter idle limit': (_limit_idle('50ms'), _limit_idle('1ms')),
    'longer idle limit': (_limit_idle('50ms'), _limit_idle('60s')),
    'shorter timeouts': (_limit_time('1s'), _limit_time('400ms')),
    'routes moved': (_alter(_move),),
    'route removed': (_alter(_drop),),
    'service removed': (_alter(_drop_service),),
    'signal': (_send_hup, _send_hup),
    'signal with bad settings': (_spoil_settings, _send_hup),
    'server removed': (_remove_server,),
}


# Guards against requests that a gateway cuts, after it has passed them on,
# because the operator changes something.
@pytest.mark.parametrize('works', _WORKS.values(), ids=_WORKS)
def test_planned_work_cuts_no_request(
    tmp_path: Path, works: tuple[_Act, ...]
) -> None:
    """Answer all requests on kept connections while it happens."""

    ends = trio.run(_play, tmp_path, works)
    assert set(ends) <= {200, 404, 503}
    assert ends[200] > _CALLERS


# Guards against a process that ends, with all its requests, because a task of
# it has failed.
@pytest.mark.parametrize(
    ('owner', 'name'),
    [
        (gatewayshell, 'sweep_pools'),
        (gateway, 'read_settings'),
    ],
    ids=['sweep', 'settings'],
)
def test_task_that_fails_cuts_no_request(
    monkeypatch: pytest.MonkeyPatch, tmp_path: Path, owner: object, name: str
) -> None:
    """Go on when the sweep of pools or a check of settings fails once."""
    whole = getattr(owner, name)
    failures: list[ZeroDivisionError] = []

    def fail_once(*arguments: object) -> object:
        if failures:
            return whole(*arguments)
        failures.append(ZeroDivisionError('once'))
        raise failures[0]

    monkeypatch.setattr(owner, name, fail_once)
    ends = trio.run(_play, tmp_path, (_send_hup,))
    assert failures
    assert set(ends) <= {200, 503}
    assert ends[200] > _CALLERS


async def _play(folder: Path, works: tuple[_Act, ...]) -> Counter[int | Fault]:
    fleet = _Fleet(StoreStandIn(), folder)
    async with trio.open_nursery() as nursery:
        with trio.fail_after(20):
            await _start(fleet, nursery)
            for number in range(_CALLERS):
                nursery.start_soon(fleet.call, *_CALLS[number % 2])
            for work in works:
                await trio.sleep(_PAUSE)
                await work(fleet)
            await trio.sleep(3 * _PAUSE)
        nursery.cancel_scope.cancel()
    return fleet.ends


async def _start(fleet: _Fleet, nursery: trio.Nursery) -> None:
    store_port = await nursery.start(fleet.store.serve)
    fleet.put_version(lambda wire: None)
    for name, service in (('i-1', 'guide'), ('i-2', 'guide'), ('i-3', 'desk')):
        port = await nursery.start(_SlowServer(name).serve)
        fleet.store.put('keyed.servers', name, _write_entry(service, port))
    settings = await _write_settings(fleet, store_port)
    fleet.front = settings.callers.port
    path = fleet.folder / 'settings.toml'
    nursery.start_soon(gateway.serve_gateway, settings, path)
    await _wait_until_served(fleet.front)


async def _wait_until_served(port: int) -> None:
    status = 0
    while status != 200:
        await trio.sleep(0.05)
        status = await _ask(port)


async def _ask(port: int) -> int:
    headers = ((b'host', b'shop.example'), (b'x-attempt-id', b'first'))
    request = HttpRequest(b'GET', b'/reads/1', headers)
    try:
        stream = await trio.open_tcp_stream(_HOST, port)
    except OSError:
        return 0
    async with stream:
        ended = await exchange(stream, request, AnswerBudget())
    return 0 if isinstance(ended.answer, Fault) else ended.answer.status


def _write_entry(service: str, port: int) -> bytes:
    return json.dumps(
        {
            'service': service,
            'address': f'{_HOST}:{port}',
            'zone': 'a',
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'warmupLeft': '0ms',
            'seq': 1,
            'born': 5,
        },
    ).encode()


async def _write_settings(fleet: _Fleet, store_port: int) -> GatewaySettings:
    front, ready, peers = await find_ports(3)
    path = fleet.folder / 'settings.toml'
    path.write_text(
        _SETTINGS.format(
            front=front,
            ready=ready,
            peers=peers,
            last=peers + 2,
            store=store_port,
        ),
    )
    settings = read_settings(path, 1)
    assert isinstance(settings, GatewaySettings)
    return settings
