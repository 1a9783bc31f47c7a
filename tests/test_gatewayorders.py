"""Check that the step at which an order was late can be told."""

import time
from dataclasses import dataclass

import pytest
import trio

from tests.scriptedserver import ScriptedServer, Step, serve_script, whole
from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName
from trefoilsaddle.gateway.effects import GrantKeys
from trefoilsaddle.gateway.events import Event, OrderEnded, OrderTimes
from trefoilsaddle.gateway.keys import ALL_KEYS
from trefoilsaddle.gateway.servers import Server, ServerLife
from trefoilsaddle.gatewaymetrics import GatewayMetrics
from trefoilsaddle.platform.orders import PlatformOrders
from trefoilsaddle.programs.gatewayorders import OrderRunner

_HOST = '127.0.0.1'
# Time for which the loop is kept busy after the decision, in seconds.
_BUSY = 0.2
_GRANT_TIMEOUT = Seconds(0.3)


@dataclass(frozen=True, slots=True)
class _Case:
    """Say what an order meets, and which of its steps are then late."""

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
        ServerLife(ServerId('i-1'), 1),
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
            runner = OrderRunner(orders, metrics, events.append, nursery)
            runner.grant(_build_grant(port))
            # Nothing else runs meanwhile, as on a machine that is too slow.
            time.sleep(case.busy)
    ended = events.pop()
    assert isinstance(ended, OrderEnded)
    return ended.times


@pytest.mark.parametrize('case', _CASES.values(), ids=_CASES)
def test_late_step_of_an_order_is_seen(case: _Case) -> None:
    """Guard against taking the controller's own queue for a slow server."""
    metrics = GatewayMetrics()
    steps = dict(trio.run(_grant, case, metrics).list_steps())
    assert tuple(steps) == case.reached
    for step in case.late:
        assert steps[step] >= _BUSY
    text = metrics.write_text().decode()
    for step in case.reached:
        assert f'trefoil_order_seconds_count{{step="{step}"}} 1.0' in text
