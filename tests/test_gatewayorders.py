"""Test the measured steps and the verdicts of grant calls."""

import socket
import time
from contextlib import ExitStack
from dataclasses import dataclass

import pytest
import trio

from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName
from trefoilsaddle.gateway.effects import GrantKeys
from trefoilsaddle.gateway.events import (
    Event,
    OrderEnded,
    OrderTimes,
    OrderVerdict,
)
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.servers import Server, ServerIncarnation
from trefoilsaddle.gatewaymetrics import GatewayMetrics
from trefoilsaddle.platform.orders import PlatformOrders
from trefoilsaddle.programs.containment import Containment
from trefoilsaddle.programs.gatewayorders import OrderRunner

_HOST = '127.0.0.1'
# Seconds for which the event loop is blocked after the decision.
_BUSY = 0.2
_GRANT_TIMEOUT = Seconds(0.3)
_MORE_THAN_QUEUED = 4


@dataclass(frozen=True, slots=True)
class _Case:
    """Hold a fault of a grant call and the steps that it delays."""

    step: Step = Step(whole(b'{}'))
    busy: float = 0
    listens: bool = True
    reached: tuple[str, ...] = ('started', 'connected', 'written', 'ended')
    late: tuple[str, ...] = ()


_CASES = {
    'answered': _Case(),
    'silent-server': _Case(Step(silent=True), late=('ended',)),
    'busy-loop': _Case(
        busy=_BUSY, late=('started', 'connected', 'written', 'ended')
    ),
    'nobody-listens': _Case(listens=False, reached=('started', 'ended')),
}


def _build_grant(port: int) -> GrantKeys:
    server = Server(
        ServerIncarnation(ServerId('i-1'), 1),
        ServiceName('guide'),
        _HOST,
        port,
        ZoneName('a'),
        slots=3,
        draining=False,
        warm_up_left=Seconds(0),
    )
    return GrantKeys(server, ALL_KEYS, 1, Seconds(2), '')


async def _find_free_port() -> int:
    listeners = await trio.open_tcp_listeners(0, host=_HOST)
    port: int = listeners[0].socket.getsockname()[1]
    await listeners[0].aclose()
    return port


async def _grant(case: _Case, metrics: GatewayMetrics) -> OrderTimes:
    server = ScriptedServer([case.step])
    events: list[Event] = []
    async with serve_script(server):
        port = server.port if case.listens else await _find_free_port()
        orders = PlatformOrders(_GRANT_TIMEOUT, _GRANT_TIMEOUT)
        async with trio.open_nursery() as nursery:
            runner = OrderRunner(
                orders, metrics, events.append, nursery, Containment(print)
            )
            runner.grant(_build_grant(port))
            # Blocks the event loop, as an overloaded machine would.
            time.sleep(case.busy)
    ended = events.pop()
    assert isinstance(ended, OrderEnded)
    return ended.times


@pytest.mark.parametrize('case', _CASES.values(), ids=_CASES)
def test_late_step_of_an_order_is_seen(case: _Case) -> None:
    """Guard against mistaking the controller's own queue for a slow server."""
    metrics = GatewayMetrics()
    steps = dict(trio.run(_grant, case, metrics).list_steps())
    assert tuple(steps) == case.reached
    for step in case.late:
        assert steps[step] >= _BUSY
    text = metrics.write_text().decode()
    for step in case.reached:
        assert f'trefoil_order_seconds_count{{step="{step}"}} 1.0' in text


async def _grant_twice() -> int:
    server = ScriptedServer([Step(whole(b'{}')), Step(whole(b'{}'))])
    async with serve_script(server):
        orders = PlatformOrders(_GRANT_TIMEOUT, _GRANT_TIMEOUT)
        for _ in range(2):
            ended = await orders.grant(_build_grant(server.port))
            assert ended.verdict == OrderVerdict.done
    return server.connections


# Each new connection waits for a slot of a busy server, so that a renewal on a
# new connection could wait until its keys are taken away.
def test_grants_are_renewed_on_the_open_connection() -> None:
    """Reuse the connection of a grant for its renewal."""
    assert trio.run(_grant_twice) == 1


async def _grant_unconnected() -> OrderVerdict:
    with socket.socket() as listener:
        listener.bind((_HOST, 0))
        listener.listen(0)
        address = listener.getsockname()
        # Above the listen backlog no handshake completes.
        with ExitStack() as stack:
            for _ in range(_MORE_THAN_QUEUED):
                filler = stack.enter_context(socket.socket())
                filler.setblocking(False)
                filler.connect_ex(address)
            orders = PlatformOrders(_GRANT_TIMEOUT, _GRANT_TIMEOUT)
            ended = await orders.grant(_build_grant(address[1]))
    return ended.verdict


# Without this verdict the controller would wait for the expiry of a grant that
# was never sent.
def test_grant_without_a_connection_was_not_sent() -> None:
    """Distinguish a call without a connection from one without an answer."""
    assert trio.run(_grant_unconnected) == OrderVerdict.rejected


async def _grant_answered(status: bytes) -> OrderVerdict:
    server = ScriptedServer([Step(whole(b'{}', status=status))])
    async with serve_script(server):
        orders = PlatformOrders(_GRANT_TIMEOUT, _GRANT_TIMEOUT)
        ended = await orders.grant(_build_grant(server.port))
    return ended.verdict


# Otherwise keys could be granted to another server while a grant that seemed
# to fail is in force.
@pytest.mark.parametrize(
    ('status', 'verdict'),
    [
        (b'200 OK', OrderVerdict.done),
        (b'400 Bad Request', OrderVerdict.rejected),
        (b'404 Not Found', OrderVerdict.unknown),
        (b'409 Conflict', OrderVerdict.fenced),
        (b'421 Misdirected Request', OrderVerdict.rejected),
        (b'500 Internal Server Error', OrderVerdict.unknown),
        (b'503 Service Unavailable', OrderVerdict.rejected),
        (b'504 Gateway Timeout', OrderVerdict.unknown),
    ],
)
def test_grant_counts_as_refused_only_by_its_status(
    status: bytes,
    verdict: OrderVerdict,
) -> None:
    """Treat a grant as not accepted only if the status guarantees it."""
    assert trio.run(_grant_answered, status) == verdict


async def _grant_unanswered() -> OrderVerdict:
    server = ScriptedServer([Step(silent=True)])
    async with serve_script(server):
        orders = PlatformOrders(_GRANT_TIMEOUT, _GRANT_TIMEOUT)
        ended = await orders.grant(_build_grant(server.port))
    return ended.verdict


def test_grant_that_was_written_may_have_been_taken() -> None:
    """Report an unknown outcome if a call was sent but not answered."""
    assert trio.run(_grant_unanswered) == OrderVerdict.unknown
