"""Check that the embedded set-up also stops reading endless answers."""

import tracemalloc
from collections.abc import Awaitable, Callable

import pytest
import trio

from tests.endless import DRIPS, ENDLESS, GIVE_UP_TIMEOUT, MAX_MEMORY, Endless
from tests.scriptedserver import ScriptedServer, Step, serve_script
from trefoilsaddle.backend.exchange import (
    Fault,
    ServerAnswer,
    ServerConnections,
    ServerRequest,
)
from trefoilsaddle.core.configuration import ServerPolicy
from trefoilsaddle.core.errors import Failure
from trefoilsaddle.core.units import Seconds, ServerId, ServiceName, ZoneName
from trefoilsaddle.logservice.exchange import (
    ServiceAddress,
    ServiceExchange,
    ServiceRequest,
)

_HOST = '127.0.0.1'
# Reads an answer within a timeout; returns its body, or None on a failure.
_Read = Callable[[int, Seconds], Awaitable[bytes | None]]


async def _ask_server(port: int, timeout: Seconds) -> bytes | None:
    policy = ServerPolicy(
        server_id=ServerId('server-1'),
        service=ServiceName('service-1'),
        zone=ZoneName('zone-1'),
        host=_HOST,
        port=port,
        slots=3,
        connections=3,
        checks_grants=False,
        leaving=False,
    )
    connections = ServerConnections(policy, _read_zero)
    request = ServerRequest('GET', '/', (), b'', Seconds(1), timeout)
    answer = await connections.exchange(request)
    assert answer != Fault.unsent
    return answer.body if isinstance(answer, ServerAnswer) else None


async def _ask_service(port: int, timeout: Seconds) -> bytes | None:
    exchange = ServiceExchange(ServiceAddress(_HOST, port, timeout))
    answer = await exchange.request(ServiceRequest('GET', '/'))
    return None if isinstance(answer, Failure) else answer


def _read_zero() -> Seconds:
    return Seconds(0)


async def _meet(
    server: ScriptedServer, read: _Read, timeout: Seconds
) -> bytes | None:
    body = None
    async with serve_script(server):
        with trio.fail_after(GIVE_UP_TIMEOUT):
            body = await read(server.port, timeout)
            await server.closed.wait()
    return body


@pytest.mark.parametrize('case', ENDLESS.values(), ids=ENDLESS)
@pytest.mark.parametrize('read', [_ask_server, _ask_service])
def test_endless_answer_is_given_up(case: Endless, read: _Read) -> None:
    """Guard against an answer that is read and buffered without a limit."""
    server = ScriptedServer([case.step])
    tracemalloc.start()
    body = trio.run(_meet, server, read, Seconds(2 * GIVE_UP_TIMEOUT))
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert body == case.body
    assert server.sent <= case.max_sent
    assert peak <= MAX_MEMORY


@pytest.mark.parametrize('step', DRIPS.values(), ids=DRIPS)
@pytest.mark.parametrize('read', [_ask_server, _ask_service])
def test_dripping_answer_ends_with_its_time(step: Step, read: _Read) -> None:
    """Guard against single bytes that extend a request past its timeout."""
    server = ScriptedServer([step])
    assert trio.run(_meet, server, read, Seconds(0.3)) is None
